import {Instant} from '../instant.js';

/** A wall clock that moves by less against the monotonic one is followed; clocks are slewed. */
const MAX_SLEW_MS = 200;

/** Usual age of a record when it is read: it is written each second and handed on. */
const USUAL_RECORD_AGE_MS = 1000;

/** A record can't be from the future by more than this: clocks differ a little. */
const MAX_FUTURE_MS = 200;

/** Difference from the other hosts that no slow store explains. */
const FAR_OFF_MS = 60_000;

/** Reads in a row that must show it: the first one after an outage has old records. */
const FAR_OFF_READS = 3;

/**
 * This host's estimate of the time of day. The wall clock may be stepped on single hosts, and the
 * monotonic clock doesn't count suspensions; the records of the other hosts tell which of them is
 * right after a jump.
 */
export interface FleetTime {
  /** Difference between the time of day and the monotonic clock. */
  offsetMs: number;
  /** Number of the latest reads in a row in which all clocks of this host were far off. */
  farOffReads: number;
}

export function createFleetTime(now: Instant): FleetTime {
  return {offsetMs: now.wallMs - now.monotonicMs, farOffReads: 0};
}

/** Returns the estimated time of day; a jump of the wall clock doesn't count until it is judged. */
export function fleetNowMs(time: FleetTime, now: Instant): number {
  const wallOffsetMs = now.wallMs - now.monotonicMs;
  if (Math.abs(wallOffsetMs - time.offsetMs) <= MAX_SLEW_MS) time.offsetMs = wallOffsetMs;
  return now.monotonicMs + time.offsetMs;
}

/**
 * Judges a jump of the wall clock by the times at which other hosts made records that have just
 * changed; returns the correction in milliseconds. Records may be old, as after an outage of the
 * store, but not from the future: of the times for which they aren't, the earlier one is right.
 * Without such records the wall clock is followed: a host on its own can't tell a step from a
 * suspension.
 */
export function judgeFleetTime(
  time: FleetTime,
  now: Instant,
  recordsMadeMs: readonly number[],
): number {
  const believedMs = fleetNowMs(time, now);
  const before = time.offsetMs;
  if (recordsMadeMs.length === 0) {
    time.offsetMs = now.wallMs - now.monotonicMs;
    return time.offsetMs - before;
  }
  const madeMs = median(recordsMadeMs);
  const isPlausible = (nowMs: number) => nowMs - madeMs >= -MAX_FUTURE_MS;
  const candidates = [believedMs, now.wallMs].filter(isPlausible);
  const bestMs = candidates.length > 0 ? Math.min(...candidates) : Math.max(believedMs, now.wallMs);
  const isFarOff = Math.abs(bestMs - madeMs) > FAR_OFF_MS;
  time.farOffReads = isFarOff ? time.farOffReads + 1 : 0;
  if (time.farOffReads >= FAR_OFF_READS) {
    time.offsetMs = madeMs + USUAL_RECORD_AGE_MS - now.monotonicMs;
    time.farOffReads = 0;
  } else if (bestMs !== believedMs) {
    time.offsetMs = bestMs - now.monotonicMs;
  }
  return time.offsetMs - before;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)];
}
