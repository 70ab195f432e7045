import {RandomSource} from '@radishgw/core';

/** Settings of a retry budget. */
export interface RetrySettings {
  /** Retries and hedges allowed for each request. */
  readonly share: number;
  /** Most retries that can be saved up, which bounds a burst after a quiet time. */
  readonly maxSaved: number;
  /** Retries that hedging must leave in the budget: a failed request needs them more. */
  readonly keptForRetries: number;
  /** Most attempts for one request, hedges included. */
  readonly maxAttempts: number;
  /** Upper bound of the random delay before the second attempt; doubled for each further one. */
  readonly baseDelayMs: number;
}

export const DEFAULT_RETRY_SETTINGS: RetrySettings = {
  share: 0.1,
  maxSaved: 20,
  keptForRetries: 5,
  maxAttempts: 3,
  baseDelayMs: 20,
};

/** Budget of one pool on one host. It starts empty, so that the share holds at all times. */
export interface RetryBudget {
  readonly settings: RetrySettings;
  /** Retries that may be made now; fractions add up. */
  saved: number;
}

/** A request as the retry decision sees it. */
export interface RetryRequest {
  /** Only work that may run twice is ever sent again. */
  readonly mayRunTwice: boolean;
  /** Attempts so far, hedges included. */
  readonly attempts: number;
  readonly deadlineMs: number;
  /** Whether the caller has received part of the response that can't be continued. */
  readonly hasPartialResponse: boolean;
}

export type RetryRefusal =
  'mayNotRunTwice' | 'attemptLimit' | 'deadline' | 'partialResponse' | 'budgetEmpty';

/** Outcome of {@link decideRetry}. */
export type RetryDecision =
  | {readonly type: 'retry'; readonly delayMs: number; readonly budgetLeft: number}
  | {readonly type: 'giveUp'; readonly reason: RetryRefusal};

export function createRetryBudget(settings: Partial<RetrySettings> = {}): RetryBudget {
  return {settings: {...DEFAULT_RETRY_SETTINGS, ...settings}, saved: 0};
}

/** Adds a request's share to the budget. Call it once for each request, at its first attempt. */
export function recordFirstAttempt(budget: RetryBudget): void {
  budget.saved = Math.min(budget.settings.maxSaved, budget.saved + budget.settings.share);
}

/** Decides on a further attempt after a failure and takes it from the budget. */
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
  budget.saved -= 1;
  return {type: 'retry', delayMs, budgetLeft: budget.saved};
}

/** Outcome of {@link decideHedge}. */
export type HedgeDecision =
  | {readonly type: 'hedge'; readonly budgetLeft: number}
  | {readonly type: 'wait'; readonly reason: RetryRefusal | 'responseBegan' | 'tooEarly'};

/**
 * Decides on a second attempt beside one that hasn't answered within `hedgeAfterMs`, and takes it
 * from the budget. The loser must be cancelled when the first token arrives.
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
  const refusal = findRefusal(budget, request, budget.settings.keptForRetries);
  if (refusal) return {type: 'wait', reason: refusal};
  budget.saved -= 1;
  return {type: 'hedge', budgetLeft: budget.saved};
}

/** Slack for the rounding of repeated additions of the share. */
const EPSILON = 1e-9;

function findRefusal(
  budget: RetryBudget,
  request: RetryRequest,
  kept: number,
): RetryRefusal | undefined {
  if (!request.mayRunTwice) return 'mayNotRunTwice';
  if (request.hasPartialResponse) return 'partialResponse';
  if (request.attempts >= budget.settings.maxAttempts) return 'attemptLimit';
  return budget.saved + EPSILON < 1 + kept ? 'budgetEmpty' : undefined;
}

/** Recent first-token times, for the moment at which to hedge. */
export interface LatencyWindow {
  readonly samplesMs: number[];
  next: number;
  /** Quantile as of the last recomputation. */
  hedgeAfterMs: number;
}

const WINDOW_SAMPLES = 256;
const RECOMPUTE_EVERY = 32;
const HEDGE_QUANTILE = 0.95;

/** `initialMs` is used until enough samples are there. */
export function createLatencyWindow(initialMs: number): LatencyWindow {
  return {samplesMs: [], next: 0, hedgeAfterMs: initialMs};
}

/** Adds a first-token time and keeps `hedgeAfterMs` at the 95th percentile of the last 256. */
export function recordLatency(window: LatencyWindow, firstTokenMs: number): void {
  window.samplesMs[window.next % WINDOW_SAMPLES] = firstTokenMs;
  window.next++;
  if (window.next % RECOMPUTE_EVERY !== 0) return;
  const sorted = [...window.samplesMs].sort((a, b) => a - b);
  window.hedgeAfterMs = sorted[Math.floor(sorted.length * HEDGE_QUANTILE)];
}
