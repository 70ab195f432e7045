import {call, Procedure} from '@radishgw/core';
import {AnswerMeta, RawHeaders, RelayCodec} from './model.js';
import {Attempt, AttemptEvent} from './target-connections.js';

/** Maximum size of an answer that is buffered completely. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** A complete answer of a target, or the reason why there is none. */
export type CompleteAnswer =
  | {
      readonly type: 'answer';
      readonly status: number;
      readonly headers: RawHeaders;
      readonly meta: AnswerMeta;
      readonly body: Buffer;
    }
  | {readonly type: 'failed'; readonly wasSent: boolean; readonly detail: string}
  | {readonly type: 'silent'};

const MISDIRECTED_REQUEST_STATUS = 421;

/** Whether an answer states that the target has not run the request. */
export function statesNotRun(status: number, meta: AnswerMeta): boolean {
  return meta.notRun || status === MISDIRECTED_REQUEST_STATUS;
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

/** Reads a complete answer; `timeoutMs` limits the wait for each event. */
export function* readCompleteAnswer(
  attempt: Attempt,
  codec: RelayCodec,
  timeoutMs: number,
  firstEvent?: AttemptEvent,
): Procedure<CompleteAnswer> {
  let event = firstEvent ?? (yield* call(() => attempt.next(timeoutMs)));
  if (event.type === 'silent' || event.type === 'failed') return event;
  if (event.type !== 'head') return {type: 'failed', wasSent: true, detail: 'answer has no head'};
  const {status, headers} = event;
  const chunks: Buffer[] = [];
  let bytes = 0;
  for (;;) {
    event = yield* call(() => attempt.next(timeoutMs));
    if (event.type === 'data') {
      bytes += event.chunk.length;
      if (bytes > MAX_ANSWER_BYTES) {
        return {type: 'failed', wasSent: true, detail: 'answer is too large'};
      }
      chunks.push(event.chunk);
      continue;
    }
    if (event.type !== 'end') return event.type === 'head' ? {type: 'silent'} : event;
    const meta = codec.readAnswer(headers);
    return {type: 'answer', status, headers, meta, body: Buffer.concat(chunks)};
  }
}
