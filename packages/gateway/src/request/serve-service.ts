import {pipeline} from 'node:stream/promises';
import {RouteConfig, TargetConfig, Team} from '@radishgw/config';
import {call, EventLog, Procedure, TargetId, toId} from '@radishgw/core';
import {Client, Dispatcher as HttpDispatcher} from 'undici';
import {readBody} from './body.js';
import {RequestContext} from './context.js';
import {forwardHeaders, forwardPath} from './headers.js';
import {AttemptOutcome, Dispatcher, RequestLimiter} from './ports.js';
import {Refusal} from './refusal.js';
import {chooseClass} from './serve-model.js';

/** What serving a service call needs. */
export interface ServiceServices {
  readonly limiter: RequestLimiter;
  readonly dispatcher: Dispatcher;
  readonly http: HttpDispatcher;
  readonly log: EventLog;
  readonly maxBodyBytes: number;
}

/** A call as it goes to a target. */
interface OutgoingCall {
  readonly method: HttpDispatcher.HttpMethod;
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: Buffer;
  readonly signal: AbortSignal;
}

const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Passes a call on to a plain service. */
export function* serveService(
  services: ServiceServices,
  context: RequestContext,
  route: RouteConfig,
  team: Team | undefined,
  secretHex: string | undefined,
): Procedure<void> {
  context.resource = route.routeId;
  if (team && !team.parameters.routes.includes(route.routeId)) {
    throw new Refusal('modelNotAllowed', `team "${team.teamId}" may not use this route`);
  }
  if (team) {
    context.workClass = chooseClass(team.parameters.classRules, context, {route: route.routeId});
  }
  const body = yield* call(() => readBody(context.request, services.maxBodyBytes));
  const charge = team
    ? yield* services.limiter.acquire(team, route.costTokens, context.deadlineMs)
    : undefined;
  try {
    yield* attemptService(services, context, route, team, {
      method: route.method,
      path: forwardPath(context.request.url ?? '/', secretHex),
      headers: forwardHeaders(context.request.headers, secretHex),
      body,
      signal: context.signal,
    });
  } finally {
    charge?.settle(route.costTokens);
  }
}

function* attemptService(
  services: ServiceServices,
  context: RequestContext,
  route: RouteConfig,
  team: Team | undefined,
  outgoing: OutgoingCall,
): Procedure<void> {
  const excluded = new Set<string>();
  for (;;) {
    const dispatch = yield* services.dispatcher.acquire({
      requestId: context.requestId,
      pool: route.pool,
      team,
      workClass: context.workClass,
      costTokens: route.costTokens,
      promptTokens: 0,
      prefixHashes: [],
      repeatable: route.idempotent,
      deadlineMs: context.deadlineMs,
      excluded,
    });
    const {target} = dispatch;
    context.targetId = toId<TargetId>(target.targetId);
    context.attempts++;
    let outcome: AttemptOutcome = 'failed';
    try {
      const send = route.idempotent ? sendPooled(services.http) : sendOnce;
      const notRun = yield* call(() => relayCall(context, target, outgoing, send));
      outcome = notRun ? 'failed' : 'succeeded';
      if (!notRun) return;
      throw new ServiceError('target refused the call', false);
    } catch (error) {
      if (!(error instanceof ServiceError) || context.response.headersSent) throw error;
      excluded.add(target.targetId);
      services.log.write('attemptFailed', {
        requestId: context.requestId,
        targetId: target.targetId,
        detail: error.message,
      });
      const mayRepeat = route.idempotent || !error.mayHaveRun;
      if (!mayRepeat || context.signal.aborted || !services.dispatcher.allowRetry()) {
        throw new Refusal(
          error.mayHaveRun ? 'outcomeUnknown' : 'targetFailed',
          `target failed: ${error.message}`,
          error.mayHaveRun ? 'unknown' : 'not_run',
        );
      }
    } finally {
      dispatch.release(outcome);
    }
  }
}

/** Failure of a call to a service. */
class ServiceError extends Error {
  constructor(
    message: string,
    /** False only if no byte was sent or the target said that it didn't run the call. */
    readonly mayHaveRun: boolean,
  ) {
    super(message);
  }
}

type Send = (url: URL, outgoing: OutgoingCall) => Promise<HttpDispatcher.ResponseData>;

function sendPooled(http: HttpDispatcher): Send {
  return (url, outgoing) => http.request({origin: url.origin, ...outgoing});
}

/**
 * Sends on a connection of its own. A pooled connection that the target closes at the same moment
 * leaves it unknown whether the call was run.
 */
async function sendOnce(url: URL, outgoing: OutgoingCall): Promise<HttpDispatcher.ResponseData> {
  const client = new Client(url.origin, {pipelining: 0});
  const response = await client.request(outgoing).catch(error => {
    client.destroy().catch(() => undefined);
    throw error;
  });
  response.body.once('close', () => client.destroy().catch(() => undefined));
  return response;
}

/** Relays one call and its answer; returns true when the target said that it didn't run it. */
async function relayCall(
  context: RequestContext,
  target: TargetConfig,
  outgoing: OutgoingCall,
  send: Send,
): Promise<boolean> {
  let response: HttpDispatcher.ResponseData;
  try {
    response = await send(new URL(target.url), outgoing);
  } catch (error) {
    const code = (error as {code?: string}).code ?? '';
    throw new ServiceError((error as Error).message, !NOT_SENT_CODES.has(code));
  }
  if (response.headers['x-radishgw-execution'] === 'not_run') {
    await response.body.dump();
    return true;
  }
  const {connection: _, 'keep-alive': __, 'transfer-encoding': ___, ...headers} = response.headers;
  void [_, __, ___];
  context.firstByteMs = performance.now();
  context.response.writeHead(response.statusCode, headers);
  await pipeline(response.body, context.response);
  return false;
}
