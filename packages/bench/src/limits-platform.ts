import {HostId, SessionId, TeamId} from '@radishgw/core';
import {TeamLimit} from '@radishgw/limits';

/** What `shards/<n>` holds. */
export interface ShardRecord {
  /** Revision of the last write; set by the store. */
  readonly revision?: number;
  readonly epoch: number;
  readonly owner: HostId;
  readonly ownerSession: SessionId;
  /** All hosts that may have reserves, including former placement hosts. */
  readonly holders: readonly HostId[];
  readonly placement: readonly HostId[];
}

/** What `hosts/<id>` holds. */
export interface SessionRecord {
  readonly sessionId: SessionId;
  readonly revision: number;
  readonly ended: boolean;
}

/** Copy of the stored objects, as one read gives it. */
export interface PlatformSnapshot {
  readonly shards: ReadonlyMap<number, ShardRecord>;
  readonly sessions: ReadonlyMap<HostId, SessionRecord>;
  readonly limits: ReadonlyMap<TeamId, TeamLimit>;
  readonly revision: number;
}

/** Stand-in for the platform's store with the few objects that limits need. */
export class StoreModel {
  isUp = true;
  /** True time at which the last outage ended. */
  outageEndedMs = -Infinity;
  private revision = 1;
  readonly shards = new Map<number, ShardRecord>();
  readonly sessions = new Map<HostId, SessionRecord>();
  readonly limits = new Map<TeamId, TeamLimit>();

  read(): PlatformSnapshot {
    return {
      shards: new Map(this.shards),
      sessions: new Map(this.sessions),
      limits: new Map(this.limits),
      revision: this.revision,
    };
  }

  /** Creates, renews or ends a session; false when another session has replaced it. */
  writeSession(hostId: HostId, sessionId: SessionId, kind: 'start' | 'renew' | 'end'): boolean {
    const current = this.sessions.get(hostId);
    const isOwn = current?.sessionId === sessionId && !current.ended;
    if (kind !== 'start' && !isOwn) return false;
    const revision = ++this.revision;
    this.sessions.set(hostId, {sessionId, revision, ended: kind === 'end'});
    return true;
  }

  /** Replaces a shard record if its epoch is still `expectedEpoch`. */
  writeShard(shard: number, expectedEpoch: number, record: ShardRecord): boolean {
    if ((this.shards.get(shard)?.epoch ?? 0) !== expectedEpoch) return false;
    this.shards.set(shard, {...record, revision: ++this.revision});
    return true;
  }

  writeLimit(teamId: TeamId, tokensPerSecond: number, burstTokens: number): TeamLimit {
    const limit = {tokensPerSecond, burstTokens, revision: ++this.revision};
    this.limits.set(teamId, limit);
    return limit;
  }
}
