/** Error codes. A code is never reused. Messages state the invalid value and what was expected. */
export const ERROR_CODES = {
  invariantViolated: 1,
  settingInvalid: 100,
  settingMissing: 101,
  authorityLost: 210,
  configNotFresh: 301,
  keyMissing: 310,
  keyUnknown: 311,
  routeNotFound: 400,
  modelNotFound: 401,
  modelNotAllowed: 402,
  requestMalformed: 403,
  requestTooLarge: 404,
  rateExceeded: 410,
  noCapacity: 411,
  deadlineExceeded: 412,
  tooManyRequestsInFlight: 413,
  idempotencyInProgress: 420,
  idempotencyMismatch: 421,
  idempotencyUnavailable: 422,
  targetFailed: 430,
  outcomeUnknown: 431,
  shuttingDown: 440,
} as const;

export type ErrorName = keyof typeof ERROR_CODES;

/** Base class of the errors that carry a code from {@link ERROR_CODES}. */
export class RadishError extends Error {
  readonly code: number;

  constructor(
    readonly errorName: ErrorName,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
    this.name = 'RadishError';
    this.code = ERROR_CODES[errorName];
  }
}
