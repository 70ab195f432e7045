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

/** Dependencies of the control procedures. */
export interface ControlDependencies {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
}

/** Timing of a lease; must be the same on all hosts. */
export interface LeaseTimes {
  /** How long a session is valid after its last renewal was sent, by its host's clock. */
  readonly ttlMs: number;
  readonly renewMs: number;
  /** Added to `ttlMs` by other hosts, whose clocks may run at a different rate. */
  readonly marginMs: number;
}

export const DEFAULT_LEASE_TIMES: LeaseTimes = {ttlMs: 6000, renewMs: 2000, marginMs: 1000};

/** Settings of {@link HostSession}. */
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
  /** Earlier sessions of this host that may still be considered valid until `supersedesUntilMs`. */
  supersedes: readonly SessionId[];
  readonly supersedesUntilMs: number;
}

const RETRY_DELAY_MS = 250;
const END_TIMEOUT_MS = 3000;

/** Key prefix of session objects. */
export const SESSION_PREFIX = 'hosts/';

/** Key of a host's session object. */
export function sessionKey(hostId: HostId): string {
  return SESSION_PREFIX + hostId;
}

/** The host's membership lease. All roles and shards that the host holds name its session. */
export class HostSession {
  readonly hostId: HostId;
  readonly times: LeaseTimes;
  private state: SessionState | undefined;
  private leaving = false;
  private stopped = false;
  /** Set once another process of this host has replaced this process's session. */
  private replaced = false;
  private hadSession = false;
  private appliedRevision: Revision = 0;
  /** Sessions of this process; it stops using each of them before it starts the next. */
  private readonly ownSessions = new Set<SessionId>();
  private readonly lostListeners: ((sessionId: SessionId) => void)[] = [];

  constructor(
    private readonly dependencies: ControlDependencies,
    private readonly settings: SessionSettings,
  ) {
    this.hostId = settings.hostId;
    this.times = settings.times ?? DEFAULT_LEASE_TIMES;
  }

  /** Returns the session's id while it is valid by this host's clock. */
  check(): Result<SessionId, AuthorityError> {
    if (!this.state) return Err({kind: 'noSession', detail: `host ${this.hostId} has no session`});
    const lateMs = this.dependencies.clock.nowMs() - this.state.validUntilMs;
    if (lateMs < 0) return Ok(this.state.sessionId);
    return Err({kind: 'lapsed', detail: `session lapsed ${Math.round(lateMs)} ms ago`});
  }

  /**
   * The last renewal that took effect. Every update that the store accepted before `sentAtMs` has a
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

  /** Sets the applied configuration revision, which the next renewal publishes. */
  setAppliedRevision(revision: Revision): void {
    this.appliedRevision = revision;
  }

  /** Announces a planned leave with the next renewal; no more roles or shards are claimed. */
  beginLeave(): void {
    this.leaving = true;
  }

  /** Calls `listener` when a session is lost or ended, before the next one starts. */
  onLost(listener: (sessionId: SessionId) => void): void {
    this.lostListeners.push(listener);
  }

  /**
   * Starts a session, renews it and starts another when it is lost, until `end()`. Returns
   * `replaced` if a later process of the same host has replaced the session. This process must then
   * exit, since the two processes would otherwise replace each other's session forever.
   */
  *run(): Procedure<'ended' | 'replaced'> {
    while (!this.stopped && !this.replaced) {
      const started = this.state !== undefined || (yield* this.start());
      if (this.replaced) break;
      yield* sleep(started ? this.times.renewMs : RETRY_DELAY_MS);
      if (this.state && !this.stopped) yield* this.renew();
    }
    return this.replaced ? 'replaced' : 'ended';
  }

  /** Ends the session on this host immediately, then removes its object or marks it as ended. */
  *end(): Procedure<void> {
    this.stopped = true;
    const state = this.state;
    if (!state) return;
    this.loseSession('ended');
    const {platform, clock} = this.dependencies;
    const key = sessionKey(this.hostId);
    const deadlineMs = clock.nowMs() + END_TIMEOUT_MS;
    while (clock.nowMs() < deadlineMs) {
      const read = yield* call(() => platform.get(key));
      if (read.err && read.val.kind === 'notFound') return;
      if (read.ok) {
        const record = parseSession(read.val);
        if (record?.sessionId !== state.sessionId || record.state === 'ended') return;
        const condition = {ifRevision: read.val.revision};
        // Superseded sessions must stay listed until they have lapsed; the object is then evicted.
        const ended = JSON.stringify({...record, state: 'ended'});
        const answer = yield* call(() =>
          record.supersedes.length > 0
            ? platform.put(key, ended, condition)
            : platform.remove(key, condition),
        );
        if (answer.ok) return;
      }
      yield* sleep(RETRY_DELAY_MS);
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
    const supersedes = this.supersededSessions(previous);
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

  private supersededSessions(previous: SessionRecord | undefined): SessionId[] {
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
    if (remainingMs <= 0) return this.loseSession('lapsed');
    const answer = yield* this.write(state, state.revision, remainingMs);
    if (this.state !== state) return;
    // A renewal whose response arrives after the session lapsed doesn't make it valid again:
    // another host may already have acted on the lapse.
    if (clock.nowMs() >= state.validUntilMs) return this.loseSession('lapsed');
    if (answer.ok) {
      const validUntilMs = answer.val.sentAtMs + this.times.ttlMs;
      assertInvariant(
        validUntilMs >= state.validUntilMs && answer.val.revision > state.revision,
        'session.monotonic',
        () => `validUntilMs ${state.validUntilMs} to ${validUntilMs} in session ${state.sessionId}`,
      );
      state.revision = answer.val.revision;
      state.validUntilMs = validUntilMs;
    } else if (answer.val.kind === 'conflict') {
      const {object} = answer.val;
      this.replaced = this.isReplacement(object && parseSession(object));
      this.loseSession(this.replaced ? 'replaced' : 'evicted');
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

  private loseSession(reason: string): void {
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
