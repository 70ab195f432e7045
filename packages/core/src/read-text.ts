import {BodyBlocks} from './body-blocks.js';

/** The body of an HTTP response is larger than allowed. */
export class BodyTooLargeError extends Error {
  constructor(maxBytes: number) {
    super(`body is larger than ${maxBytes} bytes`);
  }
}

/**
 * Reads a body as UTF-8 text. Rejects with {@link BodyTooLargeError} as soon as it is larger than
 * `maxBytes`, which also ends the iteration and so closes the connection of an HTTP response.
 */
export async function readText(body: AsyncIterable<Uint8Array>, maxBytes: number): Promise<string> {
  const blocks = new BodyBlocks();
  for await (const chunk of body) {
    if (blocks.byteCount + chunk.length > maxBytes) throw new BodyTooLargeError(maxBytes);
    blocks.push(chunk);
  }
  return blocks.take().toString('utf8');
}
