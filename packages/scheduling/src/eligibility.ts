import {TargetId} from '@radishgw/core';
import {getHealthState} from './health.js';
import {Pool, TargetState} from './pool.js';
import {WorkClass} from './work.js';

/** Time after a report in which the remote prompts pending in it are assumed to be prefilled. */
const REMOTE_PREFILL_MS = 1000;

/** Estimated load of a target: this host's current load plus the remote load last reported. */
export interface EstimatedLoad {
  readonly outstanding: number;
  readonly pendingTokens: number;
  /** Age of the report in use; undefined if there is none. */
  readonly reportAgeMs: number | undefined;
}

/**
 * Estimates a target's load at `nowMs`. Local load, from this host, is exact; remote load, from
 * other hosts, is taken from the last report and decays with its age.
 */
export function estimateLoad(pool: Pool, target: TargetState, nowMs: number): EstimatedLoad {
  const ageMs = target.report && nowMs - target.report.sampledAtMs;
  const weight = ageMs === undefined ? 0 : Math.max(0, 1 - ageMs / pool.settings.reportDecayMs);
  const meanRemoteOutstanding = pool.totalRemoteOutstanding / pool.order.length;
  const pendingWeight = ageMs === undefined ? 0 : Math.max(0, 1 - ageMs / REMOTE_PREFILL_MS);
  return {
    outstanding:
      target.localAttempts.size +
      weight * target.remoteOutstanding +
      (1 - weight) * meanRemoteOutstanding,
    pendingTokens: target.localPendingTokens + pendingWeight * target.remotePendingTokens,
    reportAgeMs: weight > 0 ? ageMs : undefined,
  };
}

/** Reason why a target can't take an attempt. */
export type Exclusion = 'status' | 'health' | 'slots' | 'longPrefill' | 'tried';

/** A request to be routed to a target. */
export interface RouteRequest {
  readonly workClass: WorkClass;
  readonly promptTokens: number;
  readonly isLong: boolean;
  readonly blocks: readonly string[];
  /** Long prompts of a lagging team may use the targets reserved for short ones; default false. */
  readonly isLagging?: boolean;
  /** Targets to which this request has already been sent. */
  readonly tried?: ReadonlySet<TargetId>;
  /** Idempotent requests are preferred as probes of failed targets; false by default. */
  readonly isIdempotent?: boolean;
}

/** The properties of a request that decide whether a target can take it. */
export type PlacementRequest = Pick<RouteRequest, 'workClass' | 'isLong' | 'isLagging' | 'tried'>;

/**
 * Returns the reason why a target can't take a request, or undefined if it can. With `probe`, only
 * targets whose probe is due are accepted.
 */
export function findExclusion(
  pool: Pool,
  target: TargetState,
  request: PlacementRequest,
  nowMs: number,
  probe = false,
): Exclusion | undefined {
  if (target.status !== 'serving') return 'status';
  if (request.tried?.has(target.id)) return 'tried';
  const requiredState = probe ? 'probeDue' : 'healthy';
  if (getHealthState(target.health, nowMs) !== requiredState) return 'health';
  const {settings} = pool;
  const load = estimateLoad(pool, target, nowMs);
  // One slot is never reserved, so that an idle target with few slots still takes other classes.
  const reserve =
    request.workClass === 'urgent' ? 0 : Math.min(settings.urgentReservedSlots, target.slots - 1);
  if (load.outstanding >= target.slots - reserve) return 'slots';
  if (!request.isLong) return undefined;
  const isFull =
    target.localLongPrefills >= settings.maxLongPrefills ||
    (!probe && !request.isLagging && !findLongPromptTargets(pool).has(target));
  return isFull || load.pendingTokens > settings.maxPendingTokensForLong
    ? 'longPrefill'
    : undefined;
}

/** Whether any target can take the request. Usually the first target checked can. */
export function hasCapacity(pool: Pool, request: PlacementRequest, nowMs: number): boolean {
  for (const target of pool.order) {
    if (findExclusion(pool, target, request, nowMs) === undefined) return true;
  }
  return findFallbackProbe(pool, request, nowMs) !== undefined;
}

/**
 * Returns a target whose probe is due if no serving target is healthy. Any request may then act as
 * the probe; otherwise requests that are unsuitable as probes would wait forever for a target to
 * recover.
 */
export function findFallbackProbe(
  pool: Pool,
  request: PlacementRequest,
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

/**
 * Returns the usable targets that accept long prompts: all but the last ones in hash order, which
 * are reserved for short prompts.
 */
function findLongPromptTargets(pool: Pool): ReadonlySet<TargetState> {
  if (!pool.longPromptTargets) {
    const usable = pool.order.filter(
      target => target.status === 'serving' && !pool.unhealthy.has(target),
    );
    const shortOnlyCount = Math.floor(usable.length * pool.settings.shortOnlyShare);
    pool.longPromptTargets = new Set(usable.slice(0, usable.length - shortOnlyCount));
  }
  return pool.longPromptTargets;
}
