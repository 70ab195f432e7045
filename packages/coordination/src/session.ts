import {
  assertInvariant,
  call,
  Clock,
  Err,
  EventLog,
  FailureDomain,
  HostId,
  Ok,
  Procedure,
  RandomSource,
  Result,
  SessionId,
  sleep,
  toId,
} from '@radishgw/core';
import {AuthorityError} from './authority.js';
import {Platform, Revision} from './platform.js';
import {parseSession, SessionRecord} from './records.js';
import {putSettled, SettledPut, SettledPutError} from './settled-put.js';

/** What control procedures need from the outside. */
export interface ControlDependencies {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
}

/** Times of a lease, the same on all hosts. */
export interface LeaseTimes {
  /** How long a session is valid after its last renewal was sent, on its own clock. */
  readonly ttlMs: number;
  readonly renewMs: number;
  /** Added to `ttlMs` by challengers, for clocks that run at different rates. */
  readonly marginMs: number;
}

export const DEFAULT_LEASE_TIMES: LeaseTimes = {ttlMs: 6000, renewMs: 2000, marginMs: 1000};

/** Settings of a host session. */
export interface SessionSettings {
  readonly hostId: HostId;
  readonly failureDomain: FailureDomain;
  readonly callerAddress: string;
  readonly innerAddress: string;
  readonly operatorAddress: string;
  readonly times?: LeaseTimes;
}

interface SessionState {
  readonly sessionId: SessionId;
  revision: Revision;
  validUntilMs: number;
  renewal: number;
  /** Earlier sessions of this host that may still be believed in, until `supersedesUntilMs`. */
  supersedes: readonly SessionId[];
  readonly supersedesUntilMs: number;
}

const RETRY_MS = 250;
const END_GIVE_UP_MS = 3000;

/** Key prefix of the session objects. */
export const SESSION_PREFIX = 'hosts/';

/** Key of a host's session object. */
export function sessionKey(hostId: HostId): string {
  return SESSION_PREFIX + hostId;
}

/** The host's lease on its place in the system; all roles and shards that it holds name it. */
export class HostSession {
  readonly hostId: HostId;
  readonly times: LeaseTimes;
  private state: SessionState | undefined;
  private leaving = false;
  private stopped = false;
  /** Set once another process of this host has a session in place of this one's. */
  private replaced = false;
  private hadSession = false;
  private appliedRevision: Revision = 0;
  /** Sessions of this process; none of them is believed in once another has begun. */
  private readonly ownSessions = new Set<SessionId>();
  private readonly lostListeners: ((sessionId: SessionId) => void)[] = [];

  constructor(
    private readonly dependencies: ControlDependencies,
    private readonly settings: SessionSettings,
  ) {
    this.hostId = settings.hostId;
    this.times = settings.times ?? DEFAULT_LEASE_TIMES;
  }

  /** The session's id while it is valid on this host's clock. */
  check(): Result<SessionId, AuthorityError> {
    if (!this.state) return Err({kind: 'noSession', detail: `host ${this.hostId} has no session`});
    const lateMs = this.dependencies.clock.nowMs() - this.state.validUntilMs;
    if (lateMs < 0) return Ok(this.state.sessionId);
    return Err({kind: 'lapsed', detail: `session lapsed ${Math.round(lateMs)} ms ago`});
  }

  /**
   * The last renewal that took effect: everything that the store accepted before `sentAtMs` has a
   * lower revision. Undefined without a session.
   */
  get lastRenewal(): {readonly sentAtMs: number; readonly revision: Revision} | undefined {
    if (!this.state) return undefined;
    const sentAtMs = this.state.validUntilMs - this.times.ttlMs;
    return {sentAtMs, revision: this.state.revision};
  }

  get isLeaving(): boolean {
    return this.leaving;
  }

  /** Sets the applied configuration revision that the next renewal carries. */
  setAppliedRevision(revision: Revision): void {
    this.appliedRevision = revision;
  }

  /** Announces a planned leave with the next renewal; roles and shards are no longer claimed. */
  beginLeave(): void {
    this.leaving = true;
  }

  /** Calls `listener` when a session is lost or ended, before another one starts. */
  onLost(listener: (sessionId: SessionId) => void): void {
    this.lostListeners.push(listener);
  }

  /**
   * Starts a session, renews it and starts another when it is lost, until `end()`. Gives `replaced`
   * when a later process of the same host has taken its place; this process must then exit, as the
   * two would otherwise take the session from each other for ever.
   */
  *run(): Procedure<'ended' | 'replaced'> {
    while (!this.stopped && !this.replaced) {
      const started = this.state !== undefined || (yield* this.start());
      if (this.replaced) break;
      yield* sleep(started ? this.times.renewMs : RETRY_MS);
      if (this.state && !this.stopped) yield* this.renew();
    }
    return this.replaced ? 'replaced' : 'ended';
  }

  /** Ends the authority at once, then takes the session object away. */
  *end(): Procedure<void> {
    this.stopped = true;
    const state = this.state;
    if (!state) return;
    this.drop('ended');
    const {platform, clock} = this.dependencies;
    const key = sessionKey(this.hostId);
    const deadlineMs = clock.nowMs() + END_GIVE_UP_MS;
    while (clock.nowMs() < deadlineMs) {
      const read = yield* call(() => platform.get(key));
      if (read.err && read.val.kind === 'notFound') return;
      if (read.ok) {
        const record = parseSession(read.val);
        if (record?.sessionId !== state.sessionId || record.state === 'ended') return;
        const condition = {ifRevision: read.val.revision};
        // Earlier sessions stay listed until they have lapsed; the object is then evicted.
        const ended = JSON.stringify({...record, state: 'ended'});
        const answer = yield* call(() =>
          record.supersedes.length > 0
            ? platform.put(key, ended, condition)
            : platform.remove(key, condition),
        );
        if (answer.ok) return;
      }
      yield* sleep(RETRY_MS);
    }
  }

  private *start(): Procedure<boolean> {
    const {platform, clock, random, log} = this.dependencies;
    const key = sessionKey(this.hostId);
    const read = yield* call(() => platform.get(key));
    if (read.err && read.val.kind !== 'notFound') return false;
    const previous = read.ok ? parseSession(read.val) : undefined;
    if (this.hadSession && this.isReplacement(previous)) {
      this.replaced = true;
      return false;
    }
    const sessionId = toId<SessionId>(random.nextHex(8));
    const supersedes = this.listSuperseded(previous);
    this.ownSessions.add(sessionId);
    const state = {sessionId, renewal: 0, supersedes};
    const answer = yield* this.write(state, read.ok ? read.val.revision : 0, this.times.ttlMs);
    if (answer.err || this.stopped) return false;
    const validUntilMs = answer.val.sentAtMs + this.times.ttlMs;
    if (clock.nowMs() >= validUntilMs) return false;
    this.state = {
      ...state,
      revision: answer.val.revision,
      validUntilMs,
      supersedesUntilMs: clock.nowMs() + this.times.ttlMs + this.times.marginMs,
    };
    this.hadSession = true;
    log.write('sessionStarted', {hostId: this.hostId, sessionId});
    return true;
  }

  private listSuperseded(previous: SessionRecord | undefined): SessionId[] {
    if (!previous) return [];
    const replaced = previous.state === 'ended' ? [] : [previous.sessionId];
    return [...replaced, ...previous.supersedes].filter(other => !this.ownSessions.has(other));
  }

  private *renew(): Procedure<void> {
    const {clock} = this.dependencies;
    const state = this.state;
    if (!state) return;
    if (clock.nowMs() >= state.supersedesUntilMs) state.supersedes = [];
    state.renewal++;
    const remainingMs = state.validUntilMs - clock.nowMs();
    if (remainingMs <= 0) return this.drop('lapsed');
    const answer = yield* this.write(state, state.revision, remainingMs);
    if (this.state !== state) return;
    // A renewal that is answered after the session lapsed doesn't revive it: a challenger may
    // already have acted on the lapse.
    if (clock.nowMs() >= state.validUntilMs) return this.drop('lapsed');
    if (answer.ok) {
      const validUntilMs = answer.val.sentAtMs + this.times.ttlMs;
      assertInvariant(
        validUntilMs >= state.validUntilMs && answer.val.revision > state.revision,
        'session.monotonic',
        () => `validity ${state.validUntilMs} to ${validUntilMs} in session ${state.sessionId}`,
      );
      state.revision = answer.val.revision;
      state.validUntilMs = validUntilMs;
    } else if (answer.val.kind === 'conflict') {
      const {object} = answer.val;
      this.replaced = this.isReplacement(object && parseSession(object));
      this.drop(this.replaced ? 'replaced' : 'evicted');
    }
  }

  private isReplacement(record: SessionRecord | undefined): boolean {
    return (
      record !== undefined && record.state !== 'ended' && !this.ownSessions.has(record.sessionId)
    );
  }

  private write(
    state: Pick<SessionState, 'sessionId' | 'renewal' | 'supersedes'>,
    ifRevision: Revision,
    giveUpAfterMs: number,
  ): Procedure<Result<SettledPut, SettledPutError>> {
    const {hostId, failureDomain, callerAddress, innerAddress, operatorAddress} = this.settings;
    const body: Omit<SessionRecord, 'attemptId'> = {
      hostId,
      sessionId: state.sessionId,
      failureDomain,
      callerAddress,
      innerAddress,
      operatorAddress,
      state: this.leaving ? 'leaving' : 'live',
      appliedRevision: this.appliedRevision,
      renewal: state.renewal,
      supersedes: [...state.supersedes],
    };
    return putSettled(this.dependencies, {
      key: sessionKey(hostId),
      body,
      attemptId: `${state.sessionId}.${state.renewal}`,
      ifRevision,
      giveUpAfterMs,
    });
  }

  private drop(reason: string): void {
    const state = this.state;
    if (!state) return;
    this.state = undefined;
    if (!this.stopped) {
      const {log} = this.dependencies;
      log.write('sessionLost', {hostId: this.hostId, sessionId: state.sessionId, reason});
    }
    for (const listener of this.lostListeners) listener(state.sessionId);
  }
}
