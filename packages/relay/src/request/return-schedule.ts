/** Times between the returns of two clients when the rate of the service isn't known. */
const DEFAULT_SPACING_MS = 50;
const MIN_SPACING_MS = 5;
const MAX_SPACING_MS = 100;

/** Span over which returns are spread; clients wait for a third of the time that they have left. */
const MAX_SPAN_MS = 1000;

/** Time over which finished requests are counted. */
const RATE_WINDOW_MS = 2000;

/** Times at which clients that were refused are told to return to a service. */
export interface ReturnSchedule {
  lastReturnMs: number;
  /** Times at which requests finished, oldest first. */
  readonly finishedMs: number[];
}

export function createReturnSchedule(): ReturnSchedule {
  return {lastReturnMs: -Infinity, finishedMs: []};
}

/** Records that the service has finished a request of this host. */
export function recordFinished(state: ReturnSchedule, nowMs: number): void {
  state.finishedMs.push(nowMs);
  let expired = 0;
  while (nowMs - state.finishedMs[expired] > RATE_WINDOW_MS) expired++;
  if (expired > 0) state.finishedMs.splice(0, expired);
}

/**
 * Returns the delay after which the next refused client comes back. Clients return one after
 * another, those that were refused first before the others, at the rate at which the service finishes
 * requests of this host. The load it answers: a burst that is refused in the same moment.
 */
export function scheduleReturn(state: ReturnSchedule, earliestMs: number, nowMs: number): number {
  const finished = state.finishedMs.filter(atMs => nowMs - atMs <= RATE_WINDOW_MS).length;
  const spacingMs =
    finished === 0
      ? DEFAULT_SPACING_MS
      : Math.min(MAX_SPACING_MS, Math.max(MIN_SPACING_MS, RATE_WINDOW_MS / finished));
  const nextMs = Math.max(earliestMs, state.lastReturnMs + spacingMs);
  // Beyond the span, returns start over between the earlier ones.
  state.lastReturnMs = nextMs <= earliestMs + MAX_SPAN_MS ? nextMs : earliestMs + spacingMs / 2;
  return state.lastReturnMs - nowMs;
}
