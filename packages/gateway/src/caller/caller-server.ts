import {createServer as createHttpServer, IncomingMessage, ServerResponse} from 'node:http';
import {createServer as createHttpsServer, Server as HttpsServer} from 'node:https';
import {Server as NetServer, Socket} from 'node:net';
import {Duplex} from 'node:stream';
import {RouteConfig} from '@radishgw/config';
import {
  abortResponse,
  ClientBounds,
  ClientGuard,
  deriveClientBounds,
  EffectHandlers,
  GuardedRequest,
  RequestId,
  startTask,
  toId,
} from '@radishgw/core';
import findMyWay from 'find-my-way';
import {DecisionLog} from '../operator/decision-log.js';
import {Metrics} from '../operator/metrics.js';
import {parseDeadlineMs} from '../request/caller-headers.js';
import {createMemoryRefusal} from '../request/body.js';
import {AbortReason, RequestContext} from '../request/context.js';
import {Refusal} from '../request/refusal.js';
import {
  createRefusingEndpoint,
  createRouteEndpoint,
  Endpoint,
  EndpointServices,
  FIXED_ENDPOINTS,
} from './endpoints.js';
import {sendRefusal} from './errors.js';
import {InFlightLimiter} from './in-flight-limiter.js';
import {refuseConnect, sendParserError} from './parser-errors.js';
import {readTlsFiles, TlsFiles} from './tls.js';

/** Dependencies and settings of the {@link CallerServer}. */
export interface CallerServices extends EndpointServices {
  readonly handlers: EffectHandlers;
  readonly metrics: Metrics;
  readonly decisions: DecisionLog;
  readonly maxInFlight: number;
  /** Bounds of what is held for callers; the default ones if undefined. */
  readonly clientBounds?: ClientBounds;
  readonly defaultDeadlineMs: number;
  /** Time in which a complete request must arrive, in milliseconds. */
  readonly requestTimeoutMs: number;
  /** TLS towards callers; plain HTTP if undefined. */
  readonly tls: TlsFiles | undefined;
}

const REQUEST_ID_BYTES = 12;
export const MAX_HEADER_BYTES = 32_768;
/** Node.js checks for timeouts at this interval, so they may fire this much late. */
const TIMEOUT_CHECK_MS = 1000;
/** Time for which a stopping host still serves requests that arrive on open connections. */
const KEEP_ALIVE_GRACE_MS = 500;
/** Time in which an aborted response must be flushed before its connection is closed. */
const DRAIN_TIMEOUT_MS = 1000;

const refuseUnknownRoute = createRefusingEndpoint(
  path => new Refusal('routeNotFound', `no route for ${path}`),
);
const refuseExpectation = createRefusingEndpoint(
  () => new Refusal('requestMalformed', 'header expect: only "100-continue" is supported'),
);
const refuseMalformedUrl = createRefusingEndpoint(
  path => new Refusal('requestMalformed', `request target is malformed: ${path}`),
);

interface ActiveRequest {
  readonly context: RequestContext;
  abort(reason: AbortReason): void;
}

/** HTTP server for callers. */
export class CallerServer {
  readonly server: ReturnType<typeof createHttpServer> | HttpsServer;
  /** Bounds what is held for callers. */
  readonly guard: ClientGuard;
  private readonly inFlight: InFlightLimiter;
  private readonly active = new Set<ActiveRequest>();
  private readonly closeCallbacks = new WeakMap<Socket, Set<() => void>>();
  /** The response to the latest request on each connection. */
  private readonly latestResponses = new WeakMap<Socket, ServerResponse>();
  private router!: findMyWay.Instance<findMyWay.HTTPVersion.V1>;
  private routerConfig: readonly RouteConfig[] | undefined;
  private stopping = false;

  constructor(private readonly services: CallerServices) {
    this.inFlight = new InFlightLimiter(services.maxInFlight);
    this.buildRouter();
    const options = {
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: services.requestTimeoutMs,
      requestTimeout: services.requestTimeoutMs,
      connectionsCheckingInterval: Math.min(TIMEOUT_CHECK_MS, services.requestTimeoutMs),
    };
    const {tls} = services;
    this.server = tls
      ? createHttpsServer({...options, ...readTlsFiles(tls)})
      : createHttpServer(options);
    this.guard = new ClientGuard({
      server: this.server,
      bounds: services.clientBounds ?? deriveClientBounds(),
      clock: services.clock,
      onFault: (fault, isFirst) => {
        services.metrics.count('radishgw_client_faults_total', {fault});
        if (isFirst) services.log.write('clientLimited', {fault});
      },
    });
    // Later than the timeout of requests, which are answered then.
    this.guard.setAnswerTimeout(services.requestTimeoutMs + 2 * TIMEOUT_CHECK_MS);
    const route = (request: IncomingMessage, response: ServerResponse) => {
      this.route(request, response);
    };
    this.server.on('request', route);
    // The endpoint sends "100 Continue" itself when it is about to read the body.
    this.server.on('checkContinue', route);
    this.server.on('checkExpectation', (request, response) => {
      this.serve(request, response, refuseExpectation);
    });
    this.server.on('connect', (_request, socket: Duplex) => refuseConnect(socket));
    this.server.on('clientError', (error, socket) => this.handleParserError(error, socket));
  }

  getInFlight(): number {
    return this.inFlight.getTotal();
  }

  /** Reloads the certificate for new connections; throws and keeps the old one if it is invalid. */
  reloadTls(): void {
    const {tls} = this.services;
    if (tls) (this.server as HttpsServer).setSecureContext(readTlsFiles(tls));
  }

  /**
   * Stops gracefully: accepts no new connections, serves requests on open ones for a short time
   * with `connection: close`, and waits up to `timeoutMs` milliseconds for requests in flight.
   * Idle connections are closed at the end, as Node.js 20 counts those as idle whose responses still
   * wait for their callers to read them.
   */
  async stop(timeoutMs: number): Promise<void> {
    this.stopping = true;
    // Node's HTTP `close` would close idle connections at once, when a request may be on its way.
    NetServer.prototype.close.call(this.server);
    for (const {context} of this.active) {
      const {request, response} = context;
      if (this.latestResponses.get(request.socket) === response) setConnectionClose(response);
    }
    const {clock} = this.services;
    await new Promise<void>(resolve => clock.setTimer(KEEP_ALIVE_GRACE_MS, resolve));
    const timer = clock.setTimer(timeoutMs, () => {
      for (const request of [...this.active]) request.abort('shutdown');
      clock.setTimer(DRAIN_TIMEOUT_MS, () => this.server.closeAllConnections());
    });
    await this.inFlight.waitUntilIdle();
    timer.cancel();
    this.server.closeAllConnections();
  }

  private route(request: IncomingMessage, response: ServerResponse): void {
    if (this.routerConfig !== this.services.config.getRoutes()) this.buildRouter();
    this.router.lookup(request, response);
  }

  private buildRouter(): void {
    const toHandler = (endpoint: Endpoint) => (request: unknown, response: unknown) => {
      this.serve(request as IncomingMessage, response as ServerResponse, endpoint);
    };
    const router = findMyWay({
      defaultRoute: toHandler(refuseUnknownRoute),
      onBadUrl: (_path, request, response) => toHandler(refuseMalformedUrl)(request, response),
    });
    const addRoute = (method: findMyWay.HTTPMethod, path: string, endpoint: Endpoint) => {
      router.on(method, path, (request, response) => {
        this.serve(request as IncomingMessage, response as ServerResponse, endpoint);
      });
    };
    for (const {method, path, endpoint} of FIXED_ENDPOINTS) addRoute(method, path, endpoint);
    this.routerConfig = this.services.config.getRoutes();
    for (const route of this.routerConfig)
      addRoute(route.method, route.path, createRouteEndpoint(route));
    this.router = router;
  }

  private serve(request: IncomingMessage, response: ServerResponse, endpoint: Endpoint): void {
    if (!this.recordLatest(request.socket, response)) return;
    const guarded = this.guard.begin(request, response);
    if (!guarded) return;
    const controller = new AbortController();
    const {context, refusal} = this.createContext(request, response, guarded, controller.signal);
    if (!guarded.hasMemory) {
      this.finish(context, createMemoryRefusal());
      return;
    }
    if (!this.inFlight.tryAcquire()) {
      this.finish(context, this.inFlight.createRefusal());
      return;
    }
    const {clock, handlers} = this.services;
    let finished = false;
    const abort = (reason: AbortReason) => {
      if (controller.signal.aborted) return;
      controller.abort(reason);
      task.cancel();
      // A caller that doesn't read its response must not occupy an in-flight slot for longer.
      clock.setTimer(DRAIN_TIMEOUT_MS, () => {
        if (!response.destroyed) abortResponse(response);
      });
    };
    const active: ActiveRequest = {context, abort};
    this.active.add(active);
    const deadline = clock.setTimer(context.deadlineMs - clock.nowMs(), () => abort('deadline'));
    const closed = new Promise<void>(resolve => {
      const callbacks = this.getCloseCallbacks(request.socket);
      const onClose = () => {
        if (!callbacks.delete(onClose)) return;
        // A complete response may emit `close` a microtask before `finished` is set.
        const isComplete = finished || response.writableFinished;
        if (!isComplete && !context.continuesAfterDisconnect) abort('closed');
        resolve();
      };
      callbacks.add(onClose);
      response.once('close', onClose);
    });
    const run = refusal ? createRefusingEndpoint(() => refusal) : endpoint;
    const task = startTask(run(this.services, this.inFlight, context), handlers);
    const finish = (error: unknown) => {
      finished = true;
      this.finish(context, error);
    };
    const done = task.done.then(
      () => finish(controller.signal.aborted ? controller.signal : undefined),
      finish,
    );
    // A request is in flight until its response is fully sent, which may be after the work ends.
    void Promise.all([done, closed]).finally(() => {
      deadline.cancel();
      this.active.delete(active);
      if (context.team) this.inFlight.releaseTeam(context.team);
      this.inFlight.release();
    });
  }

  /**
   * Records the response to the latest request on a connection; only this one says that a stopping
   * server closes it, because Node.js closes the connection with the first response that does.
   * Returns false if an earlier response has said so already: the request must not be served.
   */
  private recordLatest(socket: Socket, response: ServerResponse): boolean {
    const earlier = this.latestResponses.get(socket);
    if (earlier && saysConnectionClose(earlier)) {
      if (earlier.headersSent) return false;
      earlier.removeHeader('connection');
    }
    this.latestResponses.set(socket, response);
    if (this.stopping) setConnectionClose(response);
    return true;
  }

  /**
   * Returns the callbacks that are called when a connection is closed. Node.js 20 emits `close` only
   * for the response that is being written, and not for those queued behind it.
   */
  private getCloseCallbacks(socket: Socket): Set<() => void> {
    const existing = this.closeCallbacks.get(socket);
    if (existing) return existing;
    const callbacks = new Set<() => void>();
    this.closeCallbacks.set(socket, callbacks);
    socket.once('close', () => {
      for (const callback of [...callbacks]) callback();
    });
    return callbacks;
  }

  private createContext(
    request: IncomingMessage,
    response: ServerResponse,
    guarded: GuardedRequest,
    signal: AbortSignal,
  ): {context: RequestContext; refusal: Refusal | undefined} {
    const {clock, random, defaultDeadlineMs} = this.services;
    let timeoutMs = defaultDeadlineMs;
    let refusal: Refusal | undefined;
    try {
      timeoutMs = parseDeadlineMs(request.headers) ?? defaultDeadlineMs;
    } catch (error) {
      refusal = error as Refusal;
    }
    const requestId = toId<RequestId>(random.nextHex(REQUEST_ID_BYTES));
    response.setHeader('x-request-id', requestId);
    const arrivedMs = clock.nowMs();
    const context: RequestContext = {
      requestId,
      request,
      response,
      guarded,
      arrivedMs,
      deadlineMs: arrivedMs + timeoutMs,
      signal,
      continuesAfterDisconnect: false,
      mayHaveRun: false,
      workClass: 'standard',
      resource: '',
      attempts: 0,
    };
    return {context, refusal};
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
      const refusal = toRefusal(context, error);
      sendRefusal(context.response, refusal, context.requestId);
      this.drainRequestBody(context);
      metrics.count('radishgw_refusals_total', {team: labels.team, code: refusal.kind.code});
      const {execution, message} = refusal;
      this.services.decisions.add({
        kind: 'refusal',
        subject: [context.requestId, labels.team],
        decision: refusal.kind.code,
        reason: {message, execution, attempts: context.attempts},
      });
      log.write('requestRefused', {...fields, code: refusal.kind.code, execution, detail: message});
      return;
    }
    const totalMs = clock.nowMs() - context.arrivedMs;
    metrics.count('radishgw_requests_total', labels);
    metrics.recordMs('radishgw_request_duration_ms', labels, totalMs);
    if (context.firstByteMs !== undefined) {
      const timeToFirstByteMs = context.firstByteMs - context.arrivedMs;
      metrics.recordMs('radishgw_first_token_ms', labels, timeToFirstByteMs);
    }
    log.write('requestFinished', {...fields, totalMs});
  }

  /**
   * Discards the rest of a refused request's body, so that the caller gets the refusal instead of a
   * connection reset. Closes the connection if the rest is too long.
   */
  private drainRequestBody({request, guarded}: RequestContext): void {
    if (request.complete || request.destroyed) return;
    let size = 0;
    request.on('error', () => undefined);
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      guarded.countDiscarded(chunk.length);
      if (size > this.services.maxBodyBytes) request.socket.destroy();
    });
    request.resume();
  }

  private handleParserError(error: Error, socket: Duplex): void {
    // The caller would take bytes written now for the response to an earlier request.
    const isAnswering = [...this.active].some(
      ({context}) => context.response.socket === socket && context.request.complete,
    );
    if (isAnswering) socket.destroy();
    else sendParserError(error, socket);
  }
}

function setConnectionClose(response: ServerResponse): void {
  if (!response.headersSent) response.setHeader('connection', 'close');
}

function saysConnectionClose(response: ServerResponse): boolean {
  return response.getHeader('connection') === 'close';
}

/** Converts an error to a refusal that says "not run" only if no attempt may have been run. */
function toRefusal(context: RequestContext, error: unknown): Refusal {
  const execution = context.mayHaveRun ? 'unknown' : 'not_run';
  const {reason} = context.signal as {reason?: AbortReason};
  if (context.signal.aborted && reason) return describeAbort(reason, execution);
  if (!(error instanceof Refusal)) {
    return new Refusal('targetFailed', (error as Error).message, execution);
  }
  if (error.execution === 'unknown' || execution === 'not_run') return error;
  return new Refusal(error.refusalName, error.message, execution, error.retryAfterMs);
}

function describeAbort(reason: AbortReason, execution: Refusal['execution']): Refusal {
  if (reason === 'deadline') return new Refusal('deadlineExceeded', 'deadline passed', execution);
  if (reason === 'shutdown') return new Refusal('shuttingDown', 'the host stops', execution);
  return new Refusal('outcomeUnknown', 'caller disconnected', execution);
}
