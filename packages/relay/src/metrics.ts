import {build, Histogram} from 'hdr-histogram-js';

/** Maximum of the histograms, which record higher latencies as this; no request lasts longer. */
const MAX_LATENCY_MS = 60_000;
const QUANTILES = [0.5, 0.95, 0.99];

/** Counters and latency histograms of a host. */
export class RelayMetrics {
  private readonly counters = new Map<string, number>();
  private readonly histograms = new Map<string, Histogram>();

  /** Adds to a counter; `labels` is the text between the braces. */
  count(name: string, labels = '', amount = 1): void {
    const key = labels ? `${name}{${labels}}` : name;
    this.counters.set(key, (this.counters.get(key) ?? 0) + amount);
  }

  /** Records a latency in milliseconds. */
  observeMs(name: string, labels: string, valueMs: number): void {
    const key = `${name}|${labels}`;
    let histogram = this.histograms.get(key);
    if (!histogram) {
      histogram = build({
        bitBucketSize: 32,
        autoResize: false,
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAX_LATENCY_MS,
        numberOfSignificantValueDigits: 2,
      });
      this.histograms.set(key, histogram);
    }
    histogram.recordValue(Math.min(MAX_LATENCY_MS, Math.max(0, Math.round(valueMs))));
  }

  /** Formats all metrics in the text format of Prometheus. */
  format(): string {
    const lines: string[] = [];
    for (const [key, value] of this.counters) lines.push(`radishgw_${key} ${value}`);
    for (const [key, histogram] of this.histograms) {
      const [name, labels] = key.split('|');
      for (const quantile of QUANTILES) {
        const value = histogram.getValueAtPercentile(quantile * 100);
        lines.push(`radishgw_${name}{${labels},quantile="${quantile}"} ${value}`);
      }
      lines.push(`radishgw_${name}_count{${labels}} ${histogram.totalCount}`);
    }
    return lines.join('\n') + '\n';
  }
}
