/** Level and trend of a figure, smoothed over time (Holt's linear method with uneven steps). */
export interface TrendEstimate {
  readonly level: number;
  /** Change of the level per millisecond. */
  readonly perMs: number;
}

/** Weight of a new sample after `elapsedMs` in an exponential average with time constant `tauMs`. */
export function sampleWeight(elapsedMs: number, tauMs: number): number {
  return 1 - Math.exp(-Math.max(0, elapsedMs) / tauMs);
}

/** Exponential average after one more sample. */
export function smooth(previous: number, sample: number, elapsedMs: number, tauMs: number): number {
  return previous + sampleWeight(elapsedMs, tauMs) * (sample - previous);
}

/** Adds a sample to a level and trend; a step of no length leaves the estimate as it is. */
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

/** Value at or below which the share `quantile` of `values` lies; `fallback` when there are none. */
export function findQuantile(
  values: readonly number[],
  quantile: number,
  fallback: number,
): number {
  if (values.length === 0) return fallback;
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))];
}

/** `value` limited to the range from `low` to `high`. */
export function clamp(value: number, low: number, high: number): number {
  return Math.min(high, Math.max(low, value));
}
