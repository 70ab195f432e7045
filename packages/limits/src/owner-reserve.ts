import {HostId, TeamId} from '@radishgw/core';
import {
  AcquireGrantRequest,
  ConfirmReserveRequest,
  ConfirmReserveResponse,
  ReserveChange,
} from './messages.js';
import {
  advanceAllBuckets,
  applyRefund,
  applyReserveReport,
  capLevel,
  createHolder,
  getOrCreateBucket,
  getOrCreateReserve,
  hasAuthority,
  Holder,
  OwnerState,
  sumReserves,
  TeamBucket,
} from './owner-state.js';
import {reserveCapTokens} from './settings.js';

/** Pause in topping up a team's reserves after a recall, so that tokens don't oscillate. */
const TOP_UP_PAUSE_MS = 2000;
/** Smallest top-up, as a share of a full reserve. Smaller ones aren't worth a message field. */
const MIN_TOP_UP_FRACTION = 0.05;

/** Response to a confirmation. */
export interface ConfirmReply {
  readonly hostId: HostId;
  /** Sequence of the request that is answered. */
  readonly requestSequence: number;
  readonly response: ConfirmReserveResponse;
}

/**
 * Handles a confirmation. It is answered now, or held open until the owner recalls reserves
 * ({@link recallReserves}) or the hold ends ({@link processOwnerTimers}).
 */
export function handleConfirm(
  state: OwnerState,
  request: ConfirmReserveRequest,
  nowMs: number,
): ConfirmReply[] {
  if (!hasAuthority(state, nowMs) || request.epoch !== state.epoch) {
    return [rejectConfirm(state, request, 0)];
  }
  removeExpiredHolders(state, nowMs);
  const holder = findOrCreateHolder(state, request, nowMs);
  if (!holder) return [rejectConfirm(state, request)];
  if (request.sequence <= holder.lastSequence) return [];
  holder.lastSequence = request.sequence;
  const isFirst = holder.lastSent === undefined;
  applyAcknowledgement(state, holder, request, nowMs);
  applyReports(state, holder, request, nowMs);
  if (request.released) {
    advanceAllBuckets(state, nowMs);
    state.holders.delete(holder.hostId);
    return [rejectConfirm(state, request)];
  }
  if (!state.placement.has(holder.hostId)) return [rejectConfirm(state, request)];
  holder.configRevision = Math.max(holder.configRevision, request.configRevision);
  const deadlineMs = nowMs + state.settings.confirmHoldMs;
  holder.pendingConfirm = {sequence: request.sequence, deadlineMs};
  const answerNow = isFirst || holder.refillPausedUntilMs <= nowMs || holder.teamsToRecall.size > 0;
  return answerNow ? [replyToConfirm(state, holder, nowMs)] : [];
}

function findOrCreateHolder(
  state: OwnerState,
  request: ConfirmReserveRequest,
  nowMs: number,
): Holder | undefined {
  const holder = state.holders.get(request.hostId);
  if (holder && (holder.sessionId === undefined || holder.sessionId === request.sessionId)) {
    holder.sessionId = request.sessionId;
    return holder;
  }
  if (!state.placement.has(request.hostId)) return undefined;
  // Only one process at a time can listen on a host's address, so a new session means that the
  // reserves of the old session can no longer be used.
  advanceAllBuckets(state, nowMs);
  const newHolder = createHolder(request.hostId, Infinity);
  newHolder.sessionId = request.sessionId;
  newHolder.synced = true;
  state.holders.set(request.hostId, newHolder);
  return newHolder;
}

function applyAcknowledgement(
  state: OwnerState,
  holder: Holder,
  request: ConfirmReserveRequest,
  nowMs: number,
): void {
  const {lastSent} = holder;
  if (!lastSent) return;
  if (request.appliedSequence === lastSent.sequence) {
    const {refillPauseMs, clockDriftFraction} = state.settings;
    const refillPausedUntilMs = lastSent.sentMs + refillPauseMs * (1 - clockDriftFraction);
    if (holder.refillPausedUntilMs <= nowMs) advanceAllBuckets(state, nowMs);
    holder.refillPausedUntilMs = Math.max(holder.refillPausedUntilMs, refillPausedUntilMs);
    return;
  }
  // The host has sent a new request and won't apply the earlier response.
  for (const [teamId, tokens] of lastSent.added) {
    const team = getOrCreateBucket(state, teamId, nowMs);
    const account = getOrCreateReserve(holder, teamId);
    const unappliedTokens = Math.min(tokens, account.heldTokens);
    account.heldTokens -= unappliedTokens;
    if (team) team.levelTokens += unappliedTokens;
    if (team) capLevel(state, teamId, team, nowMs);
  }
  holder.lastSent = undefined;
}

function applyReports(
  state: OwnerState,
  holder: Holder,
  request: ConfirmReserveRequest,
  nowMs: number,
): void {
  if (!holder.synced) {
    // Until the holder applies a response of this epoch, it may be refilling its reserves locally.
    if (holder.refillPausedUntilMs <= nowMs || !request.complete) return;
    advanceAllBuckets(state, nowMs);
    holder.synced = true;
    for (const report of request.reserves) {
      const account = getOrCreateReserve(holder, report.teamId);
      account.heldTokens = report.heldTokens;
      account.spentTokens = report.spentTokens;
      holder.reportedTeams.add(report.teamId);
    }
  } else if (holder.refillPausedUntilMs <= nowMs && !request.released) {
    holder.needsFullReport = true;
  } else {
    if (request.complete) holder.needsFullReport = false;
    for (const report of request.reserves) applyReserveReport(state, holder, report, nowMs);
  }
  for (const refund of request.refunds) {
    const team = getOrCreateBucket(state, refund.teamId, nowMs);
    if (!team) continue;
    applyRefund(team, refund);
    capLevel(state, refund.teamId, team, nowMs);
  }
}

function rejectConfirm(
  state: OwnerState,
  request: ConfirmReserveRequest,
  epoch = state.epoch,
): ConfirmReply {
  const response = {
    accepted: false,
    epoch,
    validMs: 0,
    sequence: request.sequence,
    wantAll: true,
    changes: [],
  };
  return {hostId: request.hostId, requestSequence: request.sequence, response};
}

function replyToConfirm(state: OwnerState, holder: Holder, nowMs: number): ConfirmReply {
  const {settings, epoch} = state;
  const sequence = holder.pendingConfirm!.sequence;
  const changes: ReserveChange[] = [];
  const added = new Map<TeamId, number>();
  for (const teamId of holder.synced ? state.teams.keys() : []) {
    const team = getOrCreateBucket(state, teamId, nowMs);
    if (!team) continue;
    clearPreviousLimit(state, team);
    const recall = holder.teamsToRecall.has(teamId);
    const addTokens = recall ? 0 : topUpReserve(state, holder, teamId, team, nowMs);
    if (!recall && addTokens === 0 && !holder.reportedTeams.has(teamId)) continue;
    if (addTokens > 0) added.set(teamId, addTokens);
    const stamp = capLevel(state, teamId, team, nowMs);
    changes.push({teamId, addTokens, recall, stamp});
  }
  holder.teamsToRecall.clear();
  holder.reportedTeams.clear();
  holder.pendingConfirm = undefined;
  holder.lastSent = {sequence, sentMs: nowMs, added};
  holder.validUntilMs = nowMs + settings.reserveValidMs * (1 + settings.clockDriftFraction);
  const validMs = settings.reserveValidMs;
  // While the holder may refill locally, its reports lag behind its reserves.
  const wantAll = !holder.synced || holder.needsFullReport;
  const response = {accepted: true, epoch, validMs, sequence, wantAll, changes};
  return {hostId: holder.hostId, requestSequence: sequence, response};
}

function clearPreviousLimit(state: OwnerState, team: TeamBucket): void {
  if (!team.previousLimit) return;
  for (const {configRevision} of state.holders.values()) {
    if (configRevision < team.limit.revision) return;
  }
  team.previousLimit = undefined;
}

/** Tops up a reserve from the level to its share of the team's tokens; returns the added tokens. */
function topUpReserve(
  state: OwnerState,
  holder: Holder,
  teamId: TeamId,
  team: TeamBucket,
  nowMs: number,
): number {
  const {settings} = state;
  const account = getOrCreateReserve(holder, teamId);
  const totalTokens = team.levelTokens + sumReserves(state, teamId, team);
  const share = (totalTokens * settings.reserveBurstFraction) / settings.placementSize;
  const cap = reserveCapTokens(team.limit, settings);
  // A holder that may refill locally isn't topped up: its account already includes that refill.
  const isRefillPaused = holder.refillPausedUntilMs > nowMs;
  const missingTokens =
    Math.min(share, cap, team.levelTokens + account.heldTokens) - account.heldTokens;
  if (
    !isRefillPaused ||
    nowMs - team.lastRecallMs < TOP_UP_PAUSE_MS ||
    missingTokens < cap * MIN_TOP_UP_FRACTION
  )
    return 0;
  account.heldTokens += missingTokens;
  team.levelTokens -= missingTokens;
  return missingTokens;
}

function removeExpiredHolders(state: OwnerState, nowMs: number): void {
  for (const [hostId, holder] of state.holders) {
    if (holder.validUntilMs > nowMs) continue;
    advanceAllBuckets(state, nowMs);
    state.holders.delete(hostId);
  }
}

/** Recalls a team's reserves from all holders except the requesting host. */
export function recallReserves(
  state: OwnerState,
  request: AcquireGrantRequest,
  nowMs: number,
): ConfirmReply[] {
  const replies: ConfirmReply[] = [];
  for (const holder of state.holders.values()) {
    if (!holder.synced || holder.hostId === request.hostId) continue;
    if ((holder.reserves.get(request.teamId)?.heldTokens ?? 0) <= 0) continue;
    holder.teamsToRecall.add(request.teamId);
    if (holder.pendingConfirm) replies.push(replyToConfirm(state, holder, nowMs));
  }
  return replies;
}

/** Replies to confirmations whose hold has ended, and removes holders whose reserves expired. */
export function processOwnerTimers(state: OwnerState, nowMs: number): ConfirmReply[] {
  if (!hasAuthority(state, nowMs)) return [];
  removeExpiredHolders(state, nowMs);
  const replies: ConfirmReply[] = [];
  for (const holder of state.holders.values()) {
    if (holder.pendingConfirm && holder.pendingConfirm.deadlineMs <= nowMs) {
      replies.push(replyToConfirm(state, holder, nowMs));
    }
  }
  return replies;
}

/** Time at which {@link processOwnerTimers} is next due; Infinity if nothing is scheduled. */
export function nextOwnerTimerMs(state: OwnerState): number {
  let timerMs = Infinity;
  for (const {pendingConfirm, validUntilMs} of state.holders.values()) {
    timerMs = Math.min(timerMs, pendingConfirm?.deadlineMs ?? Infinity, validUntilMs);
  }
  return timerMs;
}
