/** Error answers of the host itself. 408, 429 and 503 guarantee that the request has not run. */
export const REFUSALS = {
  malformed: {status: 400, retryAfterMs: undefined},
  keyUnknown: {status: 401, retryAfterMs: undefined},
  routeUnknown: {status: 404, retryAfterMs: undefined},
  bodyTimeout: {status: 408, retryAfterMs: undefined},
  bodyTooLarge: {status: 413, retryAfterMs: undefined},
  headerTooLarge: {status: 431, retryAfterMs: undefined},
  rateExceeded: {status: 429, retryAfterMs: 500},
  configNotFresh: {status: 503, retryAfterMs: 200},
  stopping: {status: 503, retryAfterMs: 50},
  noTarget: {status: 503, retryAfterMs: 300},
  quarantined: {status: 503, retryAfterMs: 10_000},
  overloaded: {status: 503, retryAfterMs: 500},
  notRunInTime: {status: 503, retryAfterMs: 300},
  internalError: {status: 503, retryAfterMs: 300},
  outcomeUnknown: {status: 502, retryAfterMs: undefined},
  deadlineExceeded: {status: 504, retryAfterMs: undefined},
} as const satisfies Record<string, {status: number; retryAfterMs: number | undefined}>;

export type RefusalName = keyof typeof REFUSALS;

/** Maximum retry delay sent to a client. */
const MAX_RETRY_AFTER_MS = 10_000;

/** Returns the status, headers and body of a refusal. */
export function writeRefusal(
  name: RefusalName,
  retryAfterMs: number | undefined,
): {status: number; headers: string[]; body: Buffer} {
  const refusal = REFUSALS[name];
  const headers = ['Content-Type', 'application/json'];
  const waitMs = retryAfterMs ?? refusal.retryAfterMs;
  if (waitMs !== undefined) {
    headers.push('Retry-After', (Math.min(MAX_RETRY_AFTER_MS, waitMs) / 1000).toFixed(3));
  }
  return {status: refusal.status, headers, body: Buffer.from(JSON.stringify({error: name}))};
}
