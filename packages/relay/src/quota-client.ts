import {Clock, EventLog, HostId, TeamId} from '@radishgw/core';
import {ConfigView} from './config-view.js';
import {Instant, maxElapsedMs, readInstant} from './elapsed-clock.js';
import {HOST_LOST_MS, HostRecord} from './host-registry.js';
import {Team} from './model.js';
import {PeerClient, PeerRefusal} from './peer-client.js';
import {rankByKey} from './rendezvous.js';
import {createQuotaState, QuotaAnswer, returnQuota, takeQuota} from './team-quota.js';

/** The owner answers within a round trip of some ms; beyond this the local share decides. */
const OWNER_TIMEOUT_MS = 80;

/** After a failure the owner isn't asked for this long, so that requests don't wait for it. */
const OWNER_PAUSE_MS = 1000;

/**
 * The same after the owner was reached and didn't decide: one that has just started does so as soon
 * as the store has taken its first record, some 100 ms later.
 */
const REFUSAL_PAUSE_MS = 150;

/** A new owner starts with this part of the burst: its predecessor may have granted the rest. */
const OWNER_START_SHARE = 0.1;

/**
 * Part of its share of the burst that a host grants without the owner: the owner may have granted
 * the whole burst a moment ago.
 */
const FALLBACK_BURST_SHARE = 0.25;

/**
 * An owner grants for this long after it sent its last record that the store took. Other hosts
 * choose another owner {@link HOST_LOST_MS} after they saw the record, so that two never grant the
 * whole rate; the rest is for clocks that differ.
 */
export const OWNER_HOLD_MS = HOST_LOST_MS - 100;

/** Lists of hosts that are remembered, to tell since when a team's owner is the same. */
const KEPT_LISTS = 8;

/** Paths between hosts. */
export const TAKE_QUOTA_PATH = '/quota/take';
export const RETURN_QUOTA_PATH = '/quota/return';

/** A message about quota between two hosts. */
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
 * Decides on a team's rate over all hosts: one ready host, chosen by rendezvous hashing, owns the
 * team's bucket and the others ask it. A host that can't reach the owner decides by its own share,
 * and so does an owner that the others may have replaced.
 */
export class QuotaClient {
  private readonly owned = createQuotaState();
  private readonly fallback = createQuotaState();
  private readonly pausedUntilMs = new Map<string, number>();
  /** Newest first. */
  private lists: HostList[] = [];
  private readonly owners = new Map<TeamId, Owner>();
  private provenAt: Instant | undefined;

  constructor(
    private readonly self: HostId,
    private readonly view: ConfigView,
    private readonly clock: Clock,
    private readonly log: EventLog,
    private readonly peers: PeerClient,
  ) {}

  private get hosts(): readonly HostRecord[] {
    return this.lists.at(0)?.hosts ?? [];
  }

  /** Takes in the ready hosts. */
  setHosts(hosts: readonly HostRecord[]): void {
    this.lists.unshift({hosts, sinceMs: this.clock.nowMs()});
    this.lists = this.lists.slice(0, KEPT_LISTS);
    this.owners.clear();
    for (const team of this.owned.buckets.keys()) {
      if (this.findOwner(team)?.hostId !== this.self) this.owned.buckets.delete(team);
    }
  }

  /** Notes that the store took this host's record, which was sent at `sentAt`. */
  noteRecord(sentAt: Instant): void {
    this.provenAt = sentAt;
  }

  /** Charges a request, asking the owner of the team if that is another host. */
  async take(team: Team, cost: number): Promise<QuotaAnswer> {
    if (!team.limit) return {granted: true};
    const owner = this.findOwner(team.id);
    if (!owner || owner.hostId === this.self) {
      return this.takeOwned({team: team.id, cost}) ?? this.takeFallback(team, cost);
    }
    const nowMs = this.clock.nowMs();
    if ((this.pausedUntilMs.get(owner.peerAddress) ?? -Infinity) > nowMs) {
      return this.takeFallback(team, cost);
    }
    try {
      return await this.ask(owner, TAKE_QUOTA_PATH, {team: team.id, cost});
    } catch (error) {
      const pauseMs = error instanceof PeerRefusal ? REFUSAL_PAUSE_MS : OWNER_PAUSE_MS;
      this.pausedUntilMs.set(owner.peerAddress, this.clock.nowMs() + pauseMs);
      this.log.write('quotaFallback', {
        team: team.id,
        owner: owner.hostId,
        hosts: this.hosts.length,
        cause: String(error),
      });
      return this.takeFallback(team, cost);
    }
  }

  /** Gives back the cost of a request that hasn't run. */
  giveBack(team: Team, cost: number): void {
    if (!team.limit) return;
    const owner = this.findOwner(team.id);
    if (!owner || owner.hostId === this.self) {
      returnQuota(this.owned, team.id, cost);
      return;
    }
    // What is lost on the way is refilled by the team's rate.
    this.ask(owner, RETURN_QUOTA_PATH, {team: team.id, cost}).catch(error =>
      this.log.write('quotaFallback', {team: team.id, owner: owner.hostId, cause: String(error)}),
    );
  }

  /**
   * Decides as the owner; undefined if this host isn't the owner or may not be any more. A team
   * that this host doesn't know is refused for a moment.
   */
  takeOwned({team: teamId, cost}: QuotaMessage): QuotaAnswer | undefined {
    if (this.hosts.length > 0 && !this.mayOwn(teamId)) return undefined;
    const team = this.view.config?.teams.get(teamId);
    if (!team) return {granted: false, retryAfterMs: OWNER_PAUSE_MS};
    const share = {
      ofRate: 1,
      ofBurst: 1,
      ofBurstAtStart: OWNER_START_SHARE,
      sinceMs: this.ownedSinceMs(teamId),
    };
    return takeQuota(this.owned, team, cost, share, this.clock.nowMs());
  }

  returnOwned(message: QuotaMessage): void {
    returnQuota(this.owned, message.team, message.cost);
  }

  private mayOwn(team: TeamId): boolean {
    if (this.findOwner(team)?.hostId !== this.self || !this.provenAt) return false;
    return maxElapsedMs(this.provenAt, readInstant(this.clock)) < OWNER_HOLD_MS;
  }

  private ownedSinceMs(team: TeamId): number {
    let sinceMs = this.clock.nowMs();
    for (const list of this.lists) {
      if (chooseOwner(team, list.hosts)?.hostId !== this.self) break;
      sinceMs = list.sinceMs;
    }
    return sinceMs;
  }

  private takeFallback(team: Team, cost: number): QuotaAnswer {
    const nowMs = this.clock.nowMs();
    const ofRate = 1 / Math.max(1, this.hosts.length);
    const ofBurst = ofRate * FALLBACK_BURST_SHARE;
    const share = {ofRate, ofBurst, ofBurstAtStart: 1, sinceMs: nowMs};
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
  const [first] = rankByKey(
    team,
    hosts.map(host => ({id: host.hostId, weight: 1})),
  );
  return hosts.find(host => host.hostId === first);
}
