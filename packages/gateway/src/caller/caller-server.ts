import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {ConfigStore, RouteConfig} from '@radishgw/config';
import {
  Clock,
  EffectHandlers,
  EventLog,
  Procedure,
  RandomSource,
  RequestId,
  startTask,
  toId,
} from '@radishgw/core';
import findMyWay from 'find-my-way';
import {Metrics} from '../operator/metrics.js';
import {authenticate, Caller} from '../request/authenticate.js';
import {ModelRequestPath} from '../request/body.js';
import {RequestContext} from '../request/context.js';
import {Refusal} from '../request/refusal.js';
import {ModelServices, serveModel} from '../request/serve-model.js';
import {serveService, ServiceServices} from '../request/serve-service.js';
import {sendRefusal} from './errors.js';

/** What the callers' API needs. */
export interface CallerServices extends ModelServices, ServiceServices {
  readonly clock: Clock;
  readonly handlers: EffectHandlers;
  readonly config: ConfigStore;
  readonly log: EventLog;
  readonly random: RandomSource;
  readonly metrics: Metrics;
  readonly maxInFlight: number;
  readonly defaultDeadlineMs: number;
  /** Throws a refusal if requests with a key must not be served now. */
  checkFreshness(): void;
  /** Hosts to use, in order, for a team. */
  listEntryHosts(caller: Caller): EntryAnswer;
}

/** Answer of `GET /v1/entry`. */
export interface EntryAnswer {
  /** Base URLs in the order in which to try them. */
  readonly hosts: readonly string[];
  /** How long the answer may be kept, in milliseconds. */
  readonly maxAgeMs: number;
}

type Endpoint = (services: CallerServices, context: RequestContext) => Procedure<void>;

const REQUEST_ID_BYTES = 12;
const HEADERS_TIMEOUT_MS = 20_000;
const MAX_HEADER_BYTES = 32_768;

/** The server for callers, with the number of requests in flight. */
export class CallerServer {
  readonly server: Server;
  private inFlight = 0;
  private onIdle: (() => void) | undefined;
  private router!: findMyWay.Instance<findMyWay.HTTPVersion.V1>;
  private routesFrom: readonly RouteConfig[] | undefined;

  constructor(private readonly services: CallerServices) {
    this.buildRouter();
    this.server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: 0,
      },
      (request, response) => this.route(request, response),
    );
  }

  getInFlight(): number {
    return this.inFlight;
  }

  /** Resolves when no request is in flight. */
  waitUntilIdle(): Promise<void> {
    if (this.inFlight === 0) return Promise.resolve();
    return new Promise(resolve => {
      this.onIdle = resolve;
    });
  }

  private route(request: IncomingMessage, response: ServerResponse): void {
    if (this.routesFrom !== this.services.config.getRoutes()) this.buildRouter();
    this.router.lookup(request, response);
  }

  private buildRouter(): void {
    const router = findMyWay({
      defaultRoute: (request, response) => {
        this.serve(request as IncomingMessage, response as ServerResponse, refuseRoute);
      },
    });
    const add = (method: findMyWay.HTTPMethod, path: string, endpoint: Endpoint) => {
      router.on(method, path, (request, response) => {
        this.serve(request as IncomingMessage, response as ServerResponse, endpoint);
      });
    };
    for (const path of ['/v1/chat/completions', '/v1/completions'] as const) {
      add('POST', path, createModelEndpoint(path));
    }
    add('GET', '/v1/models', listModels);
    add('GET', '/v1/entry', answerEntry);
    this.routesFrom = this.services.config.getRoutes();
    for (const route of this.routesFrom) add(route.method, route.path, createRouteEndpoint(route));
    this.router = router;
  }

  private serve(request: IncomingMessage, response: ServerResponse, endpoint: Endpoint): void {
    const context = this.createContext(request, response);
    if (this.inFlight >= this.services.maxInFlight) {
      const message = `${this.services.maxInFlight} requests are in flight`;
      this.finish(context, new Refusal('tooManyRequestsInFlight', message));
      return;
    }
    this.inFlight++;
    const task = startTask(endpoint(this.services, context), this.services.handlers);
    task.done
      .then(
        () => this.finish(context, undefined),
        error => this.finish(context, error),
      )
      .finally(() => {
        this.inFlight--;
        if (this.inFlight === 0) this.onIdle?.();
      });
  }

  private createContext(request: IncomingMessage, response: ServerResponse): RequestContext {
    const {clock, random, defaultDeadlineMs} = this.services;
    const requestId = toId<RequestId>(random.nextHex(REQUEST_ID_BYTES));
    const header = Number(request.headers['x-radishgw-deadline-ms']);
    const deadlineMs = clock.nowMs() + (header > 0 ? header : defaultDeadlineMs);
    const abort = new AbortController();
    const timer = clock.setTimer(deadlineMs - clock.nowMs(), () => abort.abort('deadline'));
    response.once('close', () => {
      timer.cancel();
      abort.abort('closed');
    });
    response.setHeader('x-request-id', requestId);
    return {
      requestId,
      request,
      response,
      arrivedMs: clock.nowMs(),
      deadlineMs,
      signal: abort.signal,
      workClass: 'standard',
      resource: '',
      attempts: 0,
    };
  }

  private finish(context: RequestContext, error: unknown): void {
    const {clock, metrics, log} = this.services;
    const labels = {
      team: context.team?.teamId ?? 'open',
      class: context.workClass,
      resource: context.resource || 'none',
    };
    const fields = {
      requestId: context.requestId,
      ...labels,
      targetId: context.targetId,
      attempts: context.attempts,
    };
    if (error !== undefined) {
      const refusal = this.toRefusal(context, error);
      sendRefusal(context.response, refusal, context.requestId);
      metrics.count('radishgw_refusals_total', {team: labels.team, code: refusal.kind.code});
      log.write('requestRefused', {...fields, code: refusal.kind.code, detail: refusal.message});
      return;
    }
    const totalMs = clock.nowMs() - context.arrivedMs;
    metrics.count('radishgw_requests_total', labels);
    metrics.recordMs('radishgw_request_duration_ms', labels, totalMs);
    if (context.firstByteMs !== undefined) {
      const firstMs = context.firstByteMs - context.arrivedMs;
      metrics.recordMs('radishgw_first_token_ms', labels, firstMs);
    }
    log.write('requestFinished', {...fields, totalMs});
  }

  private toRefusal(context: RequestContext, error: unknown): Refusal {
    if (error instanceof Refusal) return error;
    const execution = context.attempts === 0 ? 'not_run' : 'unknown';
    if (context.signal.reason === 'deadline') {
      return new Refusal('deadlineExceeded', 'deadline passed', execution);
    }
    if (context.signal.aborted) {
      return new Refusal('outcomeUnknown', 'caller disconnected', execution);
    }
    return new Refusal('targetFailed', (error as Error).message, execution);
  }
}

// eslint-disable-next-line require-yield
function* refuseRoute(_services: CallerServices, context: RequestContext): Procedure<void> {
  const {method, url} = context.request;
  throw new Refusal('routeNotFound', `no route for ${method} ${url?.split('?')[0]}`);
}

function authenticateRequest(services: CallerServices, context: RequestContext): Caller {
  services.checkFreshness();
  const caller = authenticate(services.config, context.request.headers);
  context.team = caller.team;
  return caller;
}

function createModelEndpoint(path: ModelRequestPath): Endpoint {
  return function* (services, context) {
    const caller = authenticateRequest(services, context);
    yield* serveModel(services, context, caller.team, path);
  };
}

function createRouteEndpoint(route: RouteConfig): Endpoint {
  return function* (services, context) {
    if (route.access === 'open') {
      yield* serveService(services, context, route, undefined, undefined);
      return;
    }
    const caller = authenticateRequest(services, context);
    yield* serveService(services, context, route, caller.team, caller.secretHex);
  };
}

// eslint-disable-next-line require-yield
function* listModels(services: CallerServices, context: RequestContext): Procedure<void> {
  const caller = authenticateRequest(services, context);
  const data = caller.team.parameters.models
    .filter(model => services.config.findModel(model))
    .map(id => ({id, object: 'model', created: 0, owned_by: 'radishgw'}));
  sendJson(context.response, {object: 'list', data});
}

// eslint-disable-next-line require-yield
function* answerEntry(services: CallerServices, context: RequestContext): Procedure<void> {
  const caller = authenticateRequest(services, context);
  const answer = services.listEntryHosts(caller);
  sendJson(context.response, {hosts: answer.hosts, max_age_ms: answer.maxAgeMs});
}

function sendJson(response: ServerResponse, body: unknown): void {
  const text = JSON.stringify(body);
  response.writeHead(200, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
