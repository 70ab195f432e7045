import {TeamId} from '@radishgw/core';
import {RequestMeta, Team, TeamLimit} from '../model.js';

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

function refill(bucket: QuotaBucket, costPerSecond: number, nowMs: number): void {
  const elapsedMs = Math.max(0, nowMs - bucket.updatedMs);
  const refilled = (costPerSecond * elapsedMs) / 1000;
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
  // The rate may have changed at any time since the last update.
  refill(bucket, Math.min(bucket.costPerSecond, costPerSecond), nowMs);
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

/** What the rule on quotas allows beyond a team's rate and burst. */
export interface QuotaBounds {
  /** Share of the rate and burst, such as 0.1. */
  readonly overageShare: number;
  readonly slackCost: number;
}

/** Part of the excess that the hosts may use together; the rest covers the largest requests. */
const RESERVE_SHARE = 0.5;

/** What one host may grant of a team's quota without the owner. */
interface OwnBucket {
  /** Level of the host's share of the limit, which it has only while it is separate. */
  shareCost: number;
  /** Level of its part of the excess, which it has at all times. */
  reserveCost: number;
  isSeparate: boolean;
  updatedMs: number;
}

/** Buckets of the teams for which this host decides without their owners. */
export type OwnShares = Map<TeamId, OwnBucket>;

/** Inputs of {@link takeOwnShare}. */
export interface OwnShareInputs {
  readonly hostCount: number;
  readonly bounds: QuotaBounds;
  /** Whether the owner leaves this host's share out of its own. */
  readonly isSeparate: boolean;
}

/**
 * Charges a request against what this host may grant without the owner. Unlike the owner's bucket it
 * is never overdrawn, as the overdrafts of all hosts would add up.
 */
export function takeOwnShare(
  shares: OwnShares,
  {id, limit}: Team,
  cost: number,
  {hostCount, bounds, isSeparate}: OwnShareInputs,
  nowMs: number,
): QuotaAnswer {
  if (!limit) return {granted: true};
  const shareRate = limit.costPerSecond / hostCount;
  const excess = RESERVE_SHARE * bounds.overageShare;
  const maxReserve = (excess * limit.burstCost + RESERVE_SHARE * bounds.slackCost) / hostCount;
  let bucket = shares.get(id);
  if (!bucket) {
    bucket = {shareCost: 0, reserveCost: maxReserve, isSeparate: false, updatedMs: nowMs};
    shares.set(id, bucket);
  }
  const elapsedS = Math.max(0, nowMs - bucket.updatedMs) / 1000;
  const refilled = isSeparate && bucket.isSeparate ? shareRate * elapsedS : 0;
  const kept = bucket.isSeparate ? bucket.shareCost : 0;
  bucket.shareCost = isSeparate ? Math.min(limit.burstCost / hostCount, kept + refilled) : 0;
  bucket.reserveCost = Math.min(maxReserve, bucket.reserveCost + excess * shareRate * elapsedS);
  bucket.isSeparate = isSeparate;
  bucket.updatedMs = nowMs;
  const shortfall = cost - bucket.shareCost - bucket.reserveCost;
  if (shortfall > 0) {
    const costPerSecond = (isSeparate ? shareRate : 0) + excess * shareRate;
    return {granted: false, retryAfterMs: (shortfall / Math.max(1e-9, costPerSecond)) * 1000};
  }
  const fromShare = Math.min(cost, bucket.shareCost);
  bucket.shareCost -= fromShare;
  bucket.reserveCost -= cost - fromShare;
  return {granted: true};
}

/** Records that the owner counts this host as in touch again. */
export function endSeparation(shares: OwnShares, team: TeamId): void {
  const bucket = shares.get(team);
  if (bucket) bucket.isSeparate = false;
}
