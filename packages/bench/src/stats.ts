/** Value below which the share `quantile` of the samples lies; 0 without samples. */
export function findQuantile(samples: readonly number[], quantile: number): number {
  if (samples.length === 0) return 0;
  const sorted = [...samples].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))];
}

export function findMean(samples: readonly number[]): number {
  return samples.length === 0 ? 0 : samples.reduce((sum, value) => sum + value, 0) / samples.length;
}

/** Mean and range over the seeds, such as `0.97 (0.95 to 0.99)`. */
export function formatSpread(samples: readonly number[], digits: number): string {
  const [mean, low, high] = [findMean(samples), Math.min(...samples), Math.max(...samples)].map(
    value => value.toFixed(digits),
  );
  return `${mean} (${low} to ${high})`;
}
