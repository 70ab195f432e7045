import {FailureDomain, PoolId} from '@radishgw/core';
import {TargetOrder} from '@radishgw/coordination';
import {DecisionReason} from './reason.js';
import {TrendEstimate} from './smoothing.js';

/**
 * An absolute count of targets. The controller adds `orderId` and `fencingNumber` to make a
 * {@link TargetOrder} of it.
 */
export type DesiredCount = Pick<TargetOrder, 'pool' | 'failureDomain' | 'cheap' | 'desiredCount'>;

/** Targets of one pool, failure domain and kind, as last seen. */
export interface DomainTargets {
  readonly failureDomain: FailureDomain;
  readonly cheap: boolean;
  /** Count of the last order, from the journal; the present count when there was none. */
  readonly desired: number;
  /** Targets that take work. */
  readonly ready: number;
  /** Most targets that the platform gives in this domain. */
  readonly maxCount: number;
  /** True while the domain as a whole is unreachable or, for cheap targets, suspended. */
  readonly unavailable: boolean;
}

/** Work of a pool in targets: 1 is what one target can do within its latency targets. */
export interface PoolDemand {
  /** Work that may only run on targets that can't be reclaimed. */
  readonly onDemandOnly: number;
  /** Work that may run on cheap targets and can't wait. */
  readonly standard: number;
  /** Work that may run on cheap targets and can wait. */
  readonly batch: number;
  /** Work waiting beyond what arrives, over the time in which it should be done. */
  readonly backlog: number;
}

/** Input of one decision. */
export interface AutoscalingInput {
  readonly pool: PoolId;
  readonly demand: PoolDemand;
  readonly targets: readonly DomainTargets[];
  /** Time of day of the deployment in [0, 86,400,000), for the daily profile. */
  readonly timeOfDayMs: number;
  /** Age of the demand figures; decisions on old figures never release. */
  readonly demandAgeMs: number;
}

/** Settings of the ordering policy for one pool. */
export interface AutoscalingSettings {
  /** Time from an order until the target takes work. */
  readonly leadTimeMs: number;
  /** Targets that are still missing this long after the order are looked for elsewhere. */
  readonly deliveryTimeoutMs: number;
  /** Share of a target that is planned to be used. */
  readonly plannedUse: number;
  /** Price of missing one target for an hour over the price of one target-hour. */
  readonly shortfallPrice: number;
  /** Share of the ordered cheap targets that is expected to be there; the rest is withdrawn. */
  readonly preemptibleAvailability: number;
  /** Price of a cheap target over that of a steady one. */
  readonly preemptiblePrice: number;
  /** Least number of steady targets in each failure domain. */
  readonly minPerDomain: number;
  /** Share of work for steady targets only that must fit after the loss of the largest domain. */
  readonly lossCoverage: number;
  /** Highest share of all targets that may be cheap. */
  readonly maxPreemptibleShare: number;
  /** Work lost by an interruption and done again, as a share of the displaced work. */
  readonly recomputedShare: number;
  /** Share of steady capacity that may be used while displaced work runs on it. */
  readonly emergencyUse: number;
  /** Targets are given back only after they were surplus for this long. */
  readonly scaleDownHoldMs: number;
  /** Least surplus that is given back: the larger of both. */
  readonly scaleDownBandTargets: number;
  readonly scaleDownBandShare: number;
  /** Least time between two increases, unless the shortage is larger than `urgentShare`. */
  readonly scaleUpCooldownMs: number;
  readonly urgentShare: number;
  /** Surplus of an increase over the need, as a share of the need, rounded down. */
  readonly scaleUpSurplusShare: number;
  readonly levelTauMs: number;
  readonly trendTauMs: number;
  /** Figures older than this only hold. */
  readonly maxDemandAgeMs: number;
}

/** Relative demand by time of day. Kept with the order journal, since it takes days to learn. */
export interface DailyProfile {
  /** Mean demand of each slot of the day; 0 while none was seen. */
  readonly slots: readonly number[];
  /** Days that the profile has seen, counted in samples of a full day. */
  readonly days: number;
}

/** A forecast that is still to be compared with the demand. */
export interface PendingForecast {
  readonly dueMs: number;
  readonly value: number;
}

/** Ready targets of an incomplete domain and since when no further one has arrived. */
export interface UndeliveredTargets {
  readonly sinceMs: number;
  readonly ready: number;
}

/** What the policy remembers between decisions. Plain data; everything but `profile` is rebuilt. */
export interface AutoscalingState {
  readonly startedMs: number;
  readonly updatedMs: number | undefined;
  readonly total: TrendEstimate;
  readonly onDemandOnlyShare: number;
  readonly batchShare: number;
  readonly profile: DailyProfile;
  readonly forecasts: readonly PendingForecast[];
  /** Demand over forecast, newest last. */
  readonly errorRatios: readonly number[];
  /** Needs of the hold time, for releases: largest steady and cheap need of each interval. */
  readonly needs: ReadonlyArray<{
    readonly atMs: number;
    readonly onDemand: number;
    readonly preemptible: number;
  }>;
  readonly lastScaleUpMs: number;
  /** Domains and kinds with fewer targets than desired, by `domain/kind`. */
  readonly undelivered: Readonly<Record<string, UndeliveredTargets>>;
  /** Until when a domain and kind that doesn't deliver is left out, by `domain/kind`. */
  readonly excludeUntilMs: Readonly<Record<string, number>>;
}

/** Outcome of one decision. */
export interface AutoscalingDecision {
  readonly state: AutoscalingState;
  /** Counts that differ from the last order; empty when nothing is ordered. */
  readonly orders: readonly DesiredCount[];
  readonly reason: DecisionReason;
}

/** Defaults; `docs/measurements/ordering.md` has the runs they come from. */
export const DEFAULT_AUTOSCALING_SETTINGS: AutoscalingSettings = {
  leadTimeMs: 240_000,
  deliveryTimeoutMs: 720_000,
  plannedUse: 0.75,
  shortfallPrice: 8,
  preemptibleAvailability: 0.8,
  preemptiblePrice: 0.35,
  minPerDomain: 1,
  lossCoverage: 1,
  maxPreemptibleShare: 0.6,
  recomputedShare: 0.1,
  emergencyUse: 0.95,
  scaleDownHoldMs: 1_200_000,
  scaleDownBandTargets: 1,
  scaleDownBandShare: 0.08,
  scaleUpCooldownMs: 480_000,
  urgentShare: 0.1,
  scaleUpSurplusShare: 0.05,
  levelTauMs: 60_000,
  trendTauMs: 600_000,
  maxDemandAgeMs: 30_000,
};
