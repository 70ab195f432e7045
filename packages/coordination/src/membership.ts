import {
  call,
  FailureDomain,
  HostId,
  Procedure,
  RandomSource,
  SessionId,
  sleep,
} from '@radishgw/core';
import {Revision} from './platform.js';
import {ControlDependencies, LeaseTimes, sessionKey} from './session.js';
import {ObservedSession, SessionObserver, SessionStatus} from './session-observer.js';

/** A host as described by its session object and the platform's list of hosts. */
export interface Member {
  readonly hostId: HostId;
  readonly sessionId: SessionId;
  readonly failureDomain: FailureDomain;
  readonly callerAddress: string;
  readonly innerAddress: string;
  readonly operatorAddress: string;
  /** Whether its own session or the platform's list states that it is leaving. */
  readonly leaving: boolean;
  readonly appliedRevision: Revision;
}

/** Settings of {@link Membership}. */
export interface MembershipSettings {
  readonly times: LeaseTimes;
  /** Time between reads; 1 s by default. */
  readonly refreshMs?: number;
}

const DEFAULT_REFRESH_MS = 1000;
const MAX_GAP_REFRESHES = 3;
/**
 * Mean of the random delay after which a host evicts a lapsed session if no host has evicted it to
 * claim a role or shard.
 */
const MEAN_EVICTION_DELAY_MS = 10_000;

/** View of the hosts in the system. It stays unchanged while the platform can't be reached. */
export class Membership {
  private readonly observer: SessionObserver;
  private readonly refreshMs: number;
  private listedLeaving = new Set<HostId>();
  private currentMembers: readonly Member[] = [];
  private lastReadMs: number | undefined;
  private versionNumber = 0;

  constructor(
    private readonly dependencies: ControlDependencies,
    settings: MembershipSettings,
  ) {
    this.refreshMs = settings.refreshMs ?? DEFAULT_REFRESH_MS;
    this.observer = new SessionObserver(settings.times, MAX_GAP_REFRESHES * this.refreshMs);
  }

  /** Hosts whose sessions have neither ended nor lapsed, sorted by host id. */
  members(): readonly Member[] {
    return this.currentMembers;
  }

  /** Whether the platform's list names this host or target as leaving. */
  isListedLeaving(id: string): boolean {
    return this.listedLeaving.has(id as HostId);
  }

  /** Increases with each change of `members()`, except changes of applied revisions alone. */
  get version(): number {
    return this.versionNumber;
  }

  /** Time since the last successful read; undefined before the first. */
  ageMs(): number | undefined {
    if (this.lastReadMs === undefined) return undefined;
    return this.dependencies.clock.nowMs() - this.lastReadMs;
  }

  /** Refreshes the view periodically. */
  *run(): Procedure<never> {
    for (;;) {
      yield* this.refresh();
      yield* sleep(this.refreshMs * (0.9 + 0.2 * this.dependencies.random.next()));
    }
  }

  /** Reads the sessions and the platform's list of hosts once, and may evict lapsed sessions. */
  *refresh(): Procedure<void> {
    const {platform, clock, random} = this.dependencies;
    const sessions = yield* call(() => platform.list('hosts/'));
    if (sessions.err) return;
    this.observer.observeAll(sessions.val, clock.nowMs());
    this.lastReadMs = clock.nowMs();
    const listed = yield* call(() => platform.listHosts());
    if (listed.ok) {
      const leaving = listed.val.filter(host => host.state === 'leaving');
      this.listedLeaving = new Set(leaving.map(host => host.hostId));
    }
    this.updateMembers();
    for (const observed of this.observer.sessions()) {
      if (this.shouldEvict(observed, random)) yield* this.evict(observed);
    }
  }

  /**
   * Reads the session object of `hostId` and returns the status of a session that an object with
   * revision `namedAtRevision` names as its holder.
   */
  *readSessionStatus(
    hostId: HostId,
    sessionId: SessionId,
    namedAtRevision: Revision,
  ): Procedure<SessionStatus> {
    const {platform, clock} = this.dependencies;
    // Unlike a read of the object, a list returns the revision at which the object was absent.
    const list = yield* call(() => platform.list(sessionKey(hostId)));
    if (list.err) return 'unknown';
    this.observer.observe(hostId, list.val, clock.nowMs());
    return this.observer.sessionStatus(hostId, sessionId, namedAtRevision);
  }

  /** Like {@link readSessionStatus}, but uses the last reads instead of a new one. */
  sessionStatus(hostId: HostId, sessionId: SessionId, namedAtRevision: Revision): SessionStatus {
    return this.observer.sessionStatus(hostId, sessionId, namedAtRevision);
  }

  /**
   * Removes the session object of a host if it has lapsed; true if it was removed. The removal is
   * conditional on the revision that was observed unchanged, so the holder has not renewed it since
   * and no longer can.
   */
  *evictLapsed(hostId: HostId): Procedure<boolean> {
    const observed = this.observer.find(hostId);
    return (
      observed !== undefined && this.observer.isLapsed(observed) && (yield* this.evict(observed))
    );
  }

  private *evict(observed: ObservedSession): Procedure<boolean> {
    const {platform} = this.dependencies;
    const answer = yield* call(() =>
      platform.remove(sessionKey(observed.record.hostId), {ifRevision: observed.revision}),
    );
    return answer.ok;
  }

  private shouldEvict(observed: ObservedSession, random: RandomSource): boolean {
    return (
      this.observer.isLapsed(observed) && random.next() < this.refreshMs / MEAN_EVICTION_DELAY_MS
    );
  }

  private updateMembers(): void {
    const members = this.observer
      .sessions()
      .filter(observed => observed.record.state !== 'ended' && !this.observer.isLapsed(observed))
      .map(({record}) => this.toMember(record))
      .sort((a, b) => (a.hostId < b.hostId ? -1 : 1));
    const isSame = serializeMembers(members) === serializeMembers(this.currentMembers);
    this.currentMembers = members;
    if (!isSame) this.versionNumber++;
  }

  private toMember(record: ObservedSession['record']): Member {
    const {hostId, sessionId, failureDomain, appliedRevision} = record;
    const {callerAddress, innerAddress, operatorAddress} = record;
    const leaving = record.state === 'leaving' || this.listedLeaving.has(hostId);
    return {
      hostId,
      sessionId,
      failureDomain,
      callerAddress,
      innerAddress,
      operatorAddress,
      leaving,
      appliedRevision,
    };
  }
}

function serializeMembers(members: readonly Member[]): string {
  return JSON.stringify(members.map(member => ({...member, appliedRevision: 0})));
}
