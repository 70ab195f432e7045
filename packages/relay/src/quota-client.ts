import {Clock, EventLog, HostId, TeamId} from '@radishgw/core';
import {ConfigView} from './config-view.js';
import {Instant, maxElapsedMs, readInstant} from './instant.js';
import {findMostCapable, HOST_TIMEOUT_MS, HostRecord} from './host-registry.js';
import {Team} from './model.js';
import {PeerClient, PeerStatusError} from './peer-client.js';
import {createQuotaState, QuotaAnswer, refundQuota, takeQuota} from './team-quota.js';

/** Timeout of a call to the owner, which answers within a few ms; then the own share is used. */
const OWNER_TIMEOUT_MS = 80;

/** Time without calls to an owner after a failure, so that requests don't wait for it. */
const OWNER_BACKOFF_MS = 1000;

/**
 * Time without calls to an owner after it answered without a decision: an owner that has just
 * started decides as soon as the store has accepted its first record, about 100 ms later.
 */
const REFUSAL_BACKOFF_MS = 150;

/** Share of the burst with which a new owner starts: its predecessor may have granted the rest. */
const OWNER_INITIAL_BURST_SHARE = 0.1;

/**
 * Factor on the burst share of a host that decides without the owner: the owner may have just
 * granted the whole burst.
 */
const FALLBACK_BURST_SHARE = 0.25;

/**
 * Time for which an owner may grant quota after it sent the latest record that the store accepted.
 * Other hosts choose a new owner {@link HOST_TIMEOUT_MS} after they saw that record, so that two
 * hosts never grant the whole rate at once; the difference allows for clock drift.
 */
export const OWNERSHIP_VALIDITY_MS = HOST_TIMEOUT_MS - 100;

/** Number of recent host lists kept to determine how long a team has had its current owner. */
const MAX_HOST_LISTS = 8;

/** Paths of the requests between hosts. */
export const TAKE_QUOTA_PATH = '/quota/take';
export const RETURN_QUOTA_PATH = '/quota/return';

/** Request from one host to another to take or return quota. */
export interface QuotaMessage {
  readonly team: TeamId;
  readonly cost: number;
}

interface Owner {
  readonly hostId: HostId;
  readonly peerAddress: string;
}

interface HostList {
  readonly hosts: readonly HostRecord[];
  readonly sinceMs: number;
}

/**
 * Enforces the rate of a team over all hosts. One of the ready hosts with the most processor
 * capacity, chosen by rendezvous hashing, owns the team's bucket, and the others send it their requests for quota. A host that can't reach the
 * owner falls back to its own share of the limit, and so does an owner that the others may have
 * replaced.
 */
export class QuotaClient {
  private readonly owned = createQuotaState();
  private readonly fallback = createQuotaState();
  private readonly retryAtMs = new Map<string, number>();
  /** Recent lists of the ready hosts, newest first. */
  private hostLists: HostList[] = [];
  private readonly owners = new Map<TeamId, Owner>();
  private recordConfirmedAt: Instant | undefined;

  constructor(
    private readonly self: HostId,
    private readonly view: ConfigView,
    private readonly clock: Clock,
    private readonly log: EventLog,
    private readonly peers: PeerClient,
  ) {}

  private get hosts(): readonly HostRecord[] {
    return this.hostLists.at(0)?.hosts ?? [];
  }

  /** Sets the ready hosts. */
  setHosts(hosts: readonly HostRecord[]): void {
    this.hostLists.unshift({hosts, sinceMs: this.clock.nowMs()});
    this.hostLists = this.hostLists.slice(0, MAX_HOST_LISTS);
    this.owners.clear();
    for (const team of this.owned.buckets.keys()) {
      if (this.findOwner(team)?.hostId !== this.self) this.owned.buckets.delete(team);
    }
  }

  /** Records that the store accepted this host's record, which was sent at `sentAt`. */
  confirmRecord(sentAt: Instant): void {
    this.recordConfirmedAt = sentAt;
  }

  /** Charges a request against the team's limit, at the team's owner if possible. */
  async take(team: Team, cost: number): Promise<QuotaAnswer> {
    if (!team.limit) return {granted: true};
    const owner = this.findOwner(team.id);
    if (!owner || owner.hostId === this.self) {
      return this.takeOwned({team: team.id, cost}) ?? this.takeFallback(team, cost);
    }
    const nowMs = this.clock.nowMs();
    if ((this.retryAtMs.get(owner.peerAddress) ?? -Infinity) > nowMs) {
      return this.takeFallback(team, cost);
    }
    try {
      return await this.ask(owner, TAKE_QUOTA_PATH, {team: team.id, cost});
    } catch (error) {
      const backoffMs = error instanceof PeerStatusError ? REFUSAL_BACKOFF_MS : OWNER_BACKOFF_MS;
      this.retryAtMs.set(owner.peerAddress, this.clock.nowMs() + backoffMs);
      this.log.write('quotaFallback', {
        team: team.id,
        owner: owner.hostId,
        hosts: this.hosts.length,
        cause: String(error),
      });
      return this.takeFallback(team, cost);
    }
  }

  /** Refunds the cost of a request that wasn't run. */
  refund(team: Team, cost: number): void {
    if (!team.limit) return;
    const owner = this.findOwner(team.id);
    if (!owner || owner.hostId === this.self) {
      refundQuota(this.owned, team.id, cost);
      return;
    }
    // A lost refund is not repeated; the bucket refills at its rate anyway.
    this.ask(owner, RETURN_QUOTA_PATH, {team: team.id, cost}).catch(error =>
      this.log.write('quotaFallback', {team: team.id, owner: owner.hostId, cause: String(error)}),
    );
  }

  /**
   * Answers a request for quota as the team's owner; undefined if this host isn't the owner or may
   * have been replaced.
   * Requests of unknown teams are refused with a short retry delay.
   */
  takeOwned({team: teamId, cost}: QuotaMessage): QuotaAnswer | undefined {
    if (this.hosts.length > 0 && !this.isOwnershipValid(teamId)) return undefined;
    const team = this.view.config?.teams.get(teamId);
    if (!team) return {granted: false, retryAfterMs: OWNER_BACKOFF_MS};
    const share = {
      rateShare: 1,
      burstShare: 1,
      initialBurstShare: OWNER_INITIAL_BURST_SHARE,
      sinceMs: this.ownedSinceMs(teamId),
    };
    return takeQuota(this.owned, team, cost, share, this.clock.nowMs());
  }

  refundOwned(message: QuotaMessage): void {
    refundQuota(this.owned, message.team, message.cost);
  }

  private isOwnershipValid(team: TeamId): boolean {
    if (this.findOwner(team)?.hostId !== this.self || !this.recordConfirmedAt) return false;
    return maxElapsedMs(this.recordConfirmedAt, readInstant(this.clock)) < OWNERSHIP_VALIDITY_MS;
  }

  private ownedSinceMs(team: TeamId): number {
    let sinceMs = this.clock.nowMs();
    for (const list of this.hostLists) {
      if (chooseOwner(team, list.hosts)?.hostId !== this.self) break;
      sinceMs = list.sinceMs;
    }
    return sinceMs;
  }

  private takeFallback(team: Team, cost: number): QuotaAnswer {
    const nowMs = this.clock.nowMs();
    const rateShare = 1 / Math.max(1, this.hosts.length);
    const burstShare = rateShare * FALLBACK_BURST_SHARE;
    const share = {rateShare, burstShare, initialBurstShare: 1, sinceMs: nowMs};
    return takeQuota(this.fallback, team, cost, share, nowMs);
  }

  private findOwner(team: TeamId): Owner | undefined {
    let owner = this.owners.get(team);
    if (owner) return owner;
    owner = chooseOwner(team, this.hosts);
    if (owner) this.owners.set(team, owner);
    return owner;
  }

  private ask(owner: Owner, path: string, message: QuotaMessage): Promise<QuotaAnswer> {
    return this.peers.ask<QuotaAnswer>(owner.peerAddress, path, message, OWNER_TIMEOUT_MS);
  }
}

function chooseOwner(team: TeamId, hosts: readonly HostRecord[]): Owner | undefined {
  return findMostCapable(hosts, team);
}
