import {z} from 'zod';

/** Version of the configuration format; incremented when the meaning of a field changes. */
export const SCHEMA_VERSION = 1;

const idSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'expected 1 to 63 of a-z, 0-9, ".", "_", "-"');
const modelNameSchema = z.string().min(1).max(128);
const tokensSchema = z.number().positive().finite();

/** Scheduling class of a request, most urgent first. */
export const workClassSchema = z.enum(['urgent', 'standard', 'batch']);
export type WorkClass = z.infer<typeof workClassSchema>;

/** Assigns a class to matching requests; an absent field matches every request. */
export const classRuleSchema = z.strictObject({
  model: modelNameSchema.optional().describe('Model name the rule applies to.'),
  route: idSchema.optional().describe('Service route the rule applies to.'),
  work: z
    .string()
    .max(64)
    .optional()
    .describe('Kind of work, as stated by the caller in the header x-radishgw-work.'),
  class: workClassSchema.describe('Class assigned to matching requests.'),
});
export type ClassRule = z.infer<typeof classRuleSchema>;

const parameterShape = {
  models: z.array(modelNameSchema).describe('Models that the team may use.'),
  routes: z.array(idSchema).describe('Service routes that the team may use.'),
  tokensPerSecond: tokensSchema.describe('Rate limit over all hosts, in tokens per second.'),
  burstTokens: tokensSchema.describe('Burst limit over all hosts, in tokens.'),
  classRules: z
    .array(classRuleSchema)
    .describe('Rules that assign classes to requests; the first match wins.'),
  maxInFlight: z
    .number()
    .int()
    .positive()
    .describe('Maximum number of concurrent requests of the team per host.'),
};

/** All parameters of a team. */
export const parametersSchema = z.strictObject(parameterShape);
export type TeamParameters = z.infer<typeof parametersSchema>;

/** Default parameters for a group of teams; a team may override each of them. */
export const templateSchema = z.strictObject({
  templateId: idSchema,
  parameters: parametersSchema.partial(),
});
export type Template = z.infer<typeof templateSchema>;

/** A model and the engine pool that serves it. */
export const modelSchema = z.strictObject({
  model: modelNameSchema,
  pool: idSchema,
  maxOutputTokens: z
    .number()
    .int()
    .positive()
    .describe('Maximum number of output tokens for requests that set none.'),
});
export type ModelConfig = z.infer<typeof modelSchema>;

/** A route to a plain service, that is, one that isn't a model engine. */
export const routeSchema = z.strictObject({
  routeId: idSchema,
  method: z.enum(['GET', 'POST', 'PUT', 'DELETE', 'PATCH']),
  path: z
    .string()
    .startsWith('/')
    .describe('Path on the host; a path that ends in /* matches all paths below it.'),
  pool: idSchema,
  idempotent: z.boolean().describe('Whether a call may be sent more than once.'),
  access: z.enum(['key', 'open']).describe('Whether callers need a key; "open" routes need none.'),
  costTokens: z.number().nonnegative().describe('Tokens charged to the rate limit for a call.'),
});
export type RouteConfig = z.infer<typeof routeSchema>;

/** A model engine or plain service that requests are forwarded to. */
export const targetSchema = z.strictObject({
  targetId: idSchema,
  kind: z.enum(['engine', 'service']),
  pool: idSchema,
  url: z.url(),
  failureDomain: idSchema,
  cheap: z
    .boolean()
    .default(false)
    .describe("Whether the target may be reclaimed at a few seconds' notice."),
  checksFencing: z
    .boolean()
    .default(false)
    .describe('Whether the target refuses orders with an outdated fencing number.'),
  state: z.enum(['active', 'draining']).default('active'),
  loadPath: z
    .string()
    .startsWith('/')
    .optional()
    .describe('Path of the load report; /v1/load for engines that set none.'),
  slots: z
    .number()
    .int()
    .positive()
    .default(16)
    .describe('Maximum number of requests in flight, over all hosts.'),
});
export type TargetConfig = z.infer<typeof targetSchema>;

/** Object `config/base`: the whole configuration except the teams. */
export const baseConfigSchema = z.strictObject({
  schemaVersion: z.literal(SCHEMA_VERSION),
  templates: z.array(templateSchema),
  models: z.array(modelSchema),
  routes: z.array(routeSchema),
  targets: z.array(targetSchema),
});
export type BaseConfig = z.infer<typeof baseConfigSchema>;

/** A key as stored; of the secret, only a salted digest is kept. */
export const keyRecordSchema = z.strictObject({
  keyId: idSchema,
  saltHex: z.string().regex(/^[0-9a-f]{32}$/),
  digestHex: z.string().regex(/^[0-9a-f]{64}$/),
});
export type KeyRecord = z.infer<typeof keyRecordSchema>;

/** Object `config/teams/<teamId>`: a team, its template, its own parameters and its keys. */
export const teamConfigSchema = z.strictObject({
  schemaVersion: z.literal(SCHEMA_VERSION),
  teamId: idSchema,
  template: idSchema,
  parameters: parametersSchema.partial().default({}),
  keys: z.array(keyRecordSchema).default([]),
});
export type TeamConfig = z.infer<typeof teamConfigSchema>;
