import {Clock, EventLog, HostId, TeamId} from '@radishgw/core';
import {ConfigView} from './config-view.js';
import {HostRecord} from './host-registry.js';
import {Team} from './model.js';
import {PeerClient} from './peer-client.js';
import {rankByKey} from './rendezvous.js';
import {createQuotaState, QuotaAnswer, returnQuota, takeQuota} from './team-quota.js';

/** The owner answers within a round trip of some ms; beyond this the local share decides. */
const OWNER_TIMEOUT_MS = 80;

/** After a failure the owner isn't asked for this long, so that requests don't wait for it. */
const OWNER_PAUSE_MS = 1000;

/** A new owner starts with this part of the burst: its predecessor may have granted the rest. */
const OWNER_START_SHARE = 0.5;

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

/**
 * Decides on a team's rate over all hosts: one ready host, chosen by rendezvous hashing, owns the
 * team's bucket and the others ask it. A host that can't reach the owner decides by its own share.
 */
export class QuotaClient {
  private readonly owned = createQuotaState(OWNER_START_SHARE);
  private readonly fallback = createQuotaState(OWNER_START_SHARE);
  private readonly pausedUntilMs = new Map<string, number>();
  private hosts: readonly HostRecord[] = [];
  private readonly owners = new Map<TeamId, Owner>();

  constructor(
    private readonly self: HostId,
    private readonly view: ConfigView,
    private readonly clock: Clock,
    private readonly log: EventLog,
    private readonly peers: PeerClient,
  ) {}

  /** Takes in the ready hosts. */
  setHosts(hosts: readonly HostRecord[]): void {
    this.hosts = hosts;
    this.owners.clear();
  }

  /** Charges a request, asking the owner of the team if that is another host. */
  async take(team: Team, cost: number): Promise<QuotaAnswer> {
    if (!team.limit) return {granted: true};
    const owner = this.findOwner(team.id);
    if (!owner || owner.hostId === this.self) return this.takeOwned({team: team.id, cost});
    const nowMs = this.clock.nowMs();
    if ((this.pausedUntilMs.get(owner.peerAddress) ?? -Infinity) > nowMs) {
      return this.takeFallback(team, cost);
    }
    try {
      return await this.ask(owner, TAKE_QUOTA_PATH, {team: team.id, cost});
    } catch (error) {
      this.pausedUntilMs.set(owner.peerAddress, this.clock.nowMs() + OWNER_PAUSE_MS);
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

  /** Decides as the owner; a team that this host doesn't know is refused for a moment. */
  takeOwned(message: QuotaMessage): QuotaAnswer {
    const team = this.view.config?.teams.get(message.team);
    if (!team) return {granted: false, retryAfterMs: OWNER_PAUSE_MS};
    return takeQuota(this.owned, team, message.cost, 1, this.clock.nowMs());
  }

  returnOwned(message: QuotaMessage): void {
    returnQuota(this.owned, message.team, message.cost);
  }

  private takeFallback(team: Team, cost: number): QuotaAnswer {
    const share = 1 / Math.max(1, this.hosts.length);
    return takeQuota(this.fallback, team, cost, share, this.clock.nowMs());
  }

  private findOwner(team: TeamId): Owner | undefined {
    let owner = this.owners.get(team);
    if (owner) return owner;
    const [first] = rankByKey(
      team,
      this.hosts.map(host => ({id: host.hostId, weight: 1})),
    );
    owner = this.hosts.find(host => host.hostId === first);
    if (owner) this.owners.set(team, owner);
    return owner;
  }

  private ask(owner: Owner, path: string, message: QuotaMessage): Promise<QuotaAnswer> {
    return this.peers.ask<QuotaAnswer>(owner.peerAddress, path, message, OWNER_TIMEOUT_MS);
  }
}
