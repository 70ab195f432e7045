/** One row of a result table: values by column name. */
export type BenchRow = Readonly<Record<string, string | number>>;

/** Result of a benchmark, printed as a table and written as JSON. */
export interface BenchResult {
  /** Settings that are needed to reproduce the run. */
  readonly settings: Readonly<Record<string, unknown>>;
  readonly rows: readonly BenchRow[];
  /** One or two sentences computed from the rows that say which targets were met or missed. */
  readonly conclusion: string;
}

/** Options from the command line. */
export interface BenchOptions {
  readonly seeds: readonly number[];
}

/** A benchmark. The same seeds give the same rows unless it measures wall-clock or CPU time. */
export interface Bench {
  readonly description: string;
  run(options: BenchOptions): BenchResult | Promise<BenchResult>;
}
