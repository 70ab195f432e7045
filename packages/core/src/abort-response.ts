import {ServerResponse} from 'node:http';

/**
 * Ends a response early, so that it doesn't look complete. One that has neither a length nor chunks,
 * as to an HTTP/1.0 client, would look complete if its connection were closed.
 */
export function abortResponse(response: ServerResponse): void {
  if (response.headersSent && !response.chunkedEncoding) response.socket?.resetAndDestroy();
  response.destroy();
}
