/** Time over which the rate of revisions is averaged. */
const AVERAGING_TIME_MS = 5000;

/** Fewer expected revisions don't show whether the store took writes. */
const MIN_EXPECTED_REVISIONS = 10;

/** With less than this share of the expected revisions, the store was unavailable for a while. */
const AVAILABLE_SHARE = 0.75;

/** Rate at which the revision of the store increases, as an exponentially weighted average. */
export interface RevisionRate {
  revisions: number;
  durationMs: number;
}

export function createRevisionRate(): RevisionRate {
  return {revisions: 0, durationMs: 0};
}

/** Adds the increase of the revision between two reads of an available store. */
export function updateRevisionRate(
  rate: RevisionRate,
  revisions: number,
  durationMs: number,
): void {
  const weight = Math.exp(-durationMs / AVERAGING_TIME_MS);
  rate.revisions = rate.revisions * weight + revisions;
  rate.durationMs = rate.durationMs * weight + durationMs;
}

/**
 * Whether the store took about as many writes as usual between two reads. If so, reads that failed
 * in between failed for this host only. False if the usual rate is too low to tell.
 */
export function tookUsualWrites(
  {revisions: usualRevisions, durationMs: usualDurationMs}: RevisionRate,
  revisions: number,
  durationMs: number,
): boolean {
  if (usualDurationMs === 0) return false;
  const expected = (usualRevisions / usualDurationMs) * durationMs;
  return expected >= MIN_EXPECTED_REVISIONS && revisions >= AVAILABLE_SHARE * expected;
}
