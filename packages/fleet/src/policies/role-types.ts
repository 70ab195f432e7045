import {EngineRole} from '../engine-control.js';

import {FailureDomain, TargetId} from '@radishgw/core';
import {DecisionReason} from './reason.js';
import {TrendEstimate} from './smoothing.js';

/**
 * Last load report of an engine. Work is in engines: 1 is the work that one engine with only that
 * role can do within the latency targets, so that engines of different speed can be added up.
 */
export interface EngineLoad {
  readonly targetId: TargetId;
  readonly failureDomain: FailureDomain;
  /** Role in force, or the ordered one while a change is under way. */
  readonly role: EngineRole;
  /** Time since the last change of role was ordered; `Infinity` when none is known. */
  readonly roleAgeMs: number;
  /** True while an order to this engine is unfinished. */
  readonly changing: boolean;
  /** True for an engine that is leaving; it is not counted as capacity. */
  readonly leaving: boolean;
  readonly reportAgeMs: number;
  /** Prompt tokens processed per second over the prefill rate. */
  readonly prefillWork: number;
  /** Time to process the prompts that wait at the engine. */
  readonly prefillBacklogMs: number;
  /**
   * Tokens generated per second over the rate of a full batch. The share of streams would be too
   * low at medium load, since steps of a small batch are shorter.
   */
  readonly decodeWork: number;
  /** Streams that wait for generation, over the streams of a full batch. */
  readonly decodeBacklog: number;
}

/** Load of a pool. The second part counts work that waits on hosts and has no engine yet. */
export interface PoolLoad {
  readonly engines: readonly EngineLoad[];
  readonly waitingPrefillMs?: number;
  readonly waitingDecode?: number;
}

/** Settings of the role policy. */
export interface RoleSettings {
  /** Reports older than this are ignored. */
  readonly maxReportAgeMs: number;
  /** Least share of engines with a usable report; below it nothing is changed. */
  readonly minReportShare: number;
  /** No change for this long after the policy starts, while it learns the demand. */
  readonly warmUpMs: number;
  /** Time constants of the demand's level and trend. */
  readonly levelTauMs: number;
  readonly trendTauMs: number;
  /** How far ahead the share of prefill is predicted: report lag plus duration of a change. */
  readonly leadTimeMs: number;
  /** Time in which waiting prompts should be worked off. */
  readonly backlogDrainMs: number;
  /**
   * Shares of an engine that are planned to be used; the rest absorbs random arrivals. Prefill gets
   * more room: a prompt that waits delays its first token at once, while a fuller batch only
   * lengthens steps that are below the inter-token target.
   */
  readonly plannedPrefillUse: number;
  readonly plannedDecodeUse: number;
  /** Part of an engine's capacity that remains when it does both kinds of work. */
  readonly mixedEfficiency: number;
  /** Least number of engines off the wanted split before a change: the larger of both. */
  readonly deadbandEngines: number;
  readonly deadbandShare: number;
  /** An engine keeps a role for at least this long. */
  readonly minDwellMs: number;
  /** After a change, the opposite change needs a deviation of twice the deadband for this long. */
  readonly reversalHoldMs: number;
  /** No further change of the pool for this long, so that reports can show the last one. */
  readonly settleMs: number;
  /** Bound on changes in any hour: the larger of both. */
  readonly maxChangesPerHour: number;
  readonly maxChangesPerHourShare: number;
  /** Share of the pool that may change at the same time (at least one engine). */
  readonly maxConcurrentShare: number;
  /** Time for which a change takes an engine out of service (drain and restart). */
  readonly changeCostMs: number;
  /** Width of the group of engines with both roles, in standard deviations of the split. */
  readonly mixedDeviations: number;
  readonly minMixed: number;
  readonly maxMixedShare: number;
}

/** What the policy remembers between decisions. Plain data. */
export interface RoleState {
  readonly startedMs: number;
  readonly updatedMs: number | undefined;
  readonly prefill: TrendEstimate;
  readonly decode: TrendEstimate;
  /** Variance of the share of prefill around its level: swings too short to follow. */
  readonly shareVariance: number;
  /** Times of the changes of the last hour, oldest first. */
  readonly changesMs: readonly number[];
  /** Direction of the last change: 1 towards prefill, -1 towards decode, 0 none yet. */
  readonly lastDirection: -1 | 0 | 1;
}

/** An absolute order for one engine. */
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

/** Defaults; `docs/measurements/shift.md` has the runs they come from. */
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
