/** Settings of a fleet whose preemptible targets are withdrawn. */
export const PREEMPTIBLE_FLEET = {
  failureDomains: 3,
  slotsPerTarget: 16,
  durationMs: 4_800_000,
  /** Mean service time of a request, which occupies one slot. */
  serviceMs: 6000,
  /** Mean work, in targets. */
  work: 9,
  classShares: {urgent: 0.3, standard: 0.5, batch: 0.2},
  /** Share of non-idempotent requests, which must not be repeated; the same in every class. */
  nonRepeatableShare: 0.15,
  reportLagMs: 5000,
  decisionIntervalMs: 5000,
  /** Mean time between withdrawals of single preemptible targets. */
  singleWithdrawalMs: 600_000,
  noticeMs: 5000,
  /** Withdrawals of all preemptible targets of a domain: first with notice, then without. */
  domainWithdrawalsMs: [1_600_000, 3_200_000],
  /** Time until a withdrawn target is available again. */
  returnMs: 900_000,
  /** Mean share of preemptible targets that is available, as it follows from the withdrawals. */
  expectedAvailability: 0.7,
  cheapPrice: 0.35,
};

/** Fleet size and placement rules. */
export interface PreemptibleStrategy {
  readonly name: string;
  /** Targets by failure domain. */
  readonly onDemand: readonly number[];
  readonly preemptible: readonly number[];
  /** If false, any work may run anywhere, and withdrawn work is restarted at once. */
  readonly usesPolicy: boolean;
}

/** Results of one run. */
export interface PreemptibleFigures {
  /** Price of the targets relative to on-demand targets without spare capacity. */
  readonly cost: number;
  readonly cheapShare: number;
  /** Share of the urgent and standard requests that started within the first-token target. */
  readonly onTime: number;
  readonly onTimeAfterLoss: number;
  readonly urgentOnTime: number;
  /** Interrupted requests: those that must not be repeated, and urgent ones. */
  readonly nonRepeatableCut: number;
  readonly urgentCut: number;
  /** Repeated work as a share of all work. */
  readonly repeatedShare: number;
  readonly unfinished: number;
}
