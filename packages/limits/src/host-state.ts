import {assertInvariant, HostId, RequestId, SessionId, TeamId} from '@radishgw/core';
import {createHeadroomLog, HeadroomLog, recordHeadroom} from './bucket.js';
import {AcquireGrantRequest, ConfirmReserveRequest, GrantReport, Refund} from './messages.js';
import {LimitSettings, reserveCapTokens, reserveTokensPerSecond, TeamLimit} from './settings.js';

/** Time constant of the demand average. */
const DEMAND_WINDOW_MS = 2000;

/** An action that the caller must perform for the host. */
export type HostAction =
  | {readonly type: 'admit'; readonly requestId: RequestId}
  | {
      readonly type: 'refuse';
      readonly requestId: RequestId;
      readonly reason: RefusalReason;
      readonly retryAfterMs: number;
    }
  | {readonly type: 'acquire'; readonly request: AcquireGrantRequest}
  | {readonly type: 'confirm'; readonly request: ConfirmReserveRequest};

/** Reason for a refusal. A refused request hasn't started to run. */
export type RefusalReason = 'rateExceeded' | 'ownerUnreachable' | 'aboveBurst' | 'unknownTeam';

/** Local state of a grant at the host that received it. */
export interface LocalGrant {
  readonly grantId: string;
  readonly epoch: number;
  availableTokens: number;
  spentTokens: number;
  /** Time at which tokens were last spent; -Infinity if none were. */
  lastSpentMs: number;
  readonly validUntilMs: number;
}

/** The part of a charge that was taken from one grant or from the reserve. */
export interface ChargePart {
  /** Undefined for the reserve. */
  readonly grant: LocalGrant | undefined;
  tokens: number;
  readonly epoch: number;
  /** Stamp in the host's headroom log of the reserve; 0 for a grant. */
  readonly localStamp: number;
  /** From `unreported` to `sent`, then `stamped` with the owner's stamp, or `lost`. */
  state: 'unreported' | 'sent' | 'stamped' | 'lost';
  stamp: number;
  /** Tokens to refund once the charge is stamped. */
  pendingRefundTokens: number;
}

/** A request that waits for tokens. */
export interface WaitingRequest {
  readonly requestId: RequestId;
  readonly costTokens: number;
  readonly deadlineMs: number;
  /** True when the owner has responded since the request arrived. */
  answered: boolean;
}

/** A grant request in progress. */
export interface AcquireCall {
  readonly grantId: string;
  readonly sentMs: number;
  readonly deadlineMs: number;
  readonly neededTokens: number;
  readonly parts: readonly ChargePart[];
}

/** Grants, reserve and requests of one team at this host. */
export interface TeamState {
  readonly teamId: TeamId;
  readonly shard: number;
  grants: LocalGrant[];
  /** Reports that close grants at the owner, to be sent with the next request. */
  unsentReports: GrantReport[];
  reserveTokens: number;
  /** Total spent from the reserve in this session. */
  reserveSpentTokens: number;
  reserveUpdatedMs: number;
  readonly reserveLog: HeadroomLog;
  readonly waiting: WaitingRequest[];
  call: AcquireCall | undefined;
  nextAcquireMs: number;
  retryAfterMs: number;
  /** Tokens that the owner refused; as many or more aren't requested before `nextAcquireMs`. */
  refusedTokens: number;
  refundDueMs: number;
  /** Earliest time of the next prefetch. */
  nextPrefetchMs: number;
  lastCostTokens: number;
  demandTokensPerSecond: number;
  demandUpdatedMs: number;
  readonly charges: Map<RequestId, ChargePart[]>;
  unreported: ChargePart[];
  grantRefunds: Refund[];
  reserveRefunds: Refund[];
}

/** A confirmation in progress. */
export interface ConfirmCall {
  readonly sequence: number;
  readonly sentMs: number;
  readonly deadlineMs: number;
  readonly teams: readonly TeamId[];
  readonly parts: ReadonlyMap<TeamId, readonly ChargePart[]>;
}

/** A host's client state for the owner of one shard. */
export interface ShardLink {
  readonly shard: number;
  epoch: number;
  /** Whether this host is a placement host of the shard. */
  isPlacementHost: boolean;
  sequence: number;
  appliedSequence: number;
  wantAll: boolean;
  /** The host has given up its reserves; the next confirmation tells the owner. */
  releasing: boolean;
  call: ConfirmCall | undefined;
  nextConfirmMs: number;
  /** Time until which reserves don't refill locally. */
  refillPausedUntilMs: number;
  /** Time at which the reserves expire. */
  validUntilMs: number;
  /** Calls to the owner that failed since its last response; reserves are used while above 0. */
  consecutiveFailures: number;
  /** Earliest time of the next call to the owner. */
  callsPausedUntilMs: number;
  readonly dirtyTeams: Set<TeamId>;
  readonly teams: Set<TeamId>;
}

/** State of the rate limiter at a host. */
export interface HostState {
  readonly hostId: HostId;
  readonly sessionId: SessionId;
  readonly settings: LimitSettings;
  readonly findLimit: (teamId: TeamId) => TeamLimit | undefined;
  /** Configuration revision that `findLimit` reads. */
  configRevision: number;
  readonly links: Map<number, ShardLink>;
  readonly teams: Map<TeamId, TeamState>;
  /** Teams with waiting requests, calls, grants or unsent reports and refunds. */
  readonly activeTeams: Set<TeamId>;
  nextGrantNumber: number;
  /** The host is stopping: it has given up its reserves and prefetches no tokens. */
  isStopping: boolean;
  /** Earliest time at which work is due. */
  nextTimerMs: number;
}

/** Creates the state of a host that has just started, without grants and with empty reserves. */
export function createHost(
  options: Pick<HostState, 'hostId' | 'sessionId' | 'settings' | 'findLimit'>,
): HostState {
  return {
    ...options,
    configRevision: 0,
    links: new Map(),
    teams: new Map(),
    activeTeams: new Set(),
    nextGrantNumber: 1,
    isStopping: false,
    nextTimerMs: Infinity,
  };
}

/** Returns the link to a shard; creates one without a known owner if needed. */
export function getOrCreateLink(state: HostState, shard: number): ShardLink {
  let link = state.links.get(shard);
  if (!link) {
    link = {
      shard,
      epoch: 0,
      isPlacementHost: false,
      sequence: 0,
      appliedSequence: 0,
      wantAll: true,
      releasing: false,
      call: undefined,
      nextConfirmMs: -Infinity,
      refillPausedUntilMs: Infinity,
      validUntilMs: -Infinity,
      consecutiveFailures: 0,
      callsPausedUntilMs: -Infinity,
      dirtyTeams: new Set(),
      teams: new Set(),
    };
    state.links.set(shard, link);
  }
  return link;
}

/** Returns the state of a team; creates an empty one if needed. */
export function getOrCreateTeam(
  state: HostState,
  link: ShardLink,
  teamId: TeamId,
  nowMs: number,
): TeamState {
  let team = state.teams.get(teamId);
  if (!team) {
    team = {
      teamId,
      shard: link.shard,
      grants: [],
      unsentReports: [],
      reserveTokens: 0,
      reserveSpentTokens: 0,
      reserveUpdatedMs: nowMs,
      reserveLog: createHeadroomLog(),
      waiting: [],
      call: undefined,
      nextAcquireMs: -Infinity,
      retryAfterMs: 0,
      refusedTokens: 0,
      refundDueMs: Infinity,
      nextPrefetchMs: -Infinity,
      lastCostTokens: 0,
      demandTokensPerSecond: 0,
      demandUpdatedMs: nowMs,
      charges: new Map(),
      unreported: [],
      grantRefunds: [],
      reserveRefunds: [],
    };
    state.teams.set(teamId, team);
    link.teams.add(teamId);
  }
  return team;
}

/** Exponentially decayed average of the demand, in tokens per second. */
export function averageDemand(team: TeamState, nowMs: number): number {
  const elapsedMs = nowMs - team.demandUpdatedMs;
  return team.demandTokensPerSecond * Math.exp(-elapsedMs / DEMAND_WINDOW_MS);
}

/** Adds a request to the demand average. */
export function recordDemand(team: TeamState, tokens: number, nowMs: number): void {
  const added = (tokens * 1000) / DEMAND_WINDOW_MS;
  team.demandTokensPerSecond = averageDemand(team, nowMs) + added;
  team.demandUpdatedMs = nowMs;
  team.lastCostTokens = tokens;
}

/** Tokens in valid grants. Removes expired grants. */
export function availableGrantTokens(team: TeamState, nowMs: number): number {
  let sum = 0;
  let hasEnded = false;
  for (const grant of team.grants) {
    if (grant.validUntilMs > nowMs) sum += grant.availableTokens;
    else hasEnded = true;
  }
  if (hasEnded) team.grants = team.grants.filter(grant => grant.validUntilMs > nowMs);
  return sum;
}

/** Advances the reserve to `nowMs`; returns the tokens that may be spent from it. */
export function refreshReserve(
  state: HostState,
  link: ShardLink,
  team: TeamState,
  nowMs: number,
): number {
  const limit = state.findLimit(team.teamId);
  const fromMs = Math.max(team.reserveUpdatedMs, link.refillPausedUntilMs);
  team.reserveUpdatedMs = nowMs;
  if (link.validUntilMs <= nowMs || !limit) {
    team.reserveTokens = 0;
    return 0;
  }
  const cap = reserveCapTokens(limit, state.settings);
  if (team.reserveTokens > cap) {
    team.reserveTokens = cap;
    link.dirtyTeams.add(team.teamId);
  }
  if (nowMs > fromMs) {
    const rate = reserveTokensPerSecond(limit, state.settings);
    const level = team.reserveTokens + (rate * (nowMs - fromMs)) / 1000;
    team.reserveTokens = Math.min(cap, level);
    recordHeadroom(team.reserveLog, cap - team.reserveTokens);
    link.dirtyTeams.add(team.teamId);
  }
  return team.reserveTokens;
}

/**
 * Charges a request to grants, oldest first, then to the reserve. The caller must have checked that
 * their tokens cover the cost.
 */
export function charge(
  state: HostState,
  link: ShardLink,
  team: TeamState,
  request: WaitingRequest,
  nowMs: number,
): void {
  const parts: ChargePart[] = [];
  let remainingTokens = request.costTokens;
  for (const grant of team.grants) {
    const tokens = Math.min(remainingTokens, grant.availableTokens);
    if (tokens <= 0) continue;
    grant.availableTokens -= tokens;
    grant.spentTokens += tokens;
    grant.lastSpentMs = nowMs;
    remainingTokens -= tokens;
    parts.push(createPart(grant, tokens, grant.epoch, 0));
  }
  if (remainingTokens > 0) parts.push(chargeReserve(state, link, team, remainingTokens));
  assertInvariant(
    team.reserveTokens >= -1e-6 * request.costTokens,
    'limits.conformance',
    () => `team ${team.teamId}: charge of ${request.costTokens} tokens exceeds available tokens`,
  );
  team.unreported.push(...parts);
  team.charges.set(request.requestId, parts);
}

function chargeReserve(
  state: HostState,
  link: ShardLink,
  team: TeamState,
  tokens: number,
): ChargePart {
  team.reserveTokens -= tokens;
  team.reserveSpentTokens += tokens;
  link.dirtyTeams.add(team.teamId);
  return createPart(undefined, tokens, link.epoch, recordReserveHeadroom(state, team));
}

function createPart(
  grant: LocalGrant | undefined,
  tokens: number,
  epoch: number,
  localStamp: number,
): ChargePart {
  return {grant, tokens, epoch, localStamp, state: 'unreported', stamp: 0, pendingRefundTokens: 0};
}

/** Records the headroom of the reserve in its log; returns the stamp. */
export function recordReserveHeadroom(state: HostState, team: TeamState): number {
  const limit = state.findLimit(team.teamId);
  const cap = limit ? reserveCapTokens(limit, state.settings) : 0;
  return recordHeadroom(team.reserveLog, Math.max(0, cap - team.reserveTokens));
}
