import {IncomingHttpHeaders} from 'node:http';
import {Refusal} from './refusal.js';

/** Hop-by-hop headers (RFC 9110, section 7.6.1). */
const HOP_BY_HOP_HEADERS = [
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
];

/** Request headers that are not forwarded: they are hop-by-hop or may contain the API key. */
const DROPPED_REQUEST_HEADERS = new Set([
  ...HOP_BY_HOP_HEADERS,
  'host',
  'content-length',
  'expect',
  'authorization',
  'api-key',
  'x-api-key',
  'cookie',
]);

/** Response headers that are not forwarded: the host sets its own. */
const DROPPED_RESPONSE_HEADERS = new Set([...HOP_BY_HOP_HEADERS, 'x-request-id']);

/** Query fields that may contain the API key. */
const DROPPED_QUERY_FIELDS = new Set(['api_key', 'api-key', 'key', 'access_token']);

/** Format of any API key, including those of other teams. */
const KEY_PATTERN = /rk_[a-z0-9][a-z0-9.-]{0,62}_[0-9a-f]{64}/i;

/** Values may be percent-encoded more than once; targets usually decode once or twice. */
const MAX_DECODE_ROUNDS = 3;

/** Finds the API key in the headers in which callers may send it. */
export function findKey(headers: IncomingHttpHeaders): string | undefined {
  const authorization = headers.authorization;
  if (authorization?.toLowerCase().startsWith('bearer ')) return authorization.slice(7).trim();
  const header = headers['x-api-key'] ?? headers['api-key'];
  return Array.isArray(header) ? header[0] : header;
}

/** Whether a text contains the secret or anything like a key, in plain or percent-encoded form. */
export function containsKey(text: string, secretHex: string | undefined): boolean {
  for (const decoded of listDecodedForms(text)) {
    if (KEY_PATTERN.test(decoded)) return true;
    if (secretHex && decoded.toLowerCase().includes(secretHex)) return true;
  }
  return false;
}

/** Yields the text itself and its form after each round of percent-decoding. */
function* listDecodedForms(text: string): Generator<string> {
  let current = text;
  for (let i = 0; i <= MAX_DECODE_ROUNDS; i++) {
    yield current;
    const decoded = decodePercent(current);
    if (decoded === current) return;
    current = decoded;
  }
}

/** Decodes each valid escape on its own, so that an invalid one elsewhere doesn't hide a key. */
function decodePercent(text: string): string {
  if (!text.includes('%')) return text;
  return text.replace(/%([0-9a-f]{2})/gi, (_, hex: string) =>
    String.fromCharCode(Number.parseInt(hex, 16)),
  );
}

/**
 * Throws a refusal if a text contains the caller's own key. The key isn't removed instead, because
 * a call with a changed path or body might have a different effect.
 */
export function refuseKeyInText(
  text: string,
  secretHex: string | undefined,
  location: string,
): void {
  if (secretHex === undefined) return;
  const unescaped = text.includes('\\u') ? decodeJsonEscapes(text) : text;
  for (const decoded of listDecodedForms(unescaped)) {
    if (decoded.includes(secretHex) || decoded.toLowerCase().includes(secretHex)) {
      throw new Refusal('requestMalformed', `the ${location} holds the API key`);
    }
  }
}

function decodeJsonEscapes(text: string): string {
  return text.replace(/\\u([0-9a-f]{4})/gi, (_, hex: string) =>
    String.fromCharCode(Number.parseInt(hex, 16)),
  );
}

function parseConnectionHeader(value: string | string[] | undefined): Set<string> {
  const text = Array.isArray(value) ? value.join(',') : (value ?? '');
  return new Set(text.split(',').map(name => name.trim().toLowerCase()));
}

/** Returns the headers to forward to a target, without those that contain a key. */
export function filterRequestHeaders(
  headers: IncomingHttpHeaders,
  secretHex: string | undefined,
): Record<string, string> {
  const forwarded: Record<string, string> = {};
  const connectionOptions = parseConnectionHeader(headers.connection);
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || DROPPED_REQUEST_HEADERS.has(name)) continue;
    if (connectionOptions.has(name) || name.startsWith('x-radishgw-')) continue;
    const text = Array.isArray(value) ? value.join(', ') : value;
    if (containsKey(name, secretHex) || containsKey(text, secretHex)) continue;
    forwarded[name] = text;
  }
  return forwarded;
}

/** Returns the headers of a target's response to forward to the caller. */
export function filterResponseHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[]> {
  const returned: Record<string, string | string[]> = {};
  const connectionOptions = parseConnectionHeader(headers.connection);
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || DROPPED_RESPONSE_HEADERS.has(name)) continue;
    if (connectionOptions.has(name) || name.startsWith('x-radishgw-')) continue;
    returned[name] = value;
  }
  return returned;
}

/**
 * Returns the path and query to forward to a target. Query fields that contain or may contain a key
 * are removed; the path is unchanged. Throws a refusal for paths that contain a key and for paths
 * with dot segments, which a target might resolve to a path outside the route.
 */
export function sanitizePath(url: string, secretHex: string | undefined): string {
  const queryStart = url.indexOf('?');
  const path = queryStart < 0 ? url : url.slice(0, queryStart);
  if (!path.startsWith('/')) {
    throw new Refusal('requestMalformed', 'request target: expected a path that starts with "/"');
  }
  if (containsKey(path, secretHex)) {
    throw new Refusal('requestMalformed', 'the request path holds an API key');
  }
  const hasDotSegment = [...listDecodedForms(path)].some(decoded =>
    decoded.split(/[/\\]/).some(isDotSegment),
  );
  if (hasDotSegment) {
    throw new Refusal('requestMalformed', 'the request path holds "." or ".." segments');
  }
  if (queryStart < 0) return path;
  const fields = url
    .slice(queryStart + 1)
    .split('&')
    .filter(field => !isKeyField(field, secretHex));
  return fields.length === 0 ? path : `${path}?${fields.join('&')}`;
}

function isDotSegment(segment: string): boolean {
  return segment === '.' || segment === '..';
}

function isKeyField(field: string, secretHex: string | undefined): boolean {
  const name = decodePercent(field.split('=', 1)[0].replaceAll('+', ' ')).toLowerCase();
  return DROPPED_QUERY_FIELDS.has(name) || containsKey(field, secretHex);
}
