import {assertInvariant, call, Err, HostId, Ok, Procedure, Result, SessionId} from '@radishgw/core';
import {Authority, AuthorityError, Epoch} from './authority.js';
import {Membership} from './membership.js';
import {PlatformObject, Revision} from './platform.js';
import {HolderRecord, parseHolder} from './records.js';
import {ControlDependencies, HostSession} from './session.js';
import {putSettled} from './settled-put.js';

const RELEASE_TIMEOUT_MS = 3000;

/** An object that names the session of its holder: a role or a shard. */
export interface HolderObject {
  readonly key: string;
  readonly revision: Revision;
  /** Undefined if the object doesn't exist yet. */
  readonly record: HolderRecord | undefined;
}

/** Authority granted by holding an object. It ends with the session or when it is revoked. */
export class HolderAuthority implements Authority {
  private revoked = false;

  constructor(
    private readonly session: HostSession,
    readonly sessionId: SessionId,
    readonly epoch: Epoch,
    /** Revision of the object that grants this authority; increases when the holder updates it. */
    public revision: Revision,
  ) {}

  get hostId(): HostId {
    return this.session.hostId;
  }

  check(): Result<Epoch, AuthorityError> {
    if (this.revoked) return Err({kind: 'ended', detail: `epoch ${this.epoch} was revoked`});
    const session = this.session.check();
    if (session.err) return session;
    if (session.val === this.sessionId) return Ok(this.epoch);
    return Err({kind: 'ended', detail: `session ${this.sessionId} has ended`});
  }

  /** Ends this authority on this host without updating the platform. */
  revoke(): void {
    this.revoked = true;
  }
}

/** Parses the holder of an object; undefined if the value is invalid. */
export function toHolderObject(object: PlatformObject): HolderObject | undefined {
  const record = parseHolder(object);
  return record && {key: object.key, revision: object.revision, record};
}

/** Returns whether the holder can no longer act. Evicts the holder's session if it has lapsed. */
export function* ensureHolderInactive(
  membership: Membership,
  session: HostSession,
  object: HolderObject,
): Procedure<boolean> {
  const {record} = object;
  if (!record?.sessionId || !record.hostId) return true;
  // The object names this session, but this host doesn't hold it: an earlier claim or release of
  // this session had an unknown outcome.
  const own = session.check();
  if (own.ok && own.val === record.sessionId) return true;
  const status = yield* membership.readSessionStatus(
    record.hostId,
    record.sessionId,
    object.revision,
  );
  if (status === 'lapsed') return yield* membership.evictLapsed(record.hostId);
  return status === 'ended';
}

/** Claims an object whose holder can no longer act, with the next epoch. */
export function* claim(
  dependencies: ControlDependencies,
  session: HostSession,
  object: HolderObject,
  data?: unknown,
): Procedure<HolderAuthority | undefined> {
  const sessionId = session.check();
  if (sessionId.err) return undefined;
  const epoch = (object.record?.epoch ?? 0) + 1;
  const answer = yield* putSettled(dependencies, {
    key: object.key,
    body: {epoch, hostId: session.hostId, sessionId: sessionId.val, data},
    attemptId: `${sessionId.val}.${dependencies.random.nextHex(4)}`,
    ifRevision: object.revision,
    giveUpAfterMs: session.times.ttlMs,
  });
  if (answer.err) return undefined;
  assertInvariant(
    answer.val.revision > object.revision,
    'holder.revision',
    () => `revision of ${object.key} changed from ${object.revision} to ${answer.val.revision}`,
  );
  const authority = new HolderAuthority(session, sessionId.val, epoch, answer.val.revision);
  return authority.check().ok ? authority : undefined;
}

/** Revokes the authority, then clears the holder in the store so that a successor need not wait. */
export function* release(
  dependencies: ControlDependencies,
  key: string,
  authority: HolderAuthority,
  data?: unknown,
): Procedure<void> {
  authority.revoke();
  yield* putSettled(dependencies, {
    key,
    body: {epoch: authority.epoch, hostId: null, sessionId: null, data},
    attemptId: `${authority.sessionId}.${dependencies.random.nextHex(4)}`,
    ifRevision: authority.revision,
    giveUpAfterMs: RELEASE_TIMEOUT_MS,
  });
}

/** Replaces the data of a held object; false if the update isn't known to have taken effect. */
export function* updateData(
  dependencies: ControlDependencies,
  session: HostSession,
  key: string,
  authority: HolderAuthority,
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

/** Reads an object that names a holder; undefined if it can't be read or parsed. */
export function* readHolderObject(
  dependencies: ControlDependencies,
  key: string,
): Procedure<HolderObject | undefined> {
  const read = yield* call(() => dependencies.platform.get(key));
  if (read.ok) return toHolderObject(read.val);
  return read.val.kind === 'notFound' ? {key, revision: 0, record: undefined} : undefined;
}
