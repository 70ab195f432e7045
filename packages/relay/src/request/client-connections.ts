import {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer, Socket} from 'node:net';
import {Clock, ClientGuard, deriveClientBounds, GuardedRequest, SystemClock} from '@radishgw/core';

/** Maximum number of connections that wait to be accepted, by default in Node.js. */
const MAX_WAITING_CONNECTIONS = 511;

/** Time in which the first request on a new connection arrives at a host that stops. */
const FIRST_REQUEST_MS = 100;

/** The requests on a connection whose answers haven't been sent completely. */
interface ConnectionState {
  requestCount: number;
  hasHadRequest: boolean;
  /** Resolves when the latest of them has been answered or the connection is closed. */
  latestAnswered: Promise<void>;
  /** Called when the connection is closed. */
  readonly closeListeners: Set<() => void>;
}

/** Tracks the requests in progress on each connection of clients. */
export class ClientConnections {
  private readonly connections = new Map<Socket, ConnectionState>();
  private isAccepting = true;
  private acceptedCount = 0;

  constructor(
    private readonly server: Server,
    private readonly guard = new ClientGuard({
      server,
      bounds: deriveClientBounds(),
      clock: new SystemClock(),
      onFault: () => undefined,
    }),
    private readonly clock: Clock = new SystemClock(),
  ) {
    server.on('connection', (socket: Socket) => {
      this.acceptedCount++;
      const closeListeners = new Set<() => void>();
      const latestAnswered = Promise.resolve();
      const state = {requestCount: 0, hasHadRequest: false, latestAnswered, closeListeners};
      this.connections.set(socket, state);
      socket.once('close', () => {
        this.connections.delete(socket);
        // Node.js 20 emits no event for responses that wait for an earlier one.
        for (const listener of closeListeners) listener();
      });
    });
  }

  /** Number of requests whose answers haven't been sent completely. */
  get requestCount(): number {
    let sum = 0;
    for (const {requestCount} of this.connections.values()) sum += requestCount;
    return sum;
  }

  /**
   * Counts a request until its answer has been sent or its connection is closed. Resolves when the
   * answers to earlier requests on the connection have been sent, with false if it is closed then:
   * the request mustn't be served, as it can't be answered. The same holds if the guard ignores it.
   */
  async begin(
    request: IncomingMessage,
    response: ServerResponse,
    guarded: GuardedRequest | undefined = this.guard.begin(request, response),
  ): Promise<boolean> {
    const {socket} = request;
    const connection = this.connections.get(socket);
    if (!connection || !guarded) return false;
    const {latestAnswered: earlierAnswered} = connection;
    const hasEarlier = connection.requestCount++ > 0;
    connection.hasHadRequest = true;
    connection.latestAnswered = new Promise(resolve => {
      const settle = () => {
        connection.closeListeners.delete(settle);
        resolve();
      };
      connection.closeListeners.add(settle);
      response.once('close', settle);
    });
    response.once('close', () => {
      connection.requestCount--;
      if (!this.isAccepting && connection.requestCount === 0) this.close(socket);
    });
    if (hasEarlier) await earlierAnswered;
    return this.connections.has(socket) && socket.writable;
  }

  /** Whether a request in progress is the only one on its connection. */
  isLatest({socket}: IncomingMessage): boolean {
    return (this.connections.get(socket)?.requestCount ?? 0) <= 1;
  }

  /**
   * Stops accepting connections; closes the idle ones, and the others once they are idle, as their
   * clients may not know that the host stops. `Server.close` and `closeIdleConnections` of Node.js 20
   * would also close those whose answers still wait for a client to read them. Resolves when all
   * connections that are left have a request in progress.
   */
  async stopAccepting(): Promise<void> {
    await this.acceptWaiting();
    this.isAccepting = false;
    NetServer.prototype.close.call(this.server);
    this.closeIdle(({hasHadRequest}) => hasHadRequest);
    if ([...this.connections.values()].every(({requestCount}) => requestCount > 0)) return;
    await new Promise<void>(resolve => this.clock.setTimer(FIRST_REQUEST_MS, resolve));
    this.closeIdle(() => true);
  }

  /**
   * Accepts the connections that wait for it: closing the server would reset them, with requests
   * that may have been sent. Node.js accepts few of them in one turn of its event loop.
   */
  private async acceptWaiting(): Promise<void> {
    for (let turns = 0; turns < MAX_WAITING_CONNECTIONS; turns++) {
      const {acceptedCount} = this;
      // The first immediate may run before connections are polled for.
      for (let i = 0; i < 2; i++) await new Promise<void>(resolve => setImmediate(resolve));
      if (this.acceptedCount === acceptedCount) return;
    }
  }

  private closeIdle(mayClose: (state: ConnectionState) => boolean): void {
    for (const [socket, state] of this.connections) {
      if (state.requestCount === 0 && mayClose(state)) this.close(socket);
    }
  }

  private close(socket: Socket): void {
    this.connections.delete(socket);
    socket.destroySoon();
  }
}
