import {call, Err, Ok, Procedure, Result} from '@radishgw/core';
import {Platform, PlatformObject, putSettled} from '@radishgw/coordination';
import {FrozenMarks, UsageFigure} from './shard-ledger.js';
import {UsageDependencies, WINDOW_MS} from './types.js';

/** Value of `usage/<windowStartMs>/<shard>`. */
export interface FrozenWindow {
  readonly windowStartMs: number;
  readonly shard: number;
  /** Epoch of the shard owner that froze the window. */
  readonly epoch: number;
  readonly marks: FrozenMarks;
  /** The exact bytes of the report that is sent: a {@link UsageReportBody} as JSON text. */
  readonly report: string;
}

/** Report for a window of one shard. Figures of earlier windows are corrections. */
export interface UsageReportBody {
  readonly windowStartMs: number;
  readonly shard: number;
  readonly figures: readonly UsageFigure[];
}

/** Value of `usage/reported/<shard>`. */
export interface ReportedCursor {
  /** The last reported window, or the one before the first if none was reported. */
  readonly windowStartMs: number;
  /** False until a window has been reported; until then the window itself doesn't exist. */
  readonly reported: boolean;
}

export function windowKey(windowStartMs: number, shard: number): string {
  return `usage/${windowStartMs}/${shard}`;
}

export function cursorKey(shard: number): string {
  return `usage/reported/${shard}`;
}

/** A stored object with its parsed value. */
export interface StoredValue<T> {
  readonly object: PlatformObject;
  readonly value: T;
}

/** Reads an object and parses its value; undefined if it doesn't exist. */
export function* readValue<T>(
  platform: Platform,
  key: string,
): Procedure<Result<StoredValue<T> | undefined, 'unreadable'>> {
  const answer = yield* call(() => platform.get(key));
  if (answer.err)
    return answer.val.kind === 'notFound' ? Ok(undefined) : Err('unreadable' as const);
  return Ok({object: answer.val, value: JSON.parse(answer.val.value) as T});
}

/**
 * Reads the cursor of a shard, or creates it at the shard's first window. All owners use the same
 * cursor, so that no two of them start the sequence of windows at different positions.
 */
export function* readOrCreateCursor(
  dependencies: UsageDependencies,
  shard: number,
  firstWindowMs: number,
): Procedure<StoredValue<ReportedCursor> | undefined> {
  const {platform, random} = dependencies;
  const read = yield* readValue<ReportedCursor>(platform, cursorKey(shard));
  if (read.err) return undefined;
  if (read.val) return read.val;
  const body: ReportedCursor = {
    windowStartMs: firstWindowMs - WINDOW_MS,
    reported: false,
  };
  yield* putSettled(dependencies, {
    key: cursorKey(shard),
    body,
    attemptId: random.nextHex(8),
    ifRevision: 0,
    giveUpAfterMs: 5000,
  });
  const created = yield* readValue<ReportedCursor>(platform, cursorKey(shard));
  return created.ok ? created.val : undefined;
}
