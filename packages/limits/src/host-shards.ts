import {abandonConfirm, buildConfirm, confirmDueMs, releaseReserves} from './host-reserve.js';
import {stampParts} from './host-refunds.js';
import {HostAction, HostState, openLink, ShardLink, TeamHolding} from './host-state.js';
import {serveTeam} from './host.js';

/** What the shard record says about one shard. */
export interface ShardView {
  readonly shard: number;
  readonly epoch: number;
  /** This host is one of the placement hosts. */
  readonly placed: boolean;
}

/** Follows a change of the shard record. A new epoch ends all calls to the former owner. */
export function followShard(state: HostState, view: ShardView, nowMs: number): HostAction[] {
  const link = openLink(state, view.shard);
  if (view.epoch < link.epoch) return [];
  const actions: HostAction[] = [];
  // The owner may count on it that a host gives up its reserves once it knows the record.
  if (link.placed && !view.placed) actions.push(...releaseReserves(state, link, nowMs));
  link.placed = view.placed;
  if (view.epoch > link.epoch) {
    link.epoch = view.epoch;
    link.appliedSequence = 0;
    link.wantAll = true;
    link.failures = 0;
    link.pausedUntilMs = -Infinity;
    link.nextConfirmMs = -Infinity;
    abandonConfirm(link);
    for (const teamId of link.teams) {
      actions.push(...restartCalls(state, link, state.teams.get(teamId)!, nowMs));
    }
  }
  actions.push(...buildConfirm(state, link, nowMs));
  state.wakeMs = Math.min(state.wakeMs, confirmDueMs(state, link));
  return actions;
}

function restartCalls(
  state: HostState,
  link: ShardLink,
  holding: TeamHolding,
  nowMs: number,
): HostAction[] {
  if (holding.call) stampParts(state, link, holding, holding.call.parts, undefined, nowMs);
  holding.call = undefined;
  holding.nextAskMs = -Infinity;
  holding.ended = [];
  holding.grantRefunds = [];
  holding.refundDueMs = Infinity;
  holding.reserveRefunds = [];
  for (const request of holding.waiting) request.answered = false;
  return holding.waiting.length > 0 ? serveTeam(state, link, holding, nowMs) : [];
}

/**
 * Gives up all reserves. Call it when the host's configuration wasn't fresh for a time and it had no
 * evidence of an outage: the owners may have released its reserves by {@link fenceHolder}.
 */
export function dropReserves(state: HostState, nowMs: number): HostAction[] {
  const actions: HostAction[] = [];
  for (const link of state.links.values()) {
    if (link.validUntilMs > nowMs) actions.push(...releaseReserves(state, link, nowMs));
  }
  return actions;
}

/**
 * Planned stop: gives up all reserves. Requests that still come are served by asking the owner.
 * Shards that this host owns are handed over after the resulting messages were processed.
 */
export function stopHost(state: HostState, nowMs: number): HostAction[] {
  state.isStopping = true;
  const actions: HostAction[] = [];
  for (const link of state.links.values()) actions.push(...releaseReserves(state, link, nowMs));
  return actions;
}
