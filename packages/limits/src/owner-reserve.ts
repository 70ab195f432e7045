import {HostId, TeamId} from '@radishgw/core';
import {
  AcquireGrantRequest,
  ConfirmReserveRequest,
  ConfirmReserveResponse,
  ReserveChange,
} from './messages.js';
import {
  advanceAllTeams,
  applyRefund,
  applyReserveReport,
  createHolder,
  hasAuthority,
  Holder,
  openTeam,
  OwnerState,
  reserveAccount,
  settleLevel,
  sumReserves,
  TeamAccount,
} from './owner-state.js';
import {reserveCapTokens} from './settings.js';

/** After a recall the reserves of the team stay low for this long, so that tokens don't oscillate. */
const FUND_PAUSE_MS = 2000;
/** Changes smaller than this share of a full reserve aren't worth a message field. */
const FUND_STEP = 0.05;

/** A response to a confirmation that the owner had held open. */
export interface ConfirmReply {
  readonly hostId: HostId;
  /** Sequence of the request that this answers. */
  readonly requestSequence: number;
  readonly response: ConfirmReserveResponse;
}

/** Takes a confirmation; its reply comes now or, from {@link expireOwner}, when the hold ends. */
export function handleConfirm(
  state: OwnerState,
  request: ConfirmReserveRequest,
  nowMs: number,
): ConfirmReply[] {
  if (!hasAuthority(state, nowMs) || request.epoch !== state.epoch) {
    return [rejectConfirm(state, request, 0)];
  }
  dropLapsedHolders(state, nowMs);
  const holder = findHolder(state, request, nowMs);
  if (!holder) return [rejectConfirm(state, request)];
  if (request.sequence <= holder.lastSequence) return [];
  holder.lastSequence = request.sequence;
  const first = holder.sent === undefined;
  acknowledgeSent(state, holder, request, nowMs);
  applyReports(state, holder, request, nowMs);
  if (request.released) {
    advanceAllTeams(state, nowMs);
    state.holders.delete(holder.hostId);
    return [rejectConfirm(state, request)];
  }
  if (!state.placement.has(holder.hostId)) return [rejectConfirm(state, request)];
  holder.configRevision = Math.max(holder.configRevision, request.configRevision);
  const deadlineMs = nowMs + state.settings.confirmHoldMs;
  holder.pending = {sequence: request.sequence, deadlineMs};
  const answerNow = first || holder.lentUntilMs <= nowMs || holder.recalls.size > 0;
  return answerNow ? [replyToConfirm(state, holder, nowMs)] : [];
}

function findHolder(
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
  // A host listens on its address with one process at a time, so a new session means that the
  // reserves of the old one can't be used any more.
  advanceAllTeams(state, nowMs);
  const fresh = createHolder(request.hostId, Infinity);
  fresh.sessionId = request.sessionId;
  fresh.synced = true;
  state.holders.set(request.hostId, fresh);
  return fresh;
}

function acknowledgeSent(
  state: OwnerState,
  holder: Holder,
  request: ConfirmReserveRequest,
  nowMs: number,
): void {
  const {sent} = holder;
  if (!sent) return;
  if (request.appliedSequence === sent.sequence) {
    const {lendMs, clockDriftFraction} = state.settings;
    const lentUntilMs = sent.sentMs + lendMs * (1 - clockDriftFraction);
    if (holder.lentUntilMs <= nowMs) advanceAllTeams(state, nowMs);
    holder.lentUntilMs = Math.max(holder.lentUntilMs, lentUntilMs);
    return;
  }
  // The host has moved on to a new request and won't apply the earlier response.
  for (const [teamId, tokens] of sent.added) {
    const team = openTeam(state, teamId, nowMs);
    const account = reserveAccount(holder, teamId);
    const back = Math.min(tokens, account.heldTokens);
    account.heldTokens -= back;
    if (team) team.levelTokens += back;
    if (team) settleLevel(state, teamId, team, nowMs);
  }
  holder.sent = undefined;
}

function applyReports(
  state: OwnerState,
  holder: Holder,
  request: ConfirmReserveRequest,
  nowMs: number,
): void {
  if (!holder.synced) {
    // Until the holder has applied a response of this epoch it may be refilling on its own.
    if (holder.lentUntilMs <= nowMs || !request.complete) return;
    advanceAllTeams(state, nowMs);
    holder.synced = true;
    for (const report of request.reserves) {
      const account = reserveAccount(holder, report.teamId);
      account.heldTokens = report.heldTokens;
      account.spentTokens = report.spentTokens;
      holder.reported.add(report.teamId);
    }
  } else if (holder.lentUntilMs <= nowMs && !request.released) {
    holder.reportsIgnored = true;
  } else {
    if (request.complete) holder.reportsIgnored = false;
    for (const report of request.reserves) applyReserveReport(state, holder, report, nowMs);
  }
  for (const refund of request.refunds) {
    const team = openTeam(state, refund.teamId, nowMs);
    if (!team) continue;
    applyRefund(team, refund);
    settleLevel(state, refund.teamId, team, nowMs);
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
  const sequence = holder.pending!.sequence;
  const changes: ReserveChange[] = [];
  const added = new Map<TeamId, number>();
  for (const teamId of holder.synced ? state.teams.keys() : []) {
    const team = openTeam(state, teamId, nowMs);
    if (!team) continue;
    confirmRevision(state, team);
    const recall = holder.recalls.has(teamId);
    const addTokens = recall ? 0 : fundReserve(state, holder, teamId, team, nowMs);
    if (!recall && addTokens === 0 && !holder.reported.has(teamId)) continue;
    if (addTokens > 0) added.set(teamId, addTokens);
    const stamp = settleLevel(state, teamId, team, nowMs);
    changes.push({teamId, addTokens, recall, stamp});
  }
  holder.recalls.clear();
  holder.reported.clear();
  holder.pending = undefined;
  holder.sent = {sequence, sentMs: nowMs, added};
  holder.validUntilMs = nowMs + settings.reserveValidMs * (1 + settings.clockDriftFraction);
  const validMs = settings.reserveValidMs;
  // While the holder may refill on its own, its reports lag behind what it holds.
  const wantAll = !holder.synced || holder.reportsIgnored;
  const response = {accepted: true, epoch, validMs, sequence, wantAll, changes};
  return {hostId: holder.hostId, requestSequence: sequence, response};
}

function confirmRevision(state: OwnerState, team: TeamAccount): void {
  if (!team.previousLimit) return;
  for (const {configRevision} of state.holders.values()) {
    if (configRevision < team.limit.revision) return;
  }
  team.previousLimit = undefined;
}

/** Moves tokens from the level to a reserve that is below its share of the tokens present. */
function fundReserve(
  state: OwnerState,
  holder: Holder,
  teamId: TeamId,
  team: TeamAccount,
  nowMs: number,
): number {
  const {settings} = state;
  const account = reserveAccount(holder, teamId);
  const present = team.levelTokens + sumReserves(state, teamId, team);
  const share = (present * settings.reserveBurstFraction) / settings.placementSize;
  const cap = reserveCapTokens(team.limit, settings);
  // A holder that may refill on its own has its reserve counted with that growth already.
  const lent = holder.lentUntilMs > nowMs;
  const missing = Math.min(share, cap, team.levelTokens + account.heldTokens) - account.heldTokens;
  if (!lent || nowMs - team.lastRecallMs < FUND_PAUSE_MS || missing < cap * FUND_STEP) return 0;
  account.heldTokens += missing;
  team.levelTokens -= missing;
  return missing;
}

function dropLapsedHolders(state: OwnerState, nowMs: number): void {
  for (const [hostId, holder] of state.holders) {
    if (holder.validUntilMs > nowMs) continue;
    advanceAllTeams(state, nowMs);
    state.holders.delete(hostId);
  }
}

/** Asks the other holders to give a team's reserves back. */
export function recallReserves(
  state: OwnerState,
  request: AcquireGrantRequest,
  nowMs: number,
): ConfirmReply[] {
  const replies: ConfirmReply[] = [];
  for (const holder of state.holders.values()) {
    if (!holder.synced || holder.hostId === request.hostId) continue;
    if ((holder.reserves.get(request.teamId)?.heldTokens ?? 0) <= 0) continue;
    holder.recalls.add(request.teamId);
    if (holder.pending) replies.push(replyToConfirm(state, holder, nowMs));
  }
  return replies;
}

/** Replies to confirmations whose hold has ended, and drops holders whose reserves lapsed. */
export function expireOwner(state: OwnerState, nowMs: number): ConfirmReply[] {
  if (!hasAuthority(state, nowMs)) return [];
  dropLapsedHolders(state, nowMs);
  const replies: ConfirmReply[] = [];
  for (const holder of state.holders.values()) {
    if (holder.pending && holder.pending.deadlineMs <= nowMs) {
      replies.push(replyToConfirm(state, holder, nowMs));
    }
  }
  return replies;
}

/** Time at which {@link expireOwner} has work; Infinity for none. */
export function nextOwnerWakeMs(state: OwnerState): number {
  let wakeMs = Infinity;
  for (const {pending, validUntilMs} of state.holders.values()) {
    wakeMs = Math.min(wakeMs, pending?.deadlineMs ?? Infinity, validUntilMs);
  }
  return wakeMs;
}
