import {takeExtraAttempt} from './attempt-budget.js';
import {ServiceName} from './model.js';
import {RefusalName} from './refusals.js';
import {AdmittedRequest, RelayDependencies} from './request-context.js';

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
const MAX_TOTAL_ATTEMPTS = 4;

/**
 * Whether another attempt may be made. One that never left this host is free; any other is taken
 * from the bound on extra attempts.
 */
export function mayRetry(
  deps: RelayDependencies,
  request: AdmittedRequest,
  mayRepeat: boolean,
  isUnsent: boolean,
): boolean {
  const {progress, route, service, exchange} = request;
  if (exchange.isFinished || deps.clock.nowMs() >= request.deadlineAtMs) return false;
  if (progress.mayHaveRun && !mayRepeat) return false;
  if (progress.attempts >= route.maxAttempts && progress.mayHaveRun) return false;
  if (progress.steps.length >= MAX_TOTAL_ATTEMPTS) return false;
  return isUnsent || takeFromAttemptBudget(deps, service);
}

/** Takes one call from this host's part of the bound on extra attempts. */
export function takeFromAttemptBudget(deps: RelayDependencies, service: ServiceName): boolean {
  const budget = deps.attemptBudgets.get(service)!;
  const settings = deps.attemptBudgetSettings;
  return takeExtraAttempt(budget, settings, deps.countHosts(), deps.clock.nowMs());
}
