import {FailureDomain, TargetId} from '@radishgw/core';
import {DecisionReason} from './reason.js';

/** Class of a request, from the team's configuration. */
export type WorkClass = 'urgent' | 'standard' | 'batch';

/** Properties of a request that decide whether it may run on preemptible targets. */
export interface WorkTraits {
  readonly workClass: WorkClass;
  /** True when the request can be retried: it is idempotent, or the engine can resume it. */
  readonly repeatable: boolean;
}

/** Capacity and work of a pool in one failure domain, in engines. Figures may be delayed. */
export interface DomainLoad {
  readonly failureDomain: FailureDomain;
  /** Capacity of ready on-demand targets, which the platform can't reclaim. */
  readonly onDemandCapacity: number;
  /** Work of all classes on these targets. */
  readonly onDemandWork: number;
  /** Standard work among it, which may run on preemptible targets. */
  readonly onDemandMovableWork: number;
  /** Capacity of ready preemptible targets that are not being withdrawn. */
  readonly preemptibleCapacity: number;
  /** Standard work on preemptible targets; needs spare capacity at once when they are withdrawn. */
  readonly preemptibleStandardWork: number;
  /** Batch work on preemptible targets, which can wait in a queue. */
  readonly preemptibleBatchWork: number;
}

/** Settings of the policy for preemptible targets. */
export interface PreemptibleSettings {
  /** Planned utilisation of a target, as a share of its capacity. */
  readonly plannedUse: number;
  /** Maximum utilisation for displaced work and for work that would otherwise wait. */
  readonly emergencyUse: number;
  /** Work lost by an interruption and computed again, as a share of the displaced work. */
  readonly recomputedShare: number;
  /** Share of displaced batch work with reserved capacity; the rest waits. */
  readonly batchReserveShare: number;
  /** Maximum share of all planned capacity on preemptible targets. */
  readonly maxPreemptibleShare: number;
  /** Window over which withdrawals are added up. */
  readonly noticeWindowMs: number;
  /** Share of a domain's preemptible targets withdrawn in the window that suspends the domain. */
  readonly suspendShare: number;
  /** Duration of the first suspension; it doubles with each further one up to the maximum. */
  readonly suspendMs: number;
  readonly maxSuspendMs: number;
  /** Time since the last suspension after which the duration starts again at its first value. */
  readonly backoffResetMs: number;
  /** Ramp-up of a limit per minute, as a share of the domain's preemptible capacity. */
  readonly rampPerMinute: number;
}

/** State of one failure domain between decisions. */
export interface PreemptibleDomainState {
  readonly failureDomain: FailureDomain;
  /** Withdrawals in the window, with their number of targets. */
  readonly withdrawals: ReadonlyArray<{readonly atMs: number; readonly targets: number}>;
  readonly suspendedUntilMs: number;
  readonly lastSuspendMs: number;
  readonly suspensions: number;
  readonly workLimit: number;
}

/** State that the policy keeps between decisions, as plain data. */
export interface PreemptibleState {
  readonly updatedMs: number | undefined;
  readonly domains: readonly PreemptibleDomainState[];
}

/** Limits of one failure domain, in engines. */
export interface PreemptibleLimit {
  readonly failureDomain: FailureDomain;
  /**
   * Standard work prefers preemptible targets up to this limit, then on-demand ones, and only then
   * the rest of `workLimit`: waiting now is worse than the risk of waiting later.
   */
  readonly standardWorkLimit: number;
  /** Limit on standard and batch work together. */
  readonly workLimit: number;
  /**
   * On-demand capacity in this domain that batch work leaves free for displaced work. Batch work
   * that may not run on preemptible targets may use it, as it could not run anywhere otherwise.
   */
  readonly reservedRoom: number;
  readonly suspended: boolean;
}

/** Outcome of one decision. */
export interface PreemptibleDecision {
  readonly state: PreemptibleState;
  readonly limits: readonly PreemptibleLimit[];
  /** Displaced work without capacity after the worst domain loss; needs more on-demand targets. */
  readonly roomShort: number;
  readonly reason: DecisionReason;
}

/** State after a notice. The limits follow with the next {@link PreemptibleDecision}. */
export interface WithdrawalDecision {
  readonly state: PreemptibleState;
  readonly reason: DecisionReason;
}

/** Notice that preemptible targets will be withdrawn; they are already gone if `noticeMs` is 0. */
export interface WithdrawalNotice {
  readonly failureDomain: FailureDomain;
  readonly targetIds: readonly TargetId[];
  /** Ready preemptible targets of the pool in the domain before the notice. */
  readonly domainTargets: number;
  readonly noticeMs: number;
}

/** A request in flight on a target that is being withdrawn. */
export interface RunningWork extends WorkTraits {
  readonly workId: string;
  /** Expected time until the request ends; `Infinity` when unknown. */
  readonly remainingMs: number;
  /** Time to copy the KV cache to another target; `Infinity` when that isn't possible. */
  readonly transferMs: number;
  /** Share of an engine that the request occupies. */
  readonly work: number;
}

/**
 * How to handle a request on a withdrawn target.
 * - `finish`: the request ends before the target is withdrawn.
 * - `transfer`: copy the KV cache and resume on another target.
 * - `restart`: resume on another target from the tokens that were delivered.
 * - `wait`: return the request to the queue, because no capacity is free.
 * - `leave`: the request must not be retried; it runs until the target is withdrawn, and then its
 *   outcome is reported as unknown.
 */
export type WithdrawalAction = 'finish' | 'transfer' | 'restart' | 'wait' | 'leave';

/** Plan for the requests of one notice, in the order in which they should be handled. */
export interface WithdrawalPlan {
  readonly steps: ReadonlyArray<{readonly workId: string; readonly action: WithdrawalAction}>;
  readonly reason: DecisionReason;
}

/** Default settings; see `docs/measurements/cost.md`. */
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
