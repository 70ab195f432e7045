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

/** How a shard was acquired. */
export interface OwnerOptions {
  readonly shard: number;
  readonly epoch: number;
  readonly settings: LimitSettings;
  readonly findLimit: (teamId: TeamId) => TeamLimit | undefined;
  readonly nowMs: number;
  readonly authorityUntilMs: number;
  /**
   * Least time since the former owner's authority ended: the margin of a takeover, 0 after an ended
   * session. Nobody gave out the refill of this time, and grants are at least this old.
   */
  readonly unownedMs: number;
  /** Hosts that may hold reserves, from the shard record; a handover states them itself. */
  readonly formerHolders: Iterable<HostId>;
  /** Placement hosts; the shard record must name them before this call. */
  readonly placement: Iterable<HostId>;
  /** State from the previous owner; undefined when it stopped without handing over. */
  readonly handOver?: HandOverShardsRequest;
}

/** Starts the ownership of a shard, after a takeover or a handover. */
export function createOwner(options: OwnerOptions): OwnerState {
  const {settings, nowMs, handOver} = options;
  assertInvariant(
    handOver === undefined || handOver.epoch === options.epoch - 1,
    'limits.epoch',
    () => `handover of epoch ${handOver?.epoch} for epoch ${options.epoch}`,
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

/** Records a renewed session; `untilMs` is on the own monotonic clock. */
export function extendAuthority(state: OwnerState, authorityUntilMs: number): void {
  state.authorityUntilMs = Math.max(state.authorityUntilMs, authorityUntilMs);
}

/** Changes the placement hosts; the shard record must name the new ones before this call. */
export function setPlacement(state: OwnerState, placement: Iterable<HostId>): void {
  state.placement = new Set(placement);
}

/**
 * Stops counting the reserves of a host that can't use them any more although they are still valid.
 * The caller has to know three things: the shard record names the host no longer as a placement host;
 * since at least the freshness time plus the age limit of outage evidence, more than half of all
 * hosts have applied that record; and a host that isn't fresh serves nothing and drops its reserves.
 */
export function fenceHolder(state: OwnerState, hostId: HostId, nowMs: number): void {
  if (state.placement.has(hostId) || !state.holders.has(hostId)) return;
  advanceAllBuckets(state, nowMs);
  state.holders.delete(hostId);
}

/** Ends the ownership on a planned stop; the result goes to the next owner. */
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

/** Tokens that the owner could still give out for a team, for status pages and tests. */
export function describeTeam(state: OwnerState, teamId: TeamId, nowMs: number) {
  const team = getOrCreateBucket(state, teamId, nowMs);
  if (!team) return undefined;
  const {levelTokens, outstandingTokens} = team;
  const reserveTokens = sumReserves(state, teamId, team);
  const capTokens = maxLevelTokens(state, teamId, team, nowMs);
  return {levelTokens, outstandingTokens, reserveTokens, capTokens};
}
