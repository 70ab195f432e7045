import {assertInvariant, HostId, TeamId} from '@radishgw/core';
import {HandOverShardsRequest} from './messages.js';
import {
  advanceAllBuckets,
  advanceBucket,
  assumedTokens,
  capLevel,
  createHolder,
  getOrCreateBucket,
  getOrCreateReserve,
  hasAuthority,
  listReserves,
  maxLevelTokens,
  OwnerState,
  sumReserves,
} from './owner-state.js';
import {LimitSettings, TeamLimit} from './settings.js';

/** Options for taking ownership of a shard. */
export interface OwnerOptions {
  readonly shard: number;
  readonly epoch: number;
  readonly settings: LimitSettings;
  readonly findLimit: (teamId: TeamId) => TeamLimit | undefined;
  readonly nowMs: number;
  readonly authorityUntilMs: number;
  /**
   * Lower bound of the time since the former owner's authority ended: the takeover margin, or 0
   * when its session ended. No tokens were granted in this time, so its refill is still available
   * and grants are at least this old.
   */
  readonly unownedMs: number;
  /** Hosts that may hold reserves, from the shard record. A handover carries its own list. */
  readonly formerHolders: Iterable<HostId>;
  /** Placement hosts. They must be in the shard record before this call. */
  readonly placement: Iterable<HostId>;
  /** State handed over by the former owner; undefined when it stopped without a handover. */
  readonly handOver?: HandOverShardsRequest;
}

/** Creates the owner state of a shard after a takeover or a handover. */
export function createOwner(options: OwnerOptions): OwnerState {
  const {settings, nowMs, handOver} = options;
  assertInvariant(
    handOver === undefined || handOver.epoch === options.epoch - 1,
    'limits.epoch',
    () => `handover from epoch ${handOver?.epoch} received for epoch ${options.epoch}`,
  );
  const remainingGrantMs = Math.max(0, settings.grantTtlMs - (handOver ? 0 : options.unownedMs));
  const state: OwnerState = {
    shard: options.shard,
    epoch: options.epoch,
    settings,
    findLimit: options.findLimit,
    authorityUntilMs: options.authorityUntilMs,
    startedMs: handOver ? nowMs - handOver.ageMs - handOver.runningMs : nowMs - options.unownedMs,
    assumedLargeUntilMs: handOver
      ? -Infinity
      : nowMs + (settings.largeGrantTtlMs - options.unownedMs) * (1 + settings.clockDriftFraction),
    assumedUntilMs: nowMs + remainingGrantMs * (1 + settings.clockDriftFraction),
    assumeGrants: !handOver,
    placement: new Set(options.placement),
    holders: new Map(),
    teams: new Map(),
    handedOver: false,
  };
  const validUntilMs = nowMs + settings.reserveValidMs * (1 + settings.clockDriftFraction);
  const formerHolders = handOver?.holders.map(({hostId}) => hostId) ?? options.formerHolders;
  for (const hostId of formerHolders) {
    state.holders.set(hostId, createHolder(hostId, validUntilMs));
  }
  if (handOver) applyHandOver(state, handOver, nowMs);
  return state;
}

function applyHandOver(state: OwnerState, handOver: HandOverShardsRequest, nowMs: number): void {
  for (const {hostId, sessionId, lastSequence} of handOver.holders) {
    const holder = state.holders.get(hostId)!;
    holder.sessionId = sessionId;
    holder.synced = sessionId !== undefined;
    holder.lastSequence = lastSequence;
  }
  for (const bucket of handOver.buckets) {
    for (const reserve of bucket.reserves) {
      const holder = state.holders.get(reserve.hostId);
      if (!holder) continue;
      const account = getOrCreateReserve(holder, bucket.teamId);
      account.heldTokens = reserve.heldTokens;
      account.spentTokens = reserve.spentTokens;
    }
    const limit = state.findLimit(bucket.teamId);
    if (!limit) continue;
    const team = getOrCreateBucket(state, bucket.teamId, state.startedMs);
    if (!team) continue;
    team.updatedMs = nowMs - handOver.ageMs;
    team.levelTokens = bucket.levelTokens;
    team.assumedTokens = bucket.outstandingTokens;
    capLevel(state, bucket.teamId, team, team.updatedMs);
    advanceBucket(state, bucket.teamId, team, nowMs);
  }
}

/** Extends the authority after a session renewal; the time is on the local monotonic clock. */
export function extendAuthority(state: OwnerState, authorityUntilMs: number): void {
  state.authorityUntilMs = Math.max(state.authorityUntilMs, authorityUntilMs);
}

/** Replaces the placement hosts. New ones must be in the shard record before this call. */
export function setPlacement(state: OwnerState, placement: Iterable<HostId>): void {
  state.placement = new Set(placement);
}

/**
 * Removes a holder whose reserves are still valid but can no longer be used. The caller must ensure
 * that the shard record no longer lists the host as a placement host, that more than half of all
 * hosts applied that record at least the freshness time plus the age limit of outage evidence ago,
 * and that a host whose configuration isn't fresh serves no requests and drops its reserves.
 */
export function fenceHolder(state: OwnerState, hostId: HostId, nowMs: number): void {
  if (state.placement.has(hostId) || !state.holders.has(hostId)) return;
  advanceAllBuckets(state, nowMs);
  state.holders.delete(hostId);
}

/** Ends the ownership on a planned stop and returns the state for the next owner. */
export function handOverOwnership(
  state: OwnerState,
  from: Pick<HandOverShardsRequest, 'hostId' | 'sessionId'>,
  nowMs: number,
): HandOverShardsRequest | undefined {
  if (!hasAuthority(state, nowMs)) return undefined;
  const buckets = [];
  for (const teamId of state.teams.keys()) {
    const team = getOrCreateBucket(state, teamId, nowMs);
    if (!team) continue;
    const outstandingTokens = team.outstandingTokens + assumedTokens(state, team, nowMs);
    const reserves = listReserves(state, teamId);
    buckets.push({teamId, levelTokens: team.levelTokens, outstandingTokens, reserves});
  }
  const holders = [];
  for (const {hostId, sessionId, synced, lastSequence} of state.holders.values()) {
    holders.push({hostId, sessionId: synced ? sessionId : undefined, lastSequence});
  }
  state.handedOver = true;
  const {shard, epoch, startedMs} = state;
  const runningMs = nowMs - startedMs;
  return {...from, shard, epoch, buckets, holders, runningMs, ageMs: 0};
}

/** Token counts of a team at `nowMs`, for status pages and tests. */
export function describeTeam(state: OwnerState, teamId: TeamId, nowMs: number) {
  const team = getOrCreateBucket(state, teamId, nowMs);
  if (!team) return undefined;
  const {levelTokens, outstandingTokens} = team;
  const reserveTokens = sumReserves(state, teamId, team);
  const capTokens = maxLevelTokens(state, teamId, team, nowMs);
  return {levelTokens, outstandingTokens, reserveTokens, capTokens};
}
