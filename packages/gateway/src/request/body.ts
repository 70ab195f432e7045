import {z} from 'zod';
import {RequestContext} from './context.js';
import {Refusal} from './refusal.js';

/** Time after which a request that was refused for lack of memory may be sent again. */
const MEMORY_RETRY_MS = 1000;

/** Reads a request body of at most `maxBytes` bytes; rejects if the connection closes early. */
export async function readBody(context: RequestContext, maxBytes: number): Promise<Buffer> {
  const {request, response, guarded} = context;
  const contentLength = Number(request.headers['content-length'] ?? 0);
  if (contentLength > maxBytes) throw createTooLargeRefusal(maxBytes);
  // "100 Continue" is sent only after all earlier checks have passed.
  if (request.headers.expect !== undefined) response.writeContinue();
  // The server's request timeout and the deadline end a body that stalls.
  const read = await guarded.readBody(maxBytes, Infinity);
  if (read.type === 'tooLarge') throw createTooLargeRefusal(maxBytes);
  if (read.type === 'noMemory' || (read.type === 'read' && !guarded.keep())) {
    throw createMemoryRefusal();
  }
  if (read.type === 'read') return read.body;
  throw new Error('caller disconnected before the request body was complete');
}

/** Creates the refusal of a request that there is no memory for. */
export function createMemoryRefusal(): Refusal {
  const message = 'the host has no memory for the request';
  return new Refusal('tooManyRequestsInFlight', message, 'not_run', MEMORY_RETRY_MS);
}

function createTooLargeRefusal(maxBytes: number): Refusal {
  return new Refusal('requestTooLarge', `request body exceeds ${maxBytes} bytes`);
}

const modelRequestSchema = z.looseObject({
  model: z.string().min(1),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({include_usage: z.boolean().nullish()}).nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
  n: z.number().int().positive().nullish(),
});
const chatSchema = modelRequestSchema.extend({messages: z.array(z.looseObject({})).min(1)});
const completionSchema = modelRequestSchema.extend({
  prompt: z.union([z.string(), z.array(z.unknown())]),
});

/** Schema and response object type of each kind of model request, by path. */
export const MODEL_REQUEST_KINDS = {
  '/v1/chat/completions': {schema: chatSchema, objectType: 'chat.completion'},
  '/v1/completions': {schema: completionSchema, objectType: 'text_completion'},
} as const;

export type ModelRequestPath = keyof typeof MODEL_REQUEST_KINDS;

/** Fields of a model request that the host uses; others are forwarded unchanged. */
export type ModelRequest = z.infer<typeof modelRequestSchema>;

/** Parses a model request; the refusal names the path of the first invalid field. */
export function parseModelRequest(path: ModelRequestPath, body: Buffer): ModelRequest {
  let json: unknown;
  try {
    json = JSON.parse(body.toString('utf8'));
  } catch {
    throw new Refusal('requestMalformed', 'request body is not JSON');
  }
  const parsed = MODEL_REQUEST_KINDS[path].schema.safeParse(json);
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0];
  throw new Refusal('requestMalformed', `${issue.path.join('.') || 'body'}: ${issue.message}`);
}

const BYTES_PER_TOKEN = 4;

/** Estimates the prompt tokens from the body size; the engine's count replaces it at the end. */
export function estimatePromptTokens(bodyBytes: number): number {
  return Math.ceil(bodyBytes / BYTES_PER_TOKEN);
}
