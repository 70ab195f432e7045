import {TeamId} from '@radishgw/core';
import {RequestMeta, Team, TeamLimit} from './model.js';

/**
 * A token bucket that admits a request while its level is above zero. The level may become negative
 * because one request can cost more than the burst; the overshoot is at most one request.
 */
export interface QuotaBucket {
  costPerSecond: number;
  burstCost: number;
  levelCost: number;
  updatedMs: number;
  /**
   * Cost of refused requests whose retry time hasn't been reached. Each refusal gets a later retry
   * time than the previous one, so that clients retry one after the other and are admitted.
   */
  deferredCost: number;
}

/** Maximum time that clients wait to retry; a refusal with a longer delay defers no cost. */
const MAX_DEFERRAL_MS = 1500;

/** Answer to a request for quota. */
export type QuotaAnswer =
  {readonly granted: true} | {readonly granted: false; readonly retryAfterMs: number};

/** Buckets of the teams whose limits this process enforces. */
export interface QuotaState {
  readonly buckets: Map<TeamId, QuotaBucket>;
}

export function createQuotaState(): QuotaState {
  return {buckets: new Map()};
}

/** Share of a team's limit that this process enforces. */
export interface QuotaShare {
  /** Share of the rate. */
  readonly rateShare: number;
  /** Share of the burst. */
  readonly burstShare: number;
  /**
   * Initial level of a new bucket, as a share of its burst: a predecessor may have granted the
   * rest.
   */
  readonly initialBurstShare: number;
  /** Time since which this process enforces the limit; a new bucket is refilled from then on. */
  readonly sinceMs: number;
}

/** Cost of a request against its team's limit. */
export function requestCost(limit: TeamLimit, meta: RequestMeta): number {
  if (!limit.countsTokens) return 1;
  if (meta.promptTokens === undefined) return limit.plainTokens;
  return meta.promptTokens + (meta.maxOutputTokens ?? 0);
}

function refill(bucket: QuotaBucket, nowMs: number): void {
  const elapsedMs = Math.max(0, nowMs - bucket.updatedMs);
  const refilled = (bucket.costPerSecond * elapsedMs) / 1000;
  bucket.levelCost = Math.min(bucket.burstCost, bucket.levelCost + refilled);
  bucket.deferredCost = Math.max(0, bucket.deferredCost - refilled);
  bucket.updatedMs = nowMs;
}

/** Returns the refilled bucket of a team, updated to the current limit. */
function prepareBucket(
  state: QuotaState,
  team: TeamId,
  limit: TeamLimit,
  share: QuotaShare,
  nowMs: number,
): QuotaBucket {
  const costPerSecond = limit.costPerSecond * share.rateShare;
  const burstCost = limit.burstCost * share.burstShare;
  let bucket = state.buckets.get(team);
  if (!bucket) {
    const levelCost = burstCost * share.initialBurstShare;
    const updatedMs = Math.min(share.sinceMs, nowMs);
    bucket = {costPerSecond, burstCost, levelCost, updatedMs, deferredCost: 0};
    state.buckets.set(team, bucket);
  }
  refill(bucket, nowMs);
  bucket.costPerSecond = costPerSecond;
  bucket.burstCost = burstCost;
  bucket.levelCost = Math.min(bucket.levelCost, burstCost);
  return bucket;
}

/** Charges a request against a team's limit; a refusal states when to retry. */
export function takeQuota(
  state: QuotaState,
  team: Team,
  cost: number,
  share: QuotaShare,
  nowMs: number,
): QuotaAnswer {
  if (!team.limit) return {granted: true};
  const bucket = prepareBucket(state, team.id, team.limit, share, nowMs);
  if (bucket.levelCost <= 0) {
    const shortfall = 1 - bucket.levelCost + bucket.deferredCost;
    const retryAfterMs = (shortfall / Math.max(1e-9, bucket.costPerSecond)) * 1000;
    if (retryAfterMs < MAX_DEFERRAL_MS) bucket.deferredCost += cost;
    return {granted: false, retryAfterMs};
  }
  bucket.levelCost -= cost;
  return {granted: true};
}

/** Refunds the cost of a request that wasn't run. */
export function refundQuota(state: QuotaState, team: TeamId, cost: number): void {
  const bucket = state.buckets.get(team);
  if (bucket) bucket.levelCost = Math.min(bucket.burstCost, bucket.levelCost + cost);
}
