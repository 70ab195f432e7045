import {call, Procedure, TargetId} from '@radishgw/core';
import {
  DEFAULT_ENGINE_ESTIMATES,
  EnginePlacement,
  PlacementTimes,
  placePrompt,
  sharedParts,
} from './engine-placement.js';
import {EventSplitter, StreamEvent} from './events.js';
import {recordRequest} from './extra-attempts.js';
import {CacheSource, ServiceName} from './model.js';
import {createPendingAverage, PendingAverage} from './pending-average.js';
import {AdmittedRequest, RelayParts} from './request-context.js';
import {mayTryAgain, ServeOutcome, takeExtra} from './serve-outcome.js';
import {findAnswerFault, readWholeAnswer, statesNotRun} from './target-answer.js';
import {AttemptEvent} from './target-connections.js';
import {PooledAttempt, PooledTarget} from './target-pool.js';
import {writeTargetRequest} from './target-request.js';
import {estimateCachedTokens, recordLoad, recordParts} from './target-state.js';
import {recordWait} from './wait-calibration.js';

/** A stream that may be continued is moved after this multiple of its expected or allowed wait. */
const SILENCE_FACTOR = 3;

/** Least silence before a stream is moved: shorter ones come from full engines. */
const MIN_SILENCE_MS = 1000;

/**
 * A prompt is refused if others keep it waiting for longer than this part of its objective: when
 * more is asked than the engines can read, those that are served are then served in time.
 */
const QUEUE_OBJECTIVES = 0.9;

/** Least time for which a refused client is told to stay away: a queue falls in some 100 ms. */
const MIN_RETRY_AFTER_MS = 200;

/** A prefill answers only at its end: it is given up later than a stream that falls silent. */
const PREFILL_SILENCE_FACTOR = 4;
const MIN_PREFILL_SILENCE_MS = 1500;

/** Part of the time that is left which a prefill may take. */
const PREFILL_TIME_SHARE = 0.7;

/** How one run of a stream ended. */
type RunEnd =
  | {readonly type: 'done'; readonly outcome: ServeOutcome}
  /** Nothing was sent, or the target states that it has not run the request. */
  | {readonly type: 'notRun'; readonly isFree: boolean}
  /** The run broke off or fell silent. */
  | {readonly type: 'broken'};

/** State of a stream over all its runs. */
interface StreamState {
  readonly parts: RelayParts;
  readonly request: AdmittedRequest;
  readonly mayRepeat: boolean;
  readonly tried: Set<TargetId>;
  lastEventId: string | undefined;
  /** Whether a prefill engine has accepted the prompt: a further reading is an extra attempt. */
  hasPrefilled: boolean;
}

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

function place({parts, request, tried}: StreamState, mayStage: boolean): EnginePlacement {
  const {meta, service, urgency} = request;
  const work = {parts: meta.promptParts, promptTokens: meta.promptTokens ?? 0, urgency};
  return placePrompt(parts.targets.ofService(service), work, tried, {
    hosts: parts.countHosts(),
    nowMs: parts.clock.nowMs(),
    mayStage,
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
    sharedParts(request.meta.promptParts),
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

/** Counts prompt tokens as pending at a target until the returned function is called. */
function addPending(target: PooledTarget, state: StreamState): () => void {
  const {meta} = state.request;
  const nowMs = state.parts.clock.nowMs();
  const shared = sharedParts(meta.promptParts);
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
function* readPrompt(
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
    recordWait(parts.calibration, 'prefill', request.urgency, times.rawReadMs, actualMs);
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
function freeHandle({parts}: StreamState, target: PooledTarget, source: CacheSource): void {
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

const FREE_TIMEOUT_MS = 500;

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
      recordWait(parts.calibration, 'decode', request.urgency, placement.rawReadMs, actualMs);
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

/** Waits for the head of a run and forwards its events to the client. */
function* relayRun(
  state: StreamState,
  sent: PooledAttempt,
  waitMs: number,
  onFirstEvent: () => void,
): Procedure<RunEnd> {
  const {parts, request} = state;
  const {exchange, progress} = request;
  const note = (text: string) => progress.steps.push(`${sent.target.entry.id}:${text}`);
  const splitter = new EventSplitter();
  let head: Extract<AttemptEvent, {type: 'head'}> | undefined;
  let hasEvents = false;
  for (;;) {
    const silenceMs = longestSilenceMs(state, hasEvents, waitMs);
    const event: AttemptEvent = yield* call(() => sent.attempt.next(silenceMs));
    if (event.type === 'silent') {
      note('silent');
      sent.finish('timeout');
      return {type: 'broken'};
    }
    if (event.type === 'failed') {
      note(event.detail);
      sent.finish(event.wasSent ? 'failed' : 'unreachable');
      return event.wasSent ? {type: 'broken'} : {type: 'notRun', isFree: true};
    }
    if (event.type === 'head') {
      if (event.status !== 200) return yield* judgeRejection(state, sent, event);
      const meta = parts.codec.readAnswer(event.headers);
      const fault = findAnswerFault(event.status, meta, request.meta.requestId);
      if (fault) {
        note(fault);
        sent.finish('failed');
        return {type: 'broken'};
      }
      if (meta.load) recordLoad(sent.target, meta.load, parts.clock.nowMs());
      head = event;
      continue;
    }
    if (!head) {
      sent.finish('failed');
      return {type: 'broken'};
    }
    if (event.type === 'data') {
      for (const item of splitter.push(event.chunk)) {
        if (!hasEvents) {
          hasEvents = true;
          sent.recordProgress();
          onFirstEvent();
          noteFirstEvent(state);
        }
        yield* forwardEvent(state, head, item);
      }
      continue;
    }
    const rest = splitter.takeRest();
    if (!exchange.hasStarted) startAnswer(state, head);
    if (rest.length > 0) void exchange.write(rest);
    exchange.end();
    sent.finish('finished');
    return {type: 'done', outcome: {type: 'streamed'}};
  }
}

function startAnswer(
  {parts, request}: StreamState,
  head: Extract<AttemptEvent, {type: 'head'}>,
): void {
  request.exchange.startStream(head.status, parts.codec.writeClientHeaders(head.headers));
}

function noteFirstEvent({parts, request}: StreamState): void {
  const {team, progress, exchange, route} = request;
  if (progress.hasCountedUsage) return;
  progress.hasCountedUsage = true;
  progress.firstEventMs = Math.round(exchange.ageMs());
  parts.metrics.observeMs('first_event_ms', `route="${route.name}"`, exchange.ageMs());
  if (team) parts.countUsage(team.id);
}

function* forwardEvent(
  state: StreamState,
  head: Extract<AttemptEvent, {type: 'head'}>,
  event: StreamEvent,
): Procedure<void> {
  const {exchange} = state.request;
  if (!exchange.hasStarted) startAnswer(state, head);
  if (event.id !== undefined) state.lastEventId = event.id;
  const drained = exchange.write(event.bytes);
  if (drained) yield* call(() => drained);
}

/** Deals with an answer that isn't a stream. */
function* judgeRejection(
  state: StreamState,
  sent: PooledAttempt,
  head: Extract<AttemptEvent, {type: 'head'}>,
): Procedure<RunEnd> {
  const {parts, request} = state;
  const {progress, exchange} = request;
  const leftMs = Math.max(1, request.endMs - parts.clock.nowMs());
  const answer = yield* readWholeAnswer(sent.attempt, parts.codec, leftMs, head);
  const note = (text: string) => progress.steps.push(`${sent.target.entry.id}:${text}`);
  if (answer.type !== 'answer') {
    note(answer.type);
    sent.finish('failed');
    return {type: 'broken'};
  }
  const {meta, status} = answer;
  note(`status ${status}`);
  const fault = findAnswerFault(status, meta, request.meta.requestId);
  if (fault) {
    sent.finish('failed');
    return {type: 'broken'};
  }
  if (meta.load) recordLoad(sent.target, meta.load, parts.clock.nowMs());
  if (statesNotRun(status, meta)) {
    // It is full, changes its stage or is another one: it takes nothing for some time.
    sent.finish('unreachable');
    return {type: 'notRun', isFree: false};
  }
  sent.finish('failed');
  if (state.mayRepeat || exchange.hasStarted) return {type: 'broken'};
  return {type: 'done', outcome: {...answer, type: 'answered'}};
}

/** A prefill may take most of the time that is left, but a silent engine must leave some. */
function prefillSilenceMs({parts, request}: StreamState, waitMs: number): number {
  const leftMs = Math.max(1, request.endMs - parts.clock.nowMs());
  const silenceMs = Math.max(MIN_PREFILL_SILENCE_MS, PREFILL_SILENCE_FACTOR * waitMs);
  return Math.min(leftMs * PREFILL_TIME_SHARE, silenceMs);
}

function longestSilenceMs(state: StreamState, hasEvents: boolean, waitMs: number): number {
  const {route, endMs} = state.request;
  const leftMs = Math.max(1, endMs - state.parts.clock.nowMs());
  if (!state.mayRepeat) return leftMs;
  const usualMs = hasEvents ? route.maxGapMs : Math.max(waitMs, route.objectiveMs);
  return Math.min(leftMs, Math.max(MIN_SILENCE_MS, SILENCE_FACTOR * usualMs));
}
