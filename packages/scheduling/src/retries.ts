import {RandomSource} from '@radishgw/core';

/** Settings of a retry budget. */
export interface RetrySettings {
  /** Retries and hedges that each request adds to the budget. */
  readonly ratio: number;
  /** Cap on the balance, which bounds a burst of retries after a period without failures. */
  readonly maxBalance: number;
  /** Balance that hedges must not use, since failed requests need the budget more. */
  readonly reservedForRetries: number;
  /** Maximum number of attempts per request, including hedges. */
  readonly maxAttempts: number;
  /** Upper bound of the random delay before the second attempt; doubles with each further one. */
  readonly baseDelayMs: number;
}

export const DEFAULT_RETRY_SETTINGS: RetrySettings = {
  ratio: 0.1,
  maxBalance: 10,
  reservedForRetries: 5,
  maxAttempts: 3,
  baseDelayMs: 20,
};

/** Retry budget of one pool on one host. It starts empty, so that the ratio holds at all times. */
export interface RetryBudget {
  readonly settings: RetrySettings;
  /** Retries currently available; fractions accumulate. */
  balance: number;
}

/** The properties of a request that decide whether it may be retried. */
export interface RetryRequest {
  /** Only idempotent requests are retried or hedged. */
  readonly isIdempotent: boolean;
  /** Attempts so far, including hedges. */
  readonly attempts: number;
  readonly deadlineMs: number;
  /** Whether the caller has received a partial response that can't be resumed. */
  readonly hasPartialResponse: boolean;
}

/** Why a request isn't retried or hedged; returned by the operators' `/explain` endpoint. */
export type RetryRefusal =
  'mayNotRunTwice' | 'attemptLimit' | 'deadline' | 'partialResponse' | 'budgetEmpty';

/** Outcome of {@link decideRetry}. */
export type RetryDecision =
  | {readonly type: 'retry'; readonly delayMs: number; readonly budgetLeft: number}
  | {readonly type: 'giveUp'; readonly reason: RetryRefusal};

export function createRetryBudget(settings: Partial<RetrySettings> = {}): RetryBudget {
  return {settings: {...DEFAULT_RETRY_SETTINGS, ...settings}, balance: 0};
}

/** Adds a request's share to the budget. Must be called once per request, at its first attempt. */
export function recordFirstAttempt(budget: RetryBudget): void {
  budget.balance = Math.min(budget.settings.maxBalance, budget.balance + budget.settings.ratio);
}

/** Decides whether to retry after a failure. A retry is deducted from the budget. */
export function decideRetry(
  budget: RetryBudget,
  request: RetryRequest,
  nowMs: number,
  random: RandomSource,
): RetryDecision {
  const refusal = findRefusal(budget, request, 0);
  if (refusal) return {type: 'giveUp', reason: refusal};
  const boundMs = budget.settings.baseDelayMs * 2 ** (request.attempts - 1);
  const delayMs = random.next() * boundMs;
  if (nowMs + delayMs >= request.deadlineMs) return {type: 'giveUp', reason: 'deadline'};
  budget.balance -= 1;
  return {type: 'retry', delayMs, budgetLeft: budget.balance};
}

/** Outcome of {@link decideHedge}. */
export type HedgeDecision =
  | {readonly type: 'hedge'; readonly budgetLeft: number}
  | {readonly type: 'wait'; readonly reason: RetryRefusal | 'responseBegan' | 'tooEarly'};

/**
 * Decides whether to hedge an attempt that hasn't responded within `hedgeAfterMs`. A hedge is
 * deducted from the budget. The slower attempt must be cancelled when the first token arrives.
 */
export function decideHedge(
  budget: RetryBudget,
  request: RetryRequest & {readonly sentAtMs: number; readonly hasBegun: boolean},
  hedgeAfterMs: number,
  nowMs: number,
): HedgeDecision {
  if (request.hasBegun) return {type: 'wait', reason: 'responseBegan'};
  if (nowMs - request.sentAtMs < hedgeAfterMs) return {type: 'wait', reason: 'tooEarly'};
  if (nowMs >= request.deadlineMs) return {type: 'wait', reason: 'deadline'};
  const refusal = findRefusal(budget, request, budget.settings.reservedForRetries);
  if (refusal) return {type: 'wait', reason: refusal};
  budget.balance -= 1;
  return {type: 'hedge', budgetLeft: budget.balance};
}

/** Tolerance for rounding errors in repeated additions of the ratio. */
const EPSILON = 1e-9;

function findRefusal(
  budget: RetryBudget,
  request: RetryRequest,
  reserved: number,
): RetryRefusal | undefined {
  if (!request.isIdempotent) return 'mayNotRunTwice';
  if (request.hasPartialResponse) return 'partialResponse';
  if (request.attempts >= budget.settings.maxAttempts) return 'attemptLimit';
  return budget.balance + EPSILON < 1 + reserved ? 'budgetEmpty' : undefined;
}

/** Sliding window of first-token latencies, from which the hedging delay is derived. */
export interface LatencyWindow {
  readonly samplesMs: number[];
  next: number;
  /** Hedging delay: the latency quantile as of the last recomputation. */
  hedgeAfterMs: number;
}

const WINDOW_SAMPLES = 256;
const RECOMPUTE_EVERY = 32;
const HEDGE_QUANTILE = 0.95;

/** Creates a window. `initialMs` is the hedging delay until the first recomputation. */
export function createLatencyWindow(initialMs: number): LatencyWindow {
  return {samplesMs: [], next: 0, hedgeAfterMs: initialMs};
}

/**
 * Adds a first-token latency. Every 32 samples, `hedgeAfterMs` is set to the 95th percentile of the
 * last 256.
 */
export function recordLatency(window: LatencyWindow, firstTokenMs: number): void {
  window.samplesMs[window.next % WINDOW_SAMPLES] = firstTokenMs;
  window.next++;
  if (window.next % RECOMPUTE_EVERY !== 0) return;
  const sorted = [...window.samplesMs].sort((a, b) => a - b);
  window.hedgeAfterMs = sorted[Math.floor(sorted.length * HEDGE_QUANTILE)];
}
