import {HostId, SessionId, TeamId} from '@radishgw/core';
import {TeamLimit} from '@radishgw/limits';

/** Content of the stored object `shards/<n>`. */
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

/** Content of the stored object `hosts/<id>`. */
export interface SessionRecord {
  readonly sessionId: SessionId;
  readonly revision: number;
  readonly ended: boolean;
}

/** Copy of all stored objects, as returned by one read. */
export interface PlatformSnapshot {
  readonly shards: ReadonlyMap<number, ShardRecord>;
  readonly sessions: ReadonlyMap<HostId, SessionRecord>;
  readonly limits: ReadonlyMap<TeamId, TeamLimit>;
  readonly revision: number;
}

/** In-memory model of the platform's store, limited to the objects that limits need. */
export class StoreModel {
  isUp = true;
  /** Simulation time at which the last outage ended. */
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

  /**
   * Creates, renews or ends a session. Returns false if the session to renew or end has already
   * ended or was replaced by another one.
   */
  writeSession(hostId: HostId, sessionId: SessionId, kind: 'start' | 'renew' | 'end'): boolean {
    const current = this.sessions.get(hostId);
    const isOwn = current?.sessionId === sessionId && !current.ended;
    if (kind !== 'start' && !isOwn) return false;
    const revision = ++this.revision;
    this.sessions.set(hostId, {sessionId, revision, ended: kind === 'end'});
    return true;
  }

  /** Replaces a shard record if its epoch is still `expectedEpoch`; returns whether it did. */
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
