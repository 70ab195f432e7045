import {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer, Socket} from 'node:net';

/** Counts the requests in progress on each connection of clients, and closes those without any. */
export class ClientConnections {
  private readonly requestCounts = new Map<Socket, number>();

  constructor(private readonly server: Server) {
    server.on('connection', (socket: Socket) => {
      this.requestCounts.set(socket, 0);
      socket.once('close', () => this.requestCounts.delete(socket));
    });
  }

  /** Number of requests whose answers haven't been sent completely. */
  get requestCount(): number {
    let sum = 0;
    for (const count of this.requestCounts.values()) sum += count;
    return sum;
  }

  /** Counts a request until its answer has been sent or its connection is closed. */
  begin({socket}: IncomingMessage, response: ServerResponse): void {
    this.add(socket, 1);
    response.once('close', () => this.add(socket, -1));
  }

  /**
   * Stops accepting connections and closes the idle ones. `Server.close` and `closeIdleConnections`
   * of Node.js 20 would also close those whose answers still wait for a client to read them.
   */
  stopAccepting(): void {
    NetServer.prototype.close.call(this.server);
    for (const [socket, count] of this.requestCounts) if (count === 0) socket.destroySoon();
  }

  private add(socket: Socket, change: number): void {
    const count = this.requestCounts.get(socket);
    if (count !== undefined) this.requestCounts.set(socket, count + change);
  }
}
