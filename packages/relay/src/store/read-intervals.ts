/** Intervals at which the configuration and the targets are read. */
export interface ReadIntervals {
  /** Interval of direct reads of the store. */
  readonly directMs: number;
  /** Interval of fetches from the host that reads for this host. */
  readonly sharedMs: number;
}

/** Bound within which changes must be obeyed in the smallest deployments. */
const MIN_CHANGE_BOUND_MS = 2000;

/** Interval of direct reads as a share of the bound; a change reaches a follower within 0.6. */
const DIRECT_READ_SHARE = 0.3;
const MAX_DIRECT_INTERVAL_MS = 1200;

/** Intervals with which changes are obeyed within a bound, also after one slow or failed call. */
export function readIntervals(changeBoundMs = MIN_CHANGE_BOUND_MS): ReadIntervals {
  const boundMs = Math.max(MIN_CHANGE_BOUND_MS, changeBoundMs);
  const directMs = Math.min(MAX_DIRECT_INTERVAL_MS, boundMs * DIRECT_READ_SHARE);
  return {directMs, sharedMs: directMs / 2};
}
