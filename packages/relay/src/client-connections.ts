import {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer, Socket} from 'node:net';

/** Counts the requests in progress on each connection of clients, and closes those without any. */
export class ClientConnections {
  private readonly requestCounts = new Map<Socket, number>();
  private isAccepting = true;

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

  /**
   * Counts a request until its answer has been sent or its connection is closed; false if its
   * connection is being closed.
   */
  begin({socket}: IncomingMessage, response: ServerResponse): boolean {
    if (!this.requestCounts.has(socket)) return false;
    this.add(socket, 1);
    response.once('close', () => this.add(socket, -1));
    return true;
  }

  /**
   * Stops accepting connections; closes the idle ones, and the others once they are idle, as their
   * clients may not know that the host stops. `Server.close` and `closeIdleConnections` of Node.js 20
   * would also close those whose answers still wait for a client to read them.
   */
  stopAccepting(): void {
    this.isAccepting = false;
    NetServer.prototype.close.call(this.server);
    for (const [socket, count] of this.requestCounts) if (count === 0) this.close(socket);
  }

  private add(socket: Socket, change: number): void {
    const count = this.requestCounts.get(socket);
    if (count === undefined) return;
    this.requestCounts.set(socket, count + change);
    if (!this.isAccepting && count + change === 0) this.close(socket);
  }

  private close(socket: Socket): void {
    this.requestCounts.delete(socket);
    socket.destroySoon();
  }
}
