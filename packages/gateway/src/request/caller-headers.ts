import {IncomingHttpHeaders} from 'node:http';
import {Refusal} from './refusal.js';

/** Longer deadlines are clamped to this value, which timers can represent. */
export const MAX_DEADLINE_MS = 86_400_000;
export const MAX_IDEMPOTENCY_KEY_CHARS = 255;

const DEADLINE_PATTERN = /^[1-9]\d{0,14}$/;
/** Visible ASCII characters; spaces are rejected because they are usually a mistake. */
const IDEMPOTENCY_KEY_PATTERN = /^[!-~]+$/;

/** Parses the header `x-radishgw-deadline-ms`; undefined if absent. */
export function parseDeadlineMs(headers: IncomingHttpHeaders): number | undefined {
  const value = headers['x-radishgw-deadline-ms'];
  if (value === undefined) return undefined;
  if (typeof value !== 'string' || !DEADLINE_PATTERN.test(value)) {
    throw new Refusal(
      'requestMalformed',
      'header x-radishgw-deadline-ms: expected a positive integer',
    );
  }
  return Math.min(Number(value), MAX_DEADLINE_MS);
}

/** Parses the header `Idempotency-Key`; undefined if absent. */
export function parseIdempotencyKey(headers: IncomingHttpHeaders): string | undefined {
  const value = headers['idempotency-key'];
  if (value === undefined) return undefined;
  const valid =
    typeof value === 'string' &&
    value.length <= MAX_IDEMPOTENCY_KEY_CHARS &&
    IDEMPOTENCY_KEY_PATTERN.test(value);
  if (valid) return value;
  throw new Refusal(
    'requestMalformed',
    `header idempotency-key: expected 1 to ${MAX_IDEMPOTENCY_KEY_CHARS} visible ASCII characters`,
  );
}
