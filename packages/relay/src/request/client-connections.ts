import {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer, Socket} from 'node:net';
import {ClientGuard, deriveClientBounds, GuardedRequest, SystemClock} from '@radishgw/core';

/** The requests on a connection whose answers haven't been sent completely. */
interface ConnectionState {
  requestCount: number;
  /** Resolves when the latest of them has been answered or the connection is closed. */
  latestAnswered: Promise<void>;
  /** Called when the connection is closed. */
  readonly closeListeners: Set<() => void>;
}

/** Tracks the requests in progress on each connection of clients. */
export class ClientConnections {
  private readonly connections = new Map<Socket, ConnectionState>();
  private isAccepting = true;

  constructor(
    private readonly server: Server,
    private readonly guard = new ClientGuard({
      server,
      bounds: deriveClientBounds(),
      clock: new SystemClock(),
      onFault: () => undefined,
    }),
  ) {
    server.on('connection', (socket: Socket) => {
      const closeListeners = new Set<() => void>();
      const latestAnswered = Promise.resolve();
      this.connections.set(socket, {requestCount: 0, latestAnswered, closeListeners});
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
   * would also close those whose answers still wait for a client to read them.
   */
  stopAccepting(): void {
    this.isAccepting = false;
    NetServer.prototype.close.call(this.server);
    for (const [socket, {requestCount}] of this.connections) {
      if (requestCount === 0) this.close(socket);
    }
  }

  private close(socket: Socket): void {
    this.connections.delete(socket);
    socket.destroySoon();
  }
}
