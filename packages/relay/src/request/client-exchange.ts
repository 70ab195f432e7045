import {IncomingMessage, ServerResponse} from 'node:http';
import {abortResponse, Clock} from '@radishgw/core';
import {Instant, readInstant} from '../instant.js';
import {RawHeaders} from '../model.js';

/** A client's request with its body, and the answer to it. */
export class ClientExchange {
  readonly receivedAt: Instant;
  body: Buffer = Buffer.alloc(0);
  private cancelListener: (() => void) | undefined;
  private hasDisconnected = false;

  constructor(
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly clock: Clock,
    private readonly isStopping: () => boolean,
  ) {
    this.receivedAt = readInstant(clock);
    response.on('close', () => {
      if (response.writableFinished) return;
      this.hasDisconnected = !response.writableEnded;
      this.cancel();
    });
    response.on('error', () => undefined); // A disconnect is reported by `close`.
  }

  get method(): string {
    return this.request.method ?? 'GET';
  }

  /** Path and query, as sent by the client. */
  get path(): string {
    return this.request.url ?? '/';
  }

  get host(): string {
    return this.request.headers.host ?? '';
  }

  get headers(): RawHeaders {
    return this.request.rawHeaders;
  }

  /** Whether the head of an answer was sent. */
  get hasStarted(): boolean {
    return this.response.headersSent;
  }

  get isFinished(): boolean {
    return this.response.writableEnded || this.response.destroyed;
  }

  /** Time since the head of the request arrived. */
  ageMs(): number {
    return this.clock.nowMs() - this.receivedAt.monotonicMs;
  }

  /** Whether the client closed its connection before the answer was complete. */
  get isDisconnected(): boolean {
    return this.hasDisconnected;
  }

  /** Calls `listener` when the work on the request is cancelled. */
  onCancel(listener: () => void): void {
    this.cancelListener = listener;
    if (this.isFinished) listener();
  }

  /** Calls `listener` when the answer has been sent or the connection is closed. */
  onClose(listener: () => void): void {
    if (this.response.closed) listener();
    else this.response.once('close', listener);
  }

  /** Cancels the work on the request: the client disconnected or has its final answer. */
  cancel(): void {
    this.cancelListener?.();
  }

  /**
   * Waits until the connection has been looked at once more; false if the client has closed it. A
   * host that reads a request late finds the end of the connection only in the next turn of its
   * event loop.
   */
  async isStillConnected(): Promise<boolean> {
    for (let turn = 0; turn < 2; turn++) await new Promise(resolve => setImmediate(resolve));
    const {socket} = this.request;
    return !socket.destroyed && !socket.readableEnded;
  }

  /** Sends a complete answer. */
  respond(status: number, headers: string[], body: Buffer): void {
    if (this.isFinished || this.hasStarted) return;
    this.response.writeHead(status, this.addConnectionHeaders(headers, body.length));
    this.response.end(this.method === 'HEAD' ? undefined : body);
  }

  /** Starts an answer whose length isn't known. */
  startStream(status: number, headers: string[]): void {
    this.response.writeHead(status, this.addConnectionHeaders(headers, undefined));
    this.response.flushHeaders();
  }

  /**
   * Sends a part of an answer. Returns undefined if more can be sent immediately, otherwise a
   * promise that resolves when the buffer has drained or the connection is closed.
   */
  write(chunk: Buffer): Promise<void> | undefined {
    if (this.response.write(chunk)) return undefined;
    return new Promise(resolve => {
      this.response.once('drain', resolve);
      this.response.once('close', resolve);
    });
  }

  end(): void {
    this.response.end();
  }

  /** Closes the connection, so that the answer doesn't look complete. */
  destroy(): void {
    abortResponse(this.response);
  }

  private addConnectionHeaders(headers: string[], length: number | undefined): string[] {
    const all = [...headers];
    if (length !== undefined) all.push('Content-Length', String(length));
    if (this.isStopping()) all.push('Connection', 'close');
    return all;
  }
}
