import {Instant} from './instant.js';

/** A wall clock that moves by less against the monotonic one is followed; clocks are slewed. */
const MAX_SLEW_MS = 200;

/** Usual age of a record when it is read: it is written each second and handed on. */
const USUAL_RECORD_AGE_MS = 1000;

/** Ages that differ by less don't tell which of two times is right. */
const MIN_DIFFERENCE_MS = 800;

/** Difference from the other hosts beyond which neither time of this host can be right. */
const MAX_DIFFERENCE_MS = 3000;

/**
 * This host's estimate of the time of day. The wall clock may be stepped on single hosts, and the
 * monotonic clock doesn't count suspensions; the records of the other hosts tell which of them is
 * right after a jump.
 */
export interface FleetTime {
  /** Difference between the time of day and the monotonic clock. */
  offsetMs: number;
}

export function createFleetTime(now: Instant): FleetTime {
  return {offsetMs: now.wallMs - now.monotonicMs};
}

/** Returns the estimated time of day; a jump of the wall clock doesn't count until it is judged. */
export function fleetNowMs(time: FleetTime, now: Instant): number {
  const wallOffsetMs = now.wallMs - now.monotonicMs;
  if (Math.abs(wallOffsetMs - time.offsetMs) <= MAX_SLEW_MS) time.offsetMs = wallOffsetMs;
  return now.monotonicMs + time.offsetMs;
}

/**
 * Judges the estimate by the times at which other hosts made records that have just changed; returns
 * the correction in milliseconds. Without such records the wall clock is followed: a host on its own
 * can't tell a step from a suspension.
 */
export function judgeFleetTime(
  time: FleetTime,
  now: Instant,
  recordsMadeMs: readonly number[],
): number {
  const believedMs = fleetNowMs(time, now);
  const wallOffsetMs = now.wallMs - now.monotonicMs;
  const before = time.offsetMs;
  if (recordsMadeMs.length === 0) {
    time.offsetMs = wallOffsetMs;
    return time.offsetMs - before;
  }
  const madeMs = median(recordsMadeMs);
  const differenceOf = (nowMs: number) => Math.abs(nowMs - madeMs - USUAL_RECORD_AGE_MS);
  const believed = differenceOf(believedMs);
  const wall = differenceOf(now.wallMs);
  if (Math.min(believed, wall) > MAX_DIFFERENCE_MS) {
    time.offsetMs = madeMs + USUAL_RECORD_AGE_MS - now.monotonicMs;
  } else if (wall < believed + MIN_DIFFERENCE_MS && wallOffsetMs !== time.offsetMs) {
    time.offsetMs = wallOffsetMs;
  }
  return time.offsetMs - before;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)];
}
