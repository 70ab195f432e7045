import {Procedure, TargetId} from '@radishgw/core';
import {recordRequest} from './attempt-budget.js';
import {AdmittedRequest, RelayParts} from './request-context.js';
import {mayTryAgain, ServeOutcome} from './serve-outcome.js';
import {placeRequest} from './service-placement.js';
import {findAnswerFault, readWholeAnswer, statesNotRun, WholeAnswer} from './target-answer.js';
import {PooledAttempt} from './target-pool.js';
import {writeTargetRequest} from './target-request.js';
import {recordLoad} from './target-state.js';

/** A call that may be repeated is tried elsewhere after this multiple of its objective. */
const SILENCE_OBJECTIVES = 2;

/** Least silence before a call is tried elsewhere: most calls are slow rather than lost. */
const MIN_SILENCE_MS = 600;

/** First status of a target's own failures. */
const SERVER_ERROR = 500;

/** Serves a request to a plain service: one whole answer. */
export function* serveCall(parts: RelayParts, request: AdmittedRequest): Procedure<ServeOutcome> {
  const tried = new Set<TargetId>();
  const {progress, route, service} = request;
  const mayRepeat = route.kind === 'safe';
  recordRequest(parts.extraAttempts.get(service)!, parts.clock.nowMs());
  for (;;) {
    const nowMs = parts.clock.nowMs();
    const target = placeRequest(parts.targets.forService(service), tried, nowMs, parts.random);
    if (!target)
      return {type: 'refused', refusal: progress.mayHaveRun ? 'outcomeUnknown' : 'noTarget'};
    tried.add(target.entry.id);
    const before = progress.mayHaveRun;
    progress.mayHaveRun = true;
    progress.attempts++;
    const sent = parts.targets.send(target, writeTargetRequest(parts, request, target), mayRepeat);
    let step: AnswerStep;
    try {
      const silence = silenceMs(parts, request);
      step = judgeAnswer(
        parts,
        request,
        sent,
        yield* readWholeAnswer(sent.attempt, parts.codec, silence),
      );
    } finally {
      // A client that left cancels the procedure; otherwise the outcome was recorded before.
      sent.finish('cancelled');
    }
    progress.steps.push(`${target.entry.id}:${step.note}`);
    if (step.type === 'final') return {...step.answer, type: 'answered'};
    if (!step.mayHaveRun) {
      progress.mayHaveRun = before;
      progress.attempts--;
    }
    const isFree = step.type === 'unsent';
    if (!mayTryAgain(parts, request, mayRepeat, isFree)) {
      if (step.fallback) return {...step.fallback, type: 'answered'};
      return {
        type: 'refused',
        refusal: progress.mayHaveRun ? 'outcomeUnknown' : isFree ? 'noTarget' : 'overloaded',
      };
    }
  }
}

interface FinalAnswer {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

type AnswerStep =
  | {readonly type: 'final'; readonly note: string; readonly answer: FinalAnswer}
  | {
      readonly type: 'unsent' | 'again';
      readonly note: string;
      readonly mayHaveRun: boolean;
      /** Given to the client if there is no further attempt. */
      readonly fallback?: FinalAnswer;
    };

/** What an answer means for the request and for the target's health. */
function judgeAnswer(
  parts: RelayParts,
  request: AdmittedRequest,
  sent: PooledAttempt,
  answer: WholeAnswer,
): AnswerStep {
  if (answer.type === 'silent') {
    sent.finish('timeout');
    return {type: 'again', note: 'silent', mayHaveRun: true};
  }
  if (answer.type === 'failed') {
    sent.finish(answer.wasSent ? 'failed' : 'unreachable');
    const type = answer.wasSent ? 'again' : 'unsent';
    return {type, note: answer.detail, mayHaveRun: answer.wasSent};
  }
  const {meta, status} = answer;
  const fault = findAnswerFault(status, meta, request.meta.requestId);
  if (fault) {
    sent.finish('failed');
    return {type: 'again', note: fault, mayHaveRun: true};
  }
  if (meta.load) recordLoad(sent.target, meta.load, parts.clock.nowMs());
  if (statesNotRun(status, meta)) {
    sent.finish(status === 421 ? 'unreachable' : 'failed');
    return {type: 'again', note: `not run (${status})`, mayHaveRun: false};
  }
  countUsageOnce(parts, request);
  if (status >= SERVER_ERROR && request.route.kind === 'safe') {
    sent.finish('failed');
    return {type: 'again', note: `status ${status}`, mayHaveRun: true, fallback: answer};
  }
  sent.finish('finished');
  return {type: 'final', note: `status ${status}`, answer};
}

function countUsageOnce(parts: RelayParts, {team, progress}: AdmittedRequest): void {
  if (!team || progress.hasCountedUsage) return;
  progress.hasCountedUsage = true;
  parts.countUsage(team.id);
}

function silenceMs(parts: RelayParts, request: AdmittedRequest): number {
  const leftMs = Math.max(1, request.endMs - parts.clock.nowMs());
  const {route, progress} = request;
  if (route.kind !== 'safe' || progress.attempts >= route.maxAttempts) return leftMs;
  return Math.min(leftMs, Math.max(MIN_SILENCE_MS, SILENCE_OBJECTIVES * route.objectiveMs));
}
