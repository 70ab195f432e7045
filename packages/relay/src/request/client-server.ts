import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {createHandlers, startTask} from '@radishgw/core';
import {ClientConnections} from './client-connections.js';
import {ClientExchange} from './client-exchange.js';
import {ClientLimits} from '../model.js';
import {RelayDependencies} from './request-context.js';
import {REFUSALS, writeRefusal} from './refusals.js';
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

/** HTTP server for the requests of clients. */
export class ClientServer {
  readonly server: Server;
  private readonly handlers;
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
    this.connections = new ClientConnections(this.server, deps.clock);
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
  }

  /** Stops accepting connections and closes those without a request in progress. */
  stopAccepting(): Promise<void> {
    return this.connections.stopAccepting();
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const turn = this.connections.begin(request, response);
    // A later request that has been read is answered on the same connection.
    const isStopping = () => this.deps.isStopping() && this.connections.isLatest(request);
    const exchange = new ClientExchange(request, response, this.deps.clock, isStopping);
    const {headerBytes, bodyBytes} = this.limits;
    if (countHeaderBytes(request) > headerBytes) {
      this.refuseAndClose(response, 'headerTooLarge');
      return;
    }
    const read = await exchange.readBody(bodyBytes);
    if (read === 'disconnected') return;
    if (read === 'tooLarge') {
      this.refuseAndClose(response, 'bodyTooLarge');
      return;
    }
    // Its body is read before, so that the end of the connection is seen while it waits.
    if (!(await turn)) return;
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
    response.end(body, () => response.destroy());
  }
}

function countHeaderBytes(request: IncomingMessage): number {
  let bytes = 0;
  // Each name is followed by a colon and a space, and each value by a line end.
  for (const text of request.rawHeaders) bytes += text.length + 2;
  return bytes;
}
