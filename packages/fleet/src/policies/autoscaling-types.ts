import {FailureDomain, PoolId} from '@radishgw/core';
import {TargetOrder} from '@radishgw/coordination';
import {DecisionReason} from './reason.js';
import {TrendEstimate} from './smoothing.js';

/**
 * An absolute count of targets. The controller adds `orderId` and `fencingNumber` to create a
 * {@link TargetOrder}.
 */
export type DesiredCount = Pick<TargetOrder, 'pool' | 'failureDomain' | 'cheap' | 'desiredCount'>;

/** Last observed targets of one pool and failure domain, either on-demand or preemptible. */
export interface DomainTargets {
  readonly failureDomain: FailureDomain;
  /** True for preemptible targets, false for on-demand ones. */
  readonly cheap: boolean;
  /** Count of the last journalled order, or the current count when there was none. */
  readonly desired: number;
  /** Targets that accept work. */
  readonly ready: number;
  /** Maximum number of targets that the platform provides in this domain. */
  readonly maxCount: number;
  /** True while the whole domain is unreachable or, for preemptible targets, suspended. */
  readonly unavailable: boolean;
}

/** Work of a pool, in targets: 1 is what one target can do within its latency objectives. */
export interface PoolDemand {
  /** Work that may run on on-demand targets only. */
  readonly onDemandOnly: number;
  /** Work that may run on preemptible targets and can't wait. */
  readonly standard: number;
  /** Work that may run on preemptible targets and can wait. */
  readonly batch: number;
  /** Queued work divided by the time in which it should be done. */
  readonly backlog: number;
}

/** Input of one decision. */
export interface AutoscalingInput {
  readonly pool: PoolId;
  readonly demand: PoolDemand;
  readonly targets: readonly DomainTargets[];
  /** Local time of day of the deployment in [0, 86,400,000), for the daily profile. */
  readonly timeOfDayMs: number;
  /** Age of the demand figures; outdated figures never cause a scale-down. */
  readonly demandAgeMs: number;
}

/** Settings of the autoscaling policy for one pool. */
export interface AutoscalingSettings {
  /** Time from an order until the target accepts work. */
  readonly leadTimeMs: number;
  /** Targets not delivered within this time are ordered in other domains. */
  readonly deliveryTimeoutMs: number;
  /** Planned utilisation of a target, as a share of its capacity. */
  readonly plannedUse: number;
  /** Cost of a shortfall of one target for an hour, relative to the price of one target-hour. */
  readonly shortfallPrice: number;
  /** Expected share of ordered preemptible targets that is available; the rest is withdrawn. */
  readonly preemptibleAvailability: number;
  /** Price of a preemptible target relative to an on-demand one. */
  readonly preemptiblePrice: number;
  /** Minimum number of on-demand targets in each failure domain. */
  readonly minPerDomain: number;
  /** Share of on-demand-only work that must fit after the loss of the largest domain. */
  readonly lossCoverage: number;
  /** Maximum share of preemptible targets among all targets. */
  readonly maxPreemptibleShare: number;
  /** Work lost by an interruption and computed again, as a share of the displaced work. */
  readonly recomputedShare: number;
  /** Maximum utilisation of on-demand targets while displaced work runs on them. */
  readonly emergencyUse: number;
  /** Targets are scaled down only after they were surplus for this long. */
  readonly scaleDownHoldMs: number;
  /** Minimum surplus for a scale-down; the larger of the two applies. */
  readonly scaleDownBandTargets: number;
  readonly scaleDownBandShare: number;
  /** Minimum time between two scale-ups, unless the shortage exceeds `urgentShare`. */
  readonly scaleUpCooldownMs: number;
  readonly urgentShare: number;
  /** Extra targets of a scale-up, as a share of the need, rounded down. */
  readonly scaleUpSurplusShare: number;
  readonly levelTauMs: number;
  readonly trendTauMs: number;
  /** No order is given when the demand figures are older than this. */
  readonly maxDemandAgeMs: number;
}

/** Demand by time of day. Stored with the order journal, as it takes days to build up. */
export interface DailyProfile {
  /** Mean demand in each slot of the day; 0 for slots without data. */
  readonly slots: readonly number[];
  /** Length of the recorded history, in days. */
  readonly days: number;
}

/** A forecast that has not been compared with the demand yet. */
export interface PendingForecast {
  readonly dueMs: number;
  readonly value: number;
}

/** Ready targets of an incomplete domain and the time since which none was delivered. */
export interface UndeliveredTargets {
  readonly sinceMs: number;
  readonly ready: number;
}

/** State kept between decisions, as plain data. A new holder rebuilds all but `profile`. */
export interface AutoscalingState {
  readonly startedMs: number;
  readonly updatedMs: number | undefined;
  readonly total: TrendEstimate;
  readonly onDemandOnlyShare: number;
  readonly batchShare: number;
  readonly profile: DailyProfile;
  readonly forecasts: readonly PendingForecast[];
  /** Ratios of demand to forecast, newest last. */
  readonly errorRatios: readonly number[];
  /** Largest on-demand and preemptible need of each interval of the scale-down hold time. */
  readonly needs: ReadonlyArray<{
    readonly atMs: number;
    readonly onDemand: number;
    readonly preemptible: number;
  }>;
  readonly lastScaleUpMs: number;
  /** Domains with fewer ready targets than desired, by `domain/kind`. */
  readonly undelivered: Readonly<Record<string, UndeliveredTargets>>;
  /** Time until which a domain that doesn't deliver is excluded, by `domain/kind`. */
  readonly excludeUntilMs: Readonly<Record<string, number>>;
}

/** Outcome of one decision. */
export interface AutoscalingDecision {
  readonly state: AutoscalingState;
  /** Counts that differ from the last order; empty when nothing changes. */
  readonly orders: readonly DesiredCount[];
  readonly reason: DecisionReason;
}

/** Default settings; see `docs/measurements/ordering.md`. */
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
