/** Settings of the fleet under withdrawals. */
export const CHEAP_FLEET = {
  failureDomains: 3,
  slotsPerTarget: 16,
  durationMs: 4_800_000,
  /** Mean service time of a request, which occupies one slot. */
  serviceMs: 6000,
  /** Mean work in targets. */
  work: 9,
  classShares: {urgent: 0.3, standard: 0.5, batch: 0.2},
  /** Share of requests that must not run again, in every class. */
  nonRepeatableShare: 0.15,
  reportLagMs: 5000,
  decisionIntervalMs: 5000,
  /** Mean time between withdrawals of single cheap targets. */
  singleWithdrawalMs: 600_000,
  noticeMs: 5000,
  /** Withdrawals of all cheap targets of a domain: with the notice, and without any. */
  domainWithdrawalsMs: [1_600_000, 3_200_000],
  /** Time until a withdrawn target is back. */
  returnMs: 900_000,
  /** Share of cheap targets that is there on average; it follows from the withdrawals. */
  expectedAvailability: 0.7,
  cheapPrice: 0.35,
};

/** How work is placed. */
export interface CheapStrategy {
  readonly name: string;
  /** Targets by failure domain. */
  readonly steady: readonly number[];
  readonly cheap: readonly number[];
  /** Without rules any work may run anywhere, and withdrawn work is started again at once. */
  readonly hasRules: boolean;
}

/** Figures of one run. */
export interface CheapFigures {
  /** Price of the targets over that of steady targets with no room to spare. */
  readonly cost: number;
  readonly cheapShare: number;
  /** Requests that couldn't wait and started within the first-token target. */
  readonly onTime: number;
  readonly onTimeAfterLoss: number;
  readonly urgentOnTime: number;
  /** Requests cut off although they must not run again, or urgent ones cut off. */
  readonly nonRepeatableCut: number;
  readonly urgentCut: number;
  /** Work done again, over all work. */
  readonly repeatedShare: number;
  readonly unfinished: number;
}
