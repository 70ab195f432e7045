import {RequestId, TeamId} from '@radishgw/core';
import {buildConfirm, confirmDueMs, expireConfirm} from './host-reserve.js';
import {
  availableInGrants,
  averageDemand,
  charge,
  ChargePart,
  HostAction,
  HostState,
  openHolding,
  openLink,
  recordDemand,
  refreshReserve,
  RefusalReason,
  ShardLink,
  TeamHolding,
  WaitingRequest,
} from './host-state.js';
import {refundPart, stampParts} from './host-refunds.js';
import {AcquireGrantResponse, GrantReport, Refund} from './messages.js';
import {shardOfTeam} from './placement.js';

/** Unused tokens go back this long before their grant ends, so that the owner hears in time. */
const RETURN_AHEAD_MS = 500;
/** Tokens are asked for ahead when the demand average covers this many of the latest requests. */
const AHEAD_REQUESTS = 2;
/** Least pause between requests ahead, as a share of the time that a grant covers. */
const AHEAD_PAUSE_SHARE = 0.2;
/** Retry time stated to callers when the owner doesn't answer. */
const UNREACHABLE_RETRY_MS = 1000;

/** A request that needs tokens. */
export interface LimitRequest {
  readonly requestId: RequestId;
  readonly teamId: TeamId;
  /** Estimated cost in tokens, at least 0. */
  readonly costTokens: number;
  /** Longest wait before a refusal; the setting `maxWaitMs` by default. */
  readonly maxWaitMs?: number;
}

/** Asks for tokens. The answer is an `admit` or `refuse` action, now or from a later call. */
export function requestTokens(
  state: HostState,
  request: LimitRequest,
  nowMs: number,
): HostAction[] {
  const limit = state.findLimit(request.teamId);
  if (!limit) return [refuse(request.requestId, 'unknownTeam', 0)];
  if (request.costTokens > limit.burstTokens) return [refuse(request.requestId, 'aboveBurst', 0)];
  const link = openLink(state, shardOfTeam(request.teamId, state.settings.shardCount));
  const holding = openHolding(state, link, request.teamId, nowMs);
  recordDemand(holding, request.costTokens, nowMs);
  const deadlineMs = nowMs + (request.maxWaitMs ?? state.settings.maxWaitMs);
  const {requestId, costTokens} = request;
  holding.waiting.push({requestId, costTokens, deadlineMs, answered: false});
  state.active.add(request.teamId);
  return serveTeam(state, link, holding, nowMs);
}

/** States the actual cost of a finished request; the rest of its estimate is given back. */
export function settleRequest(
  state: HostState,
  teamId: TeamId,
  requestId: RequestId,
  actualTokens: number,
  nowMs: number,
): HostAction[] {
  const holding = state.teams.get(teamId);
  const parts = holding?.charges.get(requestId);
  if (!holding || !parts) return [];
  const link = openLink(state, holding.shard);
  holding.charges.delete(requestId);
  const charged = parts.reduce((sum, part) => sum + part.tokens, 0);
  let unused = Math.max(0, charged - actualTokens);
  // Grants are refunded first: the reserve is topped up by the owner anyway.
  for (const part of parts) unused = refundPart(state, link, holding, part, unused, nowMs);
  return holding.waiting.length > 0 ? serveTeam(state, link, holding, nowMs) : [];
}

/** Withdraws a request that still waits, because its caller has gone. */
export function cancelRequest(state: HostState, teamId: TeamId, requestId: RequestId): void {
  const waiting = state.teams.get(teamId)?.waiting;
  const index = waiting?.findIndex(request => request.requestId === requestId) ?? -1;
  if (index >= 0) waiting!.splice(index, 1);
}

/** Takes the owner's answer to an `acquire` action; undefined when the call failed. */
export function onAcquireResponse(
  state: HostState,
  teamId: TeamId,
  grantId: string,
  response: AcquireGrantResponse | undefined,
  nowMs: number,
): HostAction[] {
  const holding = state.teams.get(teamId);
  if (!holding?.call || holding.call.grantId !== grantId) return [];
  const link = openLink(state, holding.shard);
  const {call} = holding;
  holding.call = undefined;
  const current = response && response.outcome !== 'notOwner' && response.epoch === link.epoch;
  stampParts(state, link, holding, call.parts, current ? response.stamp : undefined, nowMs);
  if (!current) {
    // One lost message is no reason to pause; an owner that stays silent is.
    link.failures++;
    if (link.failures > 1) link.pausedUntilMs = nowMs + state.settings.retryPauseMs;
    // The owner may have issued the grant; it gets it back with the next report.
    holding.ended.push({grantId, spentTokens: 0, returnedTokens: 0, spentAgeMs: 0, closed: true});
    return serveTeam(state, link, holding, nowMs);
  }
  link.failures = 0;
  link.pausedUntilMs = -Infinity;
  for (const request of holding.waiting) request.answered = true;
  if (response.outcome === 'granted') {
    acceptGrant(holding, link, response, call.sentMs, grantId);
  } else {
    holding.retryAfterMs = response.retryAfterMs;
    holding.nextAskMs = nowMs + response.retryAfterMs;
    holding.refusedTokens = call.neededTokens;
  }
  return serveTeam(state, link, holding, nowMs);
}

function acceptGrant(
  holding: TeamHolding,
  link: ShardLink,
  response: AcquireGrantResponse,
  sentMs: number,
  grantId: string,
): void {
  holding.retryAfterMs = 0;
  holding.nextAskMs = -Infinity;
  if (response.grantedTokens <= 0) return;
  holding.grants.push({
    grantId,
    epoch: link.epoch,
    availableTokens: response.grantedTokens,
    spentTokens: 0,
    lastSpentMs: -Infinity,
    validUntilMs: sentMs + response.timeToLiveMs,
  });
}

/** Serves the waiting requests in order, then asks the owner if more tokens are needed. */
export function serveTeam(
  state: HostState,
  link: ShardLink,
  holding: TeamHolding,
  nowMs: number,
): HostAction[] {
  const actions: HostAction[] = [];
  while (holding.waiting.length > 0) {
    const head = holding.waiting[0];
    const own = ownTokens(state, link, holding, nowMs);
    if (head.deadlineMs <= nowMs) {
      actions.push(refuseHead(link, holding, head));
      holding.waiting.shift();
      continue;
    }
    // What was just refused needn't be asked for again.
    if (isRefused(holding, head.costTokens - own, nowMs)) head.answered = true;
    if (mayCharge(state, link, holding, head, nowMs)) {
      charge(state, link, holding, head, nowMs);
      actions.push({type: 'admit', requestId: head.requestId});
    } else if (isHopeless(link, holding, head, nowMs)) {
      actions.push(refuseHead(link, holding, head));
    } else {
      break;
    }
    holding.waiting.shift();
  }
  askOwner(state, link, holding, actions, nowMs);
  scheduleWake(state, link, holding, nowMs);
  return actions;
}

/** Tokens that this host could spend now. */
function ownTokens(state: HostState, link: ShardLink, holding: TeamHolding, nowMs: number): number {
  return availableInGrants(holding, nowMs) + refreshReserve(state, link, holding, nowMs);
}

function isRefused(holding: TeamHolding, neededTokens: number, nowMs: number): boolean {
  return holding.nextAskMs > nowMs && neededTokens >= holding.refusedTokens;
}

function mayCharge(
  state: HostState,
  link: ShardLink,
  holding: TeamHolding,
  head: WaitingRequest,
  nowMs: number,
): boolean {
  const granted = availableInGrants(holding, nowMs);
  if (granted >= head.costTokens) return true;
  // The reserve is kept for times without an owner, and for tokens that the owner hasn't got.
  const ownerAnswers = link.epoch > 0 && link.failures === 0;
  if (ownerAnswers && !head.answered) return false;
  return granted + refreshReserve(state, link, holding, nowMs) >= head.costTokens;
}

function isHopeless(
  link: ShardLink,
  holding: TeamHolding,
  head: WaitingRequest,
  nowMs: number,
): boolean {
  const refused = head.answered && holding.call === undefined && holding.nextAskMs > nowMs;
  return refused && link.failures === 0 && holding.nextAskMs > head.deadlineMs;
}

function refuseHead(link: ShardLink, holding: TeamHolding, head: WaitingRequest): HostAction {
  const refusedByOwner = head.answered && link.failures === 0;
  if (refusedByOwner) return refuse(head.requestId, 'rateExceeded', holding.retryAfterMs);
  return refuse(head.requestId, 'ownerUnreachable', UNREACHABLE_RETRY_MS);
}

function refuse(requestId: RequestId, reason: RefusalReason, retryAfterMs: number): HostAction {
  return {type: 'refuse', requestId, reason, retryAfterMs};
}

function askOwner(
  state: HostState,
  link: ShardLink,
  holding: TeamHolding,
  actions: HostAction[],
  nowMs: number,
): void {
  if (holding.call || link.epoch === 0 || link.pausedUntilMs > nowMs) return;
  const granted = availableInGrants(holding, nowMs);
  const demand = averageDemand(holding, nowMs);
  const ahead = (demand * state.settings.grantHorizonMs) / 1000;
  const waitingTokens = holding.waiting.reduce((sum, request) => sum + request.costTokens, 0);
  const head = holding.waiting.at(0);
  if (head) {
    const own = ownTokens(state, link, holding, nowMs);
    const neededTokens = Math.max(0, head.costTokens - own);
    if (isRefused(holding, neededTokens, nowMs)) return;
    const wantedTokens = Math.max(head.costTokens, waitingTokens + ahead) - granted;
    actions.push(sendAcquire(state, link, holding, neededTokens, wantedTokens, nowMs));
    return;
  }
  if (holding.nextAskMs > nowMs) return;
  const isSteady = ahead > AHEAD_REQUESTS * holding.lastCostTokens;
  if (isSteady && !state.isStopping && granted < ahead / 2 && holding.nextAheadMs <= nowMs) {
    holding.nextAheadMs = nowMs + state.settings.grantHorizonMs * AHEAD_PAUSE_SHARE;
    actions.push(sendAcquire(state, link, holding, 0, ahead - granted, nowMs));
  } else if (hasTokensToReturn(holding, nowMs)) {
    actions.push(sendAcquire(state, link, holding, 0, 0, nowMs));
  }
}

function hasTokensToReturn(holding: TeamHolding, nowMs: number): boolean {
  if (holding.ended.length > 0 || holding.refundDueMs <= nowMs) return true;
  return holding.grants.some(grant => grant.validUntilMs - nowMs <= RETURN_AHEAD_MS);
}

function sendAcquire(
  state: HostState,
  link: ShardLink,
  holding: TeamHolding,
  neededTokens: number,
  wantedTokens: number,
  nowMs: number,
): HostAction {
  const grantId = `${state.sessionId}:${state.nextGrant++}`;
  const reports = reportGrants(link, holding, nowMs);
  const refunds: Refund[] = holding.grantRefunds;
  holding.grantRefunds = [];
  holding.refundDueMs = Infinity;
  const parts = takeParts(holding, part => part.grant !== undefined);
  holding.call = {
    grantId,
    sentMs: nowMs,
    deadlineMs: nowMs + state.settings.callTimeoutMs,
    neededTokens,
    parts,
  };
  const {hostId, sessionId, configRevision} = state;
  const {shard, epoch} = link;
  const {teamId} = holding;
  const ids = {hostId, sessionId, shard, epoch, grantId, teamId, configRevision};
  return {type: 'acquire', request: {...ids, neededTokens, wantedTokens, reports, refunds}};
}

/** Takes the unreported parts of one kind out of the holding and marks them as sent. */
function takeParts(holding: TeamHolding, select: (part: ChargePart) => boolean): ChargePart[] {
  const parts = holding.unreported.filter(select);
  holding.unreported = holding.unreported.filter(part => !select(part));
  for (const part of parts) part.state = 'sent';
  return parts;
}

/** Reports of all grants; those near their end are closed and their remainder is returned. */
function reportGrants(link: ShardLink, holding: TeamHolding, nowMs: number): GrantReport[] {
  const reports = [...holding.ended];
  const kept = [];
  holding.ended = [];
  for (const grant of holding.grants) {
    const isEmpty = grant.availableTokens <= 0;
    const closed = isEmpty || grant.validUntilMs - nowMs <= RETURN_AHEAD_MS;
    const {grantId, spentTokens} = grant;
    const spentAgeMs = spentTokens > 0 ? nowMs - grant.lastSpentMs : 0;
    const returnedTokens = closed ? grant.availableTokens : 0;
    if (closed) grant.availableTokens = 0;
    else kept.push(grant);
    const report = {grantId, spentTokens, returnedTokens, spentAgeMs, closed};
    if (grant.epoch === link.epoch) reports.push(report);
  }
  holding.grants = kept;
  return reports;
}

function scheduleWake(
  state: HostState,
  link: ShardLink,
  holding: TeamHolding,
  nowMs: number,
): void {
  state.wakeMs = Math.min(state.wakeMs, holdingDueMs(link, holding, nowMs));
}

function holdingDueMs(link: ShardLink, holding: TeamHolding, nowMs: number): number {
  let dueMs = holding.call?.deadlineMs ?? Infinity;
  const head = holding.waiting.at(0);
  const askMs = Math.max(holding.nextAskMs, link.pausedUntilMs, nowMs);
  if (head) dueMs = Math.min(dueMs, head.deadlineMs);
  const wantsAsk = head !== undefined || holding.ended.length > 0;
  if (wantsAsk && !holding.call && link.epoch > 0) dueMs = Math.min(dueMs, askMs);
  if (holding.call) return dueMs;
  if (holding.refundDueMs < Infinity) dueMs = Math.min(dueMs, Math.max(askMs, holding.refundDueMs));
  for (const grant of holding.grants) {
    dueMs = Math.min(dueMs, Math.max(askMs, grant.validUntilMs - RETURN_AHEAD_MS));
  }
  return dueMs;
}

/** Does the work that is due: timeouts, retries, returns and confirmations. */
export function expireHost(state: HostState, nowMs: number): HostAction[] {
  const actions: HostAction[] = [];
  state.wakeMs = Infinity;
  for (const teamId of state.active) {
    const holding = state.teams.get(teamId)!;
    const link = openLink(state, holding.shard);
    if (holding.call && holding.call.deadlineMs <= nowMs) {
      actions.push(...onAcquireResponse(state, teamId, holding.call.grantId, undefined, nowMs));
    } else if (holdingDueMs(link, holding, nowMs) <= nowMs) {
      actions.push(...serveTeam(state, link, holding, nowMs));
    } else {
      scheduleWake(state, link, holding, nowMs);
    }
    if (isIdle(holding)) state.active.delete(teamId);
  }
  for (const link of state.links.values()) {
    expireConfirm(state, link, nowMs);
    actions.push(...buildConfirm(state, link, nowMs));
    state.wakeMs = Math.min(state.wakeMs, confirmDueMs(state, link));
  }
  return actions;
}

function isIdle(holding: TeamHolding): boolean {
  const {waiting, call, grants, ended, grantRefunds} = holding;
  const open = waiting.length + grants.length + ended.length + grantRefunds.length;
  return open === 0 && call === undefined;
}

/** Time at which {@link expireHost} has work; Infinity for none. */
export function nextHostWakeMs(state: HostState): number {
  return state.wakeMs;
}
