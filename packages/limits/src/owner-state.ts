import {assertInvariant, HostId, SessionId, TeamId} from '@radishgw/core';
import {createHeadroomLog, HeadroomLog, recordHeadroom, takeRefund} from './bucket.js';
import {HandedReserve, Refund, ReserveReport} from './messages.js';
import {LimitSettings, reserveCapTokens, reserveTokensPerSecond, TeamLimit} from './settings.js';

/** Relative rounding error allowed in sums of tokens. */
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

/** A stretch of time in which refill found no room. */
export interface LostRefill {
  readonly fromMs: number;
  readonly toMs: number;
  /** Rate of the refill, without what goes to reserves. */
  readonly tokensPerSecond: number;
}

/** Longest history of lost refill. Older stretches are dropped, which only lowers credits. */
const MAX_LOST_REFILL_INTERVALS = 64;

/** Bucket of one team at the shard owner. */
export interface TeamBucket {
  limit: TeamLimit;
  /** Limit before the last change, until all reserve holders confirm the new revision. */
  previousLimit: TeamLimit | undefined;
  levelTokens: number;
  updatedMs: number;
  outstandingTokens: number;
  readonly grants: Map<string, GrantRecord>;
  /** Grants of an earlier owner, counted until `assumedUntilMs` of the shard. */
  assumedTokens: number;
  lastRecallMs: number;
  /** Oldest first. */
  lostRefill: LostRefill[];
  readonly headroomLog: HeadroomLog;
}

/** Upper bound of a reserve's content, and what its holder has reported as spent. */
export interface ReserveAccount {
  heldTokens: number;
  spentTokens: number;
}

/** A response to a confirmation whose application by the holder isn't known yet. */
export interface SentResponse {
  readonly sequence: number;
  readonly sentMs: number;
  readonly added: ReadonlyMap<TeamId, number>;
}

/** A placement host that may use reserves. */
export interface Holder {
  readonly hostId: HostId;
  sessionId: SessionId | undefined;
  /** False while its reserves are only known to be at most full. */
  synced: boolean;
  /** Until then the holder has promised not to refill reserves on its own. */
  refillPausedUntilMs: number;
  /** From then on the holder can't use its reserves unless it confirms again. */
  validUntilMs: number;
  configRevision: number;
  lastSequence: number;
  /** Reports came while the holder could refill on its own; it has to list all reserves again. */
  needsFullReport: boolean;
  lastSent: SentResponse | undefined;
  /** Confirmation that is held open. */
  pendingConfirm: {readonly sequence: number; readonly deadlineMs: number} | undefined;
  readonly reserves: Map<TeamId, ReserveAccount>;
  /** Teams whose reports need a stamp in the next response. */
  readonly reportedTeams: Set<TeamId>;
  readonly teamsToRecall: Set<TeamId>;
}

/** State of the owner of one shard. */
export interface OwnerState {
  readonly shard: number;
  readonly epoch: number;
  readonly settings: LimitSettings;
  /** Current limit of a team; undefined when the team doesn't exist. */
  readonly findLimit: (teamId: TeamId) => TeamLimit | undefined;
  /** Own monotonic time at which the authority over the shard ends. */
  authorityUntilMs: number;
  /** When buckets that have no account yet began to refill from 0. */
  readonly startedMs: number;
  /** Until then grants of an earlier owner may be in use. */
  readonly assumedUntilMs: number;
  /** Until then large grants of an earlier owner may be in use. */
  readonly assumedLargeUntilMs: number;
  /** True after a takeover without handover. */
  readonly assumeGrants: boolean;
  placement: ReadonlySet<HostId>;
  readonly holders: Map<HostId, Holder>;
  readonly teams: Map<TeamId, TeamBucket>;
  handedOver: boolean;
}

/** A holder about which nothing is known but that it may have reserves. */
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

/** Limit that a holder may be applying: the larger values while it may be on an older revision. */
function upperBoundLimit(team: TeamBucket, holder: Holder): TeamLimit {
  const {limit, previousLimit} = team;
  if (!previousLimit || holder.configRevision >= limit.revision) return limit;
  return {
    tokensPerSecond: Math.max(limit.tokensPerSecond, previousLimit.tokensPerSecond),
    burstTokens: Math.max(limit.burstTokens, previousLimit.burstTokens),
    revision: limit.revision,
  };
}

/** Upper bound of what `holder` can spend of its reserve for `teamId`. */
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

/** Account of a holder's reserve for a team, created empty. */
export function getOrCreateReserve(holder: Holder, teamId: TeamId): ReserveAccount {
  let account = holder.reserves.get(teamId);
  if (!account) {
    account = {heldTokens: 0, spentTokens: 0};
    holder.reserves.set(teamId, account);
  }
  return account;
}

/** Tokens that grants of an earlier owner may still hold. */
export function assumedTokens(state: OwnerState, team: TeamBucket, nowMs: number): number {
  if (nowMs < state.assumedLargeUntilMs) return team.limit.burstTokens;
  return nowMs < state.assumedUntilMs ? team.assumedTokens : 0;
}

/** Most tokens that the level may hold: the burst less all that hosts may still spend. */
export function maxLevelTokens(state: OwnerState, teamId: TeamId, team: TeamBucket, nowMs: number) {
  const outstandingTokens = team.outstandingTokens + assumedTokens(state, team, nowMs);
  return team.limit.burstTokens - outstandingTokens - sumReserves(state, teamId, team);
}

/** Caps the level and records the headroom; returns the stamp. */
export function capLevel(
  state: OwnerState,
  teamId: TeamId,
  team: TeamBucket,
  nowMs: number,
): number {
  const cap = maxLevelTokens(state, teamId, team, nowMs);
  // A negative cap comes from assumed tokens or a lower burst; the level then waits at 0.
  team.levelTokens = Math.min(team.levelTokens, Math.max(0, cap));
  assertInvariant(
    team.outstandingTokens >= -ROUNDING_TOLERANCE * team.limit.burstTokens,
    'limits.conformance',
    () => `team ${teamId}: level ${team.levelTokens}, outstanding ${team.outstandingTokens}`,
  );
  return recordHeadroom(team.headroomLog, Math.max(0, cap - team.levelTokens));
}

/** Refills one stretch of time in which no holder and no grant changes its status. */
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
    // The reserve may already be above a cap that was lowered since.
    const cap = Math.max(account.heldTokens, reserveCapTokens(limit, state.settings));
    account.heldTokens = Math.min(cap, account.heldTokens + rate * elapsedSeconds);
  }
  const tokensPerSecond = Math.max(0, poolRate);
  const refillTokens = tokensPerSecond * elapsedSeconds;
  team.levelTokens += refillTokens;
  team.updatedMs = toMs;
  const uncappedTokens = team.levelTokens;
  capLevel(state, teamId, team, toMs);
  // Below a cap of 0 the room that a spending makes isn't room for refill yet.
  if (maxLevelTokens(state, teamId, team, toMs) < 0) return;
  // What else the cap took away stands in reserves and comes back with their reports.
  const lostTokens = Math.min(refillTokens, uncappedTokens - team.levelTokens);
  // Room ends before time does, so what is lost is the end of the stretch.
  const fromMs = toMs - (lostTokens / tokensPerSecond) * 1000;
  recordLostRefill(team, {fromMs, toMs, tokensPerSecond});
}

function recordLostRefill(team: TeamBucket, lost: LostRefill): void {
  if (!(lost.fromMs < lost.toMs)) return;
  team.lostRefill.push(lost);
  if (team.lostRefill.length > MAX_LOST_REFILL_INTERVALS) team.lostRefill.shift();
}

/**
 * Takes refill that would have found room had the owner known that `tokens` were spent by
 * `sinceMs`, oldest first. What is taken, or was lost before, makes no other credit.
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

/** Removes ended grants; their open tokens count as spent. */
function expireGrants(state: OwnerState, teamId: TeamId, team: TeamBucket, nowMs: number): void {
  for (const [grantId, grant] of team.grants) {
    if (grant.endsMs > nowMs) continue;
    team.outstandingTokens -= grant.openTokens;
    team.grants.delete(grantId);
  }
  if (team.grants.size === 0) team.outstandingTokens = 0;
  capLevel(state, teamId, team, nowMs);
}

/** Brings a team's account to `nowMs`. */
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

/** Brings all accounts to `nowMs`; needed before a holder changes its status. */
export function advanceAllBuckets(state: OwnerState, nowMs: number): void {
  for (const [teamId, team] of state.teams) advanceBucket(state, teamId, team, nowMs);
}

/** Account of a team at `nowMs`, created when first needed; undefined for an unknown team. */
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
  // Lost at another rate.
  team.lostRefill = [];
  capLevel(state, teamId, team, nowMs);
}

/** Takes a holder's report into its account; what it neither holds nor spent goes to the level. */
export function applyReserveReport(
  state: OwnerState,
  holder: Holder,
  report: ReserveReport,
  nowMs: number,
): void {
  const team = getOrCreateBucket(state, report.teamId, nowMs);
  const account = getOrCreateReserve(holder, report.teamId);
  const spent = Math.max(0, report.spentTokens - account.spentTokens);
  // Negative when the holder refilled a reserve of a team that had no account here at the time.
  const returnedTokens = account.heldTokens - report.heldTokens - spent;
  account.heldTokens = report.heldTokens;
  account.spentTokens = Math.max(account.spentTokens, report.spentTokens);
  if (!team) return;
  team.levelTokens += returnedTokens;
  capLevel(state, report.teamId, team, nowMs);
  holder.reportedTeams.add(report.teamId);
}

/** Reserves of a team as handed to the next owner. */
export function listReserves(state: OwnerState, teamId: TeamId): HandedReserve[] {
  const reserves: HandedReserve[] = [];
  for (const {hostId, sessionId, synced, reserves: accounts} of state.holders.values()) {
    const account = accounts.get(teamId);
    if (synced && sessionId !== undefined && account)
      reserves.push({hostId, sessionId, ...account});
  }
  return reserves;
}

/** True while this owner may issue tokens. Call it in the turn in which a response is sent. */
export function hasAuthority(state: OwnerState, nowMs: number): boolean {
  return !state.handedOver && nowMs < state.authorityUntilMs;
}

/** Credits a refund as far as the headroom since its charge allows. */
export function applyRefund(team: TeamBucket, refund: Refund): void {
  team.levelTokens += takeRefund(team.headroomLog, refund.stamp, refund.tokens);
}
