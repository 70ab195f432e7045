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
import {SeenSession, SessionObserver, SessionVerdict} from './session-observer.js';

/** A host as the session objects and the platform's list of hosts show it. */
export interface Member {
  readonly hostId: HostId;
  readonly sessionId: SessionId;
  readonly failureDomain: FailureDomain;
  readonly callerAddress: string;
  readonly innerAddress: string;
  readonly operatorAddress: string;
  /** Leaving by its own session or by the platform's list. */
  readonly leaving: boolean;
  readonly appliedRevision: Revision;
}

/** Settings of the membership view. */
export interface MembershipSettings {
  readonly times: LeaseTimes;
  /** Time between reads; 1 s by default. */
  readonly refreshMs?: number;
}

const DEFAULT_REFRESH_MS = 1000;
const MAX_GAP_REFRESHES = 3;
/** Lapsed sessions that nobody challenges are removed after a random time up to this one. */
const EVICTION_SPREAD_MS = 10_000;

/** The hosts of the system. The view is kept as it is while the platform can't be reached. */
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

  /** Hosts whose sessions have not lapsed, in order of host id. */
  members(): readonly Member[] {
    return this.currentMembers;
  }

  /** Whether the platform's list names this host or target as leaving. */
  isListedLeaving(id: string): boolean {
    return this.listedLeaving.has(id as HostId);
  }

  /** Rises with each change of `members()` other than of the applied revisions. */
  get version(): number {
    return this.versionNumber;
  }

  /** Age of the view in milliseconds; undefined before the first read. */
  ageMs(): number | undefined {
    if (this.lastReadMs === undefined) return undefined;
    return this.dependencies.clock.nowMs() - this.lastReadMs;
  }

  /** Reads again and again. */
  *run(): Procedure<never> {
    for (;;) {
      yield* this.refresh();
      yield* sleep(this.refreshMs * (0.9 + 0.2 * this.dependencies.random.next()));
    }
  }

  /** Reads the sessions and the platform's list of hosts once. */
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
    for (const seen of this.observer.sessions()) {
      if (this.isEvictable(seen, random)) yield* this.evict(seen);
    }
  }

  /** Reads the session of one host and judges a session that revision `namedAt` names. */
  *judgeFresh(hostId: HostId, sessionId: SessionId, namedAt: Revision): Procedure<SessionVerdict> {
    const {platform, clock} = this.dependencies;
    // A list, unlike a read of the object, tells the revision at which it was absent.
    const list = yield* call(() => platform.list(sessionKey(hostId)));
    if (list.err) return 'unknown';
    this.observer.observe(hostId, list.val, clock.nowMs());
    return this.observer.judge(hostId, sessionId, namedAt);
  }

  /** Judges by the last reads. */
  judge(hostId: HostId, sessionId: SessionId, namedAt: Revision): SessionVerdict {
    return this.observer.judge(hostId, sessionId, namedAt);
  }

  /**
   * Removes the object of a lapsed session. True if it is removed: the update is conditional on
   * the revision that stood unchanged, so the holder has not renewed, and can't any more.
   */
  *evictLapsed(hostId: HostId): Procedure<boolean> {
    const seen = this.observer.find(hostId);
    return seen !== undefined && this.observer.isLapsed(seen) && (yield* this.evict(seen));
  }

  private *evict(seen: SeenSession): Procedure<boolean> {
    const {platform} = this.dependencies;
    const answer = yield* call(() =>
      platform.remove(sessionKey(seen.record.hostId), {ifRevision: seen.revision}),
    );
    return answer.ok;
  }

  private isEvictable(seen: SeenSession, random: RandomSource): boolean {
    return this.observer.isLapsed(seen) && random.next() < this.refreshMs / EVICTION_SPREAD_MS;
  }

  private updateMembers(): void {
    const members = this.observer
      .sessions()
      .filter(seen => seen.record.state !== 'ended' && !this.observer.isLapsed(seen))
      .map(({record}) => this.toMember(record))
      .sort((a, b) => (a.hostId < b.hostId ? -1 : 1));
    const isSame = describeMembers(members) === describeMembers(this.currentMembers);
    this.currentMembers = members;
    if (!isSame) this.versionNumber++;
  }

  private toMember(record: SeenSession['record']): Member {
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

function describeMembers(members: readonly Member[]): string {
  return JSON.stringify(members.map(member => ({...member, appliedRevision: 0})));
}
