import {assertInvariant, HostId, RequestId, SessionId, TeamId} from '@radishgw/core';
import {createHeadroomLog, HeadroomLog, recordHeadroom} from './bucket.js';
import {AcquireGrantRequest, ConfirmReserveRequest, GrantReport, Refund} from './messages.js';
import {LimitSettings, reserveCapTokens, reserveTokensPerSecond, TeamLimit} from './settings.js';

/** Time constant of the demand average. */
const DEMAND_WINDOW_MS = 2000;

/** What a host asks of its caller. */
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

/** Why a request was refused; none of them has started to run. */
export type RefusalReason = 'rateExceeded' | 'ownerUnreachable' | 'aboveBurst' | 'unknownTeam';

/** A grant at the host that received it. */
export interface LocalGrant {
  readonly grantId: string;
  readonly epoch: number;
  availableTokens: number;
  spentTokens: number;
  /** Time of the last spending; -Infinity without one. */
  lastSpentMs: number;
  readonly validUntilMs: number;
}

/** One source of a charge and its place in the reports to the owner. */
export interface ChargePart {
  /** Undefined for the reserve. */
  readonly grant: LocalGrant | undefined;
  tokens: number;
  readonly epoch: number;
  /** Place in the reserve's own log. */
  readonly localStamp: number;
  /** `unreported`, then `sent`, then `stamped` with the owner's stamp, or `lost`. */
  state: 'unreported' | 'sent' | 'stamped' | 'lost';
  stamp: number;
  /** To give back once the charge is stamped. */
  owedTokens: number;
}

/** A request that waits for tokens. */
export interface WaitingRequest {
  readonly requestId: RequestId;
  readonly costTokens: number;
  readonly deadlineMs: number;
  /** The owner has answered since the request came. */
  answered: boolean;
}

/** A call to the owner for one team. */
export interface AcquireCall {
  readonly grantId: string;
  readonly sentMs: number;
  readonly deadlineMs: number;
  readonly neededTokens: number;
  readonly parts: readonly ChargePart[];
}

/** A team's tokens and requests at one host. */
export interface TeamHolding {
  readonly teamId: TeamId;
  readonly shard: number;
  grants: LocalGrant[];
  /** Ended grants whose use has to be reported. */
  ended: GrantReport[];
  reserveTokens: number;
  /** Total in this session. */
  reserveSpentTokens: number;
  reserveUpdatedMs: number;
  readonly reserveLog: HeadroomLog;
  readonly waiting: WaitingRequest[];
  call: AcquireCall | undefined;
  nextAskMs: number;
  retryAfterMs: number;
  /** Need that the owner refused; as much isn't asked for again before `nextAskMs`. */
  refusedTokens: number;
  refundDueMs: number;
  /** Tokens aren't asked for ahead of demand before this time. */
  nextAheadMs: number;
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

/** A host's relation to the owner of one shard. */
export interface ShardLink {
  readonly shard: number;
  epoch: number;
  /** This host is a placement host of the shard. */
  placed: boolean;
  sequence: number;
  appliedSequence: number;
  wantAll: boolean;
  /** The owner told the host to give up its reserves; the next request says that it has. */
  releasing: boolean;
  call: ConfirmCall | undefined;
  nextConfirmMs: number;
  /** Until then reserves don't refill on their own. */
  lendUntilMs: number;
  /** Until then reserves may be used. */
  validUntilMs: number;
  /** Calls to the owner that failed since the last answer; while above 0, reserves are used. */
  failures: number;
  /** The owner isn't asked before this time. */
  pausedUntilMs: number;
  readonly dirty: Set<TeamId>;
  readonly teams: Set<TeamId>;
}

/** State of the host side. */
export interface HostState {
  readonly hostId: HostId;
  readonly sessionId: SessionId;
  readonly settings: LimitSettings;
  readonly findLimit: (teamId: TeamId) => TeamLimit | undefined;
  /** Revision of the configuration that `findLimit` reads. */
  configRevision: number;
  readonly links: Map<number, ShardLink>;
  readonly teams: Map<TeamId, TeamHolding>;
  /** Teams with requests, calls or grants. */
  readonly active: Set<TeamId>;
  nextGrant: number;
  /** The host gives all tokens back and asks for no more. */
  isStopping: boolean;
  /** No work is due before this time. */
  wakeMs: number;
}

/** State of a host process that has just started: no grants and empty reserves. */
export function createHost(
  start: Pick<HostState, 'hostId' | 'sessionId' | 'settings' | 'findLimit'>,
): HostState {
  return {
    ...start,
    configRevision: 0,
    links: new Map(),
    teams: new Map(),
    active: new Set(),
    nextGrant: 1,
    isStopping: false,
    wakeMs: Infinity,
  };
}

/** Link to a shard, created without an owner. */
export function openLink(state: HostState, shard: number): ShardLink {
  let link = state.links.get(shard);
  if (!link) {
    link = {
      shard,
      epoch: 0,
      placed: false,
      sequence: 0,
      appliedSequence: 0,
      wantAll: true,
      releasing: false,
      call: undefined,
      nextConfirmMs: -Infinity,
      lendUntilMs: Infinity,
      validUntilMs: -Infinity,
      failures: 0,
      pausedUntilMs: -Infinity,
      dirty: new Set(),
      teams: new Set(),
    };
    state.links.set(shard, link);
  }
  return link;
}

/** Holding of a team, created empty. */
export function openHolding(
  state: HostState,
  link: ShardLink,
  teamId: TeamId,
  nowMs: number,
): TeamHolding {
  let holding = state.teams.get(teamId);
  if (!holding) {
    holding = {
      teamId,
      shard: link.shard,
      grants: [],
      ended: [],
      reserveTokens: 0,
      reserveSpentTokens: 0,
      reserveUpdatedMs: nowMs,
      reserveLog: createHeadroomLog(),
      waiting: [],
      call: undefined,
      nextAskMs: -Infinity,
      retryAfterMs: 0,
      refusedTokens: 0,
      refundDueMs: Infinity,
      nextAheadMs: -Infinity,
      lastCostTokens: 0,
      demandTokensPerSecond: 0,
      demandUpdatedMs: nowMs,
      charges: new Map(),
      unreported: [],
      grantRefunds: [],
      reserveRefunds: [],
    };
    state.teams.set(teamId, holding);
    link.teams.add(teamId);
  }
  return holding;
}

/** Tokens per second asked for recently. */
export function averageDemand(holding: TeamHolding, nowMs: number): number {
  const elapsedMs = nowMs - holding.demandUpdatedMs;
  return holding.demandTokensPerSecond * Math.exp(-elapsedMs / DEMAND_WINDOW_MS);
}

/** Adds a request to the demand average. */
export function recordDemand(holding: TeamHolding, tokens: number, nowMs: number): void {
  const added = (tokens * 1000) / DEMAND_WINDOW_MS;
  holding.demandTokensPerSecond = averageDemand(holding, nowMs) + added;
  holding.demandUpdatedMs = nowMs;
  holding.lastCostTokens = tokens;
}

/** Tokens in grants that may be spent now; ended grants are set aside for the next report. */
export function availableInGrants(holding: TeamHolding, nowMs: number): number {
  let sum = 0;
  let hasEnded = false;
  for (const grant of holding.grants) {
    if (grant.validUntilMs > nowMs) sum += grant.availableTokens;
    else hasEnded = true;
  }
  if (hasEnded) holding.grants = holding.grants.filter(grant => grant.validUntilMs > nowMs);
  return sum;
}

/** Brings the reserve to `nowMs`; returns the tokens that may be spent from it. */
export function refreshReserve(
  state: HostState,
  link: ShardLink,
  holding: TeamHolding,
  nowMs: number,
): number {
  const limit = state.findLimit(holding.teamId);
  const fromMs = Math.max(holding.reserveUpdatedMs, link.lendUntilMs);
  holding.reserveUpdatedMs = nowMs;
  if (link.validUntilMs <= nowMs || !limit) {
    holding.reserveTokens = 0;
    return 0;
  }
  const cap = reserveCapTokens(limit, state.settings);
  if (holding.reserveTokens > cap) {
    holding.reserveTokens = cap;
    link.dirty.add(holding.teamId);
  }
  if (nowMs > fromMs) {
    const rate = reserveTokensPerSecond(limit, state.settings);
    const level = holding.reserveTokens + (rate * (nowMs - fromMs)) / 1000;
    holding.reserveTokens = Math.min(cap, level);
    recordHeadroom(holding.reserveLog, cap - holding.reserveTokens);
    link.dirty.add(holding.teamId);
  }
  return holding.reserveTokens;
}

/** Spends `tokens` from grants, oldest first, then from the reserve. The caller checked the sum. */
export function charge(
  state: HostState,
  link: ShardLink,
  holding: TeamHolding,
  request: WaitingRequest,
  nowMs: number,
): void {
  const parts: ChargePart[] = [];
  let left = request.costTokens;
  for (const grant of holding.grants) {
    const tokens = Math.min(left, grant.availableTokens);
    if (tokens <= 0) continue;
    grant.availableTokens -= tokens;
    grant.spentTokens += tokens;
    grant.lastSpentMs = nowMs;
    left -= tokens;
    parts.push(createPart(grant, tokens, grant.epoch, 0));
  }
  if (left > 0) parts.push(chargeReserve(state, link, holding, left));
  assertInvariant(
    holding.reserveTokens >= -1e-6 * request.costTokens,
    'limits.conformance',
    () => `team ${holding.teamId}: charge of ${request.costTokens} tokens exceeds what is held`,
  );
  holding.unreported.push(...parts);
  holding.charges.set(request.requestId, parts);
}

function chargeReserve(
  state: HostState,
  link: ShardLink,
  holding: TeamHolding,
  tokens: number,
): ChargePart {
  holding.reserveTokens -= tokens;
  holding.reserveSpentTokens += tokens;
  link.dirty.add(holding.teamId);
  return createPart(undefined, tokens, link.epoch, recordReserve(state, holding));
}

function createPart(
  grant: LocalGrant | undefined,
  tokens: number,
  epoch: number,
  localStamp: number,
): ChargePart {
  return {grant, tokens, epoch, localStamp, state: 'unreported', stamp: 0, owedTokens: 0};
}

/** Records the headroom of the reserve; returns its stamp. */
export function recordReserve(state: HostState, holding: TeamHolding): number {
  const limit = state.findLimit(holding.teamId);
  const cap = limit ? reserveCapTokens(limit, state.settings) : 0;
  return recordHeadroom(holding.reserveLog, Math.max(0, cap - holding.reserveTokens));
}
