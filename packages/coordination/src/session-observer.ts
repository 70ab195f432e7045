import {HostId, SessionId, toId} from '@radishgw/core';
import {ObjectList, PlatformObject, Revision} from './platform.js';
import {parseSession, SessionRecord} from './records.js';
import {LeaseTimes, SESSION_PREFIX, sessionKey} from './session.js';

/**
 * Status of a session, as far as it is known.
 * - `live`: it may be valid.
 * - `lapsed`: its object has not changed for the time to live plus margin; it must be evicted
 *   before its roles and shards are claimed.
 * - `ended`: its host can no longer consider it valid.
 * - `unknown`: the last read is older than the object that names the session.
 */
export type SessionStatus = 'live' | 'lapsed' | 'ended' | 'unknown';

/** A session object and when it was observed, by the observer's own clock. */
export interface ObservedSession {
  readonly record: SessionRecord;
  readonly revision: Revision;
  /** When this revision was first observed, without a gap in the reads since. */
  readonly firstSeenMs: number;
  /** When this revision was last observed. */
  readonly lastSeenMs: number;
}

interface HostView {
  /** Undefined if the host has no session object. */
  readonly session: ObservedSession | undefined;
  /** Revision of the store at which the session was read. */
  readonly readRevision: Revision;
}

/**
 * Determines the status of sessions from their objects. Only time between this observer's own reads
 * of an unchanged object counts towards a lapse, and a gap in the reads restarts the count: no host
 * can renew during an outage, so all of them would appear to have lapsed at its end.
 */
export class SessionObserver {
  private readonly hosts = new Map<HostId, HostView>();
  private lastListRevision: Revision = 0;

  constructor(
    private readonly times: LeaseTimes,
    /** Longest time between two reads that is not a gap. */
    private readonly maxGapMs: number,
  ) {}

  /** Updates the view of all hosts from a list of all sessions. */
  observeAll(list: ObjectList, nowMs: number): void {
    const present = new Set<HostId>();
    for (const object of list.objects) {
      const hostId = toId<HostId>(object.key.slice(SESSION_PREFIX.length));
      present.add(hostId);
      this.updateView(hostId, object, list.revision, nowMs);
    }
    for (const [hostId, view] of this.hosts) {
      if (!present.has(hostId) && view.readRevision <= list.revision) this.hosts.delete(hostId);
    }
    this.lastListRevision = Math.max(this.lastListRevision, list.revision);
  }

  /** Updates the view of one host from a list that covers its session. */
  observe(hostId: HostId, list: ObjectList, nowMs: number): void {
    const object = list.objects.find(candidate => candidate.key === sessionKey(hostId));
    this.updateView(hostId, object, list.revision, nowMs);
  }

  /** Updates the view of one host unless a newer list was already observed. */
  private updateView(
    hostId: HostId,
    object: PlatformObject | undefined,
    readRevision: Revision,
    nowMs: number,
  ): void {
    const view = this.hosts.get(hostId);
    if (view && view.readRevision > readRevision) return;
    const observed = view?.session;
    // Most objects don't change between two reads, and parsing is the main cost of a read.
    const unchanged = object !== undefined && observed?.revision === object.revision;
    const record = unchanged ? observed.record : object && parseSession(object);
    if (!object || !record) {
      this.hosts.set(hostId, {session: undefined, readRevision});
      return;
    }
    const continued = unchanged && nowMs - observed.lastSeenMs <= this.maxGapMs;
    const firstSeenMs = continued ? observed.firstSeenMs : nowMs;
    const session = {record, revision: object.revision, firstSeenMs, lastSeenMs: nowMs};
    this.hosts.set(hostId, {session, readRevision});
  }

  /** All session objects as of the last reads. */
  sessions(): ObservedSession[] {
    return [...this.hosts.values()].flatMap(view => view.session ?? []);
  }

  /** Status of a session that an object with revision `namedAtRevision` names as its holder. */
  sessionStatus(hostId: HostId, sessionId: SessionId, namedAtRevision: Revision): SessionStatus {
    const view = this.hosts.get(hostId);
    const readRevision = view?.readRevision ?? this.lastListRevision;
    // A session is written before any object names it, so a read from before `namedAtRevision`
    // can't prove that the session is absent.
    if (readRevision < namedAtRevision) return 'unknown';
    const observed = view?.session;
    if (!observed) return 'ended';
    const {record} = observed;
    if (record.sessionId === sessionId) {
      if (record.state === 'ended') return 'ended';
      return this.isLapsed(observed) ? 'lapsed' : 'live';
    }
    if (record.supersedes.includes(sessionId)) return this.isLapsed(observed) ? 'lapsed' : 'live';
    return 'ended';
  }

  /** The host's session object; undefined if it has none. */
  find(hostId: HostId): ObservedSession | undefined {
    return this.hosts.get(hostId)?.session;
  }

  isLapsed(observed: ObservedSession): boolean {
    return observed.lastSeenMs - observed.firstSeenMs >= this.times.ttlMs + this.times.marginMs;
  }
}
