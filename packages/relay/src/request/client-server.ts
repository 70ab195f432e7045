import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {ClientGuard, createHandlers, deriveClientBounds, startTask} from '@radishgw/core';
import {ClientConnections} from './client-connections.js';
import {ClientExchange} from './client-exchange.js';
import {ClientLimits} from '../model.js';
import {RelayDependencies} from './request-context.js';
import {REFUSALS, writeRefusal} from './refusals.js';
import {findRoute} from '../route-table.js';
import {serveRequest} from './serve-request.js';

/** Limits in force until the first configuration is applied. */
const DEFAULT_LIMITS: ClientLimits = {
  headerBytes: 16_384,
  bodyBytes: 4 * 1024 * 1024,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};

/** Limit of the parser; the configured limit, which may change, is checked for each request. */
const MAX_PARSER_HEADER_BYTES = 128 * 1024;

/** Interval at which connections are checked for header timeouts. */
const HEADER_CHECK_INTERVAL_MS = 500;

/** Bytes that are read of a refused request, so that its client reads the refusal. */
const MAX_DISCARDED_BYTES = 1024 * 1024;

/** Refusals of requests whose body wasn't read, which haven't run. */
const READ_REFUSALS = {
  tooLarge: 'bodyTooLarge',
  noMemory: 'overloaded',
  timedOut: 'bodyTimeout',
} as const;

/** HTTP server for the requests of clients. */
export class ClientServer {
  readonly server: Server;
  private readonly handlers;
  /** Bounds what is held for clients. */
  readonly guard: ClientGuard;
  private readonly connections: ClientConnections;

  constructor(private readonly deps: RelayDependencies) {
    this.handlers = createHandlers(deps.clock);
    this.server = createServer(
      {
        maxHeaderSize: MAX_PARSER_HEADER_BYTES,
        connectionsCheckingInterval: HEADER_CHECK_INTERVAL_MS,
        requestTimeout: 0,
        noDelay: true,
      },
      (request, response) => void this.handle(request, response),
    );
    this.guard = new ClientGuard({
      server: this.server,
      bounds: deps.clientBounds ?? deriveClientBounds(),
      clock: deps.clock,
      onFault: (fault, isFirst) => {
        deps.metrics.count('client_faults_total', `fault="${fault}"`);
        if (isFirst) deps.log.write('clientLimited', {fault});
      },
    });
    this.connections = new ClientConnections(this.server, this.guard, deps.clock);
    this.server.on('connection', () => deps.targets.readGate.hold());
    this.applyLimits();
  }

  get inFlight(): number {
    return this.connections.requestCount;
  }

  private get limits(): ClientLimits {
    return this.deps.configView.config?.clientLimits ?? DEFAULT_LIMITS;
  }

  /** Applies the limits of the configuration in force to the server's timers. */
  applyLimits(): void {
    this.server.headersTimeout = this.limits.headerTimeoutMs;
    this.server.keepAliveTimeout = this.limits.idleTimeoutMs;
    // Later than the timeout of heads, which are answered then.
    const headerTimeoutMs = this.limits.headerTimeoutMs + 2 * HEADER_CHECK_INTERVAL_MS;
    this.guard.setAnswerTimeout(Math.max(this.limits.idleTimeoutMs, headerTimeoutMs));
  }

  /** Stops accepting connections and closes those without a request in progress. */
  stopAccepting(): Promise<void> {
    return this.connections.stopAccepting();
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const guarded = this.guard.begin(request, response);
    if (!guarded) return;
    const turn = this.connections.begin(request, response, guarded);
    // A later request that has been read is answered on the same connection.
    const isStopping = () => this.deps.isStopping() && this.connections.isLatest(request);
    const exchange = new ClientExchange(request, response, this.deps.clock, isStopping);
    const {headerBytes, bodyBytes} = this.limits;
    const refuse = (name: keyof typeof REFUSALS) => {
      guarded.closeAfterAnswer(MAX_DISCARDED_BYTES);
      this.refuseAndClose(response, name);
    };
    if (countHeaderBytes(request) > headerBytes) {
      refuse('headerTooLarge');
      return;
    }
    const read = await guarded.readBody(bodyBytes, this.readTimeoutMs(exchange));
    if (read.type === 'disconnected') return;
    if (read.type !== 'read') {
      refuse(READ_REFUSALS[read.type]);
      return;
    }
    exchange.body = read.body;
    // Its body is read before, so that the end of the connection is seen while it waits.
    if (!(await turn)) return;
    if (!guarded.keep()) {
      refuse('overloaded');
      return;
    }
    if (!(await exchange.isStillConnected())) {
      this.deps.metrics.count('requests_left_before_start_total');
      return;
    }
    const task = startTask(serveRequest(this.deps, exchange), this.handlers);
    exchange.onCancel(() => task.cancel());
    task.done.catch(error => {
      const detail = String((error as Error).stack ?? error);
      this.deps.log.write('invariantViolated', {detail});
      exchange.destroy();
    });
  }

  /**
   * Time in which a body must arrive. A request isn't served after the timeout of its route, so that
   * a slow client may take as long, but one that stalls no longer.
   */
  private readTimeoutMs({host, path}: ClientExchange): number {
    const {config} = this.deps.configView;
    const route = config && findRoute(config, host, path);
    return route?.timeoutMs ?? this.limits.idleTimeoutMs;
  }

  /** Refuses a request that wasn't read completely; its connection can't be reused. */
  private refuseAndClose(response: ServerResponse, name: keyof typeof REFUSALS): void {
    const {status, headers, body} = writeRefusal(name, undefined);
    response.writeHead(status, [
      ...headers,
      'Content-Length',
      String(body.length),
      'Connection',
      'close',
    ]);
    response.end(body);
  }
}

function countHeaderBytes(request: IncomingMessage): number {
  let bytes = 0;
  // Each name is followed by a colon and a space, and each value by a line end.
  for (const text of request.rawHeaders) bytes += text.length + 2;
  return bytes;
}
