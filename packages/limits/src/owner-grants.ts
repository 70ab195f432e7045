import {assertInvariant} from '@radishgw/core';
import {minHeadroomSince, recordHeadroom} from './bucket.js';
import {AcquireGrantRequest, AcquireGrantResponse, GrantReport} from './messages.js';
import {ConfirmReply, recallReserves} from './owner-reserve.js';
import {
  applyRefund,
  assumedTokens,
  capLevel,
  claimLostRefill,
  getOrCreateBucket,
  hasAuthority,
  OwnerState,
  reserveTokensOf,
  TeamBucket,
} from './owner-state.js';

/** Share of the bucket's remaining tokens, after the needed ones, that a grant may prefetch. */
const PREFETCH_FRACTION = 0.5;
/** Expected time for other hosts to return recalled reserves: two message delays and a margin. */
const RECALL_ROUND_TRIP_MS = 10;
/** Time after a recall in which the retry time of refusals assumes that its tokens will return. */
const RECALL_TIMEOUT_MS = 50;
/** Minimum interval between two recalls of a team's reserves. */
const RECALL_INTERVAL_MS = 1000;
/** Maximum retry time when unused grants and reserves of hosts could cover the request. */
const RETURN_RETRY_MS = 200;
/** Minimum pause before a host repeats a refused request. */
const MIN_RETRY_MS = 5;

/** Response to a grant request, and the replies to held confirmations that it triggered. */
export interface AcquireResult {
  readonly response: AcquireGrantResponse;
  readonly replies: readonly ConfirmReply[];
}

/** Handles a grant request: applies its reports and refunds, then grants or refuses the tokens. */
export function handleAcquire(
  state: OwnerState,
  request: AcquireGrantRequest,
  nowMs: number,
): AcquireResult {
  if (!hasAuthority(state, nowMs) || request.epoch > state.epoch) {
    return {response: createResponse(state, 'notOwner', 0, 0, 0), replies: []};
  }
  const team = getOrCreateBucket(state, request.teamId, nowMs);
  if (!team) return {response: createResponse(state, 'refused', 0, 0, 0), replies: []};
  let refundableTokens = Infinity;
  if (request.epoch === state.epoch) {
    const drift = state.settings.clockDriftFraction;
    for (const report of request.reports) {
      const refundable = applyGrantReport(team, report, drift, nowMs);
      refundableTokens = Math.min(refundableTokens, refundable);
    }
    for (const refund of request.refunds) applyRefund(team, refund);
  }
  const settledStamp = capLevel(state, request.teamId, team, nowMs);
  const stamp = boundRefunds(team, settledStamp, refundableTokens);
  const {levelTokens, limit, outstandingTokens} = team;
  const formerTokens = assumedTokens(state, team, nowMs);
  const headroomTokens = Math.max(0, limit.burstTokens - outstandingTokens - formerTokens);
  if (request.neededTokens > Math.min(levelTokens, headroomTokens)) {
    return refuseGrant(state, request, team, stamp, nowMs);
  }
  const maxOrdinaryTokens = limit.burstTokens * state.settings.outstandingFraction;
  const ordinaryHeadroomTokens = Math.max(0, maxOrdinaryTokens - outstandingTokens - formerTokens);
  const isLarge = request.neededTokens > ordinaryHeadroomTokens;
  const prefetchTokens = Math.max(0, request.wantedTokens - request.neededTokens);
  const prefetchCapTokens = (levelTokens - request.neededTokens) * PREFETCH_FRACTION;
  const extraTokens = isLarge
    ? 0
    : Math.min(prefetchTokens, prefetchCapTokens, ordinaryHeadroomTokens - request.neededTokens);
  const grantedTokens = request.neededTokens + extraTokens;
  const {grantTtlMs, largeGrantTtlMs} = state.settings;
  const timeToLiveMs = isLarge ? largeGrantTtlMs : grantTtlMs;
  issueGrant(state, request, team, grantedTokens, timeToLiveMs, nowMs);
  return {
    response: {...createResponse(state, 'granted', grantedTokens, 0, stamp), timeToLiveMs},
    replies: [],
  };
}

function issueGrant(
  state: OwnerState,
  request: AcquireGrantRequest,
  team: TeamBucket,
  tokens: number,
  timeToLiveMs: number,
  nowMs: number,
): void {
  if (tokens <= 0) return;
  const {clockDriftFraction} = state.settings;
  team.levelTokens -= tokens;
  team.outstandingTokens += tokens;
  assertInvariant(
    team.levelTokens >= -1e-6 * team.limit.burstTokens,
    'limits.conformance',
    () => `team ${request.teamId}: ${tokens} tokens granted leave level ${team.levelTokens}`,
  );
  team.grants.set(request.grantId, {
    sessionId: request.sessionId,
    openTokens: tokens,
    spentTokens: 0,
    returnedTokens: 0,
    endsMs: nowMs + timeToLiveMs * (1 + clockDriftFraction),
  });
  capLevel(state, request.teamId, team, nowMs);
}

/**
 * Limits later refunds of the charges stamped by this response to `refundableTokens`. Part of the
 * headroom that these charges left was already used to credit lost refill.
 */
function boundRefunds(team: TeamBucket, stamp: number, refundableTokens: number): number {
  if (refundableTokens >= minHeadroomSince(team.headroomLog, stamp)) return stamp;
  return recordHeadroom(team.headroomLog, refundableTokens);
}

/** Applies a report; returns the spent tokens that may still be refunded, Infinity for no bound. */
function applyGrantReport(
  team: TeamBucket,
  report: GrantReport,
  clockDriftFraction: number,
  nowMs: number,
): number {
  const grant = team.grants.get(report.grantId);
  // The tokens of an ended grant already count as spent.
  if (!grant) return Infinity;
  const spent = Math.max(0, report.spentTokens - grant.spentTokens);
  const returned = Math.max(0, report.returnedTokens - grant.returnedTokens);
  const usedTokens = Math.min(grant.openTokens, spent);
  const returnedTokens = Math.min(
    grant.openTokens - usedTokens,
    report.closed ? grant.openTokens : returned,
  );
  grant.openTokens -= usedTokens + returnedTokens;
  grant.spentTokens += spent;
  grant.returnedTokens += returned;
  team.outstandingTokens -= usedTokens + returnedTokens;
  team.levelTokens += returnedTokens;
  // These tokens counted as outstanding until now, so refill since their spending may be lost.
  const spentByMs = nowMs - report.spentAgeMs * (1 - clockDriftFraction);
  const credit = claimLostRefill(team, spentByMs, usedTokens);
  team.levelTokens += credit;
  if (report.closed) team.grants.delete(report.grantId);
  return credit > 0 ? usedTokens - credit : Infinity;
}

function refuseGrant(
  state: OwnerState,
  request: AcquireGrantRequest,
  team: TeamBucket,
  stamp: number,
  nowMs: number,
): AcquireResult {
  const missingTokens = request.neededTokens - team.levelTokens;
  const refillMs = (missingTokens / team.limit.tokensPerSecond) * 1000;
  const recallableTokens = sumRecallable(state, request, team);
  const sinceRecallMs = nowMs - team.lastRecallMs;
  const replies: ConfirmReply[] = [];
  if (recallableTokens > 0 && sinceRecallMs > RECALL_INTERVAL_MS) {
    team.lastRecallMs = nowMs;
    replies.push(...recallReserves(state, request, nowMs));
  }
  const isRecalling = recallableTokens > 0 && nowMs - team.lastRecallMs <= RECALL_TIMEOUT_MS;
  let waitMs = Math.max(MIN_RETRY_MS, refillMs);
  if (isRecalling) waitMs = Math.min(waitMs, RECALL_ROUND_TRIP_MS);
  else if (team.outstandingTokens + recallableTokens >= missingTokens)
    waitMs = Math.min(waitMs, RETURN_RETRY_MS);
  return {response: createResponse(state, 'refused', 0, waitMs, stamp), replies};
}

function sumRecallable(state: OwnerState, request: AcquireGrantRequest, team: TeamBucket): number {
  let sum = 0;
  for (const holder of state.holders.values()) {
    if (!holder.synced || holder.hostId === request.hostId) continue;
    sum += reserveTokensOf(state, holder, request.teamId, team);
  }
  return sum;
}

function createResponse(
  state: OwnerState,
  outcome: AcquireGrantResponse['outcome'],
  grantedTokens: number,
  retryAfterMs: number,
  stamp: number,
): AcquireGrantResponse {
  const {epoch, settings} = state;
  const timeToLiveMs = settings.grantTtlMs;
  return {outcome, grantedTokens, timeToLiveMs, retryAfterMs, epoch, stamp};
}
