import {
  AnswerBody,
  AnswerBuffer,
  BodyBlocks,
  BodyFields,
  BodyFraming,
  call,
  Clock,
  Procedure,
} from '@radishgw/core';
import {AnswerMeta, RawHeaders} from '../model.js';
import {AnswerHead, Attempt, AttemptEvent, waitForEvent} from './target-connections.js';

/** Maximum size of an answer that is buffered completely. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/** A complete answer of a target, or the reason why there is none. */
export type CompleteAnswer =
  | {
      readonly type: 'answer';
      readonly status: number;
      readonly headers: RawHeaders;
      readonly meta: AnswerMeta;
      readonly body: Buffer;
      readonly framing: BodyFraming;
    }
  | {readonly type: 'failed'; readonly wasSent: boolean; readonly detail: string}
  | {readonly type: 'silent'};

export const MISDIRECTED_REQUEST_STATUS = 421;

/** Statuses that tell a client that its request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether an answer may be passed on to a client; a target may send a promise by mistake. */
export function mayPassOn(status: number): boolean {
  return !NOT_RUN_STATUSES.has(status);
}

/** Whether an answer states that the target has not run the request. */
export function statesNotRun(status: number, meta: AnswerMeta): boolean {
  return meta.notRun || status === MISDIRECTED_REQUEST_STATUS;
}

/**
 * What a refusal says about the health of its target. One that names a time isn't a failure: the
 * target is left alone until then.
 */
export function refusalOutcome(meta: AnswerMeta): 'cancelled' | 'unreachable' {
  return meta.retryAfterMs === undefined ? 'unreachable' : 'cancelled';
}

/**
 * Returns why an answer can't be the target's own answer to the request; undefined if it can. The
 * request id identifies late and additional answers; a success is complete only with its seal.
 */
export function findAnswerFault(
  status: number,
  meta: AnswerMeta,
  requestId: string,
): string | undefined {
  if (meta.requestId !== undefined && meta.requestId !== requestId) {
    return `answer belongs to request ${meta.requestId}`;
  }
  const isSuccess = status >= 200 && status < 300;
  if (isSuccess && meta.requestId === undefined) return 'success without a request id';
  if (isSuccess && meta.seal === undefined) return 'success without a seal';
  return undefined;
}

/** Reads the parts of a head that describe the body. */
export function readBodyFields({status, headers}: AnswerHead): BodyFields {
  const find = (name: string) => {
    const index = headers.findIndex((text, i) => i % 2 === 0 && text.toLowerCase() === name);
    return index < 0 ? undefined : headers[index + 1];
  };
  return {status, contentType: find('content-type'), contentEncoding: find('content-encoding')};
}

/** What is needed to read an answer. */
export interface AnswerReader {
  readonly clock: Clock;
  /** Holds the body; it stays in use when the answer has been read. */
  readonly buffer: AnswerBuffer;
  /** Maximum size of the body; that of an answer to a client if undefined. */
  readonly maxBytes?: number;
  readonly standby?: Standby;
}

/** A silent attempt that is kept until another target has taken its request over. */
export interface Standby {
  attempts(): readonly Attempt[];
  /** Whether it has gone on. */
  hasGoneOn(): boolean;
}

/** Interval at which a request that waits for a silent target looks for another one. */
export const SILENCE_CHECK_MS = 250;

/** Collects the events of an attempt into a complete answer. */
export class AnswerCollector {
  private head: AnswerHead | undefined;
  private body: AnswerBody | undefined;
  private readonly blocks = new BodyBlocks();

  constructor(private readonly maxBytes = MAX_ANSWER_BYTES) {}

  /** Size of the body so far. */
  get bytes(): number {
    return this.blocks.byteCount;
  }

  /**
   * Adds an event; returns the result with the last one. `mayBuffer` says whether the body may be
   * held in memory.
   */
  push(event: AttemptEvent, mayBuffer: () => boolean): CompleteAnswer | undefined {
    if (event.type === 'silent' || event.type === 'failed') return event;
    if (event.type === 'head') {
      this.head = event;
      this.body = new AnswerBody(readBodyFields(event));
      return undefined;
    }
    if (!this.head || !this.body) {
      return {type: 'failed', wasSent: true, detail: 'answer has no head'};
    }
    if (event.type === 'data') {
      const {chunk} = event;
      this.blocks.push(chunk);
      if (this.bytes > this.maxBytes || !mayBuffer()) {
        return {type: 'failed', wasSent: true, detail: 'answer is too large'};
      }
      this.body.push(chunk);
      return undefined;
    }
    const fault = this.body.findFault(event.framing);
    if (fault) return {type: 'failed', wasSent: true, detail: fault};
    const {status, headers, meta} = this.head;
    const body = this.blocks.take();
    return {type: 'answer', status, headers, meta, body, framing: event.framing};
  }
}

/** Reads a complete answer, which must end within `timeoutMs`. */
export function* readCompleteAnswer(
  attempt: Attempt,
  {clock, buffer, maxBytes, standby}: AnswerReader,
  timeoutMs: number,
  firstEvent?: AttemptEvent,
): Procedure<CompleteAnswer | {readonly type: 'overtaken'}> {
  const endMs = clock.nowMs() + timeoutMs;
  const collector = new AnswerCollector(maxBytes);
  let event = firstEvent;
  for (;;) {
    const answer = event && collector.push(event, () => buffer.resize(collector.bytes));
    if (answer) return answer;
    // Bytes that complete no answer don't extend its time.
    const nowMs = clock.nowMs();
    if (event?.type === 'data' && nowMs >= endMs) return {type: 'silent'};
    event = attempt.take();
    if (event) continue;
    if (standby?.hasGoneOn()) return {type: 'overtaken'};
    if (nowMs >= endMs) return {type: 'silent'};
    const attempts = [attempt, ...(standby?.attempts() ?? [])];
    yield* call(() => waitForEvent(clock, attempts, endMs - nowMs));
  }
}
