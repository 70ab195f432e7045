import {TeamId} from '@radishgw/core';
import {
  ChargePart,
  getOrCreateLink,
  getOrCreateTeam,
  HostAction,
  HostState,
  recordReserveHeadroom,
  refreshReserve,
  ShardLink,
  TeamState,
} from './host-state.js';
import {stampParts} from './host-refunds.js';
import {processQueue} from './host.js';
import {ConfirmReserveResponse, Refund, ReserveReport} from './messages.js';

function canConfirm(state: HostState, link: ShardLink): boolean {
  return link.releasing || (link.isPlacementHost && !state.isStopping);
}

/** Builds a confirmation if one is due. It reports the reserves and extends their validity. */
export function buildConfirm(state: HostState, link: ShardLink, nowMs: number): HostAction[] {
  if (link.call || link.epoch === 0 || link.nextConfirmMs > nowMs) return [];
  if (!canConfirm(state, link)) return [];
  const complete = link.wantAll;
  const teams = complete ? [...link.teams] : [...link.dirtyTeams];
  link.dirtyTeams.clear();
  const reserves: ReserveReport[] = [];
  const refunds: Refund[] = [];
  const parts = new Map<TeamId, ChargePart[]>();
  for (const teamId of teams) {
    const team = state.teams.get(teamId)!;
    const heldTokens = refreshReserve(state, link, team, nowMs);
    reserves.push({teamId, heldTokens, spentTokens: team.reserveSpentTokens});
    refunds.push(...team.reserveRefunds);
    team.reserveRefunds = [];
    parts.set(teamId, takeReserveParts(team));
  }
  const sequence = ++link.sequence;
  const {confirmHoldMs, callTimeoutMs} = state.settings;
  const deadlineMs = nowMs + confirmHoldMs + callTimeoutMs;
  link.call = {sequence, sentMs: nowMs, deadlineMs, teams, parts};
  const {hostId, sessionId, configRevision} = state;
  const {shard, epoch, appliedSequence, releasing: released} = link;
  const ids = {hostId, sessionId, shard, epoch, configRevision, sequence, appliedSequence};
  return [{type: 'confirm', request: {...ids, reserves, complete, refunds, released}}];
}

function takeReserveParts(team: TeamState): ChargePart[] {
  const parts = team.unreported.filter(part => !part.grant);
  team.unreported = team.unreported.filter(part => part.grant);
  for (const part of parts) part.state = 'sent';
  return parts;
}

/** Time at which a confirmation is due or, while one is in progress, times out. */
export function confirmDueMs(state: HostState, link: ShardLink): number {
  if (link.call) return link.call.deadlineMs;
  return link.epoch > 0 && canConfirm(state, link) ? link.nextConfirmMs : Infinity;
}

/** Abandons a confirmation that has timed out; its reports are sent again. */
export function timeOutConfirm(state: HostState, link: ShardLink, nowMs: number): void {
  if (!link.call || link.call.deadlineMs > nowMs) return;
  abandonConfirm(link);
  link.nextConfirmMs = nowMs + state.settings.retryPauseMs;
}

/** Abandons the confirmation in progress; its response won't be applied. */
export function abandonConfirm(link: ShardLink): void {
  const {call} = link;
  if (!call) return;
  link.call = undefined;
  for (const teamId of call.teams) link.dirtyTeams.add(teamId);
  for (const parts of call.parts.values()) {
    for (const part of parts) part.state = 'lost';
  }
}

/** Handles the owner's response to a `confirm` action; undefined when the call failed. */
export function onConfirmResponse(
  state: HostState,
  shard: number,
  sequence: number,
  response: ConfirmReserveResponse | undefined,
  nowMs: number,
): HostAction[] {
  const link = getOrCreateLink(state, shard);
  const {call} = link;
  if (!call || call.sequence !== sequence) return [];
  if (!response || response.epoch !== link.epoch) {
    abandonConfirm(link);
    link.nextConfirmMs = nowMs + state.settings.retryPauseMs;
    state.nextTimerMs = Math.min(state.nextTimerMs, link.nextConfirmMs);
    return [];
  }
  link.call = undefined;
  if (!response.accepted) return onConfirmRejected(state, link, nowMs);
  // Applies the local refill of the reserves before it is paused again.
  if (link.refillPausedUntilMs < nowMs) {
    for (const teamId of link.teams) {
      refreshReserve(state, link, state.teams.get(teamId)!, nowMs);
    }
  }
  link.appliedSequence = response.sequence;
  link.wantAll = response.wantAll;
  link.refillPausedUntilMs = nowMs + state.settings.refillPauseMs;
  link.validUntilMs = call.sentMs + response.validMs;
  link.nextConfirmMs = nowMs;
  const actions: HostAction[] = [];
  for (const change of response.changes) {
    const team = getOrCreateTeam(state, link, change.teamId, nowMs);
    const parts = call.parts.get(change.teamId) ?? [];
    stampParts(state, link, team, parts, change.stamp, nowMs);
    applyReserveChange(state, link, team, change.addTokens, change.recall);
    if (team.waiting.length > 0) actions.push(...processQueue(state, link, team, nowMs));
  }
  actions.push(...buildConfirm(state, link, nowMs));
  state.nextTimerMs = Math.min(state.nextTimerMs, confirmDueMs(state, link));
  return actions;
}

function applyReserveChange(
  state: HostState,
  link: ShardLink,
  team: TeamState,
  addTokens: number,
  recall: boolean,
): void {
  if (recall) team.reserveTokens = 0;
  team.reserveTokens += addTokens;
  if (recall || addTokens > 0) {
    recordReserveHeadroom(state, team);
    link.dirtyTeams.add(team.teamId);
  }
}

/**
 * Handles a rejection: the host is no longer a placement host, or the owner acknowledges that the
 * host has given up its reserves.
 */
function onConfirmRejected(state: HostState, link: ShardLink, nowMs: number): HostAction[] {
  if (!link.releasing) return releaseReserves(state, link, nowMs);
  link.releasing = false;
  link.nextConfirmMs = nowMs + state.settings.confirmHoldMs;
  return [];
}

/** Gives up all reserves of a shard and notifies the owner. */
export function releaseReserves(state: HostState, link: ShardLink, nowMs: number): HostAction[] {
  abandonConfirm(link);
  for (const teamId of link.teams) state.teams.get(teamId)!.reserveTokens = 0;
  link.validUntilMs = -Infinity;
  link.refillPausedUntilMs = Infinity;
  link.wantAll = true;
  link.releasing = true;
  link.nextConfirmMs = nowMs;
  return buildConfirm(state, link, nowMs);
}
