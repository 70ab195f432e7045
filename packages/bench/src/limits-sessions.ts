import {HostId} from '@radishgw/core';
import {HandOverShardsRequest} from '@radishgw/limits';
import {SessionRecord, ShardRecord} from './limits-platform.js';

export const SESSION_TTL_MS = 6000;
export const SESSION_MARGIN_MS = 1000;

/** An attempt to become the owner of a shard. */
export interface Challenge {
  readonly epoch: number;
  readonly silentMs: number;
  readonly handOver: HandOverShardsRequest | undefined;
  readonly receivedMs: number;
}

interface SeenSession extends SessionRecord {
  readonly sinceMs: number;
}

/** Sessions as one process has seen them, with its own time of first sight (design 4.1). */
export class SessionWatch {
  private readonly seen = new Map<HostId, SeenSession>();
  private readonly replacedSince = new Map<string, number>();

  /** Takes the sessions of one read. */
  observe(sessions: ReadonlyMap<HostId, SessionRecord>, nowMs: number): void {
    for (const [hostId, session] of sessions) {
      const last = this.seen.get(hostId);
      const isSame =
        last?.revision === session.revision &&
        last.sessionId === session.sessionId &&
        last.ended === session.ended;
      if (!isSame) this.seen.set(hostId, {...session, sinceMs: nowMs});
    }
  }

  listLive(nowMs: number): HostId[] {
    return [...this.seen.keys()].filter(hostId => this.isLive(hostId, nowMs));
  }

  private isLive(hostId: HostId, nowMs: number): boolean {
    const session = this.seen.get(hostId);
    if (!session || session.ended) return false;
    return nowMs - session.sinceMs < SESSION_TTL_MS + SESSION_MARGIN_MS;
  }

  /**
   * Least time since the authority of a shard's owner ended; undefined while it may last. The
   * session of a restarted owner host may hold authority until TTL and margin are over.
   */
  silentMs(shard: number, record: ShardRecord, nowMs: number): number | undefined {
    const session = this.seen.get(record.owner);
    if (!session) return undefined;
    if (session.sessionId !== record.ownerSession) {
      const key = `${shard}/${record.epoch}`;
      const sinceMs = this.replacedSince.get(key) ?? nowMs;
      this.replacedSince.set(key, sinceMs);
      return this.hasLapsed(sinceMs, nowMs) ? SESSION_MARGIN_MS : undefined;
    }
    if (session.ended) return 0;
    return this.hasLapsed(session.sinceMs, nowMs) ? SESSION_MARGIN_MS : undefined;
  }

  private hasLapsed(sinceMs: number, nowMs: number): boolean {
    return nowMs - sinceMs >= SESSION_TTL_MS + SESSION_MARGIN_MS;
  }
}
