import {
  call,
  Clock,
  createHandlers,
  EventLog,
  HostId,
  Procedure,
  sleep,
  startTask,
  TeamId,
} from '@radishgw/core';
import {ConfigView} from '../store/config-view.js';
import {Instant, readInstant} from '../instant.js';
import {HostRecord} from '../store/host-registry.js';
import {Team} from '../model.js';
import {PeerClient, PeerStatusError} from '../store/peer-client.js';
import {
  ContactStamp,
  countSeparate,
  createContacts,
  createRight,
  OwnerContacts,
  QuotaRight,
  recordAnswered,
  recordContact,
  recordNotOwner,
  recordRelease,
  separationDelayMs,
} from './quota-contacts.js';
import {Ownership, QuotaOwnership} from './quota-ownership.js';
import {TAKEOVER_MS} from './quota-times.js';
import {
  createQuotaState,
  endSeparation,
  OwnShares,
  QuotaAnswer,
  QuotaBounds,
  refundQuota,
  takeOwnShare,
  takeQuota,
} from './team-quota.js';

/** Timeout of a call to the owner, which answers within a few ms; then the own share is used. */
const OWNER_TIMEOUT_MS = 80;

/** Time without calls to an owner after a failure, so that requests don't wait for it. */
const OWNER_BACKOFF_MS = 1000;

/** The same while this host may not decide on its own: most failures last for a moment. */
const CONTACT_BACKOFF_MS = 200;

/**
 * Time without calls to an owner after it answered without a decision: an owner that has just
 * started decides as soon as the store has accepted its first record, about 100 ms later.
 */
const REFUSAL_BACKOFF_MS = 150;

/** Interval of calls that keep this host in touch with the owners of teams with few requests. */
const KEEP_ALIVE_MS = 400;
const KEEP_ALIVE_CHECK_MS = 100;

/** Time after the last request of a team for which this host stays in touch with its owner. */
const INTEREST_MS = 5000;

/** Time between a hand-over and the start of the next ownership within which it counts. */
const MAX_INHERITANCE_MS = 3500;

/** Maximum delay after which a client returns that was refused because the owner is silent. */
const MAX_SILENCE_RETRY_MS = 500;

/** Paths of the requests between hosts. */
export const TAKE_QUOTA_PATH = '/quota/take';
export const RETURN_QUOTA_PATH = '/quota/return';
export const HAND_OVER_PATH = '/quota/hand-over';

/** Request from one host to another to take or return quota. */
export interface QuotaMessage {
  readonly team: TeamId;
  /** 0 in calls that only keep the host in touch. */
  readonly cost: number;
  /** The host that asks; undefined if it never decides on its own. */
  readonly host?: HostId;
  /** The newest stamp that it has from the owner. */
  readonly stamp?: ContactStamp;
  /** Whether the host gives up its right to decide on its own. */
  readonly isRelease?: boolean;
}

/** Answer of an owner. */
export type OwnerAnswer = QuotaAnswer & {readonly stamp: ContactStamp};

/** Dependencies of {@link QuotaClient}. */
export interface QuotaClientDependencies {
  readonly hostId: HostId;
  readonly incarnation: string;
  readonly view: ConfigView;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly peers: PeerClient;
  readonly bounds: QuotaBounds;
  /** Whether this host may be listed as one that takes requests. */
  canOwn(): boolean;
}

/** Time during which a host isn't asked. */
interface Pause {
  readonly untilMs: number;
  /** Whether it has answered that it isn't the owner. */
  readonly isUndecided: boolean;
}

/** Result of asking the owners of a team. */
type OwnersAnswer =
  | {readonly type: 'decided'; readonly answer: QuotaAnswer}
  /** No owner was asked, or those that were have made no decision. */
  | {readonly type: 'undecided'}
  | {readonly type: 'silent'};

/**
 * Enforces the rate of a team over all hosts. One of the hosts with the most processor capacity,
 * chosen by rendezvous hashing, owns the team's bucket, and the others ask it for each request. A
 * host that has lost touch with the owner decides on its own share, which the owner leaves to it
 * (`quota-contacts.ts`); until the owner does, it has only its part of what the rule allows beyond
 * the limit.
 */
export class QuotaClient {
  private readonly owned = createQuotaState();
  private readonly contacts = new Map<TeamId, OwnerContacts>();
  private readonly ownShares: OwnShares = new Map();
  private readonly rights = new Map<TeamId, QuotaRight>();
  private readonly pauses = new Map<HostId, Pause>();
  /** What earlier owners have left of teams' quotas, until this host is the owner. */
  private readonly inherited = new Map<TeamId, {readonly cost: number; readonly atMs: number}>();
  private readonly ownership: QuotaOwnership;
  private readonly startMs: number;

  constructor(private readonly deps: QuotaClientDependencies) {
    this.ownership = new QuotaOwnership(deps.hostId);
    this.startMs = deps.clock.nowMs();
  }

  /** Sets the hosts that may take requests. */
  setHosts(hosts: readonly HostRecord[]): void {
    const nowMs = this.deps.clock.nowMs();
    this.ownership.setHosts(hosts, nowMs);
    for (const team of this.owned.buckets.keys()) {
      if (this.ownership.findOwners(team, nowMs).at(0)?.hostId === this.deps.hostId) continue;
      void this.handOver(team);
    }
  }

  /** Hands all teams over that this host owns; it doesn't grant as their owner any more. */
  async handOverAll(): Promise<void> {
    await Promise.all([...this.owned.buckets.keys()].map(team => this.handOver(team)));
  }

  /** Stops to grant a team's quota as its owner and passes on what is left in its bucket. */
  private async handOver(team: TeamId): Promise<void> {
    const bucket = this.owned.buckets.get(team);
    const successor = this.ownership.findSuccessor(team);
    this.owned.buckets.delete(team);
    this.contacts.delete(team);
    if (!bucket || !successor) return;
    const message = {team, cost: bucket.levelCost, host: this.deps.hostId};
    try {
      await this.send(successor, HAND_OVER_PATH, message);
    } catch (error) {
      this.logFailure(team, successor, error);
    }
  }

  /** Accepts what an owner before this host has left of a team's quota. */
  acceptHandOver({team, cost, host}: QuotaMessage): void {
    if (host === undefined) return;
    this.ownership.acceptHandOver(team, host);
    this.inherited.set(team, {cost, atMs: this.deps.clock.nowMs()});
  }

  /** Records that the list of hosts was current at `readMs`, in an era of the store. */
  confirmList(readMs: number, era = 0): void {
    this.ownership.confirmList(readMs, this.deps.clock.nowMs(), era);
  }

  /** Records that the store accepted this host's record, which was sent at `sentAt`. */
  confirmRecord(sentAt: Instant): void {
    this.ownership.confirmRecord(sentAt, readInstant(this.deps.clock));
  }

  /** Number of hosts that may decide on shares of their own. */
  countHosts(): number {
    return this.ownership.recentHosts(this.deps.clock.nowMs()).size;
  }

  /** Records that this host is no longer listed, so that another one may become the owner. */
  interrupt(): void {
    this.ownership.interrupt();
  }

  /** Keeps this host in touch with the owners of the teams that it serves, until cancelled. */
  *run(): Procedure<void> {
    const handlers = createHandlers(this.deps.clock);
    for (;;) {
      yield* sleep(KEEP_ALIVE_CHECK_MS);
      for (const [team, right] of this.rights) {
        // Calls to one silent owner don't hold up those to others.
        void startTask(this.keepInTouch(team, right), handlers).done;
      }
    }
  }

  /** Gives up the right to decide on any team's quota. */
  async release(): Promise<void> {
    await Promise.all([...this.rights.keys()].map(team => this.releaseTeam(team)));
  }

  /** Charges a request against the team's limit, at the team's owner if possible. */
  async take(team: Team, cost: number): Promise<QuotaAnswer> {
    if (!team.limit) return {granted: true};
    const right = this.openRight(team.id);
    right.requestedMs = this.deps.clock.nowMs();
    let result = await this.askOwners(team.id, cost, right, false);
    if (result.type === 'silent') {
      const alone = this.takeAlone(team, cost, right);
      if (alone.granted || this.separationDelayMs(right) === 0) return alone;
      // The first call may have been lost; this one uses a new connection.
      result = await this.askOwners(team.id, cost, right, true);
    }
    return result.type === 'decided' ? result.answer : this.takeAlone(team, cost, right);
  }

  /** Refunds the cost of a request that wasn't run. */
  refund(team: Team, cost: number): void {
    if (!team.limit) return;
    const owner = this.findOwner(team.id);
    if (!owner || owner.hostId === this.deps.hostId) {
      refundQuota(this.owned, team.id, cost);
      return;
    }
    // A lost refund is not repeated; the bucket refills at its rate anyway.
    this.send(owner, RETURN_QUOTA_PATH, {team: team.id, cost}).catch(error =>
      this.logFailure(team.id, owner, error),
    );
  }

  /**
   * Answers a request for quota as the team's owner; undefined if this host isn't the owner or may
   * have been replaced.
   * Requests of unknown teams are refused with a short retry delay.
   */
  takeOwned(message: QuotaMessage): OwnerAnswer | undefined {
    const {clock, view, hostId, incarnation} = this.deps;
    const {team: teamId, cost, host} = message;
    const now = readInstant(clock);
    const ownership = this.findOwnership(teamId, now);
    if (!ownership) return undefined;
    const contacts = this.openContacts(teamId, ownership);
    if (host !== undefined && host !== hostId) {
      const {stamp, isRelease} = message;
      const isOwn = stamp?.incarnation === incarnation;
      if (isRelease) recordRelease(contacts, host, now);
      else recordContact(contacts, host, isOwn ? stamp.at : undefined, now);
    }
    const stamp = {incarnation, at: now};
    const team = view.config?.teams.get(teamId);
    if (!team) return {granted: false, retryAfterMs: OWNER_BACKOFF_MS, stamp};
    const hosts = this.ownership.recentHosts(now.monotonicMs);
    const left = 1 - countSeparate(contacts, hostId, hosts, now) / hosts.size;
    this.inherit(team, ownership, now.monotonicMs);
    const share = {
      rateShare: Math.max(0, left),
      burstShare: Math.max(0, left),
      initialBurstShare: 0,
      sinceMs: ownership.sinceMs,
    };
    return {...takeQuota(this.owned, team, cost, share, now.monotonicMs), stamp};
  }

  /** Creates the bucket of a team with what the owner before has left of it. */
  private inherit(team: Team, {sinceMs}: Ownership, nowMs: number): void {
    const inherited = this.inherited.get(team.id);
    if (!inherited || !team.limit) return;
    this.inherited.delete(team.id);
    const isRecent = Math.abs(sinceMs - inherited.atMs) < MAX_INHERITANCE_MS;
    if (!isRecent || this.owned.buckets.has(team.id)) return;
    const {costPerSecond, burstCost} = team.limit;
    const levelCost = Math.min(burstCost, inherited.cost);
    const bucket = {costPerSecond, burstCost, levelCost, updatedMs: nowMs, deferredCost: 0};
    this.owned.buckets.set(team.id, bucket);
  }

  refundOwned(message: QuotaMessage): void {
    refundQuota(this.owned, message.team, message.cost);
  }

  /** Asks the hosts that may own a team's quota, until one of them decides. */
  private async askOwners(
    team: TeamId,
    cost: number,
    right: QuotaRight,
    ignoresPauses: boolean,
  ): Promise<OwnersAnswer> {
    const {clock, hostId} = this.deps;
    const owners = this.ownership.findOwners(team, clock.nowMs());
    let undecidedCount = 0;
    for (const owner of owners) {
      const sentAt = readInstant(clock);
      const message = {team, cost, host: hostId, stamp: right.stamps.get(owner.hostId)};
      if (owner.hostId === hostId) {
        const answer = this.takeOwned(message);
        if (answer) {
          right.grantedAt = sentAt;
          endSeparation(this.ownShares, team);
          return {type: 'decided', answer};
        }
        undecidedCount++;
        continue;
      }
      const pause = this.pauses.get(owner.hostId);
      if (pause && pause.untilMs > sentAt.monotonicMs && !ignoresPauses) {
        if (pause.isUndecided) undecidedCount++;
        continue;
      }
      right.calledMs = sentAt.monotonicMs;
      try {
        const answer = await this.send<OwnerAnswer>(owner, TAKE_QUOTA_PATH, message);
        this.pauses.delete(owner.hostId);
        recordAnswered(right, owner.hostId, answer.stamp, sentAt);
        endSeparation(this.ownShares, team);
        return {type: 'decided', answer};
      } catch (error) {
        this.logFailure(team, owner, error);
        const failure = this.recordFailure(right, owner, error);
        if (failure === 'silent') return {type: 'silent'};
        if (failure === 'undecided') undecidedCount++;
      }
    }
    if (undecidedCount === owners.length) this.recordUndecided(right);
    return {type: 'undecided'};
  }

  /** Records what a failed call says about the owner, and when it is asked again. */
  private recordFailure(
    right: QuotaRight,
    {hostId}: HostRecord,
    error: unknown,
  ): 'undecided' | 'ended' | 'silent' {
    const nowMs = this.deps.clock.nowMs();
    const isUndecided = error instanceof PeerStatusError;
    const hasEnded = (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
    if (isUndecided || hasEnded) {
      recordNotOwner(right, hostId);
      this.pauses.set(hostId, {untilMs: nowMs + REFUSAL_BACKOFF_MS, isUndecided});
      return isUndecided ? 'undecided' : 'ended';
    }
    const isAlone = this.separationDelayMs(right) === 0;
    const pauseMs = isAlone ? OWNER_BACKOFF_MS : CONTACT_BACKOFF_MS;
    this.pauses.set(hostId, {untilMs: nowMs + pauseMs, isUndecided: false});
    return 'silent';
  }

  /**
   * Records that no host grants as the owner. The next owner leaves this host's share to it, unless
   * all hosts have just started.
   */
  private recordUndecided(right: QuotaRight): void {
    const now = readInstant(this.deps.clock);
    if (!this.ownership.isComplete(now.monotonicMs)) return;
    const isNew = now.monotonicMs - this.startMs < TAKEOVER_MS;
    if (isNew && this.ownership.areOthersNew) return;
    if (!this.ownership.isListOld(now.monotonicMs)) right.grantedAt = now;
  }

  /** Decides without the owner. */
  private takeAlone(team: Team, cost: number, right: QuotaRight): QuotaAnswer {
    const {bounds, clock} = this.deps;
    const nowMs = clock.nowMs();
    const hostCount = this.ownership.recentHosts(nowMs).size;
    // Shares of a number of hosts that is too low add up to more than the limit.
    if (hostCount === 0 || !this.ownership.isComplete(nowMs)) {
      return {granted: false, retryAfterMs: MAX_SILENCE_RETRY_MS};
    }
    const delayMs = this.separationDelayMs(right);
    const inputs = {hostCount, bounds, isSeparate: delayMs === 0};
    const answer = takeOwnShare(this.ownShares, team, cost, inputs, nowMs);
    if (answer.granted || delayMs === 0) return answer;
    return {granted: false, retryAfterMs: Math.min(delayMs, MAX_SILENCE_RETRY_MS)};
  }

  private separationDelayMs(right: QuotaRight): number {
    return separationDelayMs(right, readInstant(this.deps.clock));
  }

  private *keepInTouch(team: TeamId, right: QuotaRight): Procedure<void> {
    const {clock, hostId} = this.deps;
    const nowMs = clock.nowMs();
    if (nowMs - right.requestedMs >= INTEREST_MS) {
      yield* call(() => this.releaseTeam(team));
      return;
    }
    const owner = this.findOwner(team);
    if (!owner || owner.hostId === hostId || nowMs - right.calledMs < KEEP_ALIVE_MS) return;
    yield* call(() => this.askOwners(team, 0, right, false));
  }

  private async releaseTeam(team: TeamId): Promise<void> {
    const right = this.rights.get(team);
    // Given up before the owner is told, which may count this host's share as its own at once.
    this.rights.delete(team);
    const {hostId} = this.deps;
    const message = {team, cost: 0, host: hostId, isRelease: true};
    await Promise.all(
      this.ownership.hosts
        .filter(host => right?.countedMs.has(host.hostId))
        .map(owner =>
          this.send(owner, TAKE_QUOTA_PATH, message).catch(error =>
            this.logFailure(team, owner, error),
          ),
        ),
    );
  }

  private openRight(team: TeamId): QuotaRight {
    let right = this.rights.get(team);
    if (!right) {
      right = createRight(this.deps.clock.nowMs());
      this.rights.set(team, right);
    }
    return right;
  }

  private openContacts(team: TeamId, {sinceMs, hasPredecessor}: Ownership): OwnerContacts {
    let contacts = this.contacts.get(team);
    if (contacts?.sinceMs !== sinceMs) {
      contacts = createContacts(sinceMs, hasPredecessor);
      this.contacts.set(team, contacts);
      this.owned.buckets.delete(team);
    }
    return contacts;
  }

  private findOwner(team: TeamId): HostRecord | undefined {
    return this.ownership.findOwners(team, this.deps.clock.nowMs()).at(0);
  }

  private findOwnership(team: TeamId, now: Instant): Ownership | undefined {
    return this.deps.canOwn() ? this.ownership.findOwnership(team, now) : undefined;
  }

  private send<T>(owner: HostRecord, path: string, message: QuotaMessage): Promise<T> {
    return this.deps.peers.ask<T>(owner.peerAddress, path, message, OWNER_TIMEOUT_MS);
  }

  private logFailure(team: TeamId, owner: HostRecord, error: unknown): void {
    this.deps.log.write('quotaFallback', {
      team,
      owner: owner.hostId,
      hosts: this.ownership.hosts.length,
      cause: String(error),
    });
  }
}
