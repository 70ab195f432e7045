/** One row of a measurement: column name to figure. */
export type BenchRow = Readonly<Record<string, string | number>>;

/** What a measurement gives: rows for people and for the JSON file. */
export interface BenchResult {
  /** Settings that are needed to repeat the run. */
  readonly settings: Readonly<Record<string, unknown>>;
  readonly rows: readonly BenchRow[];
  /** One or two sentences, computed from the figures: which targets were met and which weren't. */
  readonly conclusion: string;
}

/** Options given on the command line. */
export interface BenchOptions {
  readonly seeds: readonly number[];
}

/** A measurement; the same seeds give the same rows unless it measures wall-clock time. */
export interface Bench {
  readonly description: string;
  run(options: BenchOptions): BenchResult | Promise<BenchResult>;
}
