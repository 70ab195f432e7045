/** Outcome of one randomised run. */
export interface SoakOutcome {
  /** Counts for the summary, such as admitted requests or takeovers; summed over runs. */
  readonly counts: Readonly<Record<string, number>>;
  /** What went wrong; undefined when all invariants held. */
  readonly failure?: string;
  /** Last events before the failure, oldest first. */
  readonly trace: readonly string[];
}

/** A randomised run of the real decision code under a virtual clock. */
export interface SoakSuite {
  readonly description: string;
  run(seed: number): SoakOutcome | Promise<SoakOutcome>;
}
