import {connect, Socket} from 'node:net';
import {Worker} from 'node:worker_threads';

/** Connections that the system opens for a listener that accepts none; others stay unanswered. */
const BACKLOG = 1;

const LISTEN = `
  const {createServer} = require('node:net');
  const {parentPort} = require('node:worker_threads');
  const server = createServer();
  server.listen({host: '127.0.0.1', port: 0, backlog: ${BACKLOG}}, () => {
    parentPort.postMessage(server.address().port);
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0);
  });
`;

/** A listener that doesn't answer the opening of a connection, like a host that is cut off. */
export class SilentListener {
  private readonly sockets: Socket[] = [];
  private worker: Worker | undefined;

  /** Starts to listen; returns the address. */
  async start(): Promise<string> {
    const worker = new Worker(LISTEN, {eval: true});
    this.worker = worker;
    const port = await new Promise<number>(resolve => worker.once('message', resolve));
    for (let i = 0; i <= BACKLOG; i++) {
      const socket = connect({host: '127.0.0.1', port});
      socket.on('error', () => undefined); // Ends with the listener.
      this.sockets.push(socket);
      await new Promise(resolve => socket.once('connect', resolve));
    }
    return `127.0.0.1:${port}`;
  }

  async stop(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await this.worker?.terminate();
  }
}
