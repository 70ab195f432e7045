import {ServerResponse} from 'node:http';
import {
  abortResponse,
  AnswerBody,
  AttemptId,
  BodyBlocks,
  BodyFraming,
  Clock,
  createConnector,
  findFraming,
  isValidStatus,
} from '@radishgw/core';
import {Client, Dispatcher as HttpDispatcher} from 'undici';
import {describeTargetFault, INVALID_STATUS_FAULT} from '../target-faults.js';
import {RequestContext} from './context.js';
import {filterResponseHeaders} from './headers.js';
import {MAX_STORED_BODY_BYTES, StoredResponse} from './idempotency.js';

/** Failure of an attempt to call a service. */
export class ServiceError extends Error {
  constructor(
    message: string,
    /** False only if no byte was sent or the target reported that it didn't run the call. */
    readonly mayHaveRun: boolean,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

/** A call as sent to a target. */
export interface OutgoingCall {
  readonly clock: Clock;
  readonly method: HttpDispatcher.HttpMethod;
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: Buffer;
  readonly attemptId: AttemptId;
  readonly connectTimeoutMs: number;
  /** Timeout for the response headers; undefined to wait until the deadline. */
  readonly headersTimeoutMs: number | undefined;
  /** Whether to return a copy of the response to store for retries. */
  readonly keepCopy: boolean;
}

/** Limit on the size of a target's response body. */
export const MAX_RESPONSE_BYTES = 67_108_864;

/**
 * Sends a call on a new connection, so that no other exchange on the same connection can make it
 * uncertain whether this call was run.
 */
export async function sendOnNewConnection(
  context: RequestContext,
  url: string,
  call: OutgoingCall,
): Promise<StoredResponse | undefined> {
  const client = new Client(new URL(url).origin, {
    pipelining: 1,
    connect: createConnector(call.connectTimeoutMs),
  });
  try {
    return await sendCall(client, context, url, {
      ...call,
      headers: {...call.headers, connection: 'close'},
    });
  } finally {
    client.destroy().catch(() => undefined);
  }
}

/**
 * Sends a call and streams the response to the caller. Rejects with {@link ServiceError}, or with
 * another error when the request is aborted. Resolves to a copy of the response if requested.
 */
export function sendCall(
  dispatcher: HttpDispatcher,
  context: RequestContext,
  url: string,
  call: OutgoingCall,
): Promise<StoredResponse | undefined> {
  return new Promise((resolve, reject) => {
    const {signal} = context;
    const mayHaveRunBefore = context.mayHaveRun;
    let controller: HttpDispatcher.DispatchController | undefined;
    let settled = false;
    let sink: ResponseSink | undefined;
    const finish = (settle: () => void) => {
      if (settled) return;
      settled = true;
      headersTimer?.cancel();
      signal.removeEventListener('abort', onAbort);
      settle();
    };
    const fail = (error: Error) => {
      if (!settled) sink?.abort();
      finish(() => reject(error));
      controller?.abort(error);
    };
    const onAbort = () => fail(new Error(`aborted: ${signal.reason}`));
    const headersTimer =
      call.headersTimeoutMs === undefined
        ? undefined
        : call.clock.setTimer(call.headersTimeoutMs, () => {
            const sent = controller !== undefined;
            fail(new ServiceError(`no response within ${call.headersTimeoutMs} ms`, sent));
          });
    if (signal.aborted) {
      onAbort();
      return;
    }
    signal.addEventListener('abort', onAbort);
    dispatcher.dispatch(
      {
        origin: new URL(url).origin,
        path: call.path,
        method: call.method,
        headers: {...call.headers, 'x-radishgw-attempt-id': call.attemptId},
        body: call.body.length > 0 ? call.body : null,
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      {
        onRequestStart: current => {
          // A second start would send the same attempt twice.
          if (settled || controller) {
            current.abort(new Error('attempt is over'));
            return;
          }
          controller = current;
          context.mayHaveRun = true;
        },
        onResponseStart: (_current, statusCode, headers) => {
          if (settled) return;
          if (!isValidStatus(statusCode)) {
            fail(new ServiceError(INVALID_STATUS_FAULT, true));
            return;
          }
          if (statusCode < 200) return;
          headersTimer?.cancel();
          const attemptId = headers['x-radishgw-attempt-id'];
          if (attemptId !== undefined && attemptId !== call.attemptId) {
            fail(new ServiceError('response belongs to another attempt', true));
          } else if (headers['x-radishgw-execution'] === 'not_run') {
            context.mayHaveRun = mayHaveRunBefore;
            fail(new ServiceError('target refused the call', false));
          } else if (Number(headers['content-length'] ?? 0) > MAX_RESPONSE_BYTES) {
            fail(new ServiceError(`response exceeds ${MAX_RESPONSE_BYTES} bytes`, true));
          } else {
            sink = new ResponseSink(
              context,
              statusCode,
              filterResponseHeaders(headers),
              findFraming(call.method, statusCode, name => joinField(headers[name])),
              call.keepCopy,
            );
          }
        },
        onResponseData: (current, chunk) => {
          if (settled || !sink) return;
          const size = sink.write(chunk, current);
          if (size > MAX_RESPONSE_BYTES) {
            fail(new ServiceError(`response exceeds ${MAX_RESPONSE_BYTES} bytes`, true));
          }
        },
        onResponseEnd: () => {
          const fault = sink?.findBodyFault();
          if (fault) fail(new ServiceError(fault, true));
          else finish(() => resolve(sink?.end()));
        },
        onResponseError: (_current, error) => {
          const fault = describeTargetFault(error);
          fail(new ServiceError(fault, controller !== undefined, {cause: error}));
        },
      },
    );
  });
}

/** Writes a response to the caller and, for retries, to a copy of limited size. */
class ResponseSink {
  private size = 0;
  private readonly copy = new BodyBlocks();
  private readonly response: ServerResponse;
  private readonly body: AnswerBody;

  constructor(
    private readonly context: RequestContext,
    private readonly statusCode: number,
    private readonly headers: Record<string, string | string[]>,
    private readonly framing: BodyFraming,
    private readonly keepCopy: boolean,
  ) {
    this.response = context.response;
    this.body = new AnswerBody({
      status: statusCode,
      contentType: joinField(headers['content-type']),
      contentEncoding: joinField(headers['content-encoding']),
    });
  }

  /** Writes a chunk; returns the size of the body so far. */
  write(chunk: Uint8Array, controller: HttpDispatcher.DispatchController): number {
    this.size += chunk.length;
    this.body.push(chunk);
    this.start();
    if (this.keepCopy && this.size <= MAX_STORED_BODY_BYTES) this.copy.push(chunk);
    else this.copy.clear();
    if (!this.response.destroyed && !this.response.write(chunk)) {
      controller.pause();
      const resume = () => {
        this.response.removeListener('drain', resume);
        this.response.removeListener('close', resume);
        controller.resume();
      };
      this.response.once('drain', resume).once('close', resume);
    }
    return this.size;
  }

  /**
   * Sends the head unless it has been sent or the caller is gone. It isn't sent before the body, so
   * that a retry or an error can take the place of an answer that fails without one.
   */
  private start(): void {
    if (this.response.headersSent || this.response.destroyed) return;
    this.context.firstByteMs = performance.now();
    this.response.writeHead(this.statusCode, this.headers);
  }

  /** Why the body isn't whole although the target ended it; undefined if it is. */
  findBodyFault(): string | undefined {
    return this.body.findFault(this.framing);
  }

  /** Called when the attempt has failed. An error event must not be joined to a broken event. */
  abort(): void {
    if (this.body.isInsideEvent) abortResponse(this.response);
  }

  end(): StoredResponse | undefined {
    this.start();
    this.response.end();
    if (!this.keepCopy) return undefined;
    const isStorable = this.size <= MAX_STORED_BODY_BYTES;
    return {
      statusCode: this.statusCode,
      headers: this.headers,
      ...(isStorable ? {bodyBase64: this.copy.take().toString('base64')} : {}),
    };
  }
}

function joinField(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value.join(', ') : value;
}
