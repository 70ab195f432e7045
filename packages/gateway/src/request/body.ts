import {z} from 'zod';
import {RequestContext} from './context.js';
import {Refusal} from './refusal.js';

/** Reads a request body of at most `maxBytes` bytes; rejects if the connection closes early. */
export function readBody(context: RequestContext, maxBytes: number): Promise<Buffer> {
  const {request, response} = context;
  const contentLength = Number(request.headers['content-length'] ?? 0);
  if (contentLength > maxBytes) return Promise.reject(createTooLargeRefusal(maxBytes));
  // "100 Continue" is sent only after all earlier checks have passed.
  if (request.headers.expect !== undefined) response.writeContinue();
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= maxBytes) chunks.push(chunk);
      else reject(createTooLargeRefusal(maxBytes));
    });
    request.once('end', () => resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)));
    request.once('error', reject);
    request.once('close', () =>
      reject(new Error('caller disconnected before the request body was complete')),
    );
  });
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
