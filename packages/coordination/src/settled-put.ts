import {call, Clock, Err, Ok, Procedure, Result, sleep} from '@radishgw/core';
import {Platform, PlatformObject, Revision} from './platform.js';

/** A conditional update whose writer identifies its own write by `attemptId`. */
export interface SettledPutRequest {
  readonly key: string;
  /** Fields of the object; `attemptId` is added to them. */
  readonly body: object;
  /** Never used by another update, on any host or at any time. */
  readonly attemptId: string;
  readonly ifRevision: Revision;
  /** Time from the first attempt after which no further attempt is started. */
  readonly giveUpAfterMs: number;
  /** Delay between attempts; 100 ms by default. */
  readonly retryDelayMs?: number;
}

/** An update that took effect. */
export interface SettledPut {
  readonly revision: Revision;
  /** Local monotonic time before the first attempt, and so before the update took effect. */
  readonly sentAtMs: number;
}

/**
 * Reason why an update failed.
 * - `conflict`: the condition did not hold; `object` is another writer's, or undefined if absent.
 * - `notSent`: the update had no effect.
 * - `unknown`: the update may have taken effect, or may still do so while its condition holds.
 */
export type SettledPutError =
  | {readonly kind: 'conflict'; readonly object: PlatformObject | undefined}
  | {readonly kind: 'notSent'; readonly detail: string}
  | {readonly kind: 'unknown'; readonly detail: string}
  | {readonly kind: 'rejected'; readonly detail: string};

/** Dependencies of {@link putSettled}. */
export interface PutDependencies {
  readonly platform: Platform;
  readonly clock: Clock;
}

const DEFAULT_RETRY_DELAY_MS = 100;

/**
 * Compare-and-set that resolves the outcome when a response is lost. It sends the same update again
 * with the same condition, so that only the first copy to arrive can take effect. A read alone
 * can't determine the outcome, since the first copy may still be in flight at the time of the read.
 */
export function* putSettled(
  {platform, clock}: PutDependencies,
  request: SettledPutRequest,
): Procedure<Result<SettledPut, SettledPutError>> {
  const sentAtMs = clock.nowMs();
  const deadlineMs = sentAtMs + request.giveUpAfterMs;
  const value = JSON.stringify({...request.body, attemptId: request.attemptId});
  let mayHaveTakenEffect = false;
  for (;;) {
    const answer = yield* call(() =>
      platform.put(request.key, value, {ifRevision: request.ifRevision}),
    );
    if (answer.ok) return Ok({revision: answer.val, sentAtMs});
    const error = answer.val;
    if (error.kind === 'rejected') return Err(error);
    if (error.kind === 'conflict') {
      const existing = yield* readConflictingObject(
        platform,
        clock,
        request.key,
        error.revision,
        deadlineMs,
      );
      if (existing === 'absent') return Err({kind: 'conflict', object: undefined});
      if (existing !== 'unreadable') {
        const isOwn = readAttemptId(existing) === request.attemptId;
        return isOwn
          ? Ok({revision: existing.revision, sentAtMs})
          : Err({kind: 'conflict', object: existing});
      }
      mayHaveTakenEffect = true;
    } else if (error.kind === 'outcomeUnknown') {
      mayHaveTakenEffect = true;
    }
    if (clock.nowMs() >= deadlineMs) {
      const detail = `${request.key} unconfirmed after ${request.giveUpAfterMs} ms: ${error.kind}`;
      return Err({kind: mayHaveTakenEffect ? 'unknown' : 'notSent', detail});
    }
    yield* sleep(request.retryDelayMs ?? DEFAULT_RETRY_DELAY_MS);
  }
}

/**
 * Reads the object that caused a conflict. Reads may be stale, so an object older than the conflict
 * is read again. If it isn't found, the next update decides, since its response is never stale.
 */
function* readConflictingObject(
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

/** The attempt id of a stored object; undefined if it has none. */
export function readAttemptId(object: PlatformObject): string | undefined {
  try {
    const parsed = JSON.parse(object.value) as {attemptId?: unknown};
    return typeof parsed.attemptId === 'string' ? parsed.attemptId : undefined;
  } catch {
    return undefined;
  }
}
