import {Procedure, sleep} from '@radishgw/core';
import {AdmittedRequest, recordStep, RelayDependencies} from './request-context.js';

/** Interval at which a request looks whether there is an extra attempt. */
const CHECK_MS = 50;

/** Maximum part of the remaining time, and maximum time, that a request waits for an attempt. */
const MAX_WAIT_SHARE = 0.5;
const MAX_WAIT_MS = 1500;

/** Maximum number of requests of one service that wait on a host; the others are refused at once. */
const MAX_WAITING = 4;

/**
 * Waits until `take` has taken an extra attempt from the budget; false if the request ends without
 * it. The load it answers: a full engine refuses several prompts that have been prefilled, and the
 * budget allows the next attempt a moment later. Only where targets report how long work takes.
 */
export function* awaitAttempt(
  deps: RelayDependencies,
  request: AdmittedRequest,
  take: () => boolean,
): Procedure<boolean> {
  const {clock} = deps;
  const {progress, exchange, service, deadlineAtMs} = request;
  if (take()) return true;
  const budget = deps.attemptBudgets.get(service)!;
  if (progress.hasAwaitedAttempt || budget.waiting >= MAX_WAITING) return false;
  if (!deps.work.isPlacedByWork(service)) return false;
  const startMs = clock.nowMs();
  const untilMs = startMs + Math.min(MAX_WAIT_MS, (deadlineAtMs - startMs) * MAX_WAIT_SHARE);
  budget.waiting++;
  try {
    while (progress.retryRefusal === 'attemptBudget' && !exchange.isFinished) {
      const leftMs = untilMs - clock.nowMs();
      if (leftMs <= 0) return false;
      progress.hasAwaitedAttempt = true;
      yield* sleep(Math.min(CHECK_MS, leftMs));
      if (!take()) continue;
      deps.metrics.count('awaited_attempts_total', `route="${request.route.name}"`);
      recordStep(request, `waited ${Math.round(clock.nowMs() - startMs)} ms for an attempt`);
      return true;
    }
    return false;
  } finally {
    budget.waiting--;
  }
}
