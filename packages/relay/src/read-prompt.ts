import {Procedure} from '@radishgw/core';
import {PlacementTimes, sharedPrefix} from './engine-placement.js';
import {CacheSource} from './model.js';
import {StreamState} from './stream-state.js';
import {readWholeAnswer, statesNotRun} from './target-answer.js';
import {PooledTarget} from './target-pool.js';
import {writeTargetRequest} from './target-request.js';
import {recordLoad, recordParts} from './target-state.js';
import {recordWait} from './wait-calibration.js';

/** A prefill answers only at its end: it is given up later than a stream that falls silent. */
const PREFILL_SILENCE_FACTOR = 4;
const MIN_PREFILL_SILENCE_MS = 1500;

/** Part of the time that is left which a prefill may take. */
const PREFILL_TIME_SHARE = 0.7;

/** A handle that isn't freed lapses by itself, so that the answer isn't waited for longer. */
const FREE_TIMEOUT_MS = 500;

/** Counts prompt tokens as pending at a target until the returned function is called. */
export function addPending(target: PooledTarget, state: StreamState): () => void {
  const {meta} = state.request;
  const nowMs = state.parts.clock.nowMs();
  const shared = sharedPrefix(meta.promptParts);
  const known = shared.every(part => target.partsMs.has(part.id));
  const sharedTokens = shared.reduce((sum, part) => sum + part.tokens, 0);
  const tokens = Math.max(0, (meta.promptTokens ?? 0) - (known ? sharedTokens : 0));
  recordParts(target, meta.promptParts, nowMs);
  target.ownPromptTokens += tokens;
  let isPending = true;
  return () => {
    if (!isPending) return;
    isPending = false;
    target.ownPromptTokens -= tokens;
  };
}

/** Has a prompt read at a prefill engine; gives where its memory can be fetched. */
export function* readPrompt(
  state: StreamState,
  target: PooledTarget,
  times: PlacementTimes,
): Procedure<CacheSource | undefined> {
  const {parts, request} = state;
  const {progress} = request;
  const outgoing = writeTargetRequest(parts, request, target, {
    prefillOnly: true,
    lastEventId: state.lastEventId,
  });
  const endPending = addPending(target, state);
  const sentMs = parts.clock.nowMs();
  const sent = parts.targets.send(target, outgoing, true);
  try {
    const silenceMs = prefillSilenceMs(state, times.waitMs);
    const answer = yield* readWholeAnswer(sent.attempt, parts.codec, silenceMs);
    if (answer.type !== 'answer') {
      const wasSent = answer.type === 'silent' || answer.wasSent;
      sent.finish(answer.type === 'silent' ? 'timeout' : wasSent ? 'failed' : 'unreachable');
      progress.steps.push(`${target.entry.id}:prefill ${answer.type}`);
      return undefined;
    }
    if (answer.meta.load) recordLoad(target, answer.meta.load, parts.clock.nowMs());
    const actualMs = parts.clock.nowMs() - sentMs;
    recordWait(parts.calibration, 'prefill', request.urgency, times.uncalibratedMs, actualMs);
    const isOwn =
      answer.meta.requestId === undefined || answer.meta.requestId === request.meta.requestId;
    const prefill =
      answer.status === 200 && isOwn ? parts.codec.readPrefill(answer.body) : undefined;
    const isRejected = statesNotRun(answer.status, answer.meta);
    sent.finish(prefill ? 'finished' : isRejected ? 'unreachable' : 'failed');
    if (prefill) state.hasPrefilled = true;
    if (!prefill) progress.steps.push(`${target.entry.id}:prefill ${answer.status}`);
    return prefill && {address: target.entry.address, handle: prefill.handle};
  } finally {
    endPending();
    sent.finish('cancelled');
  }
}

/** Frees memory that was read and wasn't fetched. */
export function freeHandle({parts}: StreamState, target: PooledTarget, source: CacheSource): void {
  const path = parts.codec.handlePath(source.handle);
  const freed = parts.targets.send(
    target,
    {
      method: 'DELETE',
      path,
      headers: parts.codec.writeControlHeaders(target.entry),
      body: undefined,
    },
    true,
  );
  // The engine drops the memory by itself after its time to live; the answer changes nothing.
  void freed.attempt.next(FREE_TIMEOUT_MS).then(() => freed.finish('cancelled'));
}

/** A prefill may take most of the time that is left, but a silent engine must leave some. */
function prefillSilenceMs({parts, request}: StreamState, waitMs: number): number {
  const leftMs = Math.max(1, request.endMs - parts.clock.nowMs());
  const silenceMs = Math.max(MIN_PREFILL_SILENCE_MS, PREFILL_SILENCE_FACTOR * waitMs);
  return Math.min(leftMs * PREFILL_TIME_SHARE, silenceMs);
}
