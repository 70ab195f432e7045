import {AttemptId} from '@radishgw/core';
import {createParser} from 'eventsource-parser';
import {Client, Dispatcher as HttpDispatcher} from 'undici';

/** One event of an engine's answer. */
export interface EngineEvent {
  /** Position in the answer, from 1; an engine numbers each event once. */
  readonly sequence: number;
  /** JSON text of an OpenAI chunk, or `[DONE]`. */
  readonly data: string;
}

/** Failure of an attempt at an engine. */
export class EngineError extends Error {
  constructor(
    message: string,
    /** False only if no byte was sent or the engine said that it didn't run the request. */
    readonly mayHaveRun: boolean,
    readonly statusCode?: number,
    readonly body?: string,
  ) {
    super(message);
  }
}

/** A request to an engine. */
export interface EngineCall {
  readonly url: string;
  readonly path: string;
  readonly attemptId: AttemptId;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly signal: AbortSignal;
  /** Silence after which the stream is resumed on a new connection, in milliseconds. */
  readonly progressTimeoutMs: number;
  /** Resumptions without a new event after which the engine counts as lost. */
  readonly maxSilentResumes: number;
  onResume?(afterSequence: number, reason: string): void;
}

const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

class SilenceError extends Error {}

/**
 * Sends a request and gives the events of its answer, each once and in order. A silent or broken
 * connection is replaced by a new one that resumes after the last event.
 */
export async function* streamFromEngine(
  dispatcher: HttpDispatcher,
  call: EngineCall,
): AsyncGenerator<EngineEvent, void> {
  let last = 0;
  let silentResumes = 0;
  let source = openStream(dispatcher, call);
  for (;;) {
    const before = last;
    try {
      for await (const event of source) {
        // A resumed engine may repeat events; each is delivered once.
        if (event.sequence <= last) continue;
        if (event.sequence !== last + 1) throw new Error(`gap after event ${last}`);
        last = event.sequence;
        yield event;
        if (event.data === '[DONE]') return;
      }
      throw new Error('connection ended before the answer was whole');
    } catch (error) {
      if (call.signal.aborted || error instanceof EngineError) throw error;
      silentResumes = last > before ? 0 : silentResumes + 1;
      if (silentResumes > call.maxSilentResumes) {
        throw new EngineError(`engine is silent after event ${last}`, true);
      }
      call.onResume?.(last, (error as Error).message);
    }
    source = resumeStream(call, last);
  }
}

async function* openStream(
  dispatcher: HttpDispatcher,
  call: EngineCall,
): AsyncGenerator<EngineEvent> {
  const {origin} = new URL(call.url);
  yield* readEvents(call, () =>
    dispatcher.request({
      origin,
      path: call.path,
      method: 'POST',
      headers: {...call.headers, 'x-radishgw-attempt-id': call.attemptId},
      body: call.body,
      signal: call.signal,
      headersTimeout: 0,
      bodyTimeout: 0,
    }),
  );
}

/** Uses a connection of its own: pooled ones may be as silent as the one that is given up. */
async function* resumeStream(call: EngineCall, after: number): AsyncGenerator<EngineEvent> {
  const client = new Client(new URL(call.url).origin, {
    connect: {timeout: call.progressTimeoutMs},
  });
  try {
    yield* readEvents(call, () =>
      client.request({
        path: `/v1/streams/${encodeURIComponent(call.attemptId)}?after=${after}`,
        method: 'GET',
        signal: call.signal,
        headersTimeout: call.progressTimeoutMs,
        bodyTimeout: 0,
      }),
    );
  } finally {
    client.destroy().catch(() => undefined);
  }
}

async function* readEvents(
  call: EngineCall,
  send: () => Promise<HttpDispatcher.ResponseData>,
): AsyncGenerator<EngineEvent> {
  const response = await sendOrFail(send);
  if (response.statusCode !== 200) {
    const body = await response.body.text();
    const notRun = response.headers['x-radishgw-execution'] === 'not_run';
    throw new EngineError(`status ${response.statusCode}`, !notRun, response.statusCode, body);
  }
  const queue: EngineEvent[] = [];
  const parser = createParser({
    onEvent: event => queue.push({sequence: Number(event.id), data: event.data}),
  });
  const decoder = new TextDecoder();
  const chunks = response.body[Symbol.asyncIterator]();
  try {
    for (;;) {
      const next = await withSilenceBound(chunks.next(), call.progressTimeoutMs);
      if (next.done) return;
      parser.feed(decoder.decode(next.value as Buffer, {stream: true}));
      while (queue.length > 0) yield queue.shift()!;
    }
  } finally {
    response.body.on('error', () => undefined);
    response.body.destroy();
  }
}

async function sendOrFail(send: () => Promise<HttpDispatcher.ResponseData>) {
  try {
    return await send();
  } catch (error) {
    const code = (error as {code?: string}).code ?? '';
    if (NOT_SENT_CODES.has(code)) throw new EngineError((error as Error).message, false);
    throw error;
  }
}

function withSilenceBound<T>(promise: Promise<T>, boundMs: number): Promise<T> {
  let timer: NodeJS.Timeout;
  const silence = new Promise<never>((_, reject) => {
    timer = setTimeout(() => reject(new SilenceError(`silent for ${boundMs} ms`)), boundMs);
  });
  return Promise.race([promise, silence]).finally(() => clearTimeout(timer));
}

/** Tells an engine that the answer of an attempt isn't wanted any more. */
export async function cancelAttempt(dispatcher: HttpDispatcher, url: string, attemptId: AttemptId) {
  const response = await dispatcher.request({
    origin: new URL(url).origin,
    path: `/v1/streams/${encodeURIComponent(attemptId)}`,
    method: 'DELETE',
  });
  await response.body.dump();
}
