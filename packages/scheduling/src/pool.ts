import {AttemptId, hash32, TargetId} from '@radishgw/core';
import {
  AttemptOutcome,
  createHealth,
  DEFAULT_HEALTH_SETTINGS,
  Health,
  HealthSettings,
  recordHealthDispatch,
  recordHealthOutcome,
  recordHealthProgress,
} from './health.js';
import {CacheEvent, PrefixHints, PrefixHintSettings} from './prefix-hints.js';
import {WorkClass} from './work.js';

/** Lifecycle status of a target. Only `serving` targets get new requests. */
export type TargetStatus = 'serving' | 'draining' | 'leaving' | 'withdrawn';

/** Load as reported by a target. */
export interface LoadReport {
  /** Sampling time on this host's monotonic clock: time of receipt minus the report's age. */
  readonly sampledAtMs: number;
  /** Requests that are running or queued on the target. */
  readonly outstanding: number;
  /** Prompt tokens that the target has yet to prefill. */
  readonly pendingPrefillTokens: number;
}

/** Settings of a pool. */
export interface PoolSettings {
  /** Slots of each target that are reserved for urgent requests. */
  readonly urgentReservedSlots: number;
  /** Maximum number of long prompts from this host that may be in prefill on one target. */
  readonly maxLongPrefills: number;
  /** Long prompts aren't sent to a target with more pending prompt tokens than this. */
  readonly maxPendingTokensForLong: number;
  /**
   * Number of random targets compared for a request, by class. Comparing only two keeps hosts with
   * stale reports from all choosing the same target; urgent requests are short, so that herding to
   * one target does little harm and more choices are affordable.
   */
  readonly choices: Readonly<Record<WorkClass, number>>;
  /**
   * Share of the usable targets, rounded down, that get no long prompts, so that some targets keep
   * short engine steps for urgent requests.
   */
  readonly shortOnlyShare: number;
  /** Tokens per block of a target's prefix cache. */
  readonly blockTokens: number;
  /** Slow-down caused by one outstanding request, in prompt tokens of the routing score. */
  readonly tokensPerOutstanding: number;
  /** Score penalty for a target with a failure rate of 1, in prompt tokens. */
  readonly failurePenaltyTokens: number;
  /**
   * Age at which a report is ignored. Until then, the remote load on the target decays towards the
   * mean of the pool, because hosts that trust stale reports all choose the same targets.
   */
  readonly reportDecayMs: number;
  readonly health: HealthSettings;
  readonly hints: PrefixHintSettings;
}

export const DEFAULT_POOL_SETTINGS: PoolSettings = {
  urgentReservedSlots: 2,
  maxLongPrefills: 1,
  maxPendingTokensForLong: 32_000,
  choices: {urgent: 16, standard: 2, batch: 2},
  shortOnlyShare: 1 / 3,
  blockTokens: 2000,
  tokensPerOutstanding: 400,
  failurePenaltyTokens: 20_000,
  reportDecayMs: 3000,
  health: DEFAULT_HEALTH_SETTINGS,
  hints: {maxBlocksPerTarget: 1024, maxLostEvents: 64},
};

/** One attempt at a request, sent to a target. */
export interface Attempt {
  readonly id: AttemptId;
  readonly workClass: WorkClass;
  readonly promptTokens: number;
  readonly isLong: boolean;
  /** Ids of the prompt's full blocks, in order; equal ids imply equal prefixes up to that block. */
  readonly blocks: readonly string[];
}

interface LocalAttempt {
  readonly attempt: Attempt;
  /** Leading blocks that the target probably held before the dispatch. */
  readonly cachedBlocks: number;
  /** Prompt tokens expected to be prefilled; 0 after the first token. */
  pendingTokens: number;
}

/** This host's load on a target right after a change. */
interface LocalLoadSample {
  readonly atMs: number;
  readonly outstanding: number;
  readonly pendingTokens: number;
}

/** State of a target in a pool. Read-only outside this module. */
export interface TargetState {
  readonly id: TargetId;
  readonly hash: number;
  /** Requests that the target can run concurrently. */
  slots: number;
  status: TargetStatus;
  readonly health: Health;
  readonly localAttempts: Map<AttemptId, LocalAttempt>;
  localPendingTokens: number;
  localLongPrefills: number;
  /** Samples of this host's load since the last report, oldest first, preceded by a baseline. */
  readonly localLoadHistory: LocalLoadSample[];
  report: LoadReport | undefined;
  /** Load from other hosts at the time of the report. */
  remoteOutstanding: number;
  remotePendingTokens: number;
}

/** Targets of one pool as observed by one host. Mutated by this module only. */
export interface Pool {
  readonly settings: PoolSettings;
  readonly targets: Map<TargetId, TargetState>;
  /** The same targets ordered by a hash of their ids, which is the same order on all hosts. */
  readonly order: TargetState[];
  /** Targets that are currently excluded by health checking. */
  readonly unhealthy: Set<TargetState>;
  /** Cached set of targets that accept long prompts; undefined if it must be recomputed. */
  longPromptTargets: ReadonlySet<TargetState> | undefined;
  readonly hints: PrefixHints;
  /** Sum of `remoteOutstanding` over all targets. */
  totalRemoteOutstanding: number;
  /** Cursor of the round-robin policy. */
  nextIndex: number;
}

/** Older samples are dropped, which only makes the remote load less accurate. */
const MAX_HISTORY_SAMPLES = 1024;

/** Creates a pool without targets. Omitted settings take their default values. */
export function createPool(settings: Partial<PoolSettings> = {}): Pool {
  const merged = {...DEFAULT_POOL_SETTINGS, ...settings};
  return {
    settings: merged,
    targets: new Map(),
    order: [],
    unhealthy: new Set(),
    longPromptTargets: undefined,
    hints: new PrefixHints(merged.hints),
    totalRemoteOutstanding: 0,
    nextIndex: 0,
  };
}

/** Adds a target, or updates its number of slots. */
export function setTarget(pool: Pool, id: TargetId, slots: number): void {
  const known = pool.targets.get(id);
  if (known) {
    known.slots = slots;
    return;
  }
  const target: TargetState = {
    id,
    hash: hash32(id),
    slots,
    status: 'serving',
    health: createHealth(),
    localAttempts: new Map(),
    localPendingTokens: 0,
    localLongPrefills: 0,
    localLoadHistory: [],
    report: undefined,
    remoteOutstanding: 0,
    remotePendingTokens: 0,
  };
  pool.targets.set(id, target);
  pool.order.splice(findInsertIndex(pool.order, target), 0, target);
  pool.longPromptTargets = undefined;
}

/** Returns the index at which to insert a target into the order by hash and id. */
function findInsertIndex(order: readonly TargetState[], {hash, id}: TargetState): number {
  let low = 0;
  let high = order.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    const other = order[middle];
    if (other.hash < hash || (other.hash === hash && other.id < id)) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** Sets the status from the next decision on; running requests aren't affected. */
export function setTargetStatus(pool: Pool, id: TargetId, status: TargetStatus): void {
  const target = pool.targets.get(id);
  if (!target) return;
  target.status = status;
  pool.longPromptTargets = undefined;
}

/** Removes a target. Later events of its attempts are ignored. */
export function removeTarget(pool: Pool, id: TargetId): void {
  const target = pool.targets.get(id);
  if (!target) return;
  pool.targets.delete(id);
  pool.order.splice(pool.order.indexOf(target), 1);
  pool.unhealthy.delete(target);
  pool.longPromptTargets = undefined;
  pool.totalRemoteOutstanding -= target.remoteOutstanding;
  pool.hints.reset(id);
}

/** Applies a load report. A report that was sampled before the last one is ignored. */
export function recordReport(pool: Pool, id: TargetId, report: LoadReport): void {
  const target = pool.targets.get(id);
  if (!target) return;
  if (target.report && report.sampledAtMs < target.report.sampledAtMs) return;
  const {localLoadHistory} = target;
  let last = -1;
  while (
    last + 1 < localLoadHistory.length &&
    localLoadHistory[last + 1].atMs <= report.sampledAtMs
  )
    last++;
  const local = last < 0 ? {outstanding: 0, pendingTokens: 0} : localLoadHistory[last];
  // The last sample before the report is kept as the baseline for a later report.
  localLoadHistory.splice(0, last);
  target.report = report;
  pool.totalRemoteOutstanding -= target.remoteOutstanding;
  target.remoteOutstanding = Math.max(0, report.outstanding - local.outstanding);
  pool.totalRemoteOutstanding += target.remoteOutstanding;
  target.remotePendingTokens = Math.max(0, report.pendingPrefillTokens - local.pendingTokens);
}

/** Applies a cache event to the prefix hints. */
export function recordCacheEvent(pool: Pool, id: TargetId, event: CacheEvent): void {
  if (pool.targets.has(id)) pool.hints.applyEvent(id, event);
}

/**
 * Records that an attempt is being sent. Must be called in the same event loop turn as the routing
 * decision.
 */
export function recordDispatch(pool: Pool, id: TargetId, attempt: Attempt, nowMs: number): void {
  const target = pool.targets.get(id);
  if (!target) return;
  const cachedBlocks = pool.hints.countCachedBlocks(id, attempt.blocks);
  const pendingTokens = Math.max(
    1,
    attempt.promptTokens - cachedBlocks * pool.settings.blockTokens,
  );
  target.localAttempts.set(attempt.id, {attempt, cachedBlocks, pendingTokens});
  target.localPendingTokens += pendingTokens;
  if (attempt.isLong) target.localLongPrefills++;
  recordHealthDispatch(target.health, attempt.id);
  pool.hints.add(id, attempt.blocks);
  sampleLocalLoad(target, nowMs);
}

/** Records the first token of an attempt, or the first byte of a service's response. */
export function recordFirstToken(
  pool: Pool,
  id: TargetId,
  attemptId: AttemptId,
  nowMs: number,
): void {
  const target = pool.targets.get(id);
  const local = target?.localAttempts.get(attemptId);
  if (!target || !local) return;
  endPrefill(target, local);
  recordHealthProgress(target.health);
  updateUnhealthyTargets(pool, target);
  sampleLocalLoad(target, nowMs);
}

/** Records the end of an attempt. Further calls for the same attempt have no effect. */
export function recordEnd(
  pool: Pool,
  id: TargetId,
  attemptId: AttemptId,
  outcome: AttemptOutcome,
  nowMs: number,
): void {
  const target = pool.targets.get(id);
  const local = target?.localAttempts.get(attemptId);
  if (!target || !local) return;
  if (local.pendingTokens > 0 && outcome !== 'finished') {
    pool.hints.removeAfter(id, local.attempt.blocks, local.cachedBlocks);
  }
  endPrefill(target, local);
  target.localAttempts.delete(attemptId);
  recordHealthOutcome(target.health, attemptId, outcome, nowMs, pool.settings.health);
  updateUnhealthyTargets(pool, target);
  // An unreachable target has probably restarted and lost its cache.
  if (outcome === 'unreachable') pool.hints.reset(id);
  sampleLocalLoad(target, nowMs);
}

function updateUnhealthyTargets(pool: Pool, target: TargetState): void {
  const isHealthy = target.health.excludedUntilMs === undefined;
  if (isHealthy !== pool.unhealthy.has(target)) return;
  if (isHealthy) pool.unhealthy.delete(target);
  else pool.unhealthy.add(target);
  pool.longPromptTargets = undefined;
}

function endPrefill(target: TargetState, local: LocalAttempt): void {
  if (local.pendingTokens === 0) return;
  target.localPendingTokens -= local.pendingTokens;
  if (local.attempt.isLong) target.localLongPrefills--;
  local.pendingTokens = 0;
}

function sampleLocalLoad(target: TargetState, nowMs: number): void {
  target.localLoadHistory.push({
    atMs: nowMs,
    outstanding: target.localAttempts.size,
    pendingTokens: target.localPendingTokens,
  });
  if (target.localLoadHistory.length > MAX_HISTORY_SAMPLES) target.localLoadHistory.shift();
}
