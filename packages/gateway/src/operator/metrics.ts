import * as hdr from 'hdr-histogram-js';

/** Labels of a histogram series. Each request belongs to one team, work class and resource. */
export interface SeriesLabels {
  readonly team: string;
  readonly class: string;
  readonly resource: string;
}

const QUANTILES = [0.5, 0.95, 0.99];
const HIGHEST_VALUE_MS = 3_600_000;

interface Series {
  readonly labels: SeriesLabels;
  readonly histogram: hdr.Histogram;
  sum: number;
}

/** Counters, and latency histograms in milliseconds by team, work class and resource. */
export class Metrics {
  private readonly histograms = new Map<string, Map<string, Series>>();
  private readonly counters = new Map<string, Map<string, number>>();

  /** Adds a duration to a histogram. */
  recordMs(name: string, labels: SeriesLabels, valueMs: number): void {
    const family = getOrCreate(this.histograms, name, () => new Map<string, Series>());
    const series = getOrCreate(family, formatLabels({...labels}), () => ({
      labels,
      sum: 0,
      histogram: hdr.build({
        bitBucketSize: 32,
        autoResize: true,
        lowestDiscernibleValue: 1,
        highestTrackableValue: HIGHEST_VALUE_MS,
        numberOfSignificantValueDigits: 2,
      }),
    }));
    series.histogram.recordValue(Math.max(0, Math.round(valueMs)));
    series.sum += valueMs;
  }

  /** Increments a counter. */
  count(name: string, labels: Readonly<Record<string, string>>, amount = 1): void {
    const family = getOrCreate(this.counters, name, () => new Map<string, number>());
    const key = formatLabels(labels);
    family.set(key, (family.get(key) ?? 0) + amount);
  }

  /** Returns all series in the Prometheus text format. */
  format(): string {
    const lines: string[] = [];
    for (const [name, family] of this.counters) {
      lines.push(`# TYPE ${name} counter`);
      for (const [labels, value] of family) lines.push(`${name}{${labels}} ${value}`);
    }
    for (const [name, family] of this.histograms) {
      lines.push(`# TYPE ${name} summary`);
      for (const [labels, series] of family) lines.push(...formatSeries(name, labels, series));
    }
    return lines.join('\n') + '\n';
  }
}

function formatSeries(name: string, labels: string, series: Series): string[] {
  const quantiles = QUANTILES.map(
    quantile =>
      `${name}{${labels},quantile="${quantile}"} ` +
      series.histogram.getValueAtPercentile(quantile * 100),
  );
  return [
    ...quantiles,
    `${name}_sum{${labels}} ${series.sum}`,
    `${name}_count{${labels}} ${series.histogram.totalCount}`,
  ];
}

function formatLabels(labels: Readonly<Record<string, string>>): string {
  return Object.entries(labels)
    .map(([name, value]) => `${name}="${value.replace(/[\\"\n]/g, '_')}"`)
    .join(',');
}

function getOrCreate<K, V>(map: Map<K, V>, key: K, create: () => V): V {
  let value = map.get(key);
  if (value === undefined) {
    value = create();
    map.set(key, value);
  }
  return value;
}
