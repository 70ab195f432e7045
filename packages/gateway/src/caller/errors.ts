import {ServerResponse} from 'node:http';
import {RequestId} from '@radishgw/core';
import {Refusal} from '../request/refusal.js';

const MS_PER_SECOND = 1000;

/** The error object of OpenAI's API with the fields of radishgw beside it. */
function formatRefusal(refusal: Refusal, requestId: RequestId): string {
  return JSON.stringify({
    error: {
      message: refusal.message,
      type: refusal.kind.type,
      code: refusal.kind.code,
      param: null,
      execution: refusal.execution,
      request_id: requestId,
    },
  });
}

/** Answers with a refusal; on a stream that has begun, ends it with an error event. */
export function sendRefusal(response: ServerResponse, refusal: Refusal, requestId: RequestId) {
  if (response.writableEnded || response.destroyed) return;
  const body = formatRefusal(refusal, requestId);
  if (response.headersSent) {
    response.write(`data: ${body}\n\n`, () => response.destroy());
    return;
  }
  response.writeHead(refusal.kind.statusCode, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    'x-radishgw-execution': refusal.execution,
    'x-request-id': requestId,
    ...(refusal.retryAfterMs === undefined
      ? {}
      : {'retry-after': String(Math.max(1, Math.ceil(refusal.retryAfterMs / MS_PER_SECOND)))}),
  });
  response.end(body);
}
