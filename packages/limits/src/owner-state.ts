import {assertInvariant, HostId, SessionId, TeamId} from '@radishgw/core';
import {createHeadroomLog, HeadroomLog, recordHeadroom, takeRefund} from './bucket.js';
import {HandedReserve, Refund, ReserveReport} from './messages.js';
import {LimitSettings, reserveCapTokens, reserveTokensPerSecond, TeamLimit} from './settings.js';

/** Relative tolerance for rounding errors in sums of tokens. */
const ROUNDING_TOLERANCE = 1e-6;

/** A grant that may still be spent. */
export interface GrantRecord {
  readonly sessionId: SessionId;
  /** Tokens not yet reported as spent or returned. */
  openTokens: number;
  spentTokens: number;
  returnedTokens: number;
  readonly endsMs: number;
}

/** An interval in which refill was lost because the level was at its cap. */
export interface LostRefill {
  readonly fromMs: number;
  readonly toMs: number;
  /** Refill rate without the share that refills reserves. */
  readonly tokensPerSecond: number;
}

/** Maximum number of lost-refill intervals. Dropping the oldest can only lower credits. */
const MAX_LOST_REFILL_INTERVALS = 64;

/** Bucket of one team at the shard owner. */
export interface TeamBucket {
  limit: TeamLimit;
  /** Maximum of the earlier limits until all reserve holders confirm the new revision. */
  previousLimit: TeamLimit | undefined;
  levelTokens: number;
  updatedMs: number;
  outstandingTokens: number;
  readonly grants: Map<string, GrantRecord>;
  /** Tokens assumed in grants of a former owner; they count until the owner's `assumedUntilMs`. */
  assumedTokens: number;
  lastRecallMs: number;
  /** Oldest first. */
  lostRefill: LostRefill[];
  readonly headroomLog: HeadroomLog;
}

/** Accounting of one reserve: upper bound of its tokens, and total reported as spent. */
export interface ReserveAccount {
  heldTokens: number;
  spentTokens: number;
}

/** The last response to a confirmation, which the holder may not have applied yet. */
export interface SentResponse {
  readonly sequence: number;
  readonly sentMs: number;
  readonly added: ReadonlyMap<TeamId, number>;
}

/** A host that may hold reserves of the shard. */
export interface Holder {
  readonly hostId: HostId;
  sessionId: SessionId | undefined;
  /** False while its reserves are unknown and therefore counted as full. */
  synced: boolean;
  /** Time until which the holder doesn't refill its reserves locally. */
  refillPausedUntilMs: number;
  /** Time at which the reserves expire unless the holder confirms again. */
  validUntilMs: number;
  configRevision: number;
  lastSequence: number;
  /** Reports were ignored because the holder could refill locally; it must report all reserves. */
  needsFullReport: boolean;
  lastSent: SentResponse | undefined;
  /** Confirmation that is held open. */
  pendingConfirm: {readonly sequence: number; readonly deadlineMs: number} | undefined;
  readonly reserves: Map<TeamId, ReserveAccount>;
  /** Teams whose reported charges get a stamp in the next response. */
  readonly reportedTeams: Set<TeamId>;
  readonly teamsToRecall: Set<TeamId>;
}

/** State of the owner of one shard. */
export interface OwnerState {
  readonly shard: number;
  readonly epoch: number;
  readonly settings: LimitSettings;
  /** Returns the current limit of a team; undefined when the team doesn't exist. */
  readonly findLimit: (teamId: TeamId) => TeamLimit | undefined;
  /** Time on the local monotonic clock at which the authority over the shard ends. */
  authorityUntilMs: number;
  /** Time from which a new bucket is refilled, starting at level 0. */
  readonly startedMs: number;
  /** Time until which grants of a former owner may be in use. */
  readonly assumedUntilMs: number;
  /** Time until which large grants of a former owner may be in use. */
  readonly assumedLargeUntilMs: number;
  /** True after a takeover without handover. */
  readonly assumeGrants: boolean;
  placement: ReadonlySet<HostId>;
  readonly holders: Map<HostId, Holder>;
  readonly teams: Map<TeamId, TeamBucket>;
  handedOver: boolean;
}

/** Creates a holder with unknown reserves. */
export function createHolder(hostId: HostId, validUntilMs: number): Holder {
  return {
    hostId,
    sessionId: undefined,
    synced: false,
    refillPausedUntilMs: -Infinity,
    validUntilMs,
    configRevision: 0,
    lastSequence: 0,
    needsFullReport: false,
    lastSent: undefined,
    pendingConfirm: undefined,
    reserves: new Map(),
    reportedTeams: new Set(),
    teamsToRecall: new Set(),
  };
}

/** Upper bound of the limit that a holder applies while it may be on an older revision. */
function upperBoundLimit(team: TeamBucket, holder: Holder): TeamLimit {
  const {limit, previousLimit} = team;
  if (!previousLimit || holder.configRevision >= limit.revision) return limit;
  return {
    tokensPerSecond: Math.max(limit.tokensPerSecond, previousLimit.tokensPerSecond),
    burstTokens: Math.max(limit.burstTokens, previousLimit.burstTokens),
    revision: limit.revision,
  };
}

/** Upper bound of the tokens that `holder` can spend from its reserve for `teamId`. */
export function reserveTokensOf(
  state: OwnerState,
  holder: Holder,
  teamId: TeamId,
  team: TeamBucket,
) {
  if (!holder.synced) return reserveCapTokens(upperBoundLimit(team, holder), state.settings);
  return holder.reserves.get(teamId)?.heldTokens ?? 0;
}

/** Sum of the upper bounds of all reserves of a team. */
export function sumReserves(state: OwnerState, teamId: TeamId, team: TeamBucket): number {
  let sum = 0;
  for (const holder of state.holders.values()) sum += reserveTokensOf(state, holder, teamId, team);
  return sum;
}

/** Returns the account of a holder's reserve for a team; creates an empty one if needed. */
export function getOrCreateReserve(holder: Holder, teamId: TeamId): ReserveAccount {
  let account = holder.reserves.get(teamId);
  if (!account) {
    account = {heldTokens: 0, spentTokens: 0};
    holder.reserves.set(teamId, account);
  }
  return account;
}

/** Tokens assumed to be in grants of a former owner. */
export function assumedTokens(state: OwnerState, team: TeamBucket, nowMs: number): number {
  if (nowMs < state.assumedLargeUntilMs) return team.limit.burstTokens;
  return nowMs < state.assumedUntilMs ? team.assumedTokens : 0;
}

/** Upper bound of the level: the burst minus all tokens that hosts may still spend. */
export function maxLevelTokens(state: OwnerState, teamId: TeamId, team: TeamBucket, nowMs: number) {
  const outstandingTokens = team.outstandingTokens + assumedTokens(state, team, nowMs);
  return team.limit.burstTokens - outstandingTokens - sumReserves(state, teamId, team);
}

/** Caps the level and records the headroom; returns its stamp in the headroom log. */
export function capLevel(
  state: OwnerState,
  teamId: TeamId,
  team: TeamBucket,
  nowMs: number,
): number {
  const cap = maxLevelTokens(state, teamId, team, nowMs);
  // The cap is negative after a lower burst or with assumed tokens; the level then stays at 0.
  team.levelTokens = Math.min(team.levelTokens, Math.max(0, cap));
  assertInvariant(
    team.outstandingTokens >= -ROUNDING_TOLERANCE * team.limit.burstTokens,
    'limits.conformance',
    () => `team ${teamId}: level ${team.levelTokens}, outstanding ${team.outstandingTokens}`,
  );
  return recordHeadroom(team.headroomLog, Math.max(0, cap - team.levelTokens));
}

/** Refills a bucket over an interval in which no holder and no grant changes state. */
function refillInterval(state: OwnerState, teamId: TeamId, team: TeamBucket, toMs: number): void {
  const elapsedSeconds = (toMs - team.updatedMs) / 1000;
  let poolRate = team.limit.tokensPerSecond;
  for (const holder of state.holders.values()) {
    if (holder.refillPausedUntilMs > team.updatedMs) continue;
    const limit = upperBoundLimit(team, holder);
    const rate = reserveTokensPerSecond(limit, state.settings);
    poolRate -= rate;
    if (!holder.synced) continue;
    const account = getOrCreateReserve(holder, teamId);
    // A reserve may exceed its cap after the limit was lowered.
    const cap = Math.max(account.heldTokens, reserveCapTokens(limit, state.settings));
    account.heldTokens = Math.min(cap, account.heldTokens + rate * elapsedSeconds);
  }
  const tokensPerSecond = Math.max(0, poolRate);
  const refillTokens = tokensPerSecond * elapsedSeconds;
  team.levelTokens += refillTokens;
  team.updatedMs = toMs;
  const uncappedTokens = team.levelTokens;
  capLevel(state, teamId, team, toMs);
  // Below a cap of 0, spending tokens doesn't make room for refill yet.
  if (maxLevelTokens(state, teamId, team, toMs) < 0) return;
  // Any further tokens above the cap are in reserves and return with the reports of their holders.
  const lostTokens = Math.min(refillTokens, uncappedTokens - team.levelTokens);
  // The bucket fills up within the interval, so the refill at its end is lost.
  const fromMs = toMs - (lostTokens / tokensPerSecond) * 1000;
  recordLostRefill(team, {fromMs, toMs, tokensPerSecond});
}

function recordLostRefill(team: TeamBucket, lost: LostRefill): void {
  if (!(lost.fromMs < lost.toMs)) return;
  team.lostRefill.push(lost);
  if (team.lostRefill.length > MAX_LOST_REFILL_INTERVALS) team.lostRefill.shift();
}

/**
 * Claims lost refill, oldest first, that would have fitted had the owner known that `tokens` were
 * spent by `sinceMs`. Refill lost before `sinceMs` isn't claimed, and no refill is claimed twice.
 * Returns the claimed tokens.
 */
export function claimLostRefill(team: TeamBucket, sinceMs: number, tokens: number): number {
  const remaining: LostRefill[] = [];
  let remainingTokens = tokens;
  for (const lost of team.lostRefill) {
    const fromMs = Math.max(lost.fromMs, sinceMs);
    const availableTokens = (lost.tokensPerSecond * (lost.toMs - fromMs)) / 1000;
    const taken = Math.min(availableTokens, remainingTokens);
    if (taken <= 0) {
      remaining.push(lost);
      continue;
    }
    remainingTokens -= taken;
    if (lost.fromMs < fromMs) remaining.push({...lost, toMs: fromMs});
    const takenToMs = fromMs + (taken / lost.tokensPerSecond) * 1000;
    if (takenToMs < lost.toMs) remaining.push({...lost, fromMs: takenToMs});
  }
  team.lostRefill = remaining;
  return tokens - remainingTokens;
}

/** Removes expired grants; their open tokens count as spent. */
function expireGrants(state: OwnerState, teamId: TeamId, team: TeamBucket, nowMs: number): void {
  for (const [grantId, grant] of team.grants) {
    if (grant.endsMs > nowMs) continue;
    team.outstandingTokens -= grant.openTokens;
    team.grants.delete(grantId);
  }
  if (team.grants.size === 0) team.outstandingTokens = 0;
  capLevel(state, teamId, team, nowMs);
}

/** Advances a bucket to `nowMs`, with refill and grant expiry. */
export function advanceBucket(state: OwnerState, teamId: TeamId, team: TeamBucket, nowMs: number) {
  while (team.updatedMs < nowMs) {
    let toMs = nowMs;
    for (const {endsMs} of team.grants.values()) toMs = Math.min(toMs, endsMs);
    for (const holder of state.holders.values()) {
      if (holder.refillPausedUntilMs > team.updatedMs)
        toMs = Math.min(toMs, holder.refillPausedUntilMs);
    }
    for (const endMs of [state.assumedLargeUntilMs, state.assumedUntilMs]) {
      if (endMs > team.updatedMs) toMs = Math.min(toMs, endMs);
    }
    refillInterval(state, teamId, team, Math.max(toMs, team.updatedMs));
    expireGrants(state, teamId, team, team.updatedMs);
  }
}

/** Advances all buckets to `nowMs`. Call it before the state of a holder changes. */
export function advanceAllBuckets(state: OwnerState, nowMs: number): void {
  for (const [teamId, team] of state.teams) advanceBucket(state, teamId, team, nowMs);
}

/** Returns the bucket of a team at `nowMs`, created on first use; undefined for an unknown team. */
export function getOrCreateBucket(
  state: OwnerState,
  teamId: TeamId,
  nowMs: number,
): TeamBucket | undefined {
  const limit = state.findLimit(teamId);
  if (!limit) return undefined;
  let team = state.teams.get(teamId);
  if (!team) {
    team = createTeamBucket(state, limit);
    state.teams.set(teamId, team);
  }
  advanceBucket(state, teamId, team, nowMs);
  if (limit.revision > team.limit.revision) applyLimit(state, teamId, team, limit, nowMs);
  return team;
}

function createTeamBucket(state: OwnerState, limit: TeamLimit): TeamBucket {
  const assumed = state.assumeGrants ? limit.burstTokens * state.settings.outstandingFraction : 0;
  return {
    limit,
    previousLimit: undefined,
    levelTokens: 0,
    updatedMs: state.startedMs,
    outstandingTokens: 0,
    grants: new Map(),
    assumedTokens: assumed,
    lastRecallMs: -Infinity,
    lostRefill: [],
    headroomLog: createHeadroomLog(),
  };
}

function applyLimit(
  state: OwnerState,
  teamId: TeamId,
  team: TeamBucket,
  limit: TeamLimit,
  nowMs: number,
): void {
  const previous = team.previousLimit ?? team.limit;
  team.previousLimit = {
    tokensPerSecond: Math.max(previous.tokensPerSecond, team.limit.tokensPerSecond),
    burstTokens: Math.max(previous.burstTokens, team.limit.burstTokens),
    revision: team.limit.revision,
  };
  team.limit = limit;
  // The recorded lost refill was computed with the old rate.
  team.lostRefill = [];
  capLevel(state, teamId, team, nowMs);
}

/** Applies a holder's report. Tokens that it neither holds nor spent are returned to the level. */
export function applyReserveReport(
  state: OwnerState,
  holder: Holder,
  report: ReserveReport,
  nowMs: number,
): void {
  const team = getOrCreateBucket(state, report.teamId, nowMs);
  const account = getOrCreateReserve(holder, report.teamId);
  const spent = Math.max(0, report.spentTokens - account.spentTokens);
  // Negative when the holder refilled a reserve of a team that had no bucket here at the time.
  const returnedTokens = account.heldTokens - report.heldTokens - spent;
  account.heldTokens = report.heldTokens;
  account.spentTokens = Math.max(account.spentTokens, report.spentTokens);
  if (!team) return;
  team.levelTokens += returnedTokens;
  capLevel(state, report.teamId, team, nowMs);
  holder.reportedTeams.add(report.teamId);
}

/** Lists the reserves of a team for the handover to the next owner. */
export function listReserves(state: OwnerState, teamId: TeamId): HandedReserve[] {
  const reserves: HandedReserve[] = [];
  for (const {hostId, sessionId, synced, reserves: accounts} of state.holders.values()) {
    const account = accounts.get(teamId);
    if (synced && sessionId !== undefined && account)
      reserves.push({hostId, sessionId, ...account});
  }
  return reserves;
}

/** True while this owner may issue tokens. Call it in the same event-loop turn as the response. */
export function hasAuthority(state: OwnerState, nowMs: number): boolean {
  return !state.handedOver && nowMs < state.authorityUntilMs;
}

/** Credits a refund up to the minimum headroom since its charge. */
export function applyRefund(team: TeamBucket, refund: Refund): void {
  team.levelTokens += takeRefund(team.headroomLog, refund.stamp, refund.tokens);
}
