import {IncomingMessage, ServerResponse} from 'node:http';
import {Clock} from '@radishgw/core';
import {Instant, readInstant} from './instant.js';
import {RawHeaders} from './model.js';

/** A client's request with its whole body, and the way back. */
export class ClientExchange {
  readonly receivedAt: Instant;
  body: Buffer = Buffer.alloc(0);
  private abandonListener: (() => void) | undefined;
  private hasLeft = false;

  constructor(
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly clock: Clock,
    private readonly isStopping: () => boolean,
  ) {
    this.receivedAt = readInstant(clock);
    response.on('close', () => {
      if (response.writableFinished) return;
      this.hasLeft = !response.writableEnded;
      this.abandon();
    });
    response.on('error', () => undefined); // A client that left is reported by `close`.
  }

  get method(): string {
    return this.request.method ?? 'GET';
  }

  /** Path and query as sent. */
  get target(): string {
    return this.request.url ?? '/';
  }

  get host(): string {
    return this.request.headers.host ?? '';
  }

  get headers(): RawHeaders {
    return this.request.rawHeaders;
  }

  /** Whether a part of an answer was sent. */
  get hasStarted(): boolean {
    return this.response.headersSent;
  }

  get isOver(): boolean {
    return this.response.writableEnded || this.response.destroyed;
  }

  /** Time since the head of the request arrived. */
  ageMs(): number {
    return this.clock.nowMs() - this.receivedAt.monotonicMs;
  }

  /** Whether the client closed its connection before the answer was complete. */
  get isLeft(): boolean {
    return this.hasLeft;
  }

  /** Calls `listener` when nobody waits for the answer any more. */
  onAbandon(listener: () => void): void {
    this.abandonListener = listener;
    if (this.isOver) listener();
  }

  /** Ends the work on the request: the client left or has its final answer. */
  abandon(): void {
    this.abandonListener?.();
  }

  /** Reads the whole body, unless it is larger than `maxBytes` or the client leaves within it. */
  async readBody(maxBytes: number): Promise<'read' | 'tooLarge' | 'left'> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    try {
      for await (const chunk of this.request as AsyncIterable<Buffer>) {
        bytes += chunk.length;
        if (bytes > maxBytes) return 'tooLarge';
        chunks.push(chunk);
      }
    } catch {
      return 'left'; // The stream fails only if the connection ends within the body.
    }
    this.body = chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
    return 'read';
  }

  /** Sends a whole answer. */
  respond(status: number, headers: string[], body: Buffer): void {
    if (this.isOver || this.hasStarted) return;
    this.response.writeHead(status, this.withConnection(headers, body.length));
    this.response.end(this.method === 'HEAD' ? undefined : body);
  }

  /** Starts an answer whose length isn't known. */
  startStream(status: number, headers: string[]): void {
    this.response.writeHead(status, this.withConnection(headers, undefined));
    this.response.flushHeaders();
  }

  /** Sends a part of an answer; resolves when the client takes more. */
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
  breakOff(): void {
    this.response.destroy();
  }

  private withConnection(headers: string[], length: number | undefined): string[] {
    const all = [...headers];
    if (length !== undefined) all.push('Content-Length', String(length));
    if (this.isStopping()) all.push('Connection', 'close');
    return all;
  }
}
