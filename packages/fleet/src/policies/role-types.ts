import {EngineRole} from '../engine-control.js';

import {FailureDomain, TargetId} from '@radishgw/core';
import {DecisionReason} from './reason.js';
import {TrendEstimate} from './smoothing.js';

/**
 * Last load report of an engine. Work is in engines: 1 is the work that one engine with only that
 * role can do within the latency objectives, so that engines of different speed can be added up.
 */
export interface EngineLoad {
  readonly targetId: TargetId;
  readonly failureDomain: FailureDomain;
  /** Current role, or the ordered one while a change is in progress. */
  readonly role: EngineRole;
  /** Time since the last role change was ordered; `Infinity` when none is known. */
  readonly roleAgeMs: number;
  /** True while an order to this engine is unfinished. */
  readonly changing: boolean;
  /** True for an engine that is being removed; it is not counted as capacity. */
  readonly leaving: boolean;
  readonly reportAgeMs: number;
  /** Prompt tokens processed per second, relative to the prefill rate. */
  readonly prefillWork: number;
  /** Time to process the prompts queued at the engine. */
  readonly prefillBacklogMs: number;
  /**
   * Tokens generated per second, relative to the rate of a full batch. The share of streams would
   * be too low at medium load, since steps of a small batch are shorter.
   */
  readonly decodeWork: number;
  /** Streams queued for generation, relative to the streams of a full batch. */
  readonly decodeBacklog: number;
}

/** Load of a pool. The `waiting` fields count work queued on hosts, not yet on an engine. */
export interface PoolLoad {
  readonly engines: readonly EngineLoad[];
  readonly waitingPrefillMs?: number;
  readonly waitingDecode?: number;
}

/** Settings of the role policy. */
export interface RoleSettings {
  /** Reports older than this are ignored. */
  readonly maxReportAgeMs: number;
  /** Minimum share of engines with a usable report; below it no role changes. */
  readonly minReportShare: number;
  /** No role changes for this long after the policy starts, while it observes the demand. */
  readonly warmUpMs: number;
  /** Time constants of the demand's level and trend. */
  readonly levelTauMs: number;
  readonly trendTauMs: number;
  /** Forecast horizon of the prefill share: report lag plus duration of a change. */
  readonly leadTimeMs: number;
  /** Time in which queued prompts should be processed. */
  readonly backlogDrainMs: number;
  /**
   * Planned utilisation of an engine; the rest absorbs random arrivals. Prefill has more headroom:
   * a queued prompt delays its first token at once, while a fuller batch only lengthens steps that
   * are below the inter-token latency objective.
   */
  readonly plannedPrefillUse: number;
  readonly plannedDecodeUse: number;
  /** Share of an engine's capacity that remains when it does both kinds of work. */
  readonly mixedEfficiency: number;
  /** Minimum deviation from the wanted split before a change; the larger of the two applies. */
  readonly deadbandEngines: number;
  readonly deadbandShare: number;
  /** Minimum time for which an engine keeps a role. */
  readonly minDwellMs: number;
  /** For this long after a change, the opposite change needs twice the deadband. */
  readonly reversalHoldMs: number;
  /** Cool-down after a change of the pool, until reports show the change. */
  readonly settleMs: number;
  /** Limit on role changes in any hour; the larger of the two applies. */
  readonly maxChangesPerHour: number;
  readonly maxChangesPerHourShare: number;
  /** Maximum share of the pool that changes at the same time (at least one engine). */
  readonly maxConcurrentShare: number;
  /** Time for which a change takes an engine out of service (drain and restart). */
  readonly changeCostMs: number;
  /** Size of the group of mixed-role engines, in standard deviations of the split. */
  readonly mixedDeviations: number;
  readonly minMixed: number;
  readonly maxMixedShare: number;
}

/** State that the policy keeps between decisions, as plain data. */
export interface RoleState {
  readonly startedMs: number;
  readonly updatedMs: number | undefined;
  readonly prefill: TrendEstimate;
  readonly decode: TrendEstimate;
  /** Variance of the prefill share around its level: variation too brief for role changes. */
  readonly shareVariance: number;
  /** Times of the changes of the last hour, oldest first. */
  readonly changesMs: readonly number[];
  /** Direction of the last change: 1 towards prefill, -1 towards decode, 0 none yet. */
  readonly lastDirection: -1 | 0 | 1;
}

/** An absolute role order for one engine. */
export interface RoleChange {
  readonly targetId: TargetId;
  readonly from: EngineRole;
  readonly to: EngineRole;
}

/** Outcome of one decision. */
export interface RoleDecision {
  readonly state: RoleState;
  readonly changes: readonly RoleChange[];
  readonly reason: DecisionReason;
}

/** Default settings; see `docs/measurements/shift.md`. */
export const DEFAULT_ROLE_SETTINGS: RoleSettings = {
  maxReportAgeMs: 15_000,
  minReportShare: 0.6,
  warmUpMs: 60_000,
  levelTauMs: 60_000,
  trendTauMs: 300_000,
  leadTimeMs: 30_000,
  backlogDrainMs: 10_000,
  plannedPrefillUse: 0.5,
  plannedDecodeUse: 0.8,
  mixedEfficiency: 0.8,
  deadbandEngines: 0.75,
  deadbandShare: 0.05,
  minDwellMs: 300_000,
  reversalHoldMs: 600_000,
  settleMs: 20_000,
  maxChangesPerHour: 12,
  maxChangesPerHourShare: 0.5,
  maxConcurrentShare: 0.1,
  changeCostMs: 15_000,
  mixedDeviations: 2,
  minMixed: 2,
  maxMixedShare: 0.6,
};
