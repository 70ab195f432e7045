import {Procedure, TargetId} from '@radishgw/core';
import {
  DEFAULT_ENGINE_ESTIMATES,
  EnginePlacement,
  placePrompt,
  sharedPrefix,
} from './engine-placement.js';
import {recordRequest} from './attempt-budget.js';
import {CacheSource, ServiceName} from './model.js';
import {createPendingAverage, PendingAverage} from './pending-average.js';
import {addPending, freeHandle, readPrompt} from './read-prompt.js';
import {relayRun} from './relay-run.js';
import {AdmittedRequest, RelayParts} from './request-context.js';
import {mayTryAgain, ServeOutcome, takeExtra} from './serve-outcome.js';
import {RunEnd, StreamState} from './stream-state.js';
import {PooledTarget} from './target-pool.js';
import {writeTargetRequest} from './target-request.js';
import {estimateCachedTokens, recordParts} from './target-state.js';
import {recordWait} from './wait-calibration.js';

/**
 * A prompt is refused if others keep it waiting for longer than this part of its objective: when
 * more is asked than the engines can read, those that are served are then served in time.
 */
const QUEUE_OBJECTIVES = 0.9;

/** Least time for which a refused client is told to stay away: a queue falls in some 100 ms. */
const MIN_RETRY_AFTER_MS = 200;

/** Serves a stream of events from an engine, continuing it at another one where that is allowed. */
export function* serveStream(parts: RelayParts, request: AdmittedRequest): Procedure<ServeOutcome> {
  const {progress, route, service, exchange, meta} = request;
  const mayRepeat = route.mayResume;
  const tried = new Set<TargetId>();
  const state: StreamState = {
    parts,
    request,
    mayRepeat,
    tried,
    lastEventId: meta.lastEventId,
    hasPrefilled: false,
  };
  recordRequest(parts.extraAttempts.get(service)!, parts.clock.nowMs());
  for (;;) {
    const placement = place(state, !exchange.hasStarted);
    if (placement.type === 'none') return giveUp(state, 'noTarget');
    const leftMs = request.endMs - parts.clock.nowMs();
    const bestQueueMs = Math.min(leftMs, route.objectiveMs * QUEUE_OBJECTIVES);
    if (!exchange.hasStarted && !progress.mayHaveRun && placement.queueMs > bestQueueMs) {
      const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, placement.queueMs - bestQueueMs);
      return {type: 'refused', refusal: 'overloaded', retryAfterMs};
    }
    notePlacement(state, placement);
    let source: CacheSource | undefined;
    if (placement.type === 'staged') {
      const isExtra = state.hasPrefilled;
      if (isExtra && !takeExtra(parts, service)) return giveUp(state, 'overloaded');
      source = yield* readPrompt(state, placement.prefill as PooledTarget, placement);
      if (!source) {
        // A further reading is an extra attempt; a long prompt would hold up a decode engine.
        tried.add(placement.prefill.entry.id);
        if (!mayTryAgain(parts, request, true, false)) return giveUp(state, 'overloaded');
        continue;
      }
    }
    const end = yield* runAt(state, placement, source);
    if (end.type === 'done') return end.outcome;
    // The memory couldn't be fetched from there: another engine is to read the prompt.
    if (placement.type === 'staged') tried.add(placement.prefill.entry.id);
    const isFree = end.type === 'notRun' && end.isFree;
    if (!mayTryAgain(parts, request, mayRepeat, isFree)) return giveUp(state, 'overloaded');
  }
}

function place({parts, request, tried}: StreamState, allowsStaging: boolean): EnginePlacement {
  const {meta, service, urgency} = request;
  const work = {parts: meta.promptParts, promptTokens: meta.promptTokens ?? 0, urgency};
  return placePrompt(parts.targets.forService(service), work, tried, {
    hostCount: parts.countHosts(),
    nowMs: parts.clock.nowMs(),
    allowsStaging,
    calibration: parts.calibration,
    pending: pendingOf(parts, service),
    estimates: DEFAULT_ENGINE_ESTIMATES,
  });
}

function pendingOf(parts: RelayParts, service: ServiceName): PendingAverage {
  let pending = parts.pending.get(service);
  if (!pending) {
    pending = createPendingAverage();
    parts.pending.set(service, pending);
  }
  return pending;
}

/** Notes where a prompt was placed and with which inputs, for the log. */
function notePlacement(
  {parts, request}: StreamState,
  placement: Exclude<EnginePlacement, {type: 'none'}>,
): void {
  const {decode, waitMs} = placement;
  const reader = placement.type === 'staged' ? placement.prefill : decode;
  const known = estimateCachedTokens(
    reader,
    sharedPrefix(request.meta.promptParts),
    parts.clock.nowMs(),
  );
  request.progress.placements.push({
    type: placement.type,
    decode: decode.entry.id,
    reader: reader.entry.id,
    estimatedWaitMs: Math.round(waitMs),
    queueMs: Math.round(placement.queueMs),
    atMs: Math.round(request.exchange.ageMs()),
    knownTokens: known,
    readerOwnTokens: reader.ownPromptTokens,
    readerOthers: reader.othersRequests,
  });
}

function giveUp({request}: StreamState, refusal: 'noTarget' | 'overloaded'): ServeOutcome {
  if (request.exchange.hasStarted) return {type: 'brokenOff'};
  return {type: 'refused', refusal: request.progress.mayHaveRun ? 'outcomeUnknown' : refusal};
}

/** Runs the request at an engine and forwards its events. */
function* runAt(
  state: StreamState,
  placement: Exclude<EnginePlacement, {type: 'none'}>,
  source: CacheSource | undefined,
): Procedure<RunEnd> {
  const {parts, request} = state;
  const {progress} = request;
  const target = placement.decode as PooledTarget;
  state.tried.add(target.entry.id);
  const before = {mayHaveRun: progress.mayHaveRun, attempts: progress.attempts};
  const outgoing = writeTargetRequest(parts, request, target, {
    cacheSource: source,
    lastEventId: state.lastEventId,
  });
  progress.mayHaveRun = true;
  progress.attempts++;
  const endPending = source ? () => undefined : addPending(target, state);
  if (source) recordParts(target, request.meta.promptParts, parts.clock.nowMs());
  const sent = parts.targets.send(target, outgoing, state.mayRepeat);
  let isSourceUsed = false;
  try {
    const sentMs = parts.clock.nowMs();
    const onFirstEvent = () => {
      endPending();
      if (source) return;
      const actualMs = parts.clock.nowMs() - sentMs;
      recordWait(parts.calibration, 'decode', request.urgency, placement.uncalibratedMs, actualMs);
    };
    const end = yield* relayRun(state, sent, placement.waitMs, onFirstEvent);
    isSourceUsed = end.type === 'done' || progress.hasCountedUsage;
    if (end.type === 'notRun') Object.assign(progress, before);
    return end;
  } finally {
    endPending();
    sent.finish('cancelled');
    if (source && !isSourceUsed && placement.type === 'staged') {
      freeHandle(state, placement.prefill as PooledTarget, source);
    }
  }
}
