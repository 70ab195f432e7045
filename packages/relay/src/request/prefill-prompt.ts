import {call, Procedure} from '@radishgw/core';
import {PlacementTimes, sharedPrefix} from '../placing/engine-placement.js';
import {recordPrefilled, recordPrefillSent} from '../placing/engine-work-placement.js';
import {CacheSource} from '../model.js';
import {recordStep} from './request-context.js';
import {hasGoneOn} from './relay-stream.js';
import {StreamState} from './stream-state.js';
import {
  readCompleteAnswer,
  refusalOutcome,
  Standby,
  statesNotRun,
} from '../targets/target-answer.js';
import {PooledTarget} from '../targets/target-pool.js';
import {Attempt, waitForEvent} from '../targets/target-connections.js';
import {createAnswerReader, sendToTarget, writeTargetRequest} from './target-request.js';
import {recordLoad} from '../targets/target-state.js';
import {recordWait} from '../placing/wait-calibration.js';

/**
 * Multiple of the expected wait after which a prefill times out; higher than that of a stream
 * because a prefill is answered only when it is complete.
 */
const PREFILL_TIMEOUT_FACTOR = 4;
const MIN_PREFILL_TIMEOUT_MS = 1500;

/**
 * Part of the time until the objective after which a prefill may be left, and the minimum: sound
 * engines pause for less.
 */
const LEAVE_OBJECTIVE_SHARE = 0.5;
const MIN_LEAVE_MS = 200;

/** Maximum share of the remaining time that a prefill may take. */
const MAX_PREFILL_TIME_SHARE = 0.7;

/**
 * Maximum size of the answer to a prefill, which is decoded: a handle of the longest size, escaped,
 * and a few numbers take a fraction of it.
 */
const MAX_PREFILL_ANSWER_BYTES = 16 * 1024;

/** Timeout of a release; short because a handle that isn't released expires on its own. */
const RELEASE_TIMEOUT_MS = 500;

/** Counts prompt tokens as pending at a target until the returned function is called. */
export function addPendingTokens(target: PooledTarget, state: StreamState): () => void {
  const {meta} = state.request;
  const shared = sharedPrefix(meta.promptParts);
  const isCached = shared.every(part => target.partsMs.has(part.id));
  const sharedTokens = shared.reduce((sum, part) => sum + part.tokens, 0);
  const tokens = Math.max(0, (meta.promptTokens ?? 0) - (isCached ? sharedTokens : 0));
  state.deps.targets.recordParts(target, meta.promptParts);
  target.ownPromptTokens += tokens;
  let isPending = true;
  return () => {
    if (!isPending) return;
    isPending = false;
    target.ownPromptTokens -= tokens;
  };
}

/** Prefills a prompt at a prefill engine; returns where its cache can be fetched. */
export function* prefillPrompt(
  state: StreamState,
  target: PooledTarget,
  times: PlacementTimes,
  mayLeave: () => boolean,
): Procedure<CacheSource | undefined> {
  const {deps, request} = state;
  const outgoing = writeTargetRequest(deps, request, target, {
    prefillOnly: true,
    lastEventId: state.lastEventId,
  });
  const removePending = addPendingTokens(target, state);
  const sentMs = deps.clock.nowMs();
  const sent = sendToTarget(deps, request, target, outgoing, true);
  if (times.expectation) recordPrefillSent(deps.work, times.expectation, sentMs);
  try {
    const timeoutMs = prefillTimeoutMs(state, times.waitMs);
    const isLeft = yield* waitUntilLate(state, target, sent.attempt, times.waitMs, mayLeave);
    if (isLeft) {
      sent.finish('timeout');
      deps.metrics.count('prefills_left_total', `route="${request.route.name}"`);
      recordFailure(state, `${target.entry.id}:prefill left`);
      return undefined;
    }
    const reader = {
      ...createAnswerReader(deps, request, findStandby(state)),
      maxBytes: MAX_PREFILL_ANSWER_BYTES,
    };
    const leftMs = timeoutMs - (deps.clock.nowMs() - sentMs);
    const answer = yield* readCompleteAnswer(sent.attempt, reader, leftMs);
    if (answer.type === 'overtaken') {
      // The engine may have accepted it, so that the next one is an extra attempt.
      state.hasPrefilled = true;
      recordStep(request, `${target.entry.id}:prefill not needed`);
      return undefined;
    }
    if (answer.type !== 'answer') {
      const wasSent = answer.type === 'silent' || answer.wasSent;
      sent.finish(answer.type === 'silent' ? 'timeout' : wasSent ? 'failed' : 'unreachable');
      recordFailure(state, `${target.entry.id}:prefill ${answer.type}`);
      return undefined;
    }
    if (answer.meta.load) recordLoad(target, answer.meta.load, deps.clock.nowMs());
    deps.work.recordReport(target);
    const actualMs = deps.clock.nowMs() - sentMs;
    recordWait(deps.calibration, 'prefill', request.urgency, times.uncalibratedMs, actualMs);
    const matchesRequest =
      answer.meta.requestId === undefined || answer.meta.requestId === request.meta.requestId;
    const prefill =
      answer.status === 200 && matchesRequest ? deps.codec.readPrefill(answer.body) : undefined;
    const isRejected = statesNotRun(answer.status, answer.meta);
    sent.finish(prefill ? 'finished' : isRejected ? refusalOutcome(answer.meta) : 'failed');
    if (prefill) state.hasPrefilled = true;
    if (prefill && times.expectation) {
      recordPrefilled(deps.work, times.expectation, actualMs, deps.clock.nowMs());
      request.progress.placements.push({
        type: 'prefilled',
        reader: target.entry.id,
        expectedMs: Math.round(times.expectation.totalMs),
        actualMs: Math.round(actualMs),
      });
    }
    if (!prefill) recordFailure(state, `${target.entry.id}:prefill ${answer.status}`);
    return prefill && {address: target.entry.address, handle: prefill.handle};
  } finally {
    removePending();
    sent.finish('cancelled');
  }
}

/**
 * Waits for the answer of a prefill engine for a part of the objective; returns whether the engine
 * is left as it has sent nothing by then. The load it answers: short prompts at an engine that has
 * frozen, which could meet their objective at another one. The prefill isn't ended if there is no
 * attempt to spare, so that a slow engine isn't left for nothing.
 */
function* waitUntilLate(
  state: StreamState,
  target: PooledTarget,
  attempt: Attempt,
  waitMs: number,
  mayLeave: () => boolean,
): Procedure<boolean> {
  const {deps, request, standby} = state;
  if (standby || !deps.work.isPlacedByWork(request.service)) return false;
  const {route, exchange} = request;
  const objectiveMs = Math.max(0, route.objectiveMs - exchange.ageMs()) * LEAVE_OBJECTIVE_SHARE;
  const leaveAfterMs = Math.max(MIN_LEAVE_MS, objectiveMs, PREFILL_TIMEOUT_FACTOR * waitMs);
  if (leaveAfterMs >= prefillTimeoutMs(state, waitMs)) return false;
  yield* call(() => waitForEvent(deps.clock, [attempt], leaveAfterMs));
  return attempt.peek() === undefined && mayLeave();
}

function recordFailure({request}: StreamState, text: string): void {
  request.progress.attemptCount++;
  recordStep(request, text);
}

function findStandby(state: StreamState): Standby {
  return {
    attempts: () => (state.standby ? [state.standby.sent.attempt] : []),
    hasGoneOn: () => state.standby !== undefined && hasGoneOn(state, state.standby),
  };
}

/** Releases the cache of a prefilled prompt that wasn't fetched. */
export function releaseHandle(
  {deps}: StreamState,
  target: PooledTarget,
  source: CacheSource,
): void {
  const path = deps.codec.handlePath(source.handle);
  const sent = deps.targets.send(
    target,
    {
      method: 'DELETE',
      path,
      headers: deps.codec.writeControlHeaders(target.entry),
      body: undefined,
    },
    true,
  );
  // The answer is ignored: the engine drops the cache after its time to live in any case.
  void sent.attempt.next(RELEASE_TIMEOUT_MS).then(() => sent.finish('cancelled'));
}

/** Timeout of a prefill; leaves time for another attempt in case it isn't answered. */
function prefillTimeoutMs({deps, request}: StreamState, waitMs: number): number {
  const leftMs = Math.max(1, request.deadlineAtMs - deps.clock.nowMs());
  const timeoutMs = Math.max(MIN_PREFILL_TIMEOUT_MS, PREFILL_TIMEOUT_FACTOR * waitMs);
  return Math.min(leftMs * MAX_PREFILL_TIME_SHARE, timeoutMs);
}
