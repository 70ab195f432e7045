import {EventSplitter, StreamEvents} from './events.js';
import {AnswerMeta} from '../model.js';
import {statesNotRun} from '../targets/target-answer.js';
import {AnswerEnd, AnswerHead} from '../targets/target-connections.js';
import {PooledAttempt, PooledTarget} from '../targets/target-pool.js';

/** A run of a stream at an engine. */
export interface EngineRun {
  readonly target: PooledTarget;
  readonly sent: PooledAttempt;
  /** Estimated time until the first event. */
  readonly waitMs: number;
  readonly splitter: EventSplitter;
  /** Events that were received while the run was on standby. */
  readonly received: StreamEvents[];
  head: AnswerHead | undefined;
  hasEvents: boolean;
  /** Whether the engine has been silent since its last event. */
  wasSilent: boolean;
  /** Time after which the engine counts as silent. */
  dueMs: number;
  /** Time after which a silent engine is left although the stream may not come back to it. */
  lostMs: number;
  /** Releases the cache that the engine is to fetch; called if it is left before its first event. */
  releaseSource: (() => void) | undefined;
  /** Called with the first event. */
  onFirstEvent(): void;
  /** Called when the stream has ended as it should. */
  onWhole(): void;
  /** Aborts the run unless it has ended, and releases what was kept for it. */
  close(): void;
}

/** Maximum size of an event; those of engines have a few tokens. */
export const MAX_EVENT_BYTES = 256 * 1024;

/** How a run on standby has gone on; `refused` and `failed` if it can't go on any more. */
export type StandbyProgress =
  | {readonly type: 'silent' | 'goesOn'}
  | {readonly type: 'refused'; readonly meta: AnswerMeta}
  | {readonly type: 'failed'; readonly detail: string; readonly hasLostConnection: boolean};

/** Checks of an answer that continues a stream; each returns why it can't be used. */
export interface AnswerChecks {
  findHeadFault(head: AnswerHead): string | undefined;
  findEndFault(run: EngineRun, end: AnswerEnd): string | undefined;
}

/** Reads what an engine has sent while its run was on standby. */
export function readStandby(run: EngineRun, checks: AnswerChecks): StandbyProgress {
  const {attempt} = run.sent;
  const fail = (detail: string, hasLostConnection = false): StandbyProgress => ({
    type: 'failed',
    detail,
    hasLostConnection,
  });
  for (let event = attempt.peek(); event; event = attempt.peek()) {
    if (event.type === 'failed') return fail(event.detail, true);
    if (event.type === 'end') {
      if (run.received.length > 0) break;
      const fault = checks.findEndFault(run, event);
      return fault ? fail(fault, event.framing === 'connection') : {type: 'goesOn'};
    }
    attempt.take();
    if (event.type === 'head') {
      if (statesNotRun(event.status, event.meta)) return {type: 'refused', meta: event.meta};
      if (event.status !== 200) return fail(`status ${event.status}`);
      const fault = checks.findHeadFault(event);
      if (fault) return fail(fault);
      run.head = event;
    } else if (event.type === 'data') {
      run.received.push(...run.splitter.push(event.chunk));
      if (run.splitter.pendingBytes > MAX_EVENT_BYTES) return fail('event is too large');
    }
  }
  return {type: run.received.length > 0 ? 'goesOn' : 'silent'};
}
