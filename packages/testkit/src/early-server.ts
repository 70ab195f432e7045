import {AddressInfo, createServer, Server, Socket} from 'node:net';
import {parseFields, RequestFields} from './raw-requests.js';

/** How a server breaks off an answer to a request that it hasn't read. */
export const EARLY_ENDS = ['reset', 'resetLater', 'resetWhileReading', 'closeAndReset'] as const;

/** Bytes that a server sends in answer to a request. */
export interface EarlyAnswer {
  readonly bytes: string;
  /** With `close`, the whole request is read before the answer is sent. */
  readonly end: (typeof EARLY_ENDS)[number] | 'close';
}

const RESET_DELAY_MS = 30;

/** Bytes that are read between an early answer and the reset of its connection. */
const READ_ON_BYTES = 64 * 1024;

const HEAD_END = '\r\n\r\n';

/** HTTP server that answers a request when it has its head, while the body is still being sent. */
export class EarlyServer {
  /** Returns the answer to a request; tests replace it. */
  answer: (fields: RequestFields) => EarlyAnswer = () => ({bytes: '', end: 'reset'});
  /** Number of requests received. */
  requestCount = 0;
  /** Number of connections that were reset before their request was read. */
  earlyResetCount = 0;
  private readonly sockets = new Set<Socket>();
  private readonly server: Server = createServer({allowHalfOpen: true}, socket =>
    this.handle(socket),
  );

  /** Starts to listen; returns the address. */
  async start(): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private handle(socket: Socket): void {
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
    socket.on('error', () => undefined); // A `close` event follows.
    socket.on('end', () => socket.end());
    let received = '';
    const onData = (data: Buffer) => {
      received += data.toString('latin1');
      const headBytes = received.indexOf(HEAD_END) + HEAD_END.length;
      if (headBytes < HEAD_END.length) return;
      socket.off('data', onData);
      this.requestCount++;
      const fields = parseFields(received.slice(0, headBytes));
      const requestBytes = headBytes + Number(fields['content-length'] ?? 0);
      this.send(socket, this.answer(fields), requestBytes - received.length);
    };
    socket.on('data', onData);
  }

  private send(socket: Socket, {bytes, end}: EarlyAnswer, unreadBytes: number): void {
    let leftBytes = unreadBytes;
    const readUntil = (bytesLeft: number, then: () => void) => {
      if (leftBytes <= bytesLeft) {
        then();
        return;
      }
      const onData = (data: Buffer) => {
        leftBytes -= data.length;
        if (leftBytes > bytesLeft) return;
        socket.off('data', onData).pause();
        then();
      };
      socket.on('data', onData).resume();
    };
    if (end === 'close') {
      readUntil(0, () => socket.end(bytes, 'latin1'));
      return;
    }
    const reset = () => {
      if (leftBytes > 0) this.earlyResetCount++;
      socket.resetAndDestroy();
    };
    socket.pause();
    if (end === 'closeAndReset') {
      // A socket that is destroyed before all its data was read is reset.
      socket.end(bytes, 'latin1', () => {
        if (leftBytes > 0) this.earlyResetCount++;
        socket.destroy();
      });
      return;
    }
    socket.write(bytes, 'latin1', () => {
      if (end === 'reset') reset();
      else if (end === 'resetLater') setTimeout(reset, RESET_DELAY_MS);
      else readUntil(unreadBytes - READ_ON_BYTES, reset);
    });
  }
}
