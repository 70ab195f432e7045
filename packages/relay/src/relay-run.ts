import {call, Procedure} from '@radishgw/core';
import {EventSplitter, StreamEvent} from './events.js';
import {RunEnd, StreamState} from './stream-state.js';
import {findAnswerFault, readWholeAnswer, statesNotRun} from './target-answer.js';
import {AttemptEvent} from './target-connections.js';
import {PooledAttempt} from './target-pool.js';
import {recordLoad} from './target-state.js';

/** A stream that may be continued is moved after this multiple of its expected or allowed wait. */
const SILENCE_FACTOR = 3;

/** Least silence before a stream is moved: shorter ones come from full engines. */
const MIN_SILENCE_MS = 1000;

/** Waits for the head of a run and forwards its events to the client. */
export function* relayRun(
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

function longestSilenceMs(state: StreamState, hasEvents: boolean, waitMs: number): number {
  const {route, endMs} = state.request;
  const leftMs = Math.max(1, endMs - state.parts.clock.nowMs());
  if (!state.mayRepeat) return leftMs;
  const usualMs = hasEvents ? route.maxGapMs : Math.max(waitMs, route.objectiveMs);
  return Math.min(leftMs, Math.max(MIN_SILENCE_MS, SILENCE_FACTOR * usualMs));
}
