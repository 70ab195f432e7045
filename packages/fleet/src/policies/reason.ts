/** Why a decision came out as it did, for the operators' `explain` command. */
export interface DecisionReason {
  /** Name of the rule that decided, such as `hold.deadband`; stable, for filters and counts. */
  readonly rule: string;
  /** One sentence for people. */
  readonly text: string;
  /** Figures that the rule compared, by name with unit suffix. */
  readonly figures: Readonly<Record<string, number>>;
}

/** Builds a reason; figures are rounded to three decimals so that they stay readable. */
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
