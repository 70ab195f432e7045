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
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.length;
    if (bytes > maxBytes) throw new BodyTooLargeError(maxBytes);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}
