import {AnswerBody, call, isEventStreamType, Procedure} from '@radishgw/core';
import {EngineRun, MAX_EVENT_BYTES, readStandby} from './engine-run.js';
import {StreamEvents} from './events.js';
import {recordStep} from './request-context.js';
import {releaseReturn, RunResult, StreamState} from './stream-state.js';
import {checkLoss} from './suspect-runs.js';
import {
  findAnswerFault,
  mayPassOn,
  readBodyFields,
  readCompleteAnswer,
  refusalOutcome,
  SILENCE_CHECK_MS,
  statesNotRun,
} from '../targets/target-answer.js';
import {AnswerHead, AttemptEvent, waitForEvent} from '../targets/target-connections.js';
import {PooledAttempt} from '../targets/target-pool.js';
import {createAnswerReader} from './target-request.js';
import {recordLoad} from '../targets/target-state.js';

/** Multiple of the expected wait or allowed gap after which an engine counts as silent. */
const EVENT_TIMEOUT_FACTOR = 3;

/** Minimum timeout before an engine counts as silent: fully loaded ones cause shorter gaps. */
const MIN_EVENT_TIMEOUT_MS = 1000;

/** Events that a stream may have besides those of its tokens. */
const EXTRA_EVENTS = 64;

/** Type of the answers of streaming routes. */
const EVENT_STREAM_TYPE = 'text/event-stream';

/** Timeout of the rest of an error answer, after which a resumable stream is moved. */
const ERROR_ANSWER_TIMEOUT_MS = 500;

/**
 * Time after which an engine that hasn't refused a run is taken to have begun it. Two engines may
 * work on one stream for less than 400 ms, of which the rest is for a busy host and the network.
 */
const TAKEOVER_MS = 250;

/** Further silence after which an engine is more likely lost than sound. */
const LONG_SILENCE_MS = 1000;

/** Sets the times at which the engine of a run counts as silent and as lost. */
export function expectEvent(state: StreamState, run: EngineRun): void {
  run.dueMs = state.deps.clock.nowMs() + eventTimeoutMs(state, run.hasEvents, run.waitMs);
  run.lostMs = run.dueMs + LONG_SILENCE_MS;
}

/**
 * Waits for the head of an engine's answer and forwards its events to the client. A run on standby
 * is ended once this one has begun.
 */
export function* relayStream(state: StreamState, run: EngineRun): Procedure<RunResult> {
  const {deps, request} = state;
  const {exchange, progress} = request;
  const {sent, splitter} = run;
  const addStep = (text: string) => recordStep(request, `${sent.target.entry.id}:${text}`);
  /** Whether the engine is left as it is silent; otherwise its next event is waited for. */
  const leavesSilent = (): RunResult | undefined => {
    const nowMs = deps.clock.nowMs();
    if (nowMs < request.deadlineAtMs && !state.mayLeave(run)) {
      run.dueMs = Math.min(request.deadlineAtMs, nowMs + SILENCE_CHECK_MS);
      return undefined;
    }
    addStep('silent');
    if (!run.wasSilent) sent.recordSilence();
    run.wasSilent = true;
    return {type: nowMs < request.deadlineAtMs ? 'silent' : 'broken'};
  };
  for (;;) {
    const event = yield* nextEvent(state, run);
    if (event.type === 'overtaken') {
      addStep('not needed');
      sent.finish('cancelled');
      return event;
    }
    if (event.type === 'silent') {
      const result = leavesSilent();
      if (result) return result;
      continue;
    }
    if (event.type === 'failed') {
      addStep(event.detail);
      sent.finish(event.wasSent ? 'failed' : 'unreachable');
      return event.wasSent
        ? {type: 'broken', hasLostConnection: true}
        : {type: 'notRun', isUnsent: true};
    }
    if (event.type === 'head') {
      if (event.status !== 200) return yield* handleErrorAnswer(state, sent, event);
      const fault = findHeadFault(state, event);
      if (fault) {
        addStep(fault);
        sent.finish('failed');
        return {type: 'broken'};
      }
      if (event.meta.load) recordLoad(sent.target, event.meta.load, deps.clock.nowMs());
      deps.work.recordReport(sent.target);
      run.head = event;
      expectEvent(state, run);
      continue;
    }
    const {head} = run;
    if (!head) {
      sent.finish('failed');
      return {type: 'broken'};
    }
    if (event.type === 'data') {
      const events = [...run.received.splice(0), ...splitter.push(event.chunk)];
      if (
        splitter.pendingBytes > MAX_EVENT_BYTES ||
        !request.buffer.resize(pendingBytes(state, run))
      ) {
        addStep('event is too large');
        sent.finish('failed');
        return {type: 'broken'};
      }
      if (events.length === 0) {
        // Bytes that complete no event are no progress.
        const result = deps.clock.nowMs() >= run.dueMs ? leavesSilent() : undefined;
        if (result) return result;
        continue;
      }
      if (!run.hasEvents || run.wasSilent) sent.recordProgress();
      if (!run.hasEvents) {
        run.hasEvents = true;
        run.onFirstEvent();
        recordFirstEvent(state);
      }
      run.wasSilent = false;
      state.leftEngine = undefined;
      endStandby(state);
      releaseReturn(state);
      for (const {count} of events) state.eventCount += count;
      if (state.eventCount > maxEvents(state)) {
        addStep('too many events');
        sent.finish('failed');
        return {type: 'done', outcome: {type: 'brokenOff'}};
      }
      yield* forwardEvents(state, head, events);
      expectEvent(state, run);
      continue;
    }
    const remainder = splitter.takeRemainder();
    progress.streamEnd = {framing: event.framing, bytesAfterLastEvent: remainder.length};
    const fault = findBodyFault(state, head, event, run.hasEvents, remainder);
    if (fault) {
      addStep(fault);
      sent.finish('failed');
      return {type: 'broken', hasLostConnection: event.framing === 'connection'};
    }
    if (!exchange.hasStarted) startAnswer(state, head);
    if (remainder.length > 0) void exchange.write(remainder);
    exchange.end();
    sent.finish('finished');
    return {type: 'done', outcome: {type: 'streamed'}};
  }
}

/** Returns the next event of a run; `overtaken` if the one on standby has gone on first. */
function* nextEvent(
  state: StreamState,
  run: EngineRun,
): Procedure<AttemptEvent | {readonly type: 'overtaken'}> {
  const {clock} = state.deps;
  const {attempt} = run.sent;
  if (run.received.length > 0) return {type: 'data', chunk: Buffer.alloc(0)};
  for (;;) {
    const event = attempt.take();
    if (event) return event;
    const nowMs = clock.nowMs();
    if (state.standby && hasGoneOn(state, state.standby)) return {type: 'overtaken'};
    if (nowMs >= run.dueMs) return {type: 'silent'};
    const takeoverMs = (attempt.sentAtMs ?? nowMs) + TAKEOVER_MS;
    if (nowMs >= takeoverMs && state.standby) {
      recordStep(state.request, `${state.standby.target.entry.id}:left`);
      // The head of a stream says that its engine has taken the request over.
      if (!run.head) state.leftEngine = state.standby.target;
      endStandby(state);
    }
    const {standby} = state;
    const untilMs = standby ? Math.min(run.dueMs, takeoverMs) : run.dueMs;
    const attempts = standby ? [attempt, standby.sent.attempt] : [attempt];
    yield* call(() => waitForEvent(clock, attempts, Math.max(0, untilMs - nowMs)));
  }
}

/** Whether the run on standby has gone on; ends it if it can't any more. */
export function hasGoneOn(state: StreamState, standby: EngineRun): boolean {
  const {request} = state;
  const {sent, target} = standby;
  const progress = readStandby(standby, {
    findHeadFault: head => findHeadFault(state, head),
    findEndFault: (run, end) =>
      run.head
        ? findBodyFault(state, run.head, end, run.hasEvents, run.splitter.pending)
        : 'answer has no head',
  });
  if (progress.type === 'goesOn') return true;
  if (progress.type === 'refused') {
    recordStep(request, `${target.entry.id}:not run, after a silence`);
    request.progress.withdrawRun(target.entry.id);
    sent.finish(refusalOutcome(progress.meta));
    endStandby(state);
  } else if (progress.type === 'failed') {
    recordStep(request, `${target.entry.id}:${progress.detail}, after a silence`);
    state.failed.add(target.entry.id);
    sent.finish('failed');
    if (progress.hasLostConnection) checkLoss(state.deps, request, target);
    endStandby(state);
  }
  return false;
}

/** Bytes of incomplete events that are held for a stream. */
function pendingBytes({standby}: StreamState, run: EngineRun): number {
  const others = standby && standby !== run ? standby.splitter.pendingBytes : 0;
  return run.splitter.pendingBytes + others;
}

/** Ends the run on standby: another engine has taken its request over, or it has failed. */
export function endStandby(state: StreamState): void {
  state.standby?.close();
  state.standby = undefined;
}

/** Why an answer with this head and status 200 can't be part of the stream. */
function findHeadFault({request}: StreamState, head: AnswerHead): string | undefined {
  return (
    findAnswerFault(head.status, head.meta, request.meta.requestId) ??
    (request.exchange.hasStarted ? findResumptionFault(head) : undefined)
  );
}

/** Why the body of an answer can't continue a stream that has begun; undefined if it can. */
function findResumptionFault(head: AnswerHead): string | undefined {
  const {contentType = EVENT_STREAM_TYPE, contentEncoding = 'identity'} = readBodyFields(head);
  if (isEventStreamType(contentType) && contentEncoding === 'identity') return undefined;
  return `answer of type ${contentType} can't resume a stream`;
}

/** Why a stream isn't whole that was ended with these bytes after its last complete event. */
function findBodyFault(
  {lastEventId}: StreamState,
  head: AnswerHead,
  {framing}: Extract<AttemptEvent, {type: 'end'}>,
  hasEvents: boolean,
  remainder: Buffer,
): string | undefined {
  const {contentType = EVENT_STREAM_TYPE, ...fields} = readBodyFields(head);
  const expected = lastEventId === undefined ? 'stream' : 'restOfStream';
  const body = new AnswerBody({...fields, contentType}, expected);
  if (hasEvents) body.recordEvent();
  body.push(remainder);
  return body.findFault(framing);
}

function startAnswer({deps, request}: StreamState, head: AnswerHead): void {
  request.exchange.startStream(head.status, deps.codec.writeClientHeaders(head.headers));
}

function recordFirstEvent({deps, request}: StreamState): void {
  const {team, progress, exchange, route} = request;
  if (progress.hasCountedUsage) return;
  progress.hasCountedUsage = true;
  progress.firstEventMs = Math.round(exchange.ageMs());
  deps.metrics.observeMs('first_event_ms', `route="${route.name}"`, exchange.ageMs());
  if (team) deps.countUsage(team.id);
}

function* forwardEvents(
  state: StreamState,
  head: AnswerHead,
  events: readonly StreamEvents[],
): Procedure<void> {
  const {exchange} = state.request;
  if (!exchange.hasStarted) startAnswer(state, head);
  for (const {bytes, lastId} of events) {
    state.lastEventId = lastId ?? state.lastEventId;
    const drained = exchange.write(bytes);
    if (drained) yield* call(() => drained);
  }
}

/** Handles an answer whose status isn't 200. */
function* handleErrorAnswer(
  state: StreamState,
  sent: PooledAttempt,
  head: AnswerHead,
): Procedure<RunResult> {
  const {deps, request} = state;
  const {exchange} = request;
  if (state.standby && !statesNotRun(head.status, head.meta)) {
    // The silent run isn't kept waiting for the text of an error that nobody gets.
    recordStep(request, `${sent.target.entry.id}:status ${head.status}`);
    sent.finish('failed');
    return {type: 'broken'};
  }
  const leftMs = Math.max(1, request.deadlineAtMs - deps.clock.nowMs());
  const timeoutMs = state.mayRepeat ? Math.min(leftMs, ERROR_ANSWER_TIMEOUT_MS) : leftMs;
  const reader = createAnswerReader(deps, request);
  const answer = yield* readCompleteAnswer(sent.attempt, reader, timeoutMs, head);
  const addStep = (text: string) => recordStep(request, `${sent.target.entry.id}:${text}`);
  if (answer.type !== 'answer') {
    addStep(answer.type);
    const {status, meta} = head;
    if (statesNotRun(status, meta) && !findAnswerFault(status, meta, request.meta.requestId)) {
      // The head says so; the engine was silent or broke off within the text.
      sent.finish(refusalOutcome(meta));
      return {type: 'notRun', isUnsent: false};
    }
    sent.finish('failed');
    return {type: 'broken'};
  }
  const {meta, status} = answer;
  addStep(`status ${status}`);
  const fault = findAnswerFault(status, meta, request.meta.requestId);
  if (fault) {
    sent.finish('failed');
    return {type: 'broken'};
  }
  if (meta.load) {
    recordLoad(sent.target, meta.load, deps.clock.nowMs());
    deps.work.recordReport(sent.target);
  }
  if (statesNotRun(status, meta)) {
    // The target is full, is changing its stage or isn't the expected one. It will accept no
    // requests for some time.
    sent.finish(refusalOutcome(meta));
    return {type: 'notRun', isUnsent: false};
  }
  sent.finish('failed');
  if (state.mayRepeat || exchange.hasStarted || !mayPassOn(status)) return {type: 'broken'};
  return {type: 'done', outcome: {...answer, type: 'answered'}};
}

/** Maximum number of events of a stream; an event has a token or more, but for a few. */
function maxEvents({request}: StreamState): number {
  const {maxOutputTokens} = request.meta;
  return maxOutputTokens === undefined ? Infinity : 2 * maxOutputTokens + EXTRA_EVENTS;
}

function eventTimeoutMs(state: StreamState, hasEvents: boolean, waitMs: number): number {
  const {route, deadlineAtMs: endMs} = state.request;
  const leftMs = Math.max(1, endMs - state.deps.clock.nowMs());
  if (!state.mayRepeat) return leftMs;
  const expectedMs = hasEvents ? route.maxGapMs : Math.max(waitMs, route.objectiveMs);
  return Math.min(leftMs, Math.max(MIN_EVENT_TIMEOUT_MS, EVENT_TIMEOUT_FACTOR * expectedMs));
}
