import {ErrorName, RadishError} from '@radishgw/core';

/** Whether a failed request may have been run by a target. */
export type Execution = 'not_run' | 'unknown';

interface RefusalKind {
  readonly statusCode: number;
  /** Error type as in OpenAI's API. */
  readonly type: string;
  /** Stable machine-readable code. */
  readonly code: string;
}

/** HTTP status, type and code of each error that callers receive. */
export const REFUSAL_KINDS = {
  keyMissing: {statusCode: 401, type: 'authentication_error', code: 'key_missing'},
  keyUnknown: {statusCode: 401, type: 'authentication_error', code: 'invalid_api_key'},
  configNotFresh: {statusCode: 503, type: 'server_error', code: 'config_not_fresh'},
  routeNotFound: {statusCode: 404, type: 'invalid_request_error', code: 'route_not_found'},
  modelNotFound: {statusCode: 404, type: 'invalid_request_error', code: 'model_not_found'},
  modelNotAllowed: {statusCode: 403, type: 'permission_error', code: 'not_allowed'},
  requestMalformed: {statusCode: 400, type: 'invalid_request_error', code: 'malformed_request'},
  requestTooLarge: {statusCode: 413, type: 'invalid_request_error', code: 'request_too_large'},
  rateExceeded: {statusCode: 429, type: 'rate_limit_error', code: 'rate_limit_exceeded'},
  noCapacity: {statusCode: 503, type: 'server_error', code: 'no_capacity'},
  deadlineExceeded: {statusCode: 504, type: 'server_error', code: 'deadline_exceeded'},
  tooManyRequestsInFlight: {statusCode: 503, type: 'server_error', code: 'too_many_in_flight'},
  idempotencyInProgress: {statusCode: 409, type: 'conflict_error', code: 'in_progress'},
  idempotencyMismatch: {statusCode: 422, type: 'conflict_error', code: 'idempotency_mismatch'},
  idempotencyUnavailable: {
    statusCode: 503,
    type: 'server_error',
    code: 'idempotency_unavailable',
  },
  targetFailed: {statusCode: 502, type: 'server_error', code: 'target_failed'},
  outcomeUnknown: {statusCode: 502, type: 'server_error', code: 'outcome_unknown'},
  shuttingDown: {statusCode: 503, type: 'server_error', code: 'shutting_down'},
} as const satisfies Partial<Record<ErrorName, RefusalKind>>;

export type RefusalName = keyof typeof REFUSAL_KINDS;

/** Error response of the host, with whether a target may have run the request. */
export class Refusal extends RadishError {
  readonly kind: RefusalKind;

  constructor(
    readonly refusalName: RefusalName,
    message: string,
    readonly execution: Execution = 'not_run',
    /** Time after which a retry may succeed, in milliseconds. */
    readonly retryAfterMs?: number,
  ) {
    super(refusalName, message);
    this.kind = REFUSAL_KINDS[refusalName];
  }
}
