import {Clock} from '@radishgw/core';

/** A point in time on the monotonic and the wall clock of this host. */
export interface Instant {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** Reads both clocks. */
export function readInstant(clock: Clock): Instant {
  return {monotonicMs: clock.nowMs(), wallMs: clock.now().getTime()};
}

/**
 * Upper bound of the time elapsed since an instant. The monotonic clock stops while a host is
 * suspended and the wall clock may be set back, so that the larger difference counts. Leases and
 * confirmations must expire by this bound.
 */
export function maxElapsedMs(since: Instant, now: Instant): number {
  return Math.max(now.monotonicMs - since.monotonicMs, now.wallMs - since.wallMs);
}
