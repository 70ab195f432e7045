/** Limit on the attempts after the first of each request, over all hosts. */
export interface AttemptBudgetSettings {
  /** Extra attempts allowed per request within a window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Extra attempts allowed within a window regardless of the number of requests. */
  readonly slack: number;
}

/**
 * Share of the budget that is used. The rest is reserved because a restarted host doesn't know how
 * much it has used within the current window.
 */
const USABLE_SHARE = 0.7;

/** Share of the budget for attempts that save time; the rest is for requests that would fail. */
const OPTIONAL_SHARE = 0.35;

/** Times of the requests and extra attempts of one service on this host within the window. */
export interface AttemptBudget {
  readonly requestsMs: number[];
  readonly extraAttemptsMs: number[];
  /** Number of requests that wait until there is an extra attempt for them. */
  waiting: number;
}

export function createAttemptBudget(): AttemptBudget {
  return {requestsMs: [], extraAttemptsMs: [], waiting: 0};
}

function dropBefore(timesMs: number[], limitMs: number): void {
  let count = 0;
  while (count < timesMs.length && timesMs[count] <= limitMs) count++;
  if (count > 0) timesMs.splice(0, count);
}

/** Records the first attempt of a request. */
export function recordRequest(
  state: AttemptBudget,
  {windowMs}: AttemptBudgetSettings,
  nowMs: number,
): void {
  dropBefore(state.requestsMs, nowMs - windowMs);
  state.requestsMs.push(nowMs);
}

/**
 * Takes one extra attempt from this host's share of the budget; false if none is left. `hostCount`
 * includes hosts that are cut off and go on with their own shares.
 */
export function takeExtraAttempt(
  state: AttemptBudget,
  settings: AttemptBudgetSettings,
  hostCount: number,
  nowMs: number,
  usableShare = USABLE_SHARE,
): boolean {
  dropBefore(state.requestsMs, nowMs - settings.windowMs);
  dropBefore(state.extraAttemptsMs, nowMs - settings.windowMs);
  const allowed =
    settings.ratio * state.requestsMs.length + settings.slack / Math.max(1, hostCount);
  if (state.extraAttemptsMs.length + 1 > usableShare * allowed) return false;
  state.extraAttemptsMs.push(nowMs);
  return true;
}

/**
 * Takes one extra attempt for a request that would go on without it; false if the budget must be
 * kept for those that wouldn't.
 */
export function takeOptionalAttempt(
  state: AttemptBudget,
  settings: AttemptBudgetSettings,
  hostCount: number,
  nowMs: number,
): boolean {
  return takeExtraAttempt(state, settings, hostCount, nowMs, OPTIONAL_SHARE);
}

/** Gives back an extra attempt that was taken at `takenAtMs` and wasn't made. */
export function returnExtraAttempt({extraAttemptsMs}: AttemptBudget, takenAtMs: number): void {
  const index = extraAttemptsMs.lastIndexOf(takenAtMs);
  if (index >= 0) extraAttemptsMs.splice(index, 1);
}

/** Dates an extra attempt that was taken at `takenAtMs` by the time at which it is made. */
export function moveExtraAttempt(state: AttemptBudget, takenAtMs: number, nowMs: number): void {
  returnExtraAttempt(state, takenAtMs);
  state.extraAttemptsMs.push(nowMs);
}
