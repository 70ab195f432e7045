import {IncomingHttpHeaders} from 'node:http';

/** Headers of one connection only (RFC 9110, section 7.6.1) and those that may hold the key. */
const DROPPED_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'content-length',
  'expect',
  'authorization',
  'api-key',
  'x-api-key',
  'cookie',
]);

/** Query fields that may hold the key. */
const DROPPED_QUERY_FIELDS = ['api_key', 'api-key', 'key', 'access_token'];

/** Finds the key in the places where callers may put it. */
export function findKey(headers: IncomingHttpHeaders): string | undefined {
  const authorization = headers.authorization;
  if (authorization?.toLowerCase().startsWith('bearer ')) return authorization.slice(7).trim();
  const header = headers['x-api-key'] ?? headers['api-key'];
  return Array.isArray(header) ? header[0] : header;
}

/** Headers to pass on to a target; fields whose value holds the key's secret are dropped too. */
export function forwardHeaders(
  headers: IncomingHttpHeaders,
  secretHex: string | undefined,
): Record<string, string> {
  const forwarded: Record<string, string> = {};
  const perConnection = (headers.connection ?? '').split(',').map(name => name.trim());
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || DROPPED_HEADERS.has(name) || perConnection.includes(name)) continue;
    if (name.startsWith('x-radishgw-')) continue;
    const text = Array.isArray(value) ? value.join(', ') : value;
    if (secretHex && text.includes(secretHex)) continue;
    forwarded[name] = text;
  }
  return forwarded;
}

/** Path and query to pass on to a target, without fields that hold or may hold the key. */
export function forwardPath(url: string, secretHex: string | undefined): string {
  const parsed = new URL(url, 'http://host');
  for (const name of DROPPED_QUERY_FIELDS) parsed.searchParams.delete(name);
  for (const [name, value] of [...parsed.searchParams]) {
    if (secretHex && value.includes(secretHex)) parsed.searchParams.delete(name);
  }
  return parsed.pathname + parsed.search;
}
