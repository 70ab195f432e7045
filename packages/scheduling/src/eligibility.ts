import {TargetId} from '@radishgw/core';
import {describeHealth} from './health.js';
import {Pool, TargetState} from './pool.js';
import {WorkClass} from './work.js';

/** Time after which others' prompts that were pending at a report count as computed. */
const OTHERS_PREFILL_MS = 1000;

/** Load of a target: others' load at the last report, and the host's own work at present. */
export interface EstimatedLoad {
  readonly outstanding: number;
  readonly pendingTokens: number;
  /** Age of the report in use; undefined without one. */
  readonly reportAgeMs: number | undefined;
}

/** Estimates a target's load at `nowMs`; own work is counted exactly, others' work by report. */
export function estimateLoad(pool: Pool, target: TargetState, nowMs: number): EstimatedLoad {
  const ageMs = target.report && nowMs - target.report.sampledAtMs;
  const weight = ageMs === undefined ? 0 : Math.max(0, 1 - ageMs / pool.settings.reportFadeMs);
  const meanOfOthers = pool.othersTotal / pool.order.length;
  const pendingWeight = ageMs === undefined ? 0 : Math.max(0, 1 - ageMs / OTHERS_PREFILL_MS);
  return {
    outstanding: target.own.size + weight * target.othersOutstanding + (1 - weight) * meanOfOthers,
    pendingTokens: target.ownPendingTokens + pendingWeight * target.othersPendingTokens,
    reportAgeMs: weight > 0 ? ageMs : undefined,
  };
}

/** Why a target can't take an attempt; undefined if it can. */
export type Exclusion = 'status' | 'health' | 'slots' | 'longPrefill' | 'tried';

/** Work to be placed. */
export interface RouteRequest {
  readonly workClass: WorkClass;
  readonly promptTokens: number;
  readonly isLong: boolean;
  readonly blocks: readonly string[];
  /** Work of a team that is behind may use the calm targets; false by default. */
  readonly isOwed?: boolean;
  /** Targets that this request has already been sent to. */
  readonly tried?: ReadonlySet<TargetId>;
  /** Work that may run twice is preferred for probes of failed targets; false by default. */
  readonly mayRunTwice?: boolean;
}

/** What decides whether a target can take a request. */
export type Placement = Pick<RouteRequest, 'workClass' | 'isLong' | 'isOwed' | 'tried'>;

/** Checks one target for a kind of work. With `probe`, only targets whose probe is due pass. */
export function findExclusion(
  pool: Pool,
  target: TargetState,
  request: Placement,
  nowMs: number,
  probe = false,
): Exclusion | undefined {
  if (target.status !== 'serving') return 'status';
  if (request.tried?.has(target.id)) return 'tried';
  const wanted = probe ? 'probeDue' : 'healthy';
  if (describeHealth(target.health, nowMs) !== wanted) return 'health';
  const {settings} = pool;
  const load = estimateLoad(pool, target, nowMs);
  const reserve = request.workClass === 'urgent' ? 0 : settings.urgentReserve;
  if (load.outstanding >= target.slots - reserve) return 'slots';
  if (!request.isLong) return undefined;
  const isFull =
    target.ownLongPrefills >= settings.maxLongPrefills ||
    (!probe && !request.isOwed && !findLongTargets(pool).has(target));
  return isFull || load.pendingTokens > settings.maxPendingForLong ? 'longPrefill' : undefined;
}

/** Whether some target can take work of this kind. Usually the first target looked at can. */
export function hasRoom(pool: Pool, request: Placement, nowMs: number): boolean {
  for (const target of pool.order) {
    if (findExclusion(pool, target, request, nowMs) === undefined) return true;
  }
  return findLastResort(pool, request, nowMs) !== undefined;
}

/**
 * A target whose probe is due, for any kind of work, if no serving target is healthy. Otherwise
 * work that makes no good probe would wait for ever for the target to recover.
 */
export function findLastResort(
  pool: Pool,
  request: Placement,
  nowMs: number,
): TargetState | undefined {
  for (const target of pool.order) {
    if (target.status === 'serving' && !pool.unhealthy.has(target)) return undefined;
  }
  for (const target of pool.unhealthy) {
    if (findExclusion(pool, target, request, nowMs, true) === undefined) return target;
  }
  return undefined;
}

/** The usable targets without the last ones in the fixed order, which stay calm. */
function findLongTargets(pool: Pool): ReadonlySet<TargetState> {
  if (!pool.longTargets) {
    const usable = pool.order.filter(
      target => target.status === 'serving' && !pool.unhealthy.has(target),
    );
    const calm = Math.floor(usable.length * pool.settings.calmShare);
    pool.longTargets = new Set(usable.slice(0, usable.length - calm));
  }
  return pool.longTargets;
}
