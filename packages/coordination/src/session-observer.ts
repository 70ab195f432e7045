import {HostId, SessionId, toId} from '@radishgw/core';
import {ObjectList, PlatformObject, Revision} from './platform.js';
import {parseSession, SessionRecord} from './records.js';
import {LeaseTimes, SESSION_PREFIX, sessionKey} from './session.js';

/**
 * What is known of a session.
 * - `live`: it may be valid.
 * - `lapsed`: its object stood unchanged for the time to live and margin; evict it before acting.
 * - `over`: its holder can't believe in it any more.
 * - `unknown`: what was read is older than what names the session.
 */
export type SessionVerdict = 'live' | 'lapsed' | 'over' | 'unknown';

/** A session object and when it was seen, on the observer's own clock. */
export interface SeenSession {
  readonly record: SessionRecord;
  readonly revision: Revision;
  /** When this revision was first seen. */
  readonly firstSeenMs: number;
  /** When this revision was last seen. */
  readonly lastSeenMs: number;
}

interface HostView {
  /** Undefined if the host has no session object. */
  readonly session: SeenSession | undefined;
  /** Revision of the store at which this was read. */
  readonly readRevision: Revision;
}

/**
 * Judges sessions by their objects. Only the time between two own reads of an unchanged object
 * counts, and never across a gap in the reads: during an outage nobody can renew, and all hosts
 * would seem to have lapsed at its end.
 */
export class SessionObserver {
  private readonly hosts = new Map<HostId, HostView>();
  private lastFullRevision: Revision = 0;

  constructor(
    private readonly times: LeaseTimes,
    /** Longest time between reads that counts as watching without a gap. */
    private readonly maxGapMs: number,
  ) {}

  /** Takes in a list of all sessions. */
  observeAll(list: ObjectList, nowMs: number): void {
    const present = new Set<HostId>();
    for (const object of list.objects) {
      const hostId = toId<HostId>(object.key.slice(SESSION_PREFIX.length));
      present.add(hostId);
      this.take(hostId, object, list.revision, nowMs);
    }
    for (const [hostId, view] of this.hosts) {
      if (!present.has(hostId) && view.readRevision <= list.revision) this.hosts.delete(hostId);
    }
    this.lastFullRevision = Math.max(this.lastFullRevision, list.revision);
  }

  /** Takes in a list that covers the session of one host. */
  observe(hostId: HostId, list: ObjectList, nowMs: number): void {
    const object = list.objects.find(candidate => candidate.key === sessionKey(hostId));
    this.take(hostId, object, list.revision, nowMs);
  }

  /** Takes in what a list shows of one host, unless an earlier list was newer. */
  private take(
    hostId: HostId,
    object: PlatformObject | undefined,
    readRevision: Revision,
    nowMs: number,
  ): void {
    const view = this.hosts.get(hostId);
    if (view && view.readRevision > readRevision) return;
    const seen = view?.session;
    // Most objects stand unchanged between two reads, and parsing is the main cost of a read.
    const unchanged = object !== undefined && seen?.revision === object.revision;
    const record = unchanged ? seen.record : object && parseSession(object);
    if (!object || !record) {
      this.hosts.set(hostId, {session: undefined, readRevision});
      return;
    }
    const continued = unchanged && nowMs - seen.lastSeenMs <= this.maxGapMs;
    const firstSeenMs = continued ? seen.firstSeenMs : nowMs;
    const session = {record, revision: object.revision, firstSeenMs, lastSeenMs: nowMs};
    this.hosts.set(hostId, {session, readRevision});
  }

  /** All session objects at the last reads. */
  sessions(): SeenSession[] {
    return [...this.hosts.values()].flatMap(view => view.session ?? []);
  }

  /** Judges a session that an object with revision `namedAt` names as its holder. */
  judge(hostId: HostId, sessionId: SessionId, namedAt: Revision): SessionVerdict {
    const view = this.hosts.get(hostId);
    const readRevision = view?.readRevision ?? this.lastFullRevision;
    // A session is written before anything names it, so only a newer read can show its absence.
    if (readRevision < namedAt) return 'unknown';
    const seen = view?.session;
    if (!seen) return 'over';
    const {record} = seen;
    if (record.sessionId === sessionId) {
      if (record.state === 'ended') return 'over';
      return this.isLapsed(seen) ? 'lapsed' : 'live';
    }
    if (record.supersedes.includes(sessionId)) return this.isLapsed(seen) ? 'lapsed' : 'live';
    return 'over';
  }

  /** The host's session object; undefined if it has none. */
  find(hostId: HostId): SeenSession | undefined {
    return this.hosts.get(hostId)?.session;
  }

  isLapsed(seen: SeenSession): boolean {
    return seen.lastSeenMs - seen.firstSeenMs >= this.times.ttlMs + this.times.marginMs;
  }
}
