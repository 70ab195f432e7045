import {HostId} from '@radishgw/core';
import {HandOverShardsRequest} from '@radishgw/limits';
import {SessionRecord, ShardRecord} from './limits-platform.js';

export const SESSION_TTL_MS = 6000;
export const SESSION_MARGIN_MS = 1000;

/** An attempt to become the owner of a shard. */
export interface OwnershipAttempt {
  readonly epoch: number;
  readonly unownedMs: number;
  readonly handOver: HandOverShardsRequest | undefined;
  readonly receivedMs: number;
}

interface ObservedSession extends SessionRecord {
  readonly sinceMs: number;
}

/**
 * Sessions as one process observed them, timed by its own clock at first observation (design 4.1).
 */
export class SessionTracker {
  private readonly observed = new Map<HostId, ObservedSession>();
  private readonly replacedSince = new Map<string, number>();

  /** Records the sessions returned by one read of the store. */
  observe(sessions: ReadonlyMap<HostId, SessionRecord>, nowMs: number): void {
    for (const [hostId, session] of sessions) {
      const last = this.observed.get(hostId);
      const isSame =
        last?.revision === session.revision &&
        last.sessionId === session.sessionId &&
        last.ended === session.ended;
      if (!isSame) this.observed.set(hostId, {...session, sinceMs: nowMs});
    }
  }

  listLive(nowMs: number): HostId[] {
    return [...this.observed.keys()].filter(hostId => this.isLive(hostId, nowMs));
  }

  private isLive(hostId: HostId, nowMs: number): boolean {
    const session = this.observed.get(hostId);
    if (!session || session.ended) return false;
    return nowMs - session.sinceMs < SESSION_TTL_MS + SESSION_MARGIN_MS;
  }

  /**
   * Lower bound of the time since the authority of a shard's owner ended; undefined while the owner
   * may still have authority. The former session of a restarted owner host may have authority until
   * the TTL and the margin have passed.
   */
  unownedMs(shard: number, record: ShardRecord, nowMs: number): number | undefined {
    const session = this.observed.get(record.owner);
    if (!session) return undefined;
    if (session.sessionId !== record.ownerSession) {
      const key = `${shard}/${record.epoch}`;
      const sinceMs = this.replacedSince.get(key) ?? nowMs;
      this.replacedSince.set(key, sinceMs);
      return this.hasExpired(sinceMs, nowMs) ? SESSION_MARGIN_MS : undefined;
    }
    if (session.ended) return 0;
    return this.hasExpired(session.sinceMs, nowMs) ? SESSION_MARGIN_MS : undefined;
  }

  private hasExpired(sinceMs: number, nowMs: number): boolean {
    return nowMs - sinceMs >= SESSION_TTL_MS + SESSION_MARGIN_MS;
  }
}
