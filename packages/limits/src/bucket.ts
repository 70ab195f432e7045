import {assertInvariant} from '@radishgw/core';

/** Maximum entries per log. The two oldest merge to the lower value, which only lowers refunds. */
const MAX_LOG_ENTRIES = 32;

/**
 * Log for the minimum headroom (burst minus tokens present) since a given stamp. It keeps only the
 * minima that a later query can return, so values increase from the oldest entry to the newest.
 */
export interface HeadroomLog {
  nextStamp: number;
  readonly stamps: number[];
  readonly values: number[];
}

/** Creates an empty log. */
export function createHeadroomLog(): HeadroomLog {
  return {nextStamp: 1, stamps: [], values: []};
}

/** Appends the current headroom in tokens; returns its stamp. */
export function recordHeadroom(log: HeadroomLog, headroom: number): number {
  const {stamps, values} = log;
  while (values.length > 0 && values[values.length - 1] >= headroom) {
    values.pop();
    stamps.pop();
  }
  const stamp = log.nextStamp++;
  stamps.push(stamp);
  values.push(headroom);
  if (stamps.length > MAX_LOG_ENTRIES) {
    stamps.shift();
    values.splice(1, 1);
  }
  return stamp;
}

/** Minimum headroom in tokens at or after `stamp`. */
export function minHeadroomSince(log: HeadroomLog, stamp: number): number {
  const index = log.stamps.findIndex(entry => entry >= stamp);
  return index < 0 ? 0 : Math.max(0, log.values[index]);
}

/**
 * Returns the largest allowed refund, up to `tokens`, for a charge recorded at `stamp`, and changes
 * the log as if the charge had been lower from the start. The caller adds the result to its level.
 */
export function takeRefund(log: HeadroomLog, stamp: number, tokens: number): number {
  const minHeadroom = minHeadroomSince(log, stamp);
  const credit = Math.max(0, Math.min(tokens, minHeadroom));
  for (let i = 0; i < log.values.length; i++) {
    const value = log.values[i];
    log.values[i] = log.stamps[i] >= stamp ? value - credit : Math.min(value, minHeadroom - credit);
  }
  return credit;
}

/** A token bucket in one process. */
export interface TokenBucket {
  tokensPerSecond: number;
  burstTokens: number;
  levelTokens: number;
  updatedMs: number;
  readonly log: HeadroomLog;
}

/** Creates a full bucket. */
export function createBucket(
  tokensPerSecond: number,
  burstTokens: number,
  nowMs: number,
): TokenBucket {
  return {
    tokensPerSecond,
    burstTokens,
    levelTokens: burstTokens,
    updatedMs: nowMs,
    log: createHeadroomLog(),
  };
}

function refill(bucket: TokenBucket, nowMs: number): void {
  const elapsedMs = Math.max(0, nowMs - bucket.updatedMs);
  const level = bucket.levelTokens + (bucket.tokensPerSecond * elapsedMs) / 1000;
  bucket.levelTokens = Math.min(bucket.burstTokens, level);
  bucket.updatedMs = Math.max(bucket.updatedMs, nowMs);
  recordHeadroom(bucket.log, bucket.burstTokens - bucket.levelTokens);
}

/** Charges `tokens` if available; returns the stamp for a refund, or undefined if refused. */
export function takeTokens(bucket: TokenBucket, tokens: number, nowMs: number): number | undefined {
  refill(bucket, nowMs);
  if (tokens > bucket.levelTokens) return undefined;
  bucket.levelTokens -= tokens;
  return recordHeadroom(bucket.log, bucket.burstTokens - bucket.levelTokens);
}

/**
 * Refunds part of a charge, as far as the admitted cost stays within rate × t + burst in every
 * interval. Returns the refunded tokens.
 */
export function refundTokens(
  bucket: TokenBucket,
  stamp: number,
  tokens: number,
  nowMs: number,
): number {
  refill(bucket, nowMs);
  const credit = takeRefund(bucket.log, stamp, tokens);
  bucket.levelTokens += credit;
  assertInvariant(
    bucket.levelTokens <= bucket.burstTokens * (1 + 1e-9),
    'limits.conformance',
    () => `level ${bucket.levelTokens} above burst ${bucket.burstTokens} after a refund`,
  );
  return credit;
}

/** Applies a new rate and burst. A lower burst caps the level at once. */
export function changeLimit(
  bucket: TokenBucket,
  tokensPerSecond: number,
  burstTokens: number,
  nowMs: number,
): void {
  refill(bucket, nowMs);
  bucket.tokensPerSecond = tokensPerSecond;
  bucket.burstTokens = burstTokens;
  bucket.levelTokens = Math.min(bucket.levelTokens, burstTokens);
  recordHeadroom(bucket.log, burstTokens - bucket.levelTokens);
}
