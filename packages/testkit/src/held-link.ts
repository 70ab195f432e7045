import {connect, createServer, Server, Socket} from 'node:net';
import {AddressInfo} from 'node:net';

interface HeldConnection {
  readonly near: Socket;
  readonly far: Socket;
  readonly held: Buffer[];
  hasEnded: boolean;
}

/**
 * A link to an address that can be cut without a reset. It passes held bytes on when it works again,
 * as TCP does, also those of connections that were closed meanwhile, but not of those that were reset.
 */
export class HeldLink {
  address = '';
  /** Whether bytes of the client are held; answers are passed on all the same. */
  private isCut = false;
  private readonly connections = new Set<HeldConnection>();
  private readonly server: Server = createServer({allowHalfOpen: true}, near => this.accept(near));
  /** Numbers of connections that the client has closed and reset. */
  closedCount = 0;
  resetCount = 0;

  constructor(private readonly target: string) {}

  async start(): Promise<this> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
    return this;
  }

  stop(): void {
    this.server.close();
    for (const {near, far} of this.connections) {
      near.destroy();
      far.destroy();
    }
  }

  /** Number of bytes that are held up. */
  get heldBytes(): number {
    let bytes = 0;
    for (const {held} of this.connections) {
      for (const chunk of held) bytes += chunk.length;
    }
    return bytes;
  }

  cut(): void {
    this.isCut = true;
  }

  heal(): void {
    this.isCut = false;
    for (const {far, held, hasEnded} of this.connections) {
      for (const chunk of held.splice(0)) far.write(chunk);
      if (hasEnded) far.end();
    }
  }

  private accept(near: Socket): void {
    const [host, port] = this.target.split(':');
    const far = connect({host, port: Number(port), allowHalfOpen: true, noDelay: true});
    const connection: HeldConnection = {near, far, held: [], hasEnded: false};
    this.connections.add(connection);
    near.on('data', (chunk: Buffer) => {
      if (this.isCut) connection.held.push(chunk);
      else far.write(chunk);
    });
    near.on('end', () => {
      this.closedCount++;
      connection.hasEnded = true;
      if (!this.isCut) far.end();
    });
    near.on('error', () => {
      this.resetCount++;
      connection.held.length = 0;
      far.destroy();
    });
    far.on('data', (chunk: Buffer) => near.write(chunk));
    far.on('end', () => near.end());
    far.on('error', () => near.destroy());
    far.on('close', () => this.connections.delete(connection));
  }
}
