/** Smoothed level and trend of a figure (Holt's linear method with irregular sampling). */
export interface TrendEstimate {
  readonly level: number;
  /** Change of the level per millisecond. */
  readonly perMs: number;
}

/** Weight of a sample after `elapsedMs` in an exponential average with time constant `tauMs`. */
export function sampleWeight(elapsedMs: number, tauMs: number): number {
  return 1 - Math.exp(-Math.max(0, elapsedMs) / tauMs);
}

/** Updates an exponential moving average with a sample. */
export function smooth(previous: number, sample: number, elapsedMs: number, tauMs: number): number {
  return previous + sampleWeight(elapsedMs, tauMs) * (sample - previous);
}

/** Updates level and trend with a sample; the estimate is unchanged if no time has passed. */
export function updateTrend(
  previous: TrendEstimate,
  sample: number,
  elapsedMs: number,
  levelTauMs: number,
  trendTauMs: number,
): TrendEstimate {
  if (elapsedMs <= 0) return previous;
  const predicted = previous.level + previous.perMs * elapsedMs;
  const level = smooth(predicted, sample, elapsedMs, levelTauMs);
  const slope = (level - previous.level) / elapsedMs;
  return {level, perMs: smooth(previous.perMs, slope, elapsedMs, trendTauMs)};
}

/** Quantile of `values` as a share from 0 to 1, or `fallback` when there are no values. */
export function findQuantile(
  values: readonly number[],
  quantile: number,
  fallback: number,
): number {
  if (values.length === 0) return fallback;
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))];
}

/** Limits `value` to the range from `low` to `high`. */
export function clamp(value: number, low: number, high: number): number {
  return Math.min(high, Math.max(low, value));
}
