import {call, Clock, Err, Ok, Procedure, Result, sleep} from '@radishgw/core';
import {Platform, PlatformObject, Revision} from './platform.js';

/** A conditional update whose writer recognises its own work by `attemptId`. */
export interface SettledPutRequest {
  readonly key: string;
  /** Fields of the object; `attemptId` is added to them. */
  readonly body: object;
  /** Unique to this update over all hosts and times. */
  readonly attemptId: string;
  readonly ifRevision: Revision;
  /** No further try is started after this time. */
  readonly giveUpAfterMs: number;
  /** Pause between tries; 100 ms by default. */
  readonly retryDelayMs?: number;
}

/** An update that took effect. */
export interface SettledPut {
  readonly revision: Revision;
  /** Own monotonic time before the first try, hence before the update took effect. */
  readonly sentAtMs: number;
}

/**
 * Why an update failed.
 * - `conflict`: another writer's object stands; undefined if the object is absent.
 * - `notSent`: it had no effect.
 * - `unknown`: it may have taken effect, or may yet do so while the condition holds.
 */
export type SettledPutError =
  | {readonly kind: 'conflict'; readonly object: PlatformObject | undefined}
  | {readonly kind: 'notSent'; readonly detail: string}
  | {readonly kind: 'unknown'; readonly detail: string}
  | {readonly kind: 'rejected'; readonly detail: string};

/** What {@link putSettled} needs. */
export interface PutDependencies {
  readonly platform: Platform;
  readonly clock: Clock;
}

const DEFAULT_RETRY_DELAY_MS = 100;

/**
 * Updates an object and settles a lost answer: the same update is sent again under the same
 * condition, so that at most one of the copies takes effect, whichever arrives first. A read alone
 * would not do, since the first copy may still be on its way when the read is answered.
 */
export function* putSettled(
  {platform, clock}: PutDependencies,
  request: SettledPutRequest,
): Procedure<Result<SettledPut, SettledPutError>> {
  const sentAtMs = clock.nowMs();
  const deadlineMs = sentAtMs + request.giveUpAfterMs;
  const value = JSON.stringify({...request.body, attemptId: request.attemptId});
  let mayHaveEffect = false;
  for (;;) {
    const answer = yield* call(() =>
      platform.put(request.key, value, {ifRevision: request.ifRevision}),
    );
    if (answer.ok) return Ok({revision: answer.val, sentAtMs});
    const error = answer.val;
    if (error.kind === 'rejected') return Err(error);
    if (error.kind === 'conflict') {
      const stands = yield* readStanding(platform, clock, request.key, error.revision, deadlineMs);
      if (stands === 'absent') return Err({kind: 'conflict', object: undefined});
      if (stands !== 'unreadable') {
        const own = readAttemptId(stands) === request.attemptId;
        return own
          ? Ok({revision: stands.revision, sentAtMs})
          : Err({kind: 'conflict', object: stands});
      }
      mayHaveEffect = true;
    } else if (error.kind === 'outcomeUnknown') {
      mayHaveEffect = true;
    }
    if (clock.nowMs() >= deadlineMs) {
      const detail = `gave up on ${request.key} after ${request.giveUpAfterMs} ms: ${error.kind}`;
      return Err({kind: mayHaveEffect ? 'unknown' : 'notSent', detail});
    }
    yield* sleep(request.retryDelayMs ?? DEFAULT_RETRY_DELAY_MS);
  }
}

/**
 * Reads the object that caused a conflict. Reads may lag, so an object older than the conflict is
 * read again; an object that can't be found is left to the next update, whose answer doesn't lag.
 */
function* readStanding(
  platform: Platform,
  clock: Clock,
  key: string,
  conflictRevision: Revision,
  deadlineMs: number,
): Procedure<PlatformObject | 'absent' | 'unreadable'> {
  if (conflictRevision === 0) return 'absent';
  for (;;) {
    const answer = yield* call(() => platform.get(key));
    if (answer.ok && answer.val.revision >= conflictRevision) return answer.val;
    if (!answer.ok && answer.val.kind === 'notFound') return 'unreadable';
    if (clock.nowMs() >= deadlineMs) return 'unreadable';
    yield* sleep(DEFAULT_RETRY_DELAY_MS);
  }
}

/** The attempt id of a stored object; undefined if it carries none. */
export function readAttemptId(object: PlatformObject): string | undefined {
  try {
    const parsed = JSON.parse(object.value) as {attemptId?: unknown};
    return typeof parsed.attemptId === 'string' ? parsed.attemptId : undefined;
  } catch {
    return undefined;
  }
}
