import {z} from 'zod';

/** Version of the configuration format; raised when a field changes its meaning. */
export const SCHEMA_VERSION = 1;

const idSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'expected 1 to 63 of a-z, 0-9, ".", "_", "-"');
const modelNameSchema = z.string().min(1).max(128);
const tokensSchema = z.number().positive().finite();

/** Scheduling class of a request, most urgent first. */
export const workClassSchema = z.enum(['urgent', 'standard', 'batch']);
export type WorkClass = z.infer<typeof workClassSchema>;

/** Gives a class to matching requests; fields that are absent match everything. */
export const classRuleSchema = z.strictObject({
  model: modelNameSchema.optional().describe('Model name the rule applies to.'),
  route: idSchema.optional().describe('Service route the rule applies to.'),
  work: z
    .string()
    .max(64)
    .optional()
    .describe('Kind of work, as the caller names it in the header x-radishgw-work.'),
  class: workClassSchema.describe('Class given to matching requests.'),
});
export type ClassRule = z.infer<typeof classRuleSchema>;

const parameterShape = {
  models: z.array(modelNameSchema).describe('Models that the team may use.'),
  routes: z.array(idSchema).describe('Service routes that the team may use.'),
  tokensPerSecond: tokensSchema.describe('Rate over all hosts, in tokens a second.'),
  burstTokens: tokensSchema.describe('Burst over all hosts, in tokens.'),
  classRules: z.array(classRuleSchema).describe('Which work is urgent; the first match wins.'),
  maxInFlight: z
    .number()
    .int()
    .positive()
    .describe('Requests of the team that one host serves at a time.'),
};

/** All parameters of a team. */
export const parametersSchema = z.strictObject(parameterShape);
export type TeamParameters = z.infer<typeof parametersSchema>;

/** Template for a kind of team: parameters that its teams start from. */
export const templateSchema = z.strictObject({
  templateId: idSchema,
  parameters: parametersSchema.partial(),
});
export type Template = z.infer<typeof templateSchema>;

/** A model and the pool of engines that serves it. */
export const modelSchema = z.strictObject({
  model: modelNameSchema,
  pool: idSchema,
  maxOutputTokens: z
    .number()
    .int()
    .positive()
    .describe('Output bound of requests that state none.'),
});
export type ModelConfig = z.infer<typeof modelSchema>;

/** A plain service behind the system. */
export const routeSchema = z.strictObject({
  routeId: idSchema,
  method: z.enum(['GET', 'POST', 'PUT', 'DELETE', 'PATCH']),
  path: z.string().startsWith('/').describe('Path at the host; may end in /* to match below it.'),
  pool: idSchema,
  idempotent: z.boolean().describe('Whether a call may be sent more than once.'),
  access: z.enum(['key', 'open']).describe('"open" routes need no key.'),
  costTokens: z.number().nonnegative().describe('Cost of a call against the rate.'),
});
export type RouteConfig = z.infer<typeof routeSchema>;

/** A back end: a model engine or a plain service. */
export const targetSchema = z.strictObject({
  targetId: idSchema,
  kind: z.enum(['engine', 'service']),
  pool: idSchema,
  url: z.url(),
  failureDomain: idSchema,
  cheap: z.boolean().default(false).describe('May be reclaimed at a few seconds notice.'),
  checksFencing: z.boolean().default(false).describe('Refuses orders with an old fencing number.'),
  state: z.enum(['active', 'draining']).default('active'),
  loadPath: z
    .string()
    .startsWith('/')
    .optional()
    .describe('Path of the load report; engines without one are asked at /v1/load.'),
  slots: z.number().int().positive().default(16).describe('Requests in flight, over all hosts.'),
});
export type TargetConfig = z.infer<typeof targetSchema>;

/** Object `config/base`: everything that isn't a team. */
export const baseConfigSchema = z.strictObject({
  schemaVersion: z.literal(SCHEMA_VERSION),
  templates: z.array(templateSchema),
  models: z.array(modelSchema),
  routes: z.array(routeSchema),
  targets: z.array(targetSchema),
});
export type BaseConfig = z.infer<typeof baseConfigSchema>;

/** A key as it is stored: the secret is only kept as a salted digest. */
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
