import {takeExtraAttempt} from './attempt-budget.js';
import {ServiceName} from './model.js';
import {RefusalName} from './refusals.js';
import {AdmittedRequest, RelayParts} from './request-context.js';

/** How serving a request ended. */
export type ServeOutcome =
  /** A whole answer of a target is ready for the client. */
  | {
      readonly type: 'answered';
      readonly status: number;
      readonly headers: readonly string[];
      readonly body: Buffer;
    }
  /** A stream was sent to its end. */
  | {readonly type: 'streamed'}
  /** A stream ended early and can't be continued. */
  | {readonly type: 'brokenOff'}
  | {
      readonly type: 'refused';
      readonly refusal: RefusalName;
      readonly retryAfterMs?: number;
    };

/** Attempts of one request, those that its targets rejected included. */
const MAX_SENDS = 4;

/**
 * Whether another attempt may be made. One that never left this host is free; any other is taken
 * from the bound on extra attempts.
 */
export function mayTryAgain(
  parts: RelayParts,
  request: AdmittedRequest,
  mayRepeat: boolean,
  isFree: boolean,
): boolean {
  const {progress, route, service, exchange} = request;
  if (exchange.isOver || parts.clock.nowMs() >= request.endMs) return false;
  if (progress.mayHaveRun && !mayRepeat) return false;
  if (progress.attempts >= route.maxAttempts && progress.mayHaveRun) return false;
  if (progress.steps.length >= MAX_SENDS) return false;
  return isFree || takeExtra(parts, service);
}

/** Takes one call from this host's part of the bound on extra attempts. */
export function takeExtra(parts: RelayParts, service: ServiceName): boolean {
  const extras = parts.extraAttempts.get(service)!;
  const settings = parts.extraAttemptSettings;
  return takeExtraAttempt(extras, settings, parts.countHosts(), parts.clock.nowMs());
}
