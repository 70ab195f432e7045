/** Bound on the attempts beyond the first of each request, over all hosts together. */
export interface ExtraAttemptSettings {
  /** Extra attempts allowed for each request in a window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Extra attempts allowed in a window whatever the number of requests. */
  readonly slack: number;
}

/** Part of the bound that is used: a restarted host doesn't know what it used in the same window. */
const USED_SHARE = 0.7;

/** Requests and extra attempts of one service on this host within the window. */
export interface ExtraAttempts {
  readonly requestsMs: number[];
  readonly extrasMs: number[];
}

export function createExtraAttempts(): ExtraAttempts {
  return {requestsMs: [], extrasMs: []};
}

function dropBefore(timesMs: number[], limitMs: number): void {
  let count = 0;
  while (count < timesMs.length && timesMs[count] <= limitMs) count++;
  if (count > 0) timesMs.splice(0, count);
}

/** Notes the first attempt of a request. */
export function recordRequest(state: ExtraAttempts, nowMs: number): void {
  state.requestsMs.push(nowMs);
}

/** Takes one extra attempt from this host's part of the bound; false if none is left. */
export function takeExtraAttempt(
  state: ExtraAttempts,
  settings: ExtraAttemptSettings,
  hosts: number,
  nowMs: number,
): boolean {
  dropBefore(state.requestsMs, nowMs - settings.windowMs);
  dropBefore(state.extrasMs, nowMs - settings.windowMs);
  const allowed = settings.ratio * state.requestsMs.length + settings.slack / Math.max(1, hosts);
  if (state.extrasMs.length + 1 > USED_SHARE * allowed) return false;
  state.extrasMs.push(nowMs);
  return true;
}
