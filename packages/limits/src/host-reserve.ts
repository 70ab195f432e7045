import {TeamId} from '@radishgw/core';
import {
  ChargePart,
  HostAction,
  HostState,
  openHolding,
  openLink,
  recordReserve,
  refreshReserve,
  ShardLink,
  TeamHolding,
} from './host-state.js';
import {stampParts} from './host-refunds.js';
import {serveTeam} from './host.js';
import {ConfirmReserveResponse, Refund, ReserveReport} from './messages.js';

function mayConfirm(state: HostState, link: ShardLink): boolean {
  return link.releasing || (link.placed && !state.isStopping);
}

/** Sends a confirmation if one is due; it reports reserves and asks to keep using them. */
export function buildConfirm(state: HostState, link: ShardLink, nowMs: number): HostAction[] {
  if (link.call || link.epoch === 0 || link.nextConfirmMs > nowMs) return [];
  if (!mayConfirm(state, link)) return [];
  const complete = link.wantAll;
  const teams = complete ? [...link.teams] : [...link.dirty];
  link.dirty.clear();
  const reserves: ReserveReport[] = [];
  const refunds: Refund[] = [];
  const parts = new Map<TeamId, ChargePart[]>();
  for (const teamId of teams) {
    const holding = state.teams.get(teamId)!;
    const heldTokens = refreshReserve(state, link, holding, nowMs);
    reserves.push({teamId, heldTokens, spentTokens: holding.reserveSpentTokens});
    refunds.push(...holding.reserveRefunds);
    holding.reserveRefunds = [];
    parts.set(teamId, takeReserveParts(holding));
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

function takeReserveParts(holding: TeamHolding): ChargePart[] {
  const parts = holding.unreported.filter(part => !part.grant);
  holding.unreported = holding.unreported.filter(part => part.grant);
  for (const part of parts) part.state = 'sent';
  return parts;
}

/** Time at which a confirmation has to be sent or given up. */
export function confirmDueMs(state: HostState, link: ShardLink): number {
  if (link.call) return link.call.deadlineMs;
  return link.epoch > 0 && mayConfirm(state, link) ? link.nextConfirmMs : Infinity;
}

/** Gives up a confirmation whose time is over; its reports are sent again. */
export function expireConfirm(state: HostState, link: ShardLink, nowMs: number): void {
  if (!link.call || link.call.deadlineMs > nowMs) return;
  abandonConfirm(link);
  link.nextConfirmMs = nowMs + state.settings.retryPauseMs;
}

/** Forgets the confirmation in progress; its answer won't be applied. */
export function abandonConfirm(link: ShardLink): void {
  const {call} = link;
  if (!call) return;
  link.call = undefined;
  for (const teamId of call.teams) link.dirty.add(teamId);
  for (const parts of call.parts.values()) {
    for (const part of parts) part.state = 'lost';
  }
}

/** Takes the owner's answer to a `confirm` action; undefined when the call failed. */
export function onConfirmResponse(
  state: HostState,
  shard: number,
  sequence: number,
  response: ConfirmReserveResponse | undefined,
  nowMs: number,
): HostAction[] {
  const link = openLink(state, shard);
  const {call} = link;
  if (!call || call.sequence !== sequence) return [];
  if (!response || response.epoch !== link.epoch) {
    abandonConfirm(link);
    link.nextConfirmMs = nowMs + state.settings.retryPauseMs;
    state.wakeMs = Math.min(state.wakeMs, link.nextConfirmMs);
    return [];
  }
  link.call = undefined;
  if (!response.accepted) return rejectReserves(state, link, nowMs);
  // Brings reserves to the end of their own refill before the promise is renewed.
  if (link.lendUntilMs < nowMs) {
    for (const teamId of link.teams) {
      refreshReserve(state, link, state.teams.get(teamId)!, nowMs);
    }
  }
  link.appliedSequence = response.sequence;
  link.wantAll = response.wantAll;
  link.lendUntilMs = nowMs + state.settings.lendMs;
  link.validUntilMs = call.sentMs + response.validMs;
  link.nextConfirmMs = nowMs;
  const actions: HostAction[] = [];
  for (const change of response.changes) {
    const holding = openHolding(state, link, change.teamId, nowMs);
    const parts = call.parts.get(change.teamId) ?? [];
    stampParts(state, link, holding, parts, change.stamp, nowMs);
    changeReserve(state, link, holding, change.addTokens, change.recall);
    if (holding.waiting.length > 0) actions.push(...serveTeam(state, link, holding, nowMs));
  }
  actions.push(...buildConfirm(state, link, nowMs));
  state.wakeMs = Math.min(state.wakeMs, confirmDueMs(state, link));
  return actions;
}

function changeReserve(
  state: HostState,
  link: ShardLink,
  holding: TeamHolding,
  addTokens: number,
  recall: boolean,
): void {
  if (recall) holding.reserveTokens = 0;
  holding.reserveTokens += addTokens;
  if (recall || addTokens > 0) {
    recordReserve(state, holding);
    link.dirty.add(holding.teamId);
  }
}

/** The host isn't a placement host any more, or the owner has noted the release. */
function rejectReserves(state: HostState, link: ShardLink, nowMs: number): HostAction[] {
  if (!link.releasing) return releaseReserves(state, link, nowMs);
  link.releasing = false;
  link.nextConfirmMs = nowMs + state.settings.confirmHoldMs;
  return [];
}

/** Gives up all reserves of a shard and tells the owner. */
export function releaseReserves(state: HostState, link: ShardLink, nowMs: number): HostAction[] {
  abandonConfirm(link);
  for (const teamId of link.teams) state.teams.get(teamId)!.reserveTokens = 0;
  link.validUntilMs = -Infinity;
  link.lendUntilMs = Infinity;
  link.wantAll = true;
  link.releasing = true;
  link.nextConfirmMs = nowMs;
  return buildConfirm(state, link, nowMs);
}
