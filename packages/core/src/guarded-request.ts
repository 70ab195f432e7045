import {IncomingMessage} from 'node:http';
import {BodyBlocks} from './body-blocks.js';
import {ClientAccount, ClientMemory} from './client-memory.js';
import {Clock} from './clock.js';

/** Bounds that a client exceeded, as in metrics and log lines. */
export type ClientFault =
  | 'connections'
  | 'requestsAhead'
  | 'memory'
  | 'evicted'
  | 'bodyTooLarge'
  | 'bodyTimeout'
  | 'answerUnread';

/** Result of reading a body; the request has not run unless it is `read`. */
export type BodyResult =
  | {readonly type: 'read'; readonly body: Buffer}
  | {readonly type: 'tooLarge' | 'noMemory' | 'timedOut' | 'disconnected'};

/** What a request needs of the guard of its connection. */
export interface GuardedRequestHooks {
  readonly clock: Clock;
  onChunk(bytes: number): void;
  onFault(fault: ClientFault): void;
  closeAfterAnswer(maxBytes: number): void;
}

/** A request whose bytes are counted until it has been answered or its connection is closed. */
export class GuardedRequest {
  readonly account: ClientAccount;
  /** Whether its body is being read. */
  isReading = false;
  /** Whether there is memory for the request; if not, it is to be refused. */
  hasMemory = true;
  private onEvict: () => void = () => undefined;

  constructor(
    private readonly memory: ClientMemory,
    private readonly request: IncomingMessage,
    private readonly hooks: GuardedRequestHooks,
  ) {
    this.account = memory.open(() => {
      this.hasMemory = false;
      hooks.onFault('evicted');
      this.onEvict();
    });
  }

  /** Keeps the request's memory, as it is about to run; false if it was evicted before. */
  keep(): boolean {
    if (this.hasMemory) this.account.keep();
    return this.hasMemory;
  }

  /**
   * Holds memory for what is made of the body; `tooLarge` if there would be none even without other
   * requests.
   */
  hold(bytes: number): 'held' | 'noMemory' | 'tooLarge' {
    if (this.account.heldBytes + bytes > this.memory.maxBytes) return 'tooLarge';
    return this.account.grow(bytes) ? 'held' : 'noMemory';
  }

  /** Counts bytes that are read of a refused request. */
  countDiscarded(bytes: number): void {
    this.hooks.onChunk(bytes);
  }

  /**
   * Closes the connection after the answer to this request, and discards up to `maxBytes` of what
   * the client still sends.
   */
  closeAfterAnswer(maxBytes: number): void {
    this.request.on('data', (chunk: Buffer) => this.countDiscarded(chunk.length));
    this.hooks.closeAfterAnswer(maxBytes);
  }

  /** Reads the body of at most `maxBytes` within `timeoutMs`, which may be `Infinity`. */
  readBody(maxBytes: number, timeoutMs: number): Promise<BodyResult> {
    const {request, hooks, account} = this;
    if (!this.hasMemory) return Promise.resolve({type: 'noMemory'});
    const statedBytes = Number(request.headers['content-length'] ?? 0);
    if (statedBytes > maxBytes) {
      hooks.onFault('bodyTooLarge');
      return Promise.resolve({type: 'tooLarge'});
    }
    this.isReading = true;
    return new Promise(resolve => {
      const blocks = new BodyBlocks(bytes => account.grow(bytes));
      /** A body that arrives at once isn't copied. */
      let whole: Buffer | undefined;
      const add = (chunk: Buffer): boolean => {
        if (chunk.length !== statedBytes) return blocks.push(chunk);
        whole = chunk;
        return account.grow(chunk.length);
      };
      const finish = (result: BodyResult) => {
        this.isReading = false;
        timer?.cancel();
        this.onEvict = () => undefined;
        request.off('data', onData).off('end', onEnd).off('close', onClose);
        // The closures of this function live as long as the request, whose client may stay.
        blocks.clear();
        whole = undefined;
        resolve(result);
      };
      const onData = (chunk: Buffer) => {
        hooks.onChunk(chunk.length);
        if (blocks.byteCount + chunk.length > maxBytes) {
          hooks.onFault('bodyTooLarge');
          finish({type: 'tooLarge'});
          account.release();
        } else if (!add(chunk)) {
          // An evicted account has been reported.
          if (this.hasMemory) hooks.onFault('memory');
          this.hasMemory = false;
          finish({type: 'noMemory'});
          account.release();
        }
      };
      const onEnd = () => {
        finish({type: 'read', body: whole ?? blocks.take()});
      };
      const onClose = () => finish({type: 'disconnected'});
      const timer =
        timeoutMs === Infinity
          ? undefined
          : hooks.clock.setTimer(timeoutMs, () => {
              hooks.onFault('bodyTimeout');
              finish({type: 'timedOut'});
              account.release();
            });
      this.onEvict = () => finish({type: 'noMemory'});
      request.on('data', onData).once('end', onEnd).once('close', onClose);
      request.on('error', () => undefined); // Reported by `close`.
    });
  }
}
