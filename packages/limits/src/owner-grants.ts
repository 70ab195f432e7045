import {assertInvariant} from '@radishgw/core';
import {leastHeadroomSince, recordHeadroom} from './bucket.js';
import {AcquireGrantRequest, AcquireGrantResponse, GrantReport} from './messages.js';
import {ConfirmReply, recallReserves} from './owner-reserve.js';
import {
  applyRefund,
  assumedTokens,
  hasAuthority,
  heldBy,
  openTeam,
  OwnerState,
  settleLevel,
  takeLostRefill,
  TeamAccount,
} from './owner-state.js';

/** Share of the level beyond the needed tokens that one host may take ahead of its demand. */
const AHEAD_SHARE = 0.5;
/** Expected time for reserves at other hosts to come back: two message delays and a margin. */
const RECALL_WAIT_MS = 10;
/** A recall that brought nothing for this long isn't waited for any more. */
const RECALL_PATIENCE_MS = 50;
/** Pause between two recalls of a team's reserves. */
const RECALL_PERIOD_MS = 1000;
/** Time after which to ask again when enough tokens are in grants that may be returned. */
const RETURN_WAIT_MS = 200;
/** Least pause between two requests for the same tokens. */
const MIN_WAIT_MS = 5;

/** Result of a grant request: its response and replies to confirmations that it caused. */
export interface AcquireResult {
  readonly response: AcquireGrantResponse;
  readonly replies: readonly ConfirmReply[];
}

/** Answers a host that asks for tokens. */
export function handleAcquire(
  state: OwnerState,
  request: AcquireGrantRequest,
  nowMs: number,
): AcquireResult {
  if (!hasAuthority(state, nowMs) || request.epoch > state.epoch) {
    return {response: answer(state, 'notOwner', 0, 0, 0), replies: []};
  }
  const team = openTeam(state, request.teamId, nowMs);
  if (!team) return {response: answer(state, 'refused', 0, 0, 0), replies: []};
  let refundableTokens = Infinity;
  if (request.epoch === state.epoch) {
    const drift = state.settings.clockDriftFraction;
    for (const report of request.reports) {
      const refundable = applyGrantReport(team, report, drift, nowMs);
      refundableTokens = Math.min(refundableTokens, refundable);
    }
    for (const refund of request.refunds) applyRefund(team, refund);
  }
  const settledStamp = settleLevel(state, request.teamId, team, nowMs);
  const stamp = boundRefunds(team, settledStamp, refundableTokens);
  const {levelTokens, limit, outstandingTokens} = team;
  const assumed = assumedTokens(state, team, nowMs);
  const room = Math.max(0, limit.burstTokens - outstandingTokens - assumed);
  if (request.neededTokens > Math.min(levelTokens, room)) {
    return refuseGrant(state, request, team, stamp, nowMs);
  }
  const most = limit.burstTokens * state.settings.outstandingFraction;
  const ordinaryRoom = Math.max(0, most - outstandingTokens - assumed);
  const isLarge = request.neededTokens > ordinaryRoom;
  const ahead = Math.max(0, request.wantedTokens - request.neededTokens);
  const share = (levelTokens - request.neededTokens) * AHEAD_SHARE;
  const extra = isLarge ? 0 : Math.min(ahead, share, ordinaryRoom - request.neededTokens);
  const granted = request.neededTokens + extra;
  const {grantTtlMs, largeGrantTtlMs} = state.settings;
  const timeToLiveMs = isLarge ? largeGrantTtlMs : grantTtlMs;
  issueGrant(state, request, team, granted, timeToLiveMs, nowMs);
  return {response: {...answer(state, 'granted', granted, 0, stamp), timeToLiveMs}, replies: []};
}

function issueGrant(
  state: OwnerState,
  request: AcquireGrantRequest,
  team: TeamAccount,
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
  settleLevel(state, request.teamId, team, nowMs);
}

/**
 * Bounds refunds of the charges that this response stamps. Their room was filled with refill that
 * was lost, so no more than the rest of it can be refunded.
 */
function boundRefunds(team: TeamAccount, stamp: number, refundableTokens: number): number {
  if (refundableTokens >= leastHeadroomSince(team.log, stamp)) return stamp;
  return recordHeadroom(team.log, refundableTokens);
}

/** Returns the part of the spent tokens that a refund may still give back. */
function applyGrantReport(
  team: TeamAccount,
  report: GrantReport,
  clockDriftFraction: number,
  nowMs: number,
): number {
  const grant = team.grants.get(report.grantId);
  // The tokens of an ended grant already count as spent.
  if (!grant) return Infinity;
  const spent = Math.max(0, report.spentTokens - grant.spentTokens);
  const returned = Math.max(0, report.returnedTokens - grant.returnedTokens);
  const used = Math.min(grant.openTokens, spent);
  const back = Math.min(grant.openTokens - used, report.closed ? grant.openTokens : returned);
  grant.openTokens -= used + back;
  grant.spentTokens += spent;
  grant.returnedTokens += returned;
  team.outstandingTokens -= used + back;
  team.levelTokens += back;
  // Until now these tokens counted as outstanding, so refill since their spending may be lost.
  const spentByMs = nowMs - report.spentAgeMs * (1 - clockDriftFraction);
  const credit = takeLostRefill(team, spentByMs, used);
  team.levelTokens += credit;
  if (report.closed) team.grants.delete(report.grantId);
  return credit > 0 ? used - credit : Infinity;
}

function refuseGrant(
  state: OwnerState,
  request: AcquireGrantRequest,
  team: TeamAccount,
  stamp: number,
  nowMs: number,
): AcquireResult {
  const missing = request.neededTokens - team.levelTokens;
  const refillMs = (missing / team.limit.tokensPerSecond) * 1000;
  const recallable = sumRecallable(state, request, team);
  const sinceRecallMs = nowMs - team.lastRecallMs;
  const replies: ConfirmReply[] = [];
  if (recallable > 0 && sinceRecallMs > RECALL_PERIOD_MS) {
    team.lastRecallMs = nowMs;
    replies.push(...recallReserves(state, request, nowMs));
  }
  const recalling = recallable > 0 && nowMs - team.lastRecallMs <= RECALL_PATIENCE_MS;
  let waitMs = Math.max(MIN_WAIT_MS, refillMs);
  if (recalling) waitMs = Math.min(waitMs, RECALL_WAIT_MS);
  else if (team.outstandingTokens + recallable >= missing)
    waitMs = Math.min(waitMs, RETURN_WAIT_MS);
  return {response: answer(state, 'refused', 0, waitMs, stamp), replies};
}

function sumRecallable(state: OwnerState, request: AcquireGrantRequest, team: TeamAccount): number {
  let sum = 0;
  for (const holder of state.holders.values()) {
    if (!holder.synced || holder.hostId === request.hostId) continue;
    sum += heldBy(state, holder, request.teamId, team);
  }
  return sum;
}

function answer(
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
