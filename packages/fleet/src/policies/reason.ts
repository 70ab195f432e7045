/** Explanation of a decision, shown by the operators' `explain` command. */
export interface DecisionReason {
  /** Stable name of the deciding rule, such as `hold.deadband`, for filters and counters. */
  readonly rule: string;
  /** Human-readable explanation in one sentence. */
  readonly text: string;
  /** Figures that the rule compared, by name with a unit suffix. */
  readonly figures: Readonly<Record<string, number>>;
}

/** Creates a reason, with figures rounded to three decimals for readability. */
export function createReason(
  rule: string,
  text: string,
  figures: Record<string, number> = {},
): DecisionReason {
  const rounded = Object.entries(figures).map(([name, value]) => [name, roundFigure(value)]);
  return {rule, text, figures: Object.fromEntries(rounded)};
}

function roundFigure(value: number): number {
  return Math.round(value * 1000) / 1000;
}
