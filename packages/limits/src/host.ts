import {RequestId, TeamId} from '@radishgw/core';
import {buildConfirm, confirmDueMs, timeOutConfirm} from './host-reserve.js';
import {
  availableGrantTokens,
  averageDemand,
  charge,
  ChargePart,
  getOrCreateLink,
  getOrCreateTeam,
  HostAction,
  HostState,
  recordDemand,
  refreshReserve,
  RefusalReason,
  ShardLink,
  TeamState,
  WaitingRequest,
} from './host-state.js';
import {refundPart, stampParts} from './host-refunds.js';
import {AcquireGrantResponse, GrantReport, Refund} from './messages.js';
import {shardOfTeam} from './placement.js';

/** Unused tokens are returned this long before their grant expires, to reach the owner in time. */
const RETURN_MARGIN_MS = 500;
/** Tokens are prefetched when the expected demand exceeds this many times the latest cost. */
const MIN_PREFETCH_REQUESTS = 2;
/** Minimum interval between prefetches, as a share of the setting `grantHorizonMs`. */
const PREFETCH_INTERVAL_FRACTION = 0.2;
/** Retry time returned to callers when the owner doesn't answer. */
const UNREACHABLE_RETRY_MS = 1000;

/** A request to be admitted. */
export interface LimitRequest {
  readonly requestId: RequestId;
  readonly teamId: TeamId;
  /** Estimated cost in tokens, at least 0. */
  readonly costTokens: number;
  /** Maximum wait before a refusal; defaults to the setting `maxWaitMs`. */
  readonly maxWaitMs?: number;
}

/** Queues a request for tokens. Its `admit` or `refuse` action comes from this or a later call. */
export function requestTokens(
  state: HostState,
  request: LimitRequest,
  nowMs: number,
): HostAction[] {
  const limit = state.findLimit(request.teamId);
  if (!limit) return [refuse(request.requestId, 'unknownTeam', 0)];
  if (request.costTokens > limit.burstTokens) return [refuse(request.requestId, 'aboveBurst', 0)];
  const link = getOrCreateLink(state, shardOfTeam(request.teamId, state.settings.shardCount));
  const team = getOrCreateTeam(state, link, request.teamId, nowMs);
  recordDemand(team, request.costTokens, nowMs);
  const deadlineMs = nowMs + (request.maxWaitMs ?? state.settings.maxWaitMs);
  const {requestId, costTokens} = request;
  team.waiting.push({requestId, costTokens, deadlineMs, answered: false});
  state.activeTeams.add(request.teamId);
  return processQueue(state, link, team, nowMs);
}

/** Settles a finished request at its actual cost and refunds the rest of its estimate. */
export function settleRequest(
  state: HostState,
  teamId: TeamId,
  requestId: RequestId,
  actualTokens: number,
  nowMs: number,
): HostAction[] {
  const team = state.teams.get(teamId);
  const parts = team?.charges.get(requestId);
  if (!team || !parts) return [];
  const link = getOrCreateLink(state, team.shard);
  team.charges.delete(requestId);
  const charged = parts.reduce((sum, part) => sum + part.tokens, 0);
  let unused = Math.max(0, charged - actualTokens);
  // Grants are refunded first because the owner tops up the reserve anyway.
  for (const part of parts) unused = refundPart(state, link, team, part, unused, nowMs);
  return team.waiting.length > 0 ? processQueue(state, link, team, nowMs) : [];
}

/** Removes a waiting request whose caller has disconnected. */
export function cancelRequest(state: HostState, teamId: TeamId, requestId: RequestId): void {
  const waiting = state.teams.get(teamId)?.waiting;
  const index = waiting?.findIndex(request => request.requestId === requestId) ?? -1;
  if (index >= 0) waiting!.splice(index, 1);
}

/** Handles the owner's response to an `acquire` action; undefined when the call failed. */
export function onAcquireResponse(
  state: HostState,
  teamId: TeamId,
  grantId: string,
  response: AcquireGrantResponse | undefined,
  nowMs: number,
): HostAction[] {
  const team = state.teams.get(teamId);
  if (!team?.call || team.call.grantId !== grantId) return [];
  const link = getOrCreateLink(state, team.shard);
  const {call} = team;
  team.call = undefined;
  const isCurrent = response && response.outcome !== 'notOwner' && response.epoch === link.epoch;
  stampParts(state, link, team, call.parts, isCurrent ? response.stamp : undefined, nowMs);
  if (!isCurrent) {
    // A single lost message doesn't pause calls, but an owner that doesn't respond does.
    link.consecutiveFailures++;
    if (link.consecutiveFailures > 1) link.callsPausedUntilMs = nowMs + state.settings.retryPauseMs;
    // The owner may have issued the grant, so the next report closes it.
    team.unsentReports.push({
      grantId,
      spentTokens: 0,
      returnedTokens: 0,
      spentAgeMs: 0,
      closed: true,
    });
    return processQueue(state, link, team, nowMs);
  }
  link.consecutiveFailures = 0;
  link.callsPausedUntilMs = -Infinity;
  for (const request of team.waiting) request.answered = true;
  if (response.outcome === 'granted') {
    acceptGrant(team, link, response, call.sentMs, grantId);
  } else {
    team.retryAfterMs = response.retryAfterMs;
    team.nextAcquireMs = nowMs + response.retryAfterMs;
    team.refusedTokens = call.neededTokens;
  }
  return processQueue(state, link, team, nowMs);
}

function acceptGrant(
  team: TeamState,
  link: ShardLink,
  response: AcquireGrantResponse,
  sentMs: number,
  grantId: string,
): void {
  team.retryAfterMs = 0;
  team.nextAcquireMs = -Infinity;
  if (response.grantedTokens <= 0) return;
  team.grants.push({
    grantId,
    epoch: link.epoch,
    availableTokens: response.grantedTokens,
    spentTokens: 0,
    lastSpentMs: -Infinity,
    validUntilMs: sentMs + response.timeToLiveMs,
  });
}

/** Admits or refuses waiting requests in order, then requests more tokens if needed. */
export function processQueue(
  state: HostState,
  link: ShardLink,
  team: TeamState,
  nowMs: number,
): HostAction[] {
  const actions: HostAction[] = [];
  while (team.waiting.length > 0) {
    const head = team.waiting[0];
    const availableTokens = getAvailableTokens(state, link, team, nowMs);
    if (head.deadlineMs <= nowMs) {
      actions.push(refuseHead(link, team, head));
      team.waiting.shift();
      continue;
    }
    // The owner has just refused this many tokens or fewer, so they aren't requested again.
    if (isRecentlyRefused(team, head.costTokens - availableTokens, nowMs)) head.answered = true;
    if (canAdmit(state, link, team, head, nowMs)) {
      charge(state, link, team, head, nowMs);
      actions.push({type: 'admit', requestId: head.requestId});
    } else if (missesDeadline(link, team, head, nowMs)) {
      actions.push(refuseHead(link, team, head));
    } else {
      break;
    }
    team.waiting.shift();
  }
  acquireIfNeeded(state, link, team, actions, nowMs);
  scheduleTimer(state, link, team, nowMs);
  return actions;
}

/** Tokens that this host can spend now, from grants and from the reserve. */
function getAvailableTokens(
  state: HostState,
  link: ShardLink,
  team: TeamState,
  nowMs: number,
): number {
  return availableGrantTokens(team, nowMs) + refreshReserve(state, link, team, nowMs);
}

function isRecentlyRefused(team: TeamState, neededTokens: number, nowMs: number): boolean {
  return team.nextAcquireMs > nowMs && neededTokens >= team.refusedTokens;
}

function canAdmit(
  state: HostState,
  link: ShardLink,
  team: TeamState,
  head: WaitingRequest,
  nowMs: number,
): boolean {
  const grantTokens = availableGrantTokens(team, nowMs);
  if (grantTokens >= head.costTokens) return true;
  // The reserve is kept for when the owner is unreachable or doesn't have the tokens.
  const ownerAnswers = link.epoch > 0 && link.consecutiveFailures === 0;
  if (ownerAnswers && !head.answered) return false;
  return grantTokens + refreshReserve(state, link, team, nowMs) >= head.costTokens;
}

function missesDeadline(
  link: ShardLink,
  team: TeamState,
  head: WaitingRequest,
  nowMs: number,
): boolean {
  const refused = head.answered && team.call === undefined && team.nextAcquireMs > nowMs;
  return refused && link.consecutiveFailures === 0 && team.nextAcquireMs > head.deadlineMs;
}

function refuseHead(link: ShardLink, team: TeamState, head: WaitingRequest): HostAction {
  const refusedByOwner = head.answered && link.consecutiveFailures === 0;
  if (refusedByOwner) return refuse(head.requestId, 'rateExceeded', team.retryAfterMs);
  return refuse(head.requestId, 'ownerUnreachable', UNREACHABLE_RETRY_MS);
}

function refuse(requestId: RequestId, reason: RefusalReason, retryAfterMs: number): HostAction {
  return {type: 'refuse', requestId, reason, retryAfterMs};
}

function acquireIfNeeded(
  state: HostState,
  link: ShardLink,
  team: TeamState,
  actions: HostAction[],
  nowMs: number,
): void {
  if (team.call || link.epoch === 0 || link.callsPausedUntilMs > nowMs) return;
  const grantTokens = availableGrantTokens(team, nowMs);
  const demand = averageDemand(team, nowMs);
  const prefetchTokens = (demand * state.settings.grantHorizonMs) / 1000;
  const waitingTokens = team.waiting.reduce((sum, request) => sum + request.costTokens, 0);
  const head = team.waiting.at(0);
  if (head) {
    const availableTokens = getAvailableTokens(state, link, team, nowMs);
    const neededTokens = Math.max(0, head.costTokens - availableTokens);
    if (isRecentlyRefused(team, neededTokens, nowMs)) return;
    const wantedTokens = Math.max(head.costTokens, waitingTokens + prefetchTokens) - grantTokens;
    actions.push(buildAcquire(state, link, team, neededTokens, wantedTokens, nowMs));
    return;
  }
  if (team.nextAcquireMs > nowMs) return;
  const isSteady = prefetchTokens > MIN_PREFETCH_REQUESTS * team.lastCostTokens;
  if (
    isSteady &&
    !state.isStopping &&
    grantTokens < prefetchTokens / 2 &&
    team.nextPrefetchMs <= nowMs
  ) {
    team.nextPrefetchMs = nowMs + state.settings.grantHorizonMs * PREFETCH_INTERVAL_FRACTION;
    actions.push(buildAcquire(state, link, team, 0, prefetchTokens - grantTokens, nowMs));
  } else if (hasTokensToReturn(team, nowMs)) {
    actions.push(buildAcquire(state, link, team, 0, 0, nowMs));
  }
}

function hasTokensToReturn(team: TeamState, nowMs: number): boolean {
  if (team.unsentReports.length > 0 || team.refundDueMs <= nowMs) return true;
  return team.grants.some(grant => grant.validUntilMs - nowMs <= RETURN_MARGIN_MS);
}

function buildAcquire(
  state: HostState,
  link: ShardLink,
  team: TeamState,
  neededTokens: number,
  wantedTokens: number,
  nowMs: number,
): HostAction {
  const grantId = `${state.sessionId}:${state.nextGrantNumber++}`;
  const reports = collectGrantReports(link, team, nowMs);
  const refunds: Refund[] = team.grantRefunds;
  team.grantRefunds = [];
  team.refundDueMs = Infinity;
  const parts = takeUnreported(team, part => part.grant !== undefined);
  team.call = {
    grantId,
    sentMs: nowMs,
    deadlineMs: nowMs + state.settings.callTimeoutMs,
    neededTokens,
    parts,
  };
  const {hostId, sessionId, configRevision} = state;
  const {shard, epoch} = link;
  const {teamId} = team;
  const ids = {hostId, sessionId, shard, epoch, grantId, teamId, configRevision};
  return {type: 'acquire', request: {...ids, neededTokens, wantedTokens, reports, refunds}};
}

/** Removes the selected unreported charge parts from a team and marks them as sent. */
function takeUnreported(team: TeamState, select: (part: ChargePart) => boolean): ChargePart[] {
  const parts = team.unreported.filter(select);
  team.unreported = team.unreported.filter(part => !select(part));
  for (const part of parts) part.state = 'sent';
  return parts;
}

/** Reports all grants. Grants near expiry are closed and their remaining tokens returned. */
function collectGrantReports(link: ShardLink, team: TeamState, nowMs: number): GrantReport[] {
  const reports = [...team.unsentReports];
  const kept = [];
  team.unsentReports = [];
  for (const grant of team.grants) {
    const isEmpty = grant.availableTokens <= 0;
    const closed = isEmpty || grant.validUntilMs - nowMs <= RETURN_MARGIN_MS;
    const {grantId, spentTokens} = grant;
    const spentAgeMs = spentTokens > 0 ? nowMs - grant.lastSpentMs : 0;
    const returnedTokens = closed ? grant.availableTokens : 0;
    if (closed) grant.availableTokens = 0;
    else kept.push(grant);
    const report = {grantId, spentTokens, returnedTokens, spentAgeMs, closed};
    if (grant.epoch === link.epoch) reports.push(report);
  }
  team.grants = kept;
  return reports;
}

function scheduleTimer(state: HostState, link: ShardLink, team: TeamState, nowMs: number): void {
  state.nextTimerMs = Math.min(state.nextTimerMs, teamDueMs(link, team, nowMs));
}

function teamDueMs(link: ShardLink, team: TeamState, nowMs: number): number {
  let dueMs = team.call?.deadlineMs ?? Infinity;
  const head = team.waiting.at(0);
  const acquireMs = Math.max(team.nextAcquireMs, link.callsPausedUntilMs, nowMs);
  if (head) dueMs = Math.min(dueMs, head.deadlineMs);
  const needsAcquire = head !== undefined || team.unsentReports.length > 0;
  if (needsAcquire && !team.call && link.epoch > 0) dueMs = Math.min(dueMs, acquireMs);
  if (team.call) return dueMs;
  if (team.refundDueMs < Infinity) dueMs = Math.min(dueMs, Math.max(acquireMs, team.refundDueMs));
  for (const grant of team.grants) {
    dueMs = Math.min(dueMs, Math.max(acquireMs, grant.validUntilMs - RETURN_MARGIN_MS));
  }
  return dueMs;
}

/** Performs all due work: timeouts, retries, returned tokens and confirmations. */
export function processHostTimers(state: HostState, nowMs: number): HostAction[] {
  const actions: HostAction[] = [];
  state.nextTimerMs = Infinity;
  for (const teamId of state.activeTeams) {
    const team = state.teams.get(teamId)!;
    const link = getOrCreateLink(state, team.shard);
    if (team.call && team.call.deadlineMs <= nowMs) {
      actions.push(...onAcquireResponse(state, teamId, team.call.grantId, undefined, nowMs));
    } else if (teamDueMs(link, team, nowMs) <= nowMs) {
      actions.push(...processQueue(state, link, team, nowMs));
    } else {
      scheduleTimer(state, link, team, nowMs);
    }
    if (isIdle(team)) state.activeTeams.delete(teamId);
  }
  for (const link of state.links.values()) {
    timeOutConfirm(state, link, nowMs);
    actions.push(...buildConfirm(state, link, nowMs));
    state.nextTimerMs = Math.min(state.nextTimerMs, confirmDueMs(state, link));
  }
  return actions;
}

function isIdle(team: TeamState): boolean {
  const {waiting, call, grants, unsentReports, grantRefunds} = team;
  const open = waiting.length + grants.length + unsentReports.length + grantRefunds.length;
  return open === 0 && call === undefined;
}

/** Time at which {@link processHostTimers} is next due; Infinity if nothing is scheduled. */
export function nextHostTimerMs(state: HostState): number {
  return state.nextTimerMs;
}
