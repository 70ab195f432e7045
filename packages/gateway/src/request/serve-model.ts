import {ClassRule, ConfigStore, ModelConfig, Team, WorkClass} from '@radishgw/config';
import {
  AnswerMemory,
  AttemptId,
  call,
  Clock,
  EventLog,
  Procedure,
  RandomSource,
  TargetId,
  toId,
} from '@radishgw/core';
import {Dispatcher as HttpDispatcher} from 'undici';
import {TokenUsage} from '../engine/completion.js';
import {cancelAttempt, EngineError, runEngineStream} from '../engine/engine-stream.js';
import {describeCause} from '../target-faults.js';
import {
  estimatePromptTokens,
  ModelRequestPath,
  parseModelRequest,
  readBody,
  reserveDecoded,
} from './body.js';
import {CompletionRelay} from './completion-relay.js';
import {RequestContext} from './context.js';
import {refuseKeyInText} from './headers.js';
import {
  AttemptOutcome,
  Dispatch,
  Dispatcher,
  DispatchRequest,
  FailureKind,
  RequestLimiter,
} from './ports.js';
import {hashPromptBlocks} from './prompt-blocks.js';
import {Refusal} from './refusal.js';

/** Dependencies of {@link serveModel}. */
export interface ModelServices {
  readonly clock: Clock;
  readonly config: ConfigStore;
  readonly limiter: RequestLimiter;
  readonly dispatcher: Dispatcher;
  readonly http: HttpDispatcher;
  readonly log: EventLog;
  readonly random: RandomSource;
  readonly answerMemory: AnswerMemory;
  readonly maxBodyBytes: number;
  readonly progressTimeoutMs: number;
  /** Records usage of a finished request. */
  recordUsage(context: RequestContext, usage: TokenUsage): void;
}

const MAX_FAILED_RESUMES = 3;
const ATTEMPT_ID_BYTES = 12;
const MAX_ERROR_DETAIL_CHARS = 500;

/** Serves a chat or text completion, streaming or not. */
export function* serveModel(
  services: ModelServices,
  context: RequestContext,
  team: Team,
  secretHex: string,
  path: ModelRequestPath,
): Procedure<void> {
  const bytes = yield* call(() => readBody(context, services.maxBodyBytes));
  reserveDecoded(context, bytes);
  const request = parseModelRequest(path, bytes);
  context.resource = request.model;
  const model = findModel(services.config, team, request.model);
  context.workClass = selectWorkClass(team.parameters.classRules, context, {model: request.model});
  const promptTokens = estimatePromptTokens(bytes.length);
  const maxTokens = request.max_completion_tokens ?? request.max_tokens ?? model.maxOutputTokens;
  const buffer = services.answerMemory.open();
  context.response.once('close', () => buffer.resize(0));
  const relay = new CompletionRelay(context, path, request, maxTokens, promptTokens, buffer);
  const firstBody = relay.beginAttempt()!;
  refuseKeyInText(firstBody, secretHex, 'request body');
  const costTokens = promptTokens + maxTokens * (request.n ?? 1);
  const charge = yield* services.limiter.acquire(team, costTokens, context.deadlineMs);
  let actualTokens = 0;
  try {
    const usage = yield* completeWithRetries(services, context, path, relay, firstBody, {
      requestId: context.requestId,
      pool: model.pool,
      team,
      workClass: context.workClass,
      costTokens,
      promptTokens,
      blocks: hashPromptBlocks(team.teamId, bytes.toString('latin1')),
      repeatable: true,
      deadlineMs: context.deadlineMs,
      excluded: new Set(),
    });
    actualTokens = usage.promptTokens + usage.outputTokens;
    services.recordUsage(context, usage);
  } finally {
    charge.settle(actualTokens);
  }
}

function findModel(config: ConfigStore, team: Team, name: string): ModelConfig {
  const model = config.findModel(name);
  if (!model) throw new Refusal('modelNotFound', `model "${name}" does not exist`);
  if (!team.parameters.models.includes(name)) {
    throw new Refusal('modelNotAllowed', `team "${team.teamId}" may not use model "${name}"`);
  }
  return model;
}

/** Selects the work class of a request by the first matching rule of its team. */
export function selectWorkClass(
  rules: readonly ClassRule[],
  context: RequestContext,
  resource: {readonly model?: string; readonly route?: string},
): WorkClass {
  const work = context.request.headers['x-radishgw-work'];
  const rule = rules.find(
    candidate =>
      (candidate.model === undefined || candidate.model === resource.model) &&
      (candidate.route === undefined || candidate.route === resource.route) &&
      (candidate.work === undefined || candidate.work === work),
  );
  return rule?.class ?? 'standard';
}

function* completeWithRetries(
  services: ModelServices,
  context: RequestContext,
  path: ModelRequestPath,
  relay: CompletionRelay,
  firstBody: string,
  dispatchRequest: DispatchRequest,
): Procedure<TokenUsage> {
  const excluded = new Set<string>();
  let body: string | undefined = firstBody;
  for (;;) {
    const dispatch = yield* services.dispatcher.acquire({...dispatchRequest, excluded});
    context.targetId = toId<TargetId>(dispatch.target.targetId);
    context.attempts++;
    let outcome: AttemptOutcome = 'cancelled';
    let failure: FailureKind = 'failed';
    try {
      yield* runAttempt(services, context, path, relay, body, dispatch);
      outcome = 'succeeded';
      return relay.finish();
    } catch (error) {
      if (context.signal.aborted || !(error instanceof EngineError)) throw error;
      outcome = 'failed';
      if (!error.mayHaveRun) failure = 'unreachable';
      excluded.add(dispatch.target.targetId);
      services.log.write('attemptFailed', {
        requestId: context.requestId,
        targetId: dispatch.target.targetId,
        detail: error.message,
        cause: describeCause(error),
      });
      if (relay.isFullyDelivered()) return relay.finish();
      if (isInvalidRequest(error)) throw createInvalidRequestRefusal(error);
      body = relay.beginAttempt();
      // An attempt that wasn't run costs no engine time, so it doesn't count against the budget.
      const mayRetry =
        !error.mayHaveRun || services.dispatcher.allowRetry(dispatchRequest, context.attempts);
      if (body === undefined || !mayRetry) {
        throw new Refusal('targetFailed', `target failed: ${error.message}`);
      }
    } finally {
      dispatch.release(outcome, failure);
    }
  }
}

function* runAttempt(
  services: ModelServices,
  context: RequestContext,
  path: ModelRequestPath,
  relay: CompletionRelay,
  body: string,
  dispatch: Dispatch,
): Procedure<void> {
  const attemptId = toId<AttemptId>(services.random.nextHex(ATTEMPT_ID_BYTES));
  const mayHaveRunBefore = context.mayHaveRun;
  let isComplete = false;
  try {
    yield* call(() =>
      runEngineStream(services.http, {
        clock: services.clock,
        url: dispatch.target.url,
        path,
        attemptId,
        headers: {'content-type': 'application/json', 'x-radishgw-priority': context.workClass},
        body,
        signal: context.signal,
        progressTimeoutMs: services.progressTimeoutMs,
        maxFailedResumes: MAX_FAILED_RESUMES,
        onSent: () => {
          context.mayHaveRun = true;
        },
        onEvent: data => relay.add(data),
        onBatch: () => {
          dispatch.reportProgress(relay.outputTokens);
          return relay.flush();
        },
        onResume: (after, reason, cause) => {
          services.log.write('streamResumed', {
            requestId: context.requestId,
            after,
            reason,
            cause: cause?.message,
          });
        },
      }),
    );
    isComplete = true;
  } catch (error) {
    if (error instanceof EngineError && !error.mayHaveRun) context.mayHaveRun = mayHaveRunBefore;
    throw error;
  } finally {
    if (!isComplete && context.mayHaveRun) {
      const {http, progressTimeoutMs} = services;
      cancelAttempt(http, dispatch.target.url, attemptId, progressTimeoutMs).catch(() => undefined);
    }
  }
}

/** Whether the engine found the request invalid; other engines would reject it too. */
function isInvalidRequest(error: EngineError): boolean {
  return error.statusCode === 400 || error.statusCode === 413 || error.statusCode === 422;
}

function createInvalidRequestRefusal(error: EngineError): Refusal {
  const detail = (error.body ?? '').slice(0, MAX_ERROR_DETAIL_CHARS);
  return new Refusal('requestMalformed', `the engine refused the request: ${detail}`);
}
