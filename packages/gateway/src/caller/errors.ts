import {ServerResponse} from 'node:http';
import {abortResponse} from '@radishgw/core';
import {Execution, Refusal} from '../request/refusal.js';

const MS_PER_SECOND = 1000;

/** Values of the error object that callers receive. */
interface ErrorFields {
  readonly message: string;
  readonly type: string;
  readonly code: string;
  readonly execution: Execution;
  readonly requestId: string | null;
}

/** Formats the error object of OpenAI's API with the additional fields of radishgw. */
export function formatError(fields: ErrorFields): string {
  return JSON.stringify({
    error: {
      message: fields.message,
      type: fields.type,
      code: fields.code,
      param: null,
      execution: fields.execution,
      request_id: fields.requestId,
    },
  });
}

/** Sends a refusal; a stream that has started ends with an error event instead. */
export function sendRefusal(response: ServerResponse, refusal: Refusal, requestId: string): void {
  if (response.writableEnded || response.destroyed) return;
  const {message, execution} = refusal;
  const {statusCode, type, code} = refusal.kind;
  const body = formatError({message, type, code, execution, requestId});
  if (response.headersSent) {
    endStartedResponse(response, body);
    return;
  }
  // If a caller waits for "100 Continue", its next bytes may be the body or another request.
  if (response.req.headers.expect !== undefined && !response.req.complete) {
    response.setHeader('connection', 'close');
  }
  response.writeHead(statusCode, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    'x-radishgw-execution': execution,
    ...(refusal.retryAfterMs === undefined
      ? {}
      : {'retry-after': String(Math.max(1, Math.ceil(refusal.retryAfterMs / MS_PER_SECOND)))}),
  });
  response.end(body);
}

/**
 * Ends a response that has started. The missing `[DONE]` and the aborted transfer show the caller
 * that it is incomplete.
 */
function endStartedResponse(response: ServerResponse, body: string): void {
  const isEventStream = String(response.getHeader('content-type')).startsWith('text/event-stream');
  if (isEventStream) response.write(`data: ${body}\n\n`, () => abortResponse(response));
  else abortResponse(response);
}
