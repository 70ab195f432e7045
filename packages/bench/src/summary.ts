/** Mean of the values; 0 without values. */
export function findMean(values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Value below which the share `quantile` of `values` lies; 0 without values. */
export function findPercentile(values: readonly number[], quantile: number): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))];
}

/** Rounds a number to the given digits after the decimal point. */
export function roundTo(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}

/** Mean and range over the seeds, such as `0.91 (0.88-0.93)`. */
export function formatSpread(values: readonly number[], digits: number): string {
  const show = (value: number) => value.toFixed(digits);
  const [low, high] = [Math.min(...values), Math.max(...values)];
  return `${show(findMean(values))} (${show(low)}-${show(high)})`;
}
