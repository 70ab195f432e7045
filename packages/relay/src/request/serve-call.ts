import {call, Procedure, TargetId} from '@radishgw/core';
import {recordRequest} from './attempt-budget.js';
import {RefusalName} from './refusals.js';
import {AdmittedRequest, recordStep, RelayDependencies} from './request-context.js';
import {mayRetry, ServeOutcome} from './serve-outcome.js';
import {
  CallExpectation,
  CallPlacement,
  placeCallByWork,
  recordCall,
  recordCallSent,
} from '../placing/call-work-placement.js';
import {CallKinds, kindsOf} from '../placing/cost-model.js';
import {placeRequest} from '../placing/service-placement.js';
import {
  AnswerCollector,
  findAnswerFault,
  mayPassOn,
  MISDIRECTED_REQUEST_STATUS,
  refusalOutcome,
  SILENCE_CHECK_MS,
  statesNotRun,
  CompleteAnswer,
} from '../targets/target-answer.js';
import {waitForEvent} from '../targets/target-connections.js';
import {PooledAttempt, PooledTarget} from '../targets/target-pool.js';
import {awaitLossChecks, checkLoss, mayRun, recordWholeRun} from './suspect-runs.js';
import {sendToTarget, writeTargetRequest} from './target-request.js';
import {recordLoad} from '../targets/target-state.js';
import {waitForTarget} from './wait-for-target.js';

/** Multiple of its objective after which a repeatable call is retried at another target. */
const TIMEOUT_OBJECTIVE_FACTOR = 2;

/** Minimum timeout before a retry: most calls are slow rather than lost. */
const MIN_ATTEMPT_TIMEOUT_MS = 600;

/** Time for which a sound target may be silent; a target's error waits so long for the others. */
const SOUND_SILENCE_MS = 1000;

/** Time before its deadline at which a call is answered with a target's error. */
const FALLBACK_MARGIN_MS = 50;

/** Refusals and errors say nothing of the cost of a call. */
const MIN_UNSUCCESSFUL_STATUS = 300;

const MIN_SERVER_ERROR_STATUS = 500;

/** An attempt of a call that hasn't ended. */
interface CallAttempt {
  readonly sent: PooledAttempt;
  readonly collector: AnswerCollector;
  readonly sentMs: number;
  /** What is expected of it; undefined if its target was chosen by slots. */
  readonly expectation: CallExpectation | undefined;
  /** Removes it from the outstanding work of its target. */
  readonly removeWork: () => void;
  wasSilent: boolean;
}

/** State of a call across all of its attempts. */
interface CallState {
  readonly deps: RelayDependencies;
  readonly request: AdmittedRequest;
  readonly mayRepeat: boolean;
  /** Kinds by which the cost is estimated; undefined if the service is placed by slots. */
  readonly kinds: CallKinds | undefined;
  readonly tried: Set<TargetId>;
  /** More than one if a target was silent and another one was asked; the latest is the last one. */
  readonly attempts: Set<CallAttempt>;
  /** Time at which the target of the latest attempt counts as silent. */
  dueMs: number;
  /** Error of a target, sent to the client if no other attempt answers. */
  fallback: FinalAnswer | undefined;
  /** Time at which the fallback is sent if there is one. */
  fallbackAtMs: number;
  /** Why no attempt could be started, if the request hasn't run. */
  refusal: RefusalName;
}

/**
 * Serves a request whose answer is buffered completely before it is sent to the client. A silent
 * target isn't left before another one has answered.
 */
export function* serveCall(
  deps: RelayDependencies,
  request: AdmittedRequest,
): Procedure<ServeOutcome> {
  const {route, service, deadlineAtMs} = request;
  const mayRepeat = route.kind === 'safe';
  const attempts = new Set<CallAttempt>();
  const state: CallState = {
    deps,
    request,
    mayRepeat,
    kinds: findKinds(deps, request),
    tried: new Set(),
    attempts,
    dueMs: 0,
    fallback: undefined,
    fallbackAtMs: 0,
    refusal: 'noTarget',
  };
  recordRequest(deps.attemptBudgets.get(service)!, deps.attemptBudgetSettings, deps.clock.nowMs());
  try {
    if (!(yield* startAttempt(state))) return {type: 'refused', refusal: state.refusal};
    for (;;) {
      const result = takeResult(state);
      if (result?.type === 'final') return {...result.answer, type: 'answered'};
      if (result && mayRepeat) yield* awaitLossChecks(deps, request);
      const nowMs = deps.clock.nowMs();
      if (result) {
        state.fallback = result.fallback ?? state.fallback;
        const isUnsent = result.type === 'unsent';
        const hasTarget = attempts.size === 0 || findTarget(state) !== undefined;
        const isAllowed = hasTarget && mayRunNow(state);
        const mayStart = isAllowed && mayRetry(deps, request, {mayRepeat, isUnsent});
        if (mayStart && (yield* startAttempt(state))) continue;
        state.dueMs = Math.min(state.dueMs, nowMs + SILENCE_CHECK_MS);
        state.fallbackAtMs = Math.min(state.fallbackAtMs, nowMs + SOUND_SILENCE_MS);
        if (attempts.size > 0) continue;
        if (state.fallback) return {...state.fallback, type: 'answered'};
        const notRun = isUnsent || mayStart || !isAllowed ? state.refusal : 'overloaded';
        const refusal = request.progress.mayHaveRun ? 'outcomeUnknown' : notRun;
        return {type: 'refused', refusal};
      }
      if (state.fallback && nowMs >= state.fallbackAtMs) {
        return {...state.fallback, type: 'answered'};
      }
      if (nowMs >= deadlineAtMs) return {type: 'refused', refusal: 'deadlineExceeded'};
      if (nowMs >= state.dueMs) {
        if (!leaveSilent(state) || !(yield* startAttempt(state))) {
          state.dueMs = nowMs + SILENCE_CHECK_MS;
        }
        continue;
      }
      const fallbackAtMs = state.fallback ? state.fallbackAtMs : Infinity;
      const untilMs = Math.min(state.dueMs, deadlineAtMs, fallbackAtMs);
      const waiting = [...attempts].map(({sent}) => sent.attempt);
      yield* call(() => waitForEvent(deps.clock, waiting, untilMs - nowMs));
    }
  } finally {
    for (const {sent, removeWork} of attempts) {
      removeWork();
      sent.target.runs.delete(request.meta.requestId);
      sent.finish('cancelled');
    }
  }
}

/** Sends the request to another target; false if there is none. */
function* startAttempt(state: CallState): Procedure<boolean> {
  const {deps, request, tried, mayRepeat, attempts} = state;
  const {progress} = request;
  let placement = findPlacement(state);
  while (!placement) {
    if (!(yield* waitForTarget(deps, request, tried)) || !mayRunNow(state)) return false;
    placement = findPlacement(state);
  }
  const {target, expectation} = placement;
  tried.add(target.entry.id);
  progress.addRun(target.entry.id);
  const outgoing = writeTargetRequest(deps, request, target);
  const sentMs = deps.clock.nowMs();
  target.runs.set(request.meta.requestId, {identity: request.identity, sentMs});
  const sent = sendToTarget(deps, request, target, outgoing, mayRepeat);
  const removeWork = expectation
    ? recordCallSent(deps.work, target, expectation, sentMs)
    : () => undefined;
  const collector = new AnswerCollector();
  attempts.add({sent, collector, sentMs, expectation, removeWork, wasSilent: false});
  state.dueMs = deps.clock.nowMs() + attemptTimeoutMs(deps, request);
  state.fallbackAtMs = request.deadlineAtMs - FALLBACK_MARGIN_MS;
  return true;
}

function mayRunNow(state: CallState): boolean {
  if (mayRun(state.deps, state.request)) return true;
  state.refusal = 'quarantined';
  return false;
}

function findTarget(state: CallState): PooledTarget | undefined {
  return findPlacement(state)?.target;
}

function findPlacement({
  deps,
  request,
  kinds,
  tried,
}: CallState):
  (Pick<CallPlacement<PooledTarget>, 'target'> & Partial<CallPlacement<PooledTarget>>) | undefined {
  const targets = deps.targets.forService(request.service);
  const {work, random} = deps;
  const nowMs = deps.clock.nowMs();
  const context = {work, hostCount: deps.countHosts(), nowMs, random};
  const placement = kinds && placeCallByWork(targets, kinds, tried, context);
  if (placement) return placement;
  const target = placeRequest(targets, tried, nowMs, random);
  return target && {target};
}

/** The kinds of a call whose service is placed by work. */
function findKinds(
  deps: RelayDependencies,
  {service, route, team, exchange}: AdmittedRequest,
): CallKinds | undefined {
  if (!deps.work.isPlacedByWork(service)) return undefined;
  return kindsOf({
    service,
    route: route.name,
    pathPrefix: route.pathPrefix,
    path: exchange.path,
    bodyBytes: exchange.body.length,
    team: team?.id,
  });
}

/**
 * Whether another target is asked beside the silent one of the latest attempt; takes the extra
 * attempt.
 */
function leaveSilent(state: CallState): boolean {
  const {deps, request, mayRepeat, attempts} = state;
  if (!findTarget(state) || !mayRunNow(state)) return false;
  if (!mayRetry(deps, request, {mayRepeat})) return false;
  const latest = [...attempts].at(-1)!;
  recordStep(request, `${latest.sent.target.entry.id}:silent`);
  if (!latest.wasSilent) latest.sent.recordSilence();
  latest.wasSilent = true;
  return true;
}

/** Reads what has arrived; returns the result of the first attempt that has ended. */
function takeResult({
  deps,
  request,
  kinds,
  attempts,
  fallback,
}: CallState): AttemptResult | undefined {
  const mayBuffer = () => {
    let bytes = fallback?.body.length ?? 0;
    for (const {collector} of attempts) bytes += collector.bytes;
    return request.buffer.resize(bytes);
  };
  for (const attempt of attempts) {
    const {sent, collector} = attempt;
    for (let event = sent.attempt.take(); event; event = sent.attempt.take()) {
      const answer = collector.push(event, mayBuffer);
      if (!answer) continue;
      attempts.delete(attempt);
      attempt.removeWork();
      const result = classifyAnswer(deps, request, sent, answer);
      if (kinds && result.type === 'final' && result.answer.status < MIN_UNSUCCESSFUL_STATUS) {
        const nowMs = deps.clock.nowMs();
        const actualMs = nowMs - attempt.sentMs;
        recordCall(deps.work, sent.target, kinds, attempt.expectation, actualMs, nowMs);
        recordPlacement(request, attempt, actualMs);
      }
      sent.target.runs.delete(request.meta.requestId);
      recordStep(request, `${sent.target.entry.id}:${result.note}`);
      if (result.type !== 'final' && !result.mayHaveRun) {
        request.progress.withdrawRun(sent.target.entry.id);
      }
      return result;
    }
  }
  return undefined;
}

/** Records what was expected of a call and what it took, for the log. */
function recordPlacement(
  {progress}: AdmittedRequest,
  {sent, expectation}: CallAttempt,
  actualMs: number,
): void {
  if (!expectation) return;
  const {waitMs, workMs, timeFactor} = expectation;
  progress.placements.push({
    type: 'called',
    target: sent.target.entry.id,
    queueMs: Math.round(waitMs),
    expectedMs: Math.round(waitMs + workMs),
    actualMs: Math.round(actualMs),
    timeFactor: Number(timeFactor.toFixed(2)),
  });
}

interface FinalAnswer {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

type AttemptResult =
  | {readonly type: 'final'; readonly note: string; readonly answer: FinalAnswer}
  | {
      readonly type: 'unsent' | 'retry';
      readonly note: string;
      readonly mayHaveRun: boolean;
      /** Sent to the client if no other attempt answers. */
      readonly fallback?: FinalAnswer;
    };

/** Decides whether an answer is final and records the outcome for the target's health. */
function classifyAnswer(
  deps: RelayDependencies,
  request: AdmittedRequest,
  sent: PooledAttempt,
  answer: CompleteAnswer,
): AttemptResult {
  if (answer.type === 'silent') {
    sent.finish('timeout');
    return {type: 'retry', note: 'silent', mayHaveRun: true};
  }
  if (answer.type === 'failed') {
    if (answer.wasSent) checkLoss(deps, request, sent.target);
    sent.finish(answer.wasSent ? 'failed' : 'unreachable');
    const type = answer.wasSent ? 'retry' : 'unsent';
    return {type, note: answer.detail, mayHaveRun: answer.wasSent};
  }
  const {meta, status} = answer;
  const fault = findAnswerFault(status, meta, request.meta.requestId);
  if (fault) {
    sent.finish('failed');
    return {type: 'retry', note: fault, mayHaveRun: true};
  }
  if (meta.load) recordLoad(sent.target, meta.load, deps.clock.nowMs());
  deps.work.recordReport(sent.target);
  if (statesNotRun(status, meta)) {
    const isElsewhere = status === MISDIRECTED_REQUEST_STATUS;
    sent.finish(isElsewhere || meta.retryAfterMs !== undefined ? refusalOutcome(meta) : 'failed');
    return {type: 'retry', note: `not run (${status})`, mayHaveRun: false};
  }
  countUsageOnce(deps, request);
  if (status >= MIN_SERVER_ERROR_STATUS && request.route.kind === 'safe') {
    sent.finish('failed');
    const fallback = mayPassOn(status) ? answer : undefined;
    return {type: 'retry', note: `status ${status}`, mayHaveRun: true, fallback};
  }
  if (!mayPassOn(status)) {
    sent.finish('failed');
    return {type: 'retry', note: `status ${status}`, mayHaveRun: true};
  }
  sent.finish('finished');
  if (status < MIN_SERVER_ERROR_STATUS) {
    recordWholeRun(deps, request, sent.target, answer.framing);
  }
  return {type: 'final', note: `status ${status}`, answer};
}

function countUsageOnce(deps: RelayDependencies, {team, progress}: AdmittedRequest): void {
  if (!team || progress.hasCountedUsage) return;
  progress.hasCountedUsage = true;
  deps.countUsage(team.id);
}

function attemptTimeoutMs(deps: RelayDependencies, request: AdmittedRequest): number {
  const leftMs = Math.max(1, request.deadlineAtMs - deps.clock.nowMs());
  const {route, progress} = request;
  if (route.kind !== 'safe' || progress.targetCount >= route.maxAttempts) return leftMs;
  return Math.min(
    leftMs,
    Math.max(MIN_ATTEMPT_TIMEOUT_MS, TIMEOUT_OBJECTIVE_FACTOR * route.objectiveMs),
  );
}
