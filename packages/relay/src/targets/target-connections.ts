import {connect, Socket} from 'node:net';
import {
  BodyBlocks,
  BodyFraming,
  boundReads,
  Clock,
  findFraming,
  isValidStatus,
  ReadGate,
  RequestId,
  resetUnanswered,
  verifyEnds,
} from '@radishgw/core';
import {Client, Dispatcher} from 'undici';
import {AnswerFields, boundFields} from './answer-fields.js';
import {AnswerMeta, RawHeaders, Region} from '../model.js';
import {TargetState} from './target-state.js';

/** Timeouts of connections to targets, in milliseconds. */
export interface ConnectionTimeouts {
  /** A connection that isn't established in time counts as refused; a round trip takes a few ms. */
  readonly connectTimeoutMs: number;
  /** Idle time after which a connection is closed; shorter than the idle timeout of targets. */
  readonly idleTimeoutMs: number;
  /**
   * Maximum idle time of a connection that is reused for a request that must not be repeated: a
   * target may close an idle connection just as the request is sent, which leaves the outcome
   * unknown.
   */
  readonly nonRepeatableIdleMs: number;
}

export const DEFAULT_CONNECTION_TIMEOUTS: ConnectionTimeouts = {
  connectTimeoutMs: 400,
  idleTimeoutMs: 8000,
  nonRepeatableIdleMs: 1500,
};

/** Undici closes an idle connection this long before the timeout announced by the target. */
const KEEP_ALIVE_MARGIN_MS = 300;

/**
 * Share of the idle timeout announced by a target up to which a connection is reused for a request
 * that must not be repeated; the rest covers the clocks and the transit of both ends.
 */
const NON_REPEATABLE_IDLE_SHARE = 0.5;

/**
 * A client's request. All of its attempts have the same id, so that the connection tells to which of
 * them an answer belongs: no connection carries a request twice.
 */
export interface RequestIdentity {
  readonly id: RequestId;
  /** Connections that have carried the request; sending it adds one. */
  readonly connections: Set<TargetConnection>;
}

/** A request as it is sent to a target. */
export interface OutgoingRequest {
  /** Undefined for the calls of the host itself, whose answers name no request. */
  readonly identity?: RequestIdentity;
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer | undefined;
  /** Asked just before the request is written, which isn't sent if it returns false. */
  readonly mayStart?: () => boolean;
  /** Target from which the receiver fetches the cache of a prompt. */
  readonly cacheTarget?: TargetState;
  /** Regions that the request may not leave; undefined if it may go anywhere. */
  readonly homeRegions?: ReadonlySet<Region>;
}

/** The head of a target's answer. */
export interface AnswerHead {
  readonly type: 'head';
  readonly status: number;
  readonly headers: RawHeaders;
  readonly meta: AnswerMeta;
}

/** The end of a target's answer. */
export interface AnswerEnd {
  readonly type: 'end';
  readonly framing: BodyFraming;
}

/** Bytes of an answer's body that arrived one after the other. */
export interface AnswerData {
  readonly type: 'data';
  readonly chunk: Buffer;
}

/** Events of an attempt, in order; `failed` or `end` is the last one. */
export type AttemptEvent =
  | AnswerHead
  | AnswerData
  | AnswerEnd
  | {readonly type: 'failed'; readonly wasSent: boolean; readonly detail: string}
  /** No event arrived within the timeout of {@link Attempt.next}; the attempt continues. */
  | {readonly type: 'silent'};

/** Reads the heads of a target's answers. */
export interface AnswerObserver {
  readAnswer(headers: RawHeaders): AnswerMeta;
  /** Called with each answer of the target, whoever waits for it. */
  onAnswer(status: number, meta: AnswerMeta): void;
}

const MS_PER_SECOND = 1000;

/** Bytes of an answer that are buffered for a slow client before reading is paused. */
const MAX_BUFFERED_BYTES = 64 * 1024;

/** Maximum number of interim answers (status 1xx) before the answer. */
const MAX_INTERIM_ANSWERS = 16;

/** Joins chunks that nobody has taken yet: each one of them may have a single byte. */
class JoinedData implements AnswerData {
  readonly type = 'data';
  private readonly blocks = new BodyBlocks();

  /** `only` isn't copied unless more follows. */
  constructor(private only: Buffer | undefined) {}

  append(chunk: Buffer): void {
    if (this.only) this.blocks.push(this.only);
    this.only = undefined;
    this.blocks.push(chunk);
  }

  get chunk(): Buffer {
    return (this.only ??= this.blocks.take());
  }
}

/** One request that is sent to a target. */
export class Attempt {
  private readonly events: AttemptEvent[] = [];
  private bufferedBytes = 0;
  private interimAnswers = 0;
  private readonly listeners = new Set<() => void>();
  private abortRequest: ((error?: Error) => void) | undefined;
  /** Resumes a paused body; undefined while the body isn't paused. */
  private resume: (() => void) | undefined;
  private resumeBody: (() => void) | undefined;
  private isFinished = false;
  /** Time from which the request may have reached the target; undefined before. */
  sentAtMs: number | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly observer: AnswerObserver,
    private readonly requestId: RequestId | undefined,
    private readonly onFinished: () => void,
  ) {}

  /** Whether the request may be running at the target, as it was sent and hasn't been answered. */
  get mayBeRunning(): boolean {
    return this.sentAtMs !== undefined && !this.isFinished;
  }

  /** The next event, which stays where it is; undefined if there is none. */
  peek(): AttemptEvent | undefined {
    return this.events[0];
  }

  /** Calls `listener` with each event until the returned function is called. */
  onEvent(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Returns the next event; waits for at most `timeoutMs`. */
  async next(timeoutMs: number): Promise<AttemptEvent> {
    await waitForEvent(this.clock, [this], timeoutMs);
    return this.take() ?? {type: 'silent'};
  }

  /** Removes and returns the next event without waiting; undefined if there is none. */
  take(): AttemptEvent | undefined {
    const event = this.events.shift();
    if (event?.type === 'data') this.bufferedBytes -= event.chunk.length;
    if (this.bufferedBytes < MAX_BUFFERED_BYTES && this.resume) {
      const {resume} = this;
      this.resume = undefined;
      resume();
    }
    return event;
  }

  /** Aborts the attempt and closes its connection, so that the target stops its work. */
  abort(): void {
    if (this.isFinished) return;
    this.finish();
    this.abortRequest?.(new Error('attempt aborted'));
  }

  /** Creates the undici handler of this attempt. */
  createHandler(
    connection: TargetConnection,
    {method, mayStart}: OutgoingRequest,
  ): Dispatcher.DispatchHandler {
    return {
      onConnect: abort => {
        if (mayStart && !mayStart()) {
          this.failUnsent('request may not start any more');
          abort();
          return;
        }
        this.abortRequest = abort;
        this.sentAtMs = this.clock.nowMs();
        if (this.isFinished) abort();
        connection.fields.expectHead();
      },
      onHeaders: (status, rawHeaders, resume) => {
        if (!isValidStatus(status)) {
          this.rejectAnswer(connection, `answer has invalid status ${status}`);
          return true;
        }
        if (status < 200) {
          if (++this.interimAnswers > MAX_INTERIM_ANSWERS) {
            this.rejectAnswer(connection, 'too many interim answers');
          }
          return true;
        }
        connection.fields.recordReport();
        this.resumeBody = resume;
        const headers = rawHeaders.map(value => value.toString('latin1'));
        const meta = this.observer.readAnswer(headers);
        const head: AnswerHead = {type: 'head', status, headers, meta};
        connection.recordHead(head, method, this.requestId);
        this.observer.onAnswer(status, meta);
        return this.push(head);
      },
      onData: chunk => {
        connection.fields.recordReport();
        return this.pushData(chunk);
      },
      onComplete: () => {
        connection.fields.recordReport();
        this.push({type: 'end', framing: connection.framing});
        this.finish();
      },
      onError: error => this.fail(connection, describeError(error)),
    };
  }

  /** Ends an attempt that was never given to a connection. */
  failUnsent(detail: string): void {
    this.push({type: 'failed', wasSent: false, detail});
    this.finish();
  }

  /** Ends the attempt with a failure. */
  fail(connection: TargetConnection, detail: string): void {
    if (this.isFinished) return;
    this.push({type: 'failed', wasSent: connection.isConnected, detail});
    this.finish();
  }

  /** Fails the attempt, as its answer can't be used, and closes the connection. */
  private rejectAnswer(connection: TargetConnection, detail: string): void {
    this.fail(connection, detail);
    this.abortRequest?.(new Error(detail));
  }

  private pushData(chunk: Buffer): boolean {
    if (this.isFinished) return true;
    this.bufferedBytes += chunk.length;
    const latest = this.events.at(-1);
    if (!(latest instanceof JoinedData)) return this.push(new JoinedData(chunk));
    latest.append(chunk);
    return this.mayReadOn();
  }

  private push(event: AttemptEvent): boolean {
    if (this.isFinished) return true;
    this.events.push(event);
    this.notify();
    return this.mayReadOn();
  }

  private mayReadOn(): boolean {
    if (this.bufferedBytes < MAX_BUFFERED_BYTES) return true;
    this.resume = this.resumeBody;
    return false;
  }

  private finish(): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.notify();
    this.onFinished();
  }

  private notify(): void {
    for (const listener of [...this.listeners]) listener();
  }
}

/** Waits until one of the attempts has an event or is finished, for at most `timeoutMs`. */
export function waitForEvent(
  clock: Clock,
  attempts: readonly Attempt[],
  timeoutMs: number,
): Promise<void> {
  if (attempts.some(attempt => attempt.peek())) return Promise.resolve();
  return new Promise(resolve => {
    const timer = clock.setTimer(timeoutMs, () => done());
    const removals = attempts.map(attempt => attempt.onEvent(() => done()));
    const done = () => {
      timer.cancel();
      for (const remove of removals) remove();
      resolve();
    };
  });
}

function describeError(error: Error): string {
  const {code} = error as NodeJS.ErrnoException;
  return code ? `${code}: ${error.message}` : error.message;
}

const LEFT_DETAIL = 'target was withdrawn before the connection was established';

/** One connection to a target; carries one request at a time and is never reopened. */
export class TargetConnection {
  readonly client: Client;
  private socket: Socket | undefined;
  private hasOpened = false;
  framing: BodyFraming = 'length';
  /** Header fields of the answer that is due. */
  readonly fields = new AnswerFields();
  /**
   * Whether the answers to later requests could be told from others: not after an answer that named
   * no request, which may come again, nor after one to another request, as the answer that is due
   * may still come.
   */
  isInStep = true;
  /** Whether the connection was established, after which a request may have reached the target. */
  isConnected = false;
  lastUsedMs: number;
  /** Idle time after which the target closes the connection, as its latest answer says. */
  announcedIdleMs: number | undefined;
  private cancelConnect: ((error: Error) => void) | undefined;
  private isCancelled = false;

  constructor(
    address: string,
    timeouts: ConnectionTimeouts,
    readGate: ReadGate | undefined,
    nowMs: number,
    onConnected: () => void,
    onClosed: () => void,
  ) {
    const {hostname, port} = new URL(`http://${address}`);
    this.lastUsedMs = nowMs;
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: timeouts.idleTimeoutMs,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      connect: (_options, callback) => {
        if (this.hasOpened || this.isCancelled) {
          callback(new Error(this.isCancelled ? LEFT_DETAIL : 'connection was closed'), null);
          return;
        }
        this.hasOpened = true;
        const socket = connect({
          host: hostname,
          port: Number(port || 80),
          noDelay: true,
          allowHalfOpen: true,
        });
        // Undici itself validates a length and chunks.
        verifyEnds(
          boundFields(boundReads(resetUnanswered(socket), readGate), this.fields),
          () => this.framing === 'connection',
        );
        this.socket = socket;
        let isSettled = false;
        const settle = (error: Error | undefined) => {
          if (isSettled) return;
          isSettled = true;
          clearTimeout(timer);
          if (error) {
            socket.destroy();
            callback(error, null);
            return;
          }
          this.isConnected = true;
          onConnected();
          callback(null, socket);
        };
        const timer = setTimeout(
          () => settle(new Error('connect timeout')),
          timeouts.connectTimeoutMs,
        );
        this.cancelConnect = settle;
        socket.once('connect', () => settle(undefined));
        socket.on('error', settle);
        socket.once('close', () => {
          settle(new Error('closed while connecting'));
          onClosed();
        });
      },
    });
  }

  /** Records how the end of the answer's body is determined and whether it names `expectedId`. */
  recordHead(
    {status, headers, meta}: AnswerHead,
    method: string,
    expectedId: RequestId | undefined,
  ): void {
    const {requestId} = meta;
    if (requestId === undefined || requestId !== expectedId) this.isInStep = false;
    const findHeader = (name: string) => {
      const values = headers.filter((_, i) => i % 2 === 1 && headers[i - 1].toLowerCase() === name);
      return values.length === 0 ? undefined : values.join(', ');
    };
    this.framing = findFraming(method, status, findHeader);
    this.announcedIdleMs = readIdleTimeoutMs(findHeader('keep-alive'));
  }

  /** Fails the request of this connection unless the connection is established. */
  cancelOpening(): void {
    if (this.isConnected) return;
    this.isCancelled = true;
    this.cancelConnect?.(new Error(LEFT_DETAIL));
  }

  /** Whether the connection is closed or being closed; its `close` event comes a turn later. */
  get isClosed(): boolean {
    return this.client.destroyed || (this.socket?.destroyed ?? false);
  }

  /** Closes the connection immediately. */
  destroy(): void {
    this.socket?.destroy();
    void this.client.destroy().catch(() => undefined); // Rejects only if it is destroyed already.
  }
}

/** Idle timeout in a `Keep-Alive` header (RFC 2068, in seconds); undefined if it has none. */
function readIdleTimeoutMs(header: string | undefined): number | undefined {
  const seconds = /(?:^|,)\s*timeout=(\d{1,6})(?![\d.])/i.exec(header ?? '')?.[1];
  return seconds === undefined ? undefined : Number(seconds) * MS_PER_SECOND;
}

/** Connections of this host to one incarnation of a target. */
export class TargetConnections {
  private readonly idle: TargetConnection[] = [];
  private readonly busy = new Set<TargetConnection>();
  private isRetired = false;
  /**
   * Whether connections are reused for requests that must not be repeated by the idle timeout that
   * the target announces, instead of only within `nonRepeatableIdleMs`.
   */
  usesAnnouncedTimeout = false;
  /** Number of connections opened since the start. */
  openedCount = 0;

  constructor(
    private readonly address: string,
    private readonly clock: Clock,
    private readonly observer: AnswerObserver,
    private readonly readGate?: ReadGate,
    private readonly timeouts: ConnectionTimeouts = DEFAULT_CONNECTION_TIMEOUTS,
  ) {}

  /**
   * Sends a request. `mayRepeat` allows the use of a connection that has been idle for longer than
   * `nonRepeatableIdleMs`.
   */
  send(request: OutgoingRequest, mayRepeat: boolean): Attempt {
    const {identity} = request;
    const connection = this.takeIdle(mayRepeat, identity?.connections) ?? this.open();
    this.busy.add(connection);
    identity?.connections.add(connection);
    const attempt = new Attempt(this.clock, this.observer, identity?.id, () =>
      this.release(connection),
    );
    connection.client.dispatch(
      {
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: request.headers,
        body: request.body && request.body.length > 0 ? request.body : null,
        idempotent: false,
      },
      attempt.createHandler(connection, request),
    );
    return attempt;
  }

  /** Returns an attempt that fails as unsent, for a request that may not be sent. */
  refuse({identity}: OutgoingRequest, detail: string): Attempt {
    const attempt = new Attempt(this.clock, this.observer, identity?.id, () => undefined);
    attempt.failUnsent(detail);
    return attempt;
  }

  /**
   * Called when the target leaves. Requests whose connection isn't established yet fail as unsent;
   * each connection is closed as soon as it is idle. Later requests use connections of their own.
   */
  retire(): void {
    this.isRetired = true;
    for (const connection of this.idle.splice(0)) connection.destroy();
    this.cancelOpening();
  }

  /** Fails the requests whose connection isn't established yet as unsent. */
  cancelOpening(): void {
    for (const connection of this.busy) connection.cancelOpening();
  }

  /** Takes the idle connection that was used last, unless it is one of `excluded`. */
  private takeIdle(
    mayRepeat: boolean,
    excluded?: ReadonlySet<TargetConnection>,
  ): TargetConnection | undefined {
    const nowMs = this.clock.nowMs();
    const {idleTimeoutMs} = this.timeouts;
    for (let i = this.idle.length - 1; i >= 0; i--) {
      const connection = this.idle[i];
      const idleMs = nowMs - connection.lastUsedMs;
      if (connection.isClosed || idleMs >= idleTimeoutMs) {
        this.idle.splice(i, 1);
        connection.destroy();
        continue;
      }
      if (excluded?.has(connection)) continue;
      if (!mayRepeat && idleMs >= this.nonRepeatableIdleMs(connection)) return undefined;
      this.idle.splice(i, 1);
      return connection;
    }
    return undefined;
  }

  private nonRepeatableIdleMs({announcedIdleMs = 0}: TargetConnection): number {
    const {nonRepeatableIdleMs} = this.timeouts;
    if (!this.usesAnnouncedTimeout) return nonRepeatableIdleMs;
    return Math.max(nonRepeatableIdleMs, announcedIdleMs * NON_REPEATABLE_IDLE_SHARE);
  }

  private open(): TargetConnection {
    const connection: TargetConnection = new TargetConnection(
      this.address,
      this.timeouts,
      this.readGate,
      this.clock.nowMs(),
      () => this.openedCount++,
      () => this.remove(connection),
    );
    return connection;
  }

  private remove(connection: TargetConnection): void {
    const index = this.idle.indexOf(connection);
    if (index >= 0) this.idle.splice(index, 1);
  }

  private release(connection: TargetConnection): void {
    this.busy.delete(connection);
    connection.lastUsedMs = this.clock.nowMs();
    // The socket may be closed in the same turn of the event loop, as after `Connection: close`.
    setImmediate(() => {
      const isUsable = connection.isConnected && !connection.isClosed && connection.isInStep;
      if (this.isRetired || !isUsable) {
        connection.destroy();
        return;
      }
      this.idle.push(connection);
    });
  }
}
