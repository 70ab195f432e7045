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

/** Whether a target may get new work. Only `serving` targets do. */
export type TargetStatus = 'serving' | 'draining' | 'leaving' | 'withdrawn';

/** Load of a target as it reports it. */
export interface LoadReport {
  /** The host's monotonic time at which the load was sampled: time of receipt less the age. */
  readonly sampledAtMs: number;
  /** Requests that run or wait there. */
  readonly outstanding: number;
  /** Prompt tokens that are still to be computed there. */
  readonly pendingPrefillTokens: number;
}

/** Settings of a pool. */
export interface PoolSettings {
  /** Slots of each target that only urgent work may take. */
  readonly urgentReserve: number;
  /** Long prompts of this host that one target may have before their first token. */
  readonly maxLongPrefills: number;
  /** A long prompt isn't sent to a target with more pending prompt tokens than this. */
  readonly maxPendingForLong: number;
  /**
   * Random targets compared for a request, by class. Two keep hosts with lagging reports from all
   * choosing the same target; urgent work is short, so that more choices do little harm.
   */
  readonly choices: Readonly<Record<WorkClass, number>>;
  /**
   * Share of the usable targets, rounded down, that get no long prompts, so that short steps
   * remain for urgent work.
   */
  readonly calmShare: number;
  /** Tokens in one block of a target's memory. */
  readonly blockTokens: number;
  /** Slow-down by one running request, expressed in prompt tokens. */
  readonly tokensPerOutstanding: number;
  /** Penalty for a target whose attempts all fail, in prompt tokens. */
  readonly failurePenaltyTokens: number;
  /**
   * Age at which a report no longer counts. Up to then, others' load on the target fades to the
   * mean of the pool: hosts that follow old reports all choose the same targets.
   */
  readonly reportFadeMs: number;
  readonly health: HealthSettings;
  readonly hints: PrefixHintSettings;
}

export const DEFAULT_POOL_SETTINGS: PoolSettings = {
  urgentReserve: 2,
  maxLongPrefills: 1,
  maxPendingForLong: 32_000,
  choices: {urgent: 16, standard: 2, batch: 2},
  calmShare: 1 / 3,
  blockTokens: 2000,
  tokensPerOutstanding: 400,
  failurePenaltyTokens: 20_000,
  reportFadeMs: 3000,
  health: DEFAULT_HEALTH_SETTINGS,
  hints: {maxBlocksPerTarget: 1024, maxLostEvents: 64},
};

/** Work that is sent to a target. */
export interface Attempt {
  readonly id: AttemptId;
  readonly workClass: WorkClass;
  readonly promptTokens: number;
  readonly isLong: boolean;
  /** Ids of the prompt's full blocks, in order; equal ids mean an equal prefix up to there. */
  readonly blocks: readonly string[];
}

interface OwnAttempt {
  readonly attempt: Attempt;
  /** Leading blocks that the target was thought to hold before. */
  readonly hits: number;
  /** Prompt tokens expected to be computed; 0 after the first token. */
  pendingTokens: number;
}

/** The host's own work on a target right after a change. */
interface OwnSample {
  readonly atMs: number;
  readonly outstanding: number;
  readonly pendingTokens: number;
}

/** A target of a pool. Read-only outside this module. */
export interface TargetState {
  readonly id: TargetId;
  readonly hash: number;
  /** Requests that the target can run at a time. */
  slots: number;
  status: TargetStatus;
  readonly health: Health;
  readonly own: Map<AttemptId, OwnAttempt>;
  ownPendingTokens: number;
  ownLongPrefills: number;
  /** Changes of the host's own work since the last report, oldest first. */
  readonly ownHistory: OwnSample[];
  report: LoadReport | undefined;
  /** Load by others at the time of the report. */
  othersOutstanding: number;
  othersPendingTokens: number;
}

/** Targets of one pool as one host sees them. Changed in place by this module only. */
export interface Pool {
  readonly settings: PoolSettings;
  readonly targets: Map<TargetId, TargetState>;
  /** The same targets in the order of a hash of their ids, which is the same on all hosts. */
  readonly order: TargetState[];
  /** Targets that their health excludes at present. */
  readonly unhealthy: Set<TargetState>;
  /** Targets that get long prompts; undefined when it must be computed again. */
  longTargets: ReadonlySet<TargetState> | undefined;
  readonly hints: PrefixHints;
  /** Sum of `othersOutstanding` over all targets. */
  othersTotal: number;
  /** Position of the round-robin policy. */
  nextIndex: number;
}

/** Changes kept between reports; older ones are dropped, which only blurs the others' load. */
const MAX_HISTORY = 1024;

/** A pool without targets; settings that are left out have the default values. */
export function createPool(settings: Partial<PoolSettings> = {}): Pool {
  const merged = {...DEFAULT_POOL_SETTINGS, ...settings};
  return {
    settings: merged,
    targets: new Map(),
    order: [],
    unhealthy: new Set(),
    longTargets: undefined,
    hints: new PrefixHints(merged.hints),
    othersTotal: 0,
    nextIndex: 0,
  };
}

/** Adds a target or changes its number of slots. */
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
    own: new Map(),
    ownPendingTokens: 0,
    ownLongPrefills: 0,
    ownHistory: [],
    report: undefined,
    othersOutstanding: 0,
    othersPendingTokens: 0,
  };
  pool.targets.set(id, target);
  pool.order.splice(findPosition(pool.order, target), 0, target);
  pool.longTargets = undefined;
}

/** Where a target belongs in the order of hashes and ids. */
function findPosition(order: readonly TargetState[], {hash, id}: TargetState): number {
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

/** Applies from the next decision on; work that runs there is left alone. */
export function setTargetStatus(pool: Pool, id: TargetId, status: TargetStatus): void {
  const target = pool.targets.get(id);
  if (!target) return;
  target.status = status;
  pool.longTargets = undefined;
}

/** Forgets a target. Later events of its attempts are ignored. */
export function removeTarget(pool: Pool, id: TargetId): void {
  const target = pool.targets.get(id);
  if (!target) return;
  pool.targets.delete(id);
  pool.order.splice(pool.order.indexOf(target), 1);
  pool.unhealthy.delete(target);
  pool.longTargets = undefined;
  pool.othersTotal -= target.othersOutstanding;
  pool.hints.reset(id);
}

/** Takes a load report; one that was sampled before the last one is ignored. */
export function recordReport(pool: Pool, id: TargetId, report: LoadReport): void {
  const target = pool.targets.get(id);
  if (!target) return;
  if (target.report && report.sampledAtMs < target.report.sampledAtMs) return;
  const {ownHistory} = target;
  let last = -1;
  while (last + 1 < ownHistory.length && ownHistory[last + 1].atMs <= report.sampledAtMs) last++;
  const own = last < 0 ? {outstanding: 0, pendingTokens: 0} : ownHistory[last];
  // The last sample before the report stays, as the baseline of a later report.
  ownHistory.splice(0, last);
  target.report = report;
  pool.othersTotal -= target.othersOutstanding;
  target.othersOutstanding = Math.max(0, report.outstanding - own.outstanding);
  pool.othersTotal += target.othersOutstanding;
  target.othersPendingTokens = Math.max(0, report.pendingPrefillTokens - own.pendingTokens);
}

/** Takes a cache event as a hint. */
export function recordCacheEvent(pool: Pool, id: TargetId, event: CacheEvent): void {
  if (pool.targets.has(id)) pool.hints.applyEvent(id, event);
}

/** Notes that an attempt is being sent. Call it in the same turn as the routing decision. */
export function recordDispatch(pool: Pool, id: TargetId, attempt: Attempt, nowMs: number): void {
  const target = pool.targets.get(id);
  if (!target) return;
  const hits = pool.hints.countHits(id, attempt.blocks);
  const pendingTokens = Math.max(1, attempt.promptTokens - hits * pool.settings.blockTokens);
  target.own.set(attempt.id, {attempt, hits, pendingTokens});
  target.ownPendingTokens += pendingTokens;
  if (attempt.isLong) target.ownLongPrefills++;
  recordHealthDispatch(target.health, attempt.id);
  pool.hints.add(id, attempt.blocks);
  sampleOwn(target, nowMs);
}

/** Notes the first token of an attempt, or the first byte of a service's response. */
export function recordFirstToken(
  pool: Pool,
  id: TargetId,
  attemptId: AttemptId,
  nowMs: number,
): void {
  const target = pool.targets.get(id);
  const own = target?.own.get(attemptId);
  if (!target || !own) return;
  endPrefill(target, own);
  recordHealthProgress(target.health);
  noteHealth(pool, target);
  sampleOwn(target, nowMs);
}

/** Notes the end of an attempt. A second call for the same attempt has no effect. */
export function recordEnd(
  pool: Pool,
  id: TargetId,
  attemptId: AttemptId,
  outcome: AttemptOutcome,
  nowMs: number,
): void {
  const target = pool.targets.get(id);
  const own = target?.own.get(attemptId);
  if (!target || !own) return;
  if (own.pendingTokens > 0 && outcome !== 'finished') {
    pool.hints.removeAfter(id, own.attempt.blocks, own.hits);
  }
  endPrefill(target, own);
  target.own.delete(attemptId);
  recordHealthOutcome(target.health, attemptId, outcome, nowMs, pool.settings.health);
  noteHealth(pool, target);
  // A target that can't be reached has probably restarted without its cache.
  if (outcome === 'unreachable') pool.hints.reset(id);
  sampleOwn(target, nowMs);
}

function noteHealth(pool: Pool, target: TargetState): void {
  const isHealthy = target.health.excludedUntilMs === undefined;
  if (isHealthy !== pool.unhealthy.has(target)) return;
  if (isHealthy) pool.unhealthy.delete(target);
  else pool.unhealthy.add(target);
  pool.longTargets = undefined;
}

function endPrefill(target: TargetState, own: OwnAttempt): void {
  if (own.pendingTokens === 0) return;
  target.ownPendingTokens -= own.pendingTokens;
  if (own.attempt.isLong) target.ownLongPrefills--;
  own.pendingTokens = 0;
}

function sampleOwn(target: TargetState, nowMs: number): void {
  target.ownHistory.push({
    atMs: nowMs,
    outstanding: target.own.size,
    pendingTokens: target.ownPendingTokens,
  });
  if (target.ownHistory.length > MAX_HISTORY) target.ownHistory.shift();
}
