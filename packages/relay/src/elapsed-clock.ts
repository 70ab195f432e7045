import {Clock} from '@radishgw/core';

/** A moment on both clocks of this host. */
export interface Instant {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** Reads both clocks. */
export function readInstant(clock: Clock): Instant {
  return {monotonicMs: clock.nowMs(), wallMs: clock.now().getTime()};
}

/**
 * Longest time that may have passed since an instant. The monotonic clock stops while a host is
 * suspended and the wall clock may step back, so authority counts whichever moved further.
 */
export function maxElapsedMs(since: Instant, now: Instant): number {
  return Math.max(now.monotonicMs - since.monotonicMs, now.wallMs - since.wallMs);
}
