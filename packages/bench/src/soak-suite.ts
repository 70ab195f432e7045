/** Outcome of one randomised run. */
export interface SoakOutcome {
  /** Counts such as admitted requests or takeovers; the summary adds them up over all runs. */
  readonly counts: Readonly<Record<string, number>>;
  /** Description of the failure; undefined if all invariants held. */
  readonly failure?: string;
  /** Most recent events of the run, oldest first. */
  readonly trace: readonly string[];
}

/** A suite of randomised runs of the production code on a virtual clock. */
export interface SoakSuite {
  readonly description: string;
  run(seed: number): SoakOutcome | Promise<SoakOutcome>;
}
