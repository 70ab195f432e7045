import {AttemptId, BodyBlocks, Clock, createConnector, isValidStatus, Timer} from '@radishgw/core';
import {Client, Dispatcher as HttpDispatcher} from 'undici';
import {describeTargetFault, INVALID_STATUS_FAULT} from '../target-faults.js';
import {EngineEvent, EventDecoder} from './event-decoder.js';

/** Failure of an attempt to run a request on an engine. */
export class EngineError extends Error {
  constructor(
    message: string,
    /** False only if no byte was sent or the engine reported that it didn't run the request. */
    readonly mayHaveRun: boolean,
    readonly statusCode?: number,
    readonly body?: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

/** A request to an engine. */
export interface EngineCall {
  readonly clock: Clock;
  readonly url: string;
  readonly path: string;
  readonly attemptId: AttemptId;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly signal: AbortSignal;
  /** Time without data after which the stream is resumed on a new connection, in milliseconds. */
  readonly progressTimeoutMs: number;
  /** Limit on consecutive failed resumptions; the engine counts as lost after one more. */
  readonly maxFailedResumes: number;
  /**
   * Receives the data of each event once and in order; throws if it is malformed, or an
   * {@link EngineError} if the engine must not be asked again.
   */
  onEvent(data: string): void;
  /** Called after the events of each read; reading pauses until the promise, if any, settles. */
  onBatch(): Promise<unknown> | undefined;
  /** Called as soon as the first byte of the request may have been sent. */
  onSent(): void;
  onResume(afterSequence: number, reason: string, cause?: Error): void;
}

/** One HTTP exchange of a stream; a resumption replaces it by a new one. */
interface Connection {
  readonly client: Client | undefined;
  /** Undefined until the request has started. */
  controller: HttpDispatcher.DispatchController | undefined;
  statusCode: number;
  readonly errorBody: BodyBlocks;
  notRun: boolean;
  ended: boolean;
}

const MAX_EVENT_BYTES = 1_048_576;
const MAX_ERROR_BODY_BYTES = 65_536;
/**
 * Backoff per consecutive failed resumption, as a fraction of the progress timeout, so that a short
 * network fault doesn't exhaust the resumptions.
 */
const RESUME_DELAY_FRACTION = 1 / 8;

/**
 * Sends a request and delivers the events of its response, each once and in order, until `[DONE]`.
 * A silent or broken connection is replaced by a new one that resumes after the last event.
 * Rejects with {@link EngineError}, or with another error when `signal` is aborted.
 */
export function runEngineStream(dispatcher: HttpDispatcher, call: EngineCall): Promise<void> {
  return new Promise((resolve, reject) => {
    new EngineStream(dispatcher, call, resolve, reject).start();
  });
}

class EngineStream {
  private readonly origin: string;
  private current!: Connection;
  private lastSequence = 0;
  private failedResumes = 0;
  private lastActivityMs = 0;
  private isPaused = false;
  private finished = false;
  private sent = false;
  private timer: Timer | undefined;
  private readonly onAbort = () => this.fail(new Error(`aborted: ${this.call.signal.reason}`));

  constructor(
    private readonly dispatcher: HttpDispatcher,
    private readonly call: EngineCall,
    private readonly resolve: () => void,
    private readonly reject: (error: Error) => void,
  ) {
    this.origin = new URL(call.url).origin;
  }

  start(): void {
    if (this.call.signal.aborted) {
      this.onAbort();
      return;
    }
    this.call.signal.addEventListener('abort', this.onAbort);
    this.lastActivityMs = this.call.clock.nowMs();
    this.armTimer(this.call.progressTimeoutMs);
    this.connect(this.dispatcher, undefined, {
      path: this.call.path,
      method: 'POST',
      headers: {...this.call.headers, 'x-radishgw-attempt-id': this.call.attemptId},
      body: this.call.body,
    });
  }

  private connect(
    dispatcher: HttpDispatcher,
    client: Client | undefined,
    options: HttpDispatcher.DispatchOptions,
  ): void {
    const connection: Connection = {
      client,
      controller: undefined,
      statusCode: 0,
      errorBody: new BodyBlocks(),
      notRun: false,
      ended: false,
    };
    this.current = connection;
    const decoder = new EventDecoder(
      this.call.attemptId,
      event => this.handleEvent(connection, event),
      MAX_EVENT_BYTES,
    );
    const exchange = {origin: this.origin, headersTimeout: 0, bodyTimeout: 0, ...options};
    dispatcher.dispatch(exchange, {
      onRequestStart: controller => {
        connection.controller = controller;
        if (!this.isCurrent(connection)) {
          controller.abort(new Error('superseded'));
          return;
        }
        this.sent = true;
        this.lastActivityMs = this.call.clock.nowMs();
        this.call.onSent();
      },
      onResponseStart: (_controller, statusCode, headers) => {
        this.handleHeaders(connection, statusCode, headers);
      },
      onResponseData: (controller, chunk) => {
        this.handleData(connection, decoder, controller, chunk);
      },
      onResponseEnd: () => this.handleEnd(connection),
      onResponseError: (_controller, error) => this.handleError(connection, error),
    });
  }

  /** Whether an exchange is the current one of this stream; a replaced one may still respond. */
  private isCurrent(connection: Connection): boolean {
    return !this.finished && this.current === connection;
  }

  private handleHeaders(
    connection: Connection,
    statusCode: number,
    headers: ResponseHeaders,
  ): void {
    if (!this.isCurrent(connection)) return;
    this.lastActivityMs = this.call.clock.nowMs();
    if (!isValidStatus(statusCode)) {
      if (connection.client) this.resume(INVALID_STATUS_FAULT, true);
      else this.fail(new EngineError(INVALID_STATUS_FAULT, true));
      return;
    }
    connection.statusCode = statusCode;
    connection.notRun = headers['x-radishgw-execution'] === 'not_run';
    const attemptId = headers['x-radishgw-attempt-id'];
    if (attemptId !== undefined && attemptId !== this.call.attemptId) {
      this.resume('response belongs to another attempt', true);
    }
  }

  private handleData(
    connection: Connection,
    decoder: EventDecoder,
    controller: HttpDispatcher.DispatchController,
    chunk: Uint8Array,
  ): void {
    if (!this.isCurrent(connection)) return;
    if (connection.statusCode !== 200) {
      connection.errorBody.push(chunk);
      if (connection.errorBody.byteCount >= MAX_ERROR_BODY_BYTES)
        this.handleErrorAnswer(connection);
      return;
    }
    this.lastActivityMs = this.call.clock.nowMs();
    try {
      decoder.feed(chunk);
    } catch (error) {
      if (error instanceof EngineError) this.fail(error);
      else this.resume((error as Error).message, true);
      return;
    }
    // The last events are sent to the caller together with the end of the response.
    if (this.finished) return;
    const ready = this.call.onBatch();
    if (ready) this.pauseUntil(ready, controller);
  }

  private pauseUntil(ready: Promise<unknown>, controller: HttpDispatcher.DispatchController): void {
    controller.pause();
    this.isPaused = true;
    const resumeReading = () => {
      this.isPaused = false;
      this.lastActivityMs = this.call.clock.nowMs();
      controller.resume();
    };
    ready.then(resumeReading, resumeReading);
  }

  private handleEvent(connection: Connection, event: EngineEvent): void {
    // An engine may repeat events after a resumption, but each is delivered only once.
    if (!this.isCurrent(connection) || event.sequence <= this.lastSequence) return;
    if (event.sequence !== this.lastSequence + 1)
      throw new Error(`gap after event ${this.lastSequence}`);
    if (event.data === '[DONE]') {
      this.finish();
      this.resolve();
      return;
    }
    this.call.onEvent(event.data);
    this.lastSequence = event.sequence;
    this.failedResumes = 0;
  }

  private handleEnd(connection: Connection): void {
    connection.ended = true;
    if (this.finished) this.release(connection);
    if (!this.isCurrent(connection)) return;
    if (connection.statusCode === 200) {
      this.resume('connection ended before the answer was whole', true);
    } else {
      this.handleErrorAnswer(connection);
    }
  }

  /** Handles an answer with a status other than 200, whose body may have been cut off. */
  private handleErrorAnswer(connection: Connection): void {
    const {statusCode, errorBody, notRun} = connection;
    if (!connection.client) {
      const body = errorBody.take().toString();
      this.fail(new EngineError(`status ${statusCode}`, !notRun, statusCode, body));
    } else if (statusCode === 404) {
      this.fail(new EngineError(`engine lost the stream after event ${this.lastSequence}`, true));
    } else {
      this.resume(`resumption was answered with status ${statusCode}`, true);
    }
  }

  private handleError(connection: Connection, error: Error): void {
    connection.ended = true;
    if (!this.isCurrent(connection)) return;
    if (!this.sent) {
      this.fail(createEngineError(describeTargetFault(error), false, error));
      return;
    }
    // If nothing listens at the address any more, the engine's process and its streams are gone.
    const isConnectionRefused = (error as {code?: string}).code === 'ECONNREFUSED';
    const fault = describeTargetFault(error);
    if (isConnectionRefused) this.fail(createEngineError(`engine is gone: ${fault}`, true, error));
    else this.resume(fault, true, error);
  }

  private resume(reason: string, failed: boolean, cause?: Error): void {
    const previous = this.current;
    this.current = {...previous, ended: true};
    closeConnection(previous, reason);
    // An engine that responded to the last resumption is alive and may be prefilling a long prompt.
    this.failedResumes = failed ? this.failedResumes + 1 : 0;
    if (this.failedResumes > this.call.maxFailedResumes) {
      this.fail(
        createEngineError(
          `engine is lost after event ${this.lastSequence}: ${reason}`,
          true,
          cause,
        ),
      );
      return;
    }
    this.call.onResume(this.lastSequence, reason, cause);
    const waitMs =
      Math.max(0, this.failedResumes - 1) * this.call.progressTimeoutMs * RESUME_DELAY_FRACTION;
    this.lastActivityMs = this.call.clock.nowMs() + waitMs;
    if (waitMs === 0) this.reconnect();
    else this.call.clock.setTimer(waitMs, () => !this.finished && this.reconnect());
  }

  /** Opens a new connection, because pooled ones may be as unresponsive as the replaced one. */
  private reconnect(): void {
    const {attemptId, progressTimeoutMs} = this.call;
    const client = new Client(this.origin, {connect: createConnector(progressTimeoutMs)});
    this.connect(client, client, {
      path: `/v1/streams/${encodeURIComponent(attemptId)}?after=${this.lastSequence}`,
      method: 'GET',
      headers: {'x-radishgw-attempt-id': attemptId},
    });
  }

  /** Uses one timer that fires at most once per timeout, which keeps the cost per event low. */
  private armTimer(delayMs: number): void {
    this.timer = this.call.clock.setTimer(delayMs, () => {
      const {clock, progressTimeoutMs} = this.call;
      if (this.isPaused) this.lastActivityMs = clock.nowMs();
      const remainingMs = this.lastActivityMs + progressTimeoutMs - clock.nowMs();
      if (remainingMs <= 0) this.handleTimeout();
      if (!this.finished)
        this.armTimer(Math.max(1, remainingMs > 0 ? remainingMs : progressTimeoutMs));
    });
  }

  private handleTimeout(): void {
    const {progressTimeoutMs} = this.call;
    if (!this.sent) {
      this.fail(new EngineError(`no connection within ${progressTimeoutMs} ms`, false));
      return;
    }
    this.resume(`silent for ${progressTimeoutMs} ms`, this.current.statusCode !== 200);
  }

  private fail(error: Error): void {
    if (this.finished) return;
    this.finish();
    closeConnection(this.current, error.message);
    this.reject(error);
  }

  private finish(): void {
    this.finished = true;
    this.timer?.cancel();
    this.call.signal.removeEventListener('abort', this.onAbort);
    const {current} = this;
    if (current.ended) {
      this.release(current);
      return;
    }
    // A pooled connection isn't aborted at once, so that it can end normally and be reused.
    this.timer = this.call.clock.setTimer(this.call.progressTimeoutMs, () => {
      closeConnection(current, 'response is complete but the connection stays open');
    });
  }

  /** Releases the resources of an ended stream; a pending timer would keep it in memory. */
  private release(connection: Connection): void {
    this.timer?.cancel();
    connection.client?.destroy().catch(() => undefined);
  }
}

function createEngineError(message: string, mayHaveRun: boolean, cause?: Error): EngineError {
  return new EngineError(message, mayHaveRun, undefined, undefined, {cause});
}

type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>;

function closeConnection(connection: Connection, reason: string): void {
  if (!connection.ended) connection.controller?.abort(new Error(reason));
  connection.client?.destroy().catch(() => undefined);
}

/** Cancels an attempt at its engine. */
export async function cancelAttempt(
  dispatcher: HttpDispatcher,
  url: string,
  attemptId: AttemptId,
  timeoutMs: number,
): Promise<void> {
  const response = await dispatcher.request({
    origin: new URL(url).origin,
    path: `/v1/streams/${encodeURIComponent(attemptId)}`,
    method: 'DELETE',
    headersTimeout: timeoutMs,
    bodyTimeout: timeoutMs,
  });
  await response.body.dump();
}
