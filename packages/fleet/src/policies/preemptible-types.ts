import {FailureDomain, TargetId} from '@radishgw/core';
import {DecisionReason} from './reason.js';

/** Class of a request, from the team's configuration. */
export type WorkClass = 'urgent' | 'standard' | 'batch';

/** What the cheap-target rule needs to know about a request. */
export interface WorkTraits {
  readonly workClass: WorkClass;
  /** True when the request may run again: it is idempotent, or the engine can resume it. */
  readonly repeatable: boolean;
}

/** Capacity and work of a pool in one failure domain, in engines. Lagging figures are allowed. */
export interface DomainLoad {
  readonly failureDomain: FailureDomain;
  /** Capacity of ready targets that can't be reclaimed. */
  readonly onDemandCapacity: number;
  /** Work on these targets, of all kinds. */
  readonly onDemandWork: number;
  /** The part of it that can't wait and may run on cheap targets. */
  readonly onDemandMovableWork: number;
  /** Capacity of ready cheap targets that are not being withdrawn. */
  readonly preemptibleCapacity: number;
  /** Work on cheap targets that can't wait; it needs room at once when they are withdrawn. */
  readonly preemptibleStandardWork: number;
  /** Work on cheap targets that can wait in a queue. */
  readonly preemptibleBatchWork: number;
}

/** Settings of the cheap-target policy. */
export interface PreemptibleSettings {
  /** Share of a target's capacity that is planned to be used. */
  readonly plannedUse: number;
  /** Share of capacity that may be used when work would wait otherwise, and by displaced work. */
  readonly emergencyUse: number;
  /** Work lost by an interruption and done again, as a share of the displaced work. */
  readonly recomputedShare: number;
  /** Share of displaced batch work that gets room at once; the rest waits. */
  readonly batchReserveShare: number;
  /** Highest share of all planned capacity that may be on cheap targets. */
  readonly maxPreemptibleShare: number;
  /** Withdrawals within this time are counted together. */
  readonly noticeWindowMs: number;
  /** Share of a domain's cheap targets withdrawn within the window that suspends the domain. */
  readonly suspendShare: number;
  /** First suspension; it doubles with each further one up to the maximum. */
  readonly suspendMs: number;
  readonly maxSuspendMs: number;
  /** A domain without withdrawals for this long starts again with the first suspension. */
  readonly backoffResetMs: number;
  /** How fast a limit may rise, in shares of the domain's cheap capacity per minute. */
  readonly rampPerMinute: number;
}

/** Memory of one failure domain. */
export interface PreemptibleDomainState {
  readonly failureDomain: FailureDomain;
  /** Times and sizes of withdrawals in the window, in targets. */
  readonly withdrawals: ReadonlyArray<{readonly atMs: number; readonly targets: number}>;
  readonly suspendedUntilMs: number;
  readonly lastSuspendMs: number;
  readonly suspensions: number;
  readonly workLimit: number;
}

/** What the policy remembers between decisions. Plain data. */
export interface PreemptibleState {
  readonly updatedMs: number | undefined;
  readonly domains: readonly PreemptibleDomainState[];
}

/** Limits of one failure domain, in engines. */
export interface PreemptibleLimit {
  readonly failureDomain: FailureDomain;
  /**
   * Work that can't wait prefers cheap targets up to this limit, then steady ones, and only then
   * the rest of the work limit: to wait now is worse than a risk to wait later.
   */
  readonly standardWorkLimit: number;
  /** Work of both classes together. */
  readonly workLimit: number;
  /**
   * Steady capacity in this domain that batch work leaves free for displaced work. Batch work that
   * may not run on cheap targets may use it, or it would have no place at all.
   */
  readonly reservedRoom: number;
  readonly suspended: boolean;
}

/** Outcome of one decision. */
export interface PreemptibleDecision {
  readonly state: PreemptibleState;
  readonly limits: readonly PreemptibleLimit[];
  /** Work that would find no room at once after the worst loss; more steady targets are needed. */
  readonly roomShort: number;
  readonly reason: DecisionReason;
}

/** State after a notice. The limits follow with the next {@link PreemptibleDecision}. */
export interface WithdrawalDecision {
  readonly state: PreemptibleState;
  readonly reason: DecisionReason;
}

/** Notice that cheap targets will be withdrawn, or are already gone when `noticeMs` is 0. */
export interface WithdrawalNotice {
  readonly failureDomain: FailureDomain;
  readonly targetIds: readonly TargetId[];
  /** Ready cheap targets of the pool in the domain before the notice. */
  readonly domainTargets: number;
  readonly noticeMs: number;
}

/** A request in flight on a target that is being withdrawn. */
export interface RunningWork extends WorkTraits {
  readonly workId: string;
  /** Expected time to its end; `Infinity` when unknown. */
  readonly remainingMs: number;
  /** Time to copy its KV cache to another target; `Infinity` when that isn't possible. */
  readonly transferMs: number;
  /** Share of an engine that it occupies. */
  readonly work: number;
}

/**
 * What to do with a request on a withdrawn target.
 * - `finish`: it ends before the target does.
 * - `transfer`: copy its KV cache and resume elsewhere.
 * - `restart`: resume elsewhere from the tokens that were delivered.
 * - `wait`: back to the queue; there is no room for it now.
 * - `leave`: it must not run again; it runs until the target goes and is then reported as unknown.
 */
export type WithdrawalAction = 'finish' | 'transfer' | 'restart' | 'wait' | 'leave';

/** Plan for the requests of one notice, in the order in which they should be handled. */
export interface WithdrawalPlan {
  readonly steps: ReadonlyArray<{readonly workId: string; readonly action: WithdrawalAction}>;
  readonly reason: DecisionReason;
}

/** Defaults; `docs/measurements/cost.md` has the runs they come from. */
export const DEFAULT_PREEMPTIBLE_SETTINGS: PreemptibleSettings = {
  plannedUse: 0.75,
  emergencyUse: 0.95,
  recomputedShare: 0.1,
  batchReserveShare: 0,
  maxPreemptibleShare: 0.6,
  noticeWindowMs: 10_000,
  suspendShare: 0.5,
  suspendMs: 600_000,
  maxSuspendMs: 7_200_000,
  backoffResetMs: 21_600_000,
  rampPerMinute: 0.25,
};
