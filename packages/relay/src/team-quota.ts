import {TeamId} from '@radishgw/core';
import {RequestMeta, Team, TeamLimit} from './model.js';

/**
 * A bucket that admits while its level is above zero and may go below it by one request: a request
 * can cost more than the burst. The overshoot is one request at most.
 */
export interface QuotaBucket {
  costPerSecond: number;
  burstCost: number;
  levelCost: number;
  updatedMs: number;
  /**
   * Cost of refused requests that were told to come back and whose time hasn't come. Each is told a
   * later time than the one before, so that clients come back in turn and find room.
   */
  promisedCost: number;
}

/** Clients don't stay away for longer, so that room is promised only within this time. */
const MAX_PROMISE_MS = 1500;

/** Answer to a request for quota. */
export type QuotaAnswer =
  {readonly granted: true} | {readonly granted: false; readonly retryAfterMs: number};

/** Buckets of the teams that one process decides on. */
export interface QuotaState {
  readonly buckets: Map<TeamId, QuotaBucket>;
}

export function createQuotaState(): QuotaState {
  return {buckets: new Map()};
}

/** What part of a team's limit one process decides on. */
export interface QuotaShare {
  /** Part of the rate. */
  readonly ofRate: number;
  /** Part of the burst. */
  readonly ofBurst: number;
  /** Part of the burst with which a new bucket starts: a predecessor may have granted the rest. */
  readonly ofBurstAtStart: number;
  /** Since when this process has decided on the team; a new bucket has refilled since then. */
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
  bucket.promisedCost = Math.max(0, bucket.promisedCost - refilled);
  bucket.updatedMs = nowMs;
}

/** The bucket of a team under the limit in force. */
function prepareBucket(
  state: QuotaState,
  team: TeamId,
  limit: TeamLimit,
  share: QuotaShare,
  nowMs: number,
): QuotaBucket {
  const costPerSecond = limit.costPerSecond * share.ofRate;
  const burstCost = limit.burstCost * share.ofBurst;
  let bucket = state.buckets.get(team);
  if (!bucket) {
    const levelCost = burstCost * share.ofBurstAtStart;
    const updatedMs = Math.min(share.sinceMs, nowMs);
    bucket = {costPerSecond, burstCost, levelCost, updatedMs, promisedCost: 0};
    state.buckets.set(team, bucket);
  }
  refill(bucket, nowMs);
  bucket.costPerSecond = costPerSecond;
  bucket.burstCost = burstCost;
  bucket.levelCost = Math.min(bucket.levelCost, burstCost);
  return bucket;
}

/** Charges a request against a team's limit, or says when to come back. */
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
    const missing = 1 - bucket.levelCost + bucket.promisedCost;
    const retryAfterMs = (missing / Math.max(1e-9, bucket.costPerSecond)) * 1000;
    if (retryAfterMs < MAX_PROMISE_MS) bucket.promisedCost += cost;
    return {granted: false, retryAfterMs};
  }
  bucket.levelCost -= cost;
  return {granted: true};
}

/** Gives back the cost of a request that hasn't run. */
export function returnQuota(state: QuotaState, team: TeamId, cost: number): void {
  const bucket = state.buckets.get(team);
  if (bucket) bucket.levelCost = Math.min(bucket.burstCost, bucket.levelCost + cost);
}
