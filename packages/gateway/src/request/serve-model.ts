import {once} from 'node:events';
import {ServerResponse} from 'node:http';
import {ClassRule, ConfigStore, ModelConfig, Team, WorkClass} from '@radishgw/config';
import {AttemptId, call, EventLog, Procedure, RandomSource, TargetId, toId} from '@radishgw/core';
import {Dispatcher as HttpDispatcher} from 'undici';
import {AnswerBuilder, TokenUsage} from '../engine/answer.js';
import {cancelAttempt, EngineError, streamFromEngine} from '../engine/engine-stream.js';
import {
  estimatePromptTokens,
  MODEL_REQUEST_KINDS,
  ModelRequest,
  ModelRequestPath,
  parseModelRequest,
  readBody,
} from './body.js';
import {RequestContext} from './context.js';
import {AttemptOutcome, Dispatch, Dispatcher, DispatchRequest, RequestLimiter} from './ports.js';
import {Refusal} from './refusal.js';

/** What serving a model request needs. */
export interface ModelServices {
  readonly config: ConfigStore;
  readonly limiter: RequestLimiter;
  readonly dispatcher: Dispatcher;
  readonly http: HttpDispatcher;
  readonly log: EventLog;
  readonly random: RandomSource;
  readonly maxBodyBytes: number;
  readonly progressTimeoutMs: number;
  /** Records usage of a finished request. */
  recordUsage(context: RequestContext, usage: TokenUsage): void;
}

const MAX_SILENT_RESUMES = 3;
const ATTEMPT_ID_BYTES = 12;

/** Serves a chat or text completion, streaming or not. */
export function* serveModel(
  services: ModelServices,
  context: RequestContext,
  team: Team,
  path: ModelRequestPath,
): Procedure<void> {
  const bytes = yield* call(() => readBody(context.request, services.maxBodyBytes));
  const request = parseModelRequest(path, bytes);
  context.resource = request.model;
  const model = findModel(services.config, team, request.model);
  context.workClass = chooseClass(team.parameters.classRules, context, {model: request.model});
  const promptTokens = estimatePromptTokens(bytes.length);
  const outputTokens = boundOutput(request, model);
  const costTokens = promptTokens + outputTokens;
  const charge = yield* services.limiter.acquire(team, costTokens, context.deadlineMs);
  let actualTokens = 0;
  try {
    const usage = yield* attemptUntilWhole(services, context, path, request, {
      requestId: context.requestId,
      pool: model.pool,
      team,
      workClass: context.workClass,
      costTokens,
      promptTokens,
      prefixHashes: [],
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

/** Class of a request by the first matching rule of its team. */
export function chooseClass(
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

function boundOutput(request: ModelRequest, model: ModelConfig): number {
  const wanted = request.max_completion_tokens ?? request.max_tokens ?? model.maxOutputTokens;
  return wanted * (request.n ?? 1);
}

function* attemptUntilWhole(
  services: ModelServices,
  context: RequestContext,
  path: ModelRequestPath,
  request: ModelRequest,
  dispatchRequest: DispatchRequest,
): Procedure<TokenUsage> {
  const excluded = new Set<string>();
  let mayHaveRun = false;
  for (;;) {
    const dispatch = yield* services.dispatcher.acquire({...dispatchRequest, excluded});
    context.targetId = toId<TargetId>(dispatch.target.targetId);
    context.attempts++;
    let outcome: AttemptOutcome = 'cancelled';
    try {
      const usage = yield* runAttempt(services, context, path, request, dispatch);
      outcome = 'succeeded';
      return usage;
    } catch (error) {
      if (context.signal.aborted || !(error instanceof EngineError)) throw error;
      outcome = 'failed';
      mayHaveRun ||= error.mayHaveRun;
      excluded.add(dispatch.target.targetId);
      services.log.write('attemptFailed', {
        requestId: context.requestId,
        targetId: dispatch.target.targetId,
        detail: error.message,
      });
      const answered = context.firstByteMs !== undefined;
      if (answered || !services.dispatcher.allowRetry()) {
        const execution = mayHaveRun ? 'unknown' : 'not_run';
        throw new Refusal('targetFailed', `target failed: ${error.message}`, execution);
      }
    } finally {
      dispatch.release(outcome);
    }
  }
}

function* runAttempt(
  services: ModelServices,
  context: RequestContext,
  path: ModelRequestPath,
  request: ModelRequest,
  dispatch: Dispatch,
): Procedure<TokenUsage> {
  const attemptId = toId<AttemptId>(services.random.nextHex(ATTEMPT_ID_BYTES));
  const builder = new AnswerBuilder(MODEL_REQUEST_KINDS[path].answerKind);
  const events = streamFromEngine(services.http, {
    url: dispatch.target.url,
    path,
    attemptId,
    headers: {'content-type': 'application/json', 'x-radishgw-priority': context.workClass},
    body: JSON.stringify({
      ...request,
      stream: true,
      stream_options: {...request.stream_options, include_usage: true},
    }),
    signal: context.signal,
    progressTimeoutMs: services.progressTimeoutMs,
    maxSilentResumes: MAX_SILENT_RESUMES,
    onResume: (after, reason) => {
      services.log.write('streamResumed', {requestId: context.requestId, after, reason});
    },
  });
  let whole = false;
  let outputTokens = 0;
  try {
    for (;;) {
      const next = yield* call(() => events.next());
      if (next.done) throw new EngineError('answer ended early', true);
      const {data} = next.value;
      if (data === '[DONE]') break;
      outputTokens += builder.add(data);
      dispatch.reportProgress(outputTokens);
      context.firstByteMs ??= request.stream ? performance.now() : undefined;
      if (request.stream && isWantedChunk(request, data)) {
        yield* writeChunk(context.response, data);
      }
    }
    whole = true;
    finishAnswer(context, request, builder);
  } finally {
    if (!whole) {
      events.return().catch(() => undefined);
      cancelAttempt(services.http, dispatch.target.url, attemptId).catch(() => undefined);
    }
  }
  return builder.getUsage() ?? {promptTokens: 0, outputTokens};
}

/** The usage chunk is asked for by the host; it goes to the caller only if the caller asked too. */
function isWantedChunk(request: ModelRequest, data: string): boolean {
  return request.stream_options?.include_usage === true || !data.includes('"choices":[]');
}

function* writeChunk(response: ServerResponse, data: string): Procedure<void> {
  startStream(response);
  if (!response.write(`data: ${data}\n\n`)) {
    yield* call(() => Promise.race([once(response, 'drain'), once(response, 'close')]));
  }
}

function startStream(response: ServerResponse): void {
  if (response.headersSent) return;
  response.writeHead(200, {
    'content-type': 'text/event-stream; charset=utf-8',
    'cache-control': 'no-cache',
  });
}

function finishAnswer(context: RequestContext, request: ModelRequest, builder: AnswerBuilder) {
  const {response} = context;
  if (request.stream) {
    startStream(response);
    response.end('data: [DONE]\n\n');
    return;
  }
  context.firstByteMs = performance.now();
  const text = JSON.stringify(builder.build());
  response.writeHead(200, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
