import {
  moveExtraAttempt,
  returnExtraAttempt,
  takeExtraAttempt,
  takeOptionalAttempt,
} from './attempt-budget.js';
import {ServiceName} from '../model.js';
import {RefusalName} from './refusals.js';
import {AdmittedRequest, RelayDependencies} from './request-context.js';

/** How serving a request ended. */
export type ServeOutcome =
  /** A complete answer of a target is ready to be sent to the client. */
  | {
      readonly type: 'answered';
      readonly status: number;
      readonly headers: readonly string[];
      readonly body: Buffer;
    }
  /** A stream was sent completely. */
  | {readonly type: 'streamed'}
  /** A stream failed after it had started and can't be resumed. */
  | {readonly type: 'brokenOff'}
  | {
      readonly type: 'refused';
      readonly refusal: RefusalName;
      readonly retryAfterMs?: number;
    };

/** Maximum number of attempts of one request, including those that targets rejected. */
const MAX_TOTAL_ATTEMPTS = 4;

/** What a further attempt depends on besides the request. */
export interface RetryConditions {
  readonly mayRepeat: boolean;
  /** Whether the last attempt was never sent, so that the next one isn't an extra attempt. */
  readonly isUnsent?: boolean;
  /** Whether a target that may have run the request can be asked again. */
  readonly mayReturn?: boolean;
  /** Whether the request may have more than the maximum number of attempts. */
  readonly hasNoAttemptLimit?: boolean;
}

/** Why a request gets no further attempt. */
export type RetryRefusal =
  'finished' | 'deadline' | 'mayNotRepeat' | 'targetLimit' | 'attemptLimit' | 'attemptBudget';

/** Whether another attempt may be made; takes it from the attempt budget if it is an extra one. */
export function mayRetry(
  deps: RelayDependencies,
  request: AdmittedRequest,
  conditions: RetryConditions,
): boolean {
  request.progress.retryRefusal = findRetryRefusal(deps, request, conditions);
  return request.progress.retryRefusal === undefined;
}

function findRetryRefusal(
  deps: RelayDependencies,
  request: AdmittedRequest,
  {mayRepeat, isUnsent, mayReturn, hasNoAttemptLimit}: RetryConditions,
): RetryRefusal | undefined {
  const {progress, route, service, exchange} = request;
  if (exchange.isFinished) return 'finished';
  if (deps.clock.nowMs() >= request.deadlineAtMs) return 'deadline';
  if (progress.mayHaveRun && !mayRepeat) return 'mayNotRepeat';
  if (progress.mayHaveRun && progress.targetCount >= route.maxAttempts && !mayReturn) {
    return 'targetLimit';
  }
  if (progress.attemptCount >= MAX_TOTAL_ATTEMPTS && !hasNoAttemptLimit) return 'attemptLimit';
  if (!isUnsent && !takeFromAttemptBudget(deps, service)) return 'attemptBudget';
  return undefined;
}

/** Takes one extra attempt from the budget of a service; false if none is left. */
export function takeFromAttemptBudget(
  deps: RelayDependencies,
  service: ServiceName,
  nowMs = deps.clock.nowMs(),
): boolean {
  const budget = deps.attemptBudgets.get(service)!;
  return takeExtraAttempt(budget, deps.attemptBudgetSettings, deps.countLimitHosts(), nowMs);
}

/** Takes one extra attempt for a request that goes on without it as well. */
export function takeOptionalFromBudget(deps: RelayDependencies, service: ServiceName): boolean {
  const budget = deps.attemptBudgets.get(service)!;
  const hostCount = deps.countLimitHosts();
  return takeOptionalAttempt(budget, deps.attemptBudgetSettings, hostCount, deps.clock.nowMs());
}

/** An extra attempt of a service that has been taken from the budget before it is made. */
export interface ReservedAttempt {
  readonly takenAtMs: number;
}

/** Reserves an extra attempt; undefined if none is left. */
export function reserveAttempt(
  deps: RelayDependencies,
  service: ServiceName,
): ReservedAttempt | undefined {
  const takenAtMs = deps.clock.nowMs();
  return takeFromAttemptBudget(deps, service, takenAtMs) ? {takenAtMs} : undefined;
}

/** Counts a reserved attempt as made now. */
export function useReserved(
  deps: RelayDependencies,
  service: ServiceName,
  {takenAtMs}: ReservedAttempt,
): void {
  moveExtraAttempt(deps.attemptBudgets.get(service)!, takenAtMs, deps.clock.nowMs());
}

/** Gives a reserved attempt back. */
export function releaseReserved(
  deps: RelayDependencies,
  service: ServiceName,
  {takenAtMs}: ReservedAttempt,
): void {
  returnExtraAttempt(deps.attemptBudgets.get(service)!, takenAtMs);
}
