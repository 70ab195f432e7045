/** Memory of an empty object, the largest of the values that two characters of text can be. */
const CONTAINER_BYTES = 64;

/** Memory of a short text or a number, and of the place or the name that its container has for it. */
const MEMBER_BYTES = 40;

const QUOTE = 0x22;
const BACKSLASH = 0x5c;

/** Cost of the characters that separate values; all others cost nothing beside themselves. */
const CHARACTER_BYTES: Readonly<Record<number, number>> = {
  [0x2c]: MEMBER_BYTES, // ,
  [0x3a]: MEMBER_BYTES, // :
  [0x5b]: CONTAINER_BYTES, // [
  [0x7b]: CONTAINER_BYTES, // {
};

/** JSON text would take more memory than allowed once it is decoded. */
export class DecodedTooLargeError extends Error {
  constructor(maxBytes: number) {
    super(`JSON text decodes to more than ${maxBytes} bytes`);
  }
}

/**
 * Returns the memory in bytes that the values of a JSON text take at most, beside their characters.
 * Short values may take thirty times as much as their text. The text needn't be valid.
 */
export function estimateDecodedBytes(text: string): number {
  let bytes = 0;
  for (let i = 0; i < text.length; i++) {
    const code = text.charCodeAt(i);
    if (code === QUOTE) i = findEndOfString(text, i);
    else bytes += CHARACTER_BYTES[code] ?? 0;
  }
  return bytes;
}

/**
 * Decodes JSON text. Throws {@link DecodedTooLargeError} before it decodes one that would take more
 * than `maxBytes` beside its characters, and a `SyntaxError` if it is invalid.
 */
export function parseJson(text: string, maxBytes: number): unknown {
  const mayBeTooLarge = text.length * CONTAINER_BYTES > maxBytes;
  if (mayBeTooLarge && estimateDecodedBytes(text) > maxBytes) {
    throw new DecodedTooLargeError(maxBytes);
  }
  return JSON.parse(text);
}

/** Index of the quote that ends the string that begins at `start`, or the length of the text. */
function findEndOfString(text: string, start: number): number {
  let end = text.indexOf('"', start + 1);
  while (end >= 0 && isEscaped(text, end)) end = text.indexOf('"', end + 1);
  return end < 0 ? text.length : end;
}

function isEscaped(text: string, index: number): boolean {
  let first = index;
  while (first > 0 && text.charCodeAt(first - 1) === BACKSLASH) first--;
  return (index - first) % 2 === 1;
}
