import {abandonConfirm, buildConfirm, confirmDueMs, releaseReserves} from './host-reserve.js';
import {stampParts} from './host-refunds.js';
import {getOrCreateLink, HostAction, HostState, ShardLink, TeamState} from './host-state.js';
import {processQueue} from './host.js';

/** Entry of one shard in the shard record, as seen by this host. */
export interface ShardAssignment {
  readonly shard: number;
  readonly epoch: number;
  /** Whether this host is one of the placement hosts. */
  readonly isPlacementHost: boolean;
}

/** Applies a change of the shard record. A new epoch ends all calls to the former owner. */
export function applyShardRecord(
  state: HostState,
  assignment: ShardAssignment,
  nowMs: number,
): HostAction[] {
  const link = getOrCreateLink(state, assignment.shard);
  if (assignment.epoch < link.epoch) return [];
  const actions: HostAction[] = [];
  // The owner relies on hosts giving up their reserves once they have applied the record.
  if (link.isPlacementHost && !assignment.isPlacementHost)
    actions.push(...releaseReserves(state, link, nowMs));
  link.isPlacementHost = assignment.isPlacementHost;
  if (assignment.epoch > link.epoch) {
    link.epoch = assignment.epoch;
    link.appliedSequence = 0;
    link.wantAll = true;
    link.consecutiveFailures = 0;
    link.callsPausedUntilMs = -Infinity;
    link.nextConfirmMs = -Infinity;
    abandonConfirm(link);
    for (const teamId of link.teams) {
      actions.push(...resetTeam(state, link, state.teams.get(teamId)!, nowMs));
    }
  }
  actions.push(...buildConfirm(state, link, nowMs));
  state.nextTimerMs = Math.min(state.nextTimerMs, confirmDueMs(state, link));
  return actions;
}

function resetTeam(
  state: HostState,
  link: ShardLink,
  team: TeamState,
  nowMs: number,
): HostAction[] {
  if (team.call) stampParts(state, link, team, team.call.parts, undefined, nowMs);
  team.call = undefined;
  team.nextAcquireMs = -Infinity;
  team.unsentReports = [];
  team.grantRefunds = [];
  team.refundDueMs = Infinity;
  team.reserveRefunds = [];
  for (const request of team.waiting) request.answered = false;
  return team.waiting.length > 0 ? processQueue(state, link, team, nowMs) : [];
}

/**
 * Gives up all reserves. Call it when the host's configuration has been stale for some time without
 * evidence of an outage: owners may have removed this host's reserves by {@link fenceHolder}.
 */
export function dropReserves(state: HostState, nowMs: number): HostAction[] {
  const actions: HostAction[] = [];
  for (const link of state.links.values()) {
    if (link.validUntilMs > nowMs) actions.push(...releaseReserves(state, link, nowMs));
  }
  return actions;
}

/**
 * Starts a planned stop by giving up all reserves. Later requests are served with grants only.
 * Shards that this host owns are handed over after the resulting messages have been processed.
 */
export function stopHost(state: HostState, nowMs: number): HostAction[] {
  state.isStopping = true;
  const actions: HostAction[] = [];
  for (const link of state.links.values()) actions.push(...releaseReserves(state, link, nowMs));
  return actions;
}
