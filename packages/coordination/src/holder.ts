import {assertInvariant, call, Err, HostId, Ok, Procedure, Result, SessionId} from '@radishgw/core';
import {Authority, AuthorityError, Epoch} from './authority.js';
import {Membership} from './membership.js';
import {PlatformObject, Revision} from './platform.js';
import {HolderRecord, parseHolder} from './records.js';
import {ControlDependencies, HostSession} from './session.js';
import {putSettled} from './settled-put.js';

const RELEASE_GIVE_UP_MS = 3000;

/** An object that names its holder's session: a role or a shard. */
export interface HeldObject {
  readonly key: string;
  readonly revision: Revision;
  /** Undefined if the object doesn't exist yet. */
  readonly record: HolderRecord | undefined;
}

/** Authority by a held object; it ends with the session or when it is given up. */
export class HeldAuthority implements Authority {
  private released = false;

  constructor(
    private readonly session: HostSession,
    readonly sessionId: SessionId,
    readonly epoch: Epoch,
    /** Revision of the object that grants this authority; rises when the holder updates it. */
    public revision: Revision,
  ) {}

  get hostId(): HostId {
    return this.session.hostId;
  }

  check(): Result<Epoch, AuthorityError> {
    if (this.released) return Err({kind: 'ended', detail: `epoch ${this.epoch} was given up`});
    const session = this.session.check();
    if (session.err) return session;
    if (session.val === this.sessionId) return Ok(this.epoch);
    return Err({kind: 'ended', detail: `session ${this.sessionId} is over`});
  }

  /** Ends this authority on this host; nothing is told to the platform. */
  revoke(): void {
    this.released = true;
  }
}

/** Gives the object with its holder; undefined if it can't be understood. */
export function toHeldObject(object: PlatformObject): HeldObject | undefined {
  const record = parseHolder(object);
  return record && {key: object.key, revision: object.revision, record};
}

/** Whether the holder can't act any more; a lapsed session is evicted first. */
export function* settleHolder(
  membership: Membership,
  session: HostSession,
  held: HeldObject,
): Procedure<boolean> {
  const {record} = held;
  if (!record?.sessionId || !record.hostId) return true;
  // Named, but not held: an earlier claim or release of this session whose outcome is unknown.
  const own = session.check();
  if (own.ok && own.val === record.sessionId) return true;
  const verdict = yield* membership.judgeFresh(record.hostId, record.sessionId, held.revision);
  if (verdict === 'lapsed') return yield* membership.evictLapsed(record.hostId);
  return verdict === 'over';
}

/** Claims an object whose holder is settled, with the next epoch. */
export function* claim(
  dependencies: ControlDependencies,
  session: HostSession,
  held: HeldObject,
  data?: unknown,
): Procedure<HeldAuthority | undefined> {
  const sessionId = session.check();
  if (sessionId.err) return undefined;
  const epoch = (held.record?.epoch ?? 0) + 1;
  const answer = yield* putSettled(dependencies, {
    key: held.key,
    body: {epoch, hostId: session.hostId, sessionId: sessionId.val, data},
    attemptId: `${sessionId.val}.${dependencies.random.nextHex(4)}`,
    ifRevision: held.revision,
    giveUpAfterMs: session.times.ttlMs,
  });
  if (answer.err) return undefined;
  assertInvariant(
    answer.val.revision > held.revision,
    'holder.revision',
    () => `${held.key} went from revision ${held.revision} to ${answer.val.revision}`,
  );
  const authority = new HeldAuthority(session, sessionId.val, epoch, answer.val.revision);
  return authority.check().ok ? authority : undefined;
}

/** Ends the authority at once, then tells the platform, so that a successor need not wait. */
export function* release(
  dependencies: ControlDependencies,
  key: string,
  authority: HeldAuthority,
  data?: unknown,
): Procedure<void> {
  authority.revoke();
  yield* putSettled(dependencies, {
    key,
    body: {epoch: authority.epoch, hostId: null, sessionId: null, data},
    attemptId: `${authority.sessionId}.${dependencies.random.nextHex(4)}`,
    ifRevision: authority.revision,
    giveUpAfterMs: RELEASE_GIVE_UP_MS,
  });
}

/** Replaces the data of an object that is held; false if that isn't known to have taken effect. */
export function* updateData(
  dependencies: ControlDependencies,
  session: HostSession,
  key: string,
  authority: HeldAuthority,
  data: unknown,
): Procedure<boolean> {
  if (authority.check().err) return false;
  const {epoch, hostId, sessionId} = authority;
  const answer = yield* putSettled(dependencies, {
    key,
    body: {epoch, hostId, sessionId, data},
    attemptId: `${sessionId}.${dependencies.random.nextHex(4)}`,
    ifRevision: authority.revision,
    giveUpAfterMs: session.times.ttlMs,
  });
  if (answer.err) return false;
  authority.revision = answer.val.revision;
  return true;
}

/** Reads an object that names a holder; undefined if it can't be read or understood. */
export function* readHeld(
  dependencies: ControlDependencies,
  key: string,
): Procedure<HeldObject | undefined> {
  const read = yield* call(() => dependencies.platform.get(key));
  if (read.ok) return toHeldObject(read.val);
  return read.val.kind === 'notFound' ? {key, revision: 0, record: undefined} : undefined;
}
