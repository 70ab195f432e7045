import {estimateDecodedBytes} from '@radishgw/core';
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

/** Holds the memory that a body of JSON takes once it is decoded; throws if there is none. */
export function reserveDecoded({guarded}: RequestContext, body: Buffer): void {
  // The characters that separate values are the same in both encodings.
  const held = guarded.hold(estimateDecodedBytes(body.toString('latin1')));
  if (held === 'noMemory') throw createMemoryRefusal();
  if (held === 'tooLarge') {
    throw new Refusal('requestTooLarge', 'request body has too many JSON values');
  }
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

/** Messages as they are; only the first one that isn't an object is reported. */
const messagesSchema = z
  .array(z.unknown())
  .min(1)
  .superRefine((messages, context) => {
    const index = messages.findIndex(isNoObject);
    if (index < 0) return;
    const input = messages[index];
    context.addIssue({code: 'invalid_type', expected: 'object', input, path: [index]});
  });
const chatSchema = modelRequestSchema.extend({messages: messagesSchema});
const completionSchema = modelRequestSchema.extend({
  prompt: z.union([z.string(), z.array(z.unknown())]),
});

function isNoObject(value: unknown): boolean {
  return typeof value !== 'object' || value === null || Array.isArray(value);
}

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
