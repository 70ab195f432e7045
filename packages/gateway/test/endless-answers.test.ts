import {TargetConfig} from '@radishgw/config';
import {
  AnswerMemory,
  AttemptId,
  createConnector,
  createHandlers,
  startTask,
  SystemClock,
  TargetId,
  toId,
} from '@radishgw/core';
import {HttpEngineControl} from '@radishgw/fleet';
import {createEndlessBodies, ENDLESS_HEADS, EndlessServer} from '@radishgw/testkit';
import {expect} from 'chai';
import {setTimeout as wait} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {Agent} from 'undici';
import {LoadPollerDependencies, pollLoads} from '../src/dispatch/load-poller.js';
import {EngineError, runEngineStream} from '../src/engine/engine-stream.js';
import {RequestContext} from '../src/request/context.js';
import {CompletionRelay} from '../src/request/completion-relay.js';
import {sendCall} from '../src/request/service-attempt.js';

const DEADLINE_MS = 1500;

/** Time after the deadline within which an attempt must end. */
const MARGIN_MS = 500;

const ATTEMPT = toId<AttemptId>('attempt');

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;
setFlagsFromString('--no-expose-gc');

/** Number and memory of answers in small pieces; a piece in a list takes a hundred bytes. */
const PIECES = 60_000;
const ANSWERS = 10;
const MAX_KEPT_BYTES = 8 * 1024 * 1024;

describe('endless answers of targets', () => {
  const clock = new SystemClock();
  const server = new EndlessServer();
  const bodies = createEndlessBodies([`x-radishgw-attempt-id: ${ATTEMPT}`]);
  let http: Agent;
  let url: string;

  before(async () => {
    url = `http://${await server.start()}`;
  });
  beforeEach(() => {
    http = new Agent({connections: 256, pipelining: 1, connect: createConnector()});
  });
  afterEach(() => http.destroy());
  after(() => server.stop());

  /** Waits for the end of an attempt and checks that it ended in time, without open connections. */
  async function expectEnd(attempt: Promise<unknown>): Promise<unknown> {
    const startMs = Date.now();
    const result = await attempt.catch((error: unknown) => error);
    expect(Date.now() - startMs).to.be.lessThan(DEADLINE_MS + MARGIN_MS);
    await new Promise(resolve => setTimeout(resolve, MARGIN_MS));
    expect(server.sockets.size).to.equal(0);
    return result;
  }

  const runStream = (onEvent: (data: string) => void = () => undefined) =>
    runEngineStream(http, {
      clock,
      url,
      path: '/v1/chat/completions',
      attemptId: ATTEMPT,
      headers: {},
      body: '{}',
      signal: AbortSignal.timeout(DEADLINE_MS),
      progressTimeoutMs: 300,
      maxFailedResumes: 1,
      onEvent,
      onBatch: () => undefined,
      onSent: () => undefined,
      onResume: () => undefined,
    });

  const callService = (keepCopy: boolean) => {
    const response = {
      destroyed: false,
      writeHead: () => undefined,
      write: () => true,
      end: () => undefined,
    };
    const signal = AbortSignal.timeout(DEADLINE_MS);
    const context = {response, signal, mayHaveRun: false} as unknown as RequestContext;
    return sendCall(http, context, url, {
      clock,
      method: 'GET',
      path: '/',
      headers: {},
      body: Buffer.alloc(0),
      attemptId: ATTEMPT,
      connectTimeoutMs: 300,
      headersTimeoutMs: undefined,
      keepCopy,
    });
  };

  for (const [description, answer] of Object.entries({...ENDLESS_HEADS, ...bodies})) {
    it(`of ${description} end a stream of an engine`, async () => {
      // Guards against a request that an engine holds beyond its deadline.
      server.answer = () => answer;
      expect(await expectEnd(runStream())).to.be.instanceOf(Error);
    });
  }

  it('of an error end a stream as soon as the error is too long', async () => {
    // Guards against an error that is reported only at the deadline of the request.
    server.answer = () => bodies['an error'];
    const error = (await expectEnd(runStream())) as EngineError;
    expect(error).to.be.instanceOf(EngineError);
    expect(error.statusCode).to.equal(500);
  });

  it('of events end a completion that is collected, before it fills the memory', async () => {
    // Guards against a completion without an end that is kept until the deadline.
    const memory = new AnswerMemory(1024 * 1024);
    const context = {response: {}} as RequestContext;
    const request = {model: 'm', stream: false};
    const relay = new CompletionRelay(
      context,
      '/v1/chat/completions',
      request,
      10,
      1,
      memory.open(),
    );
    relay.beginAttempt();
    const content = 'a'.repeat(1000);
    const data = JSON.stringify({choices: [{index: 0, delta: {content}}]});
    let sequence = 0;
    const nextEvents = () =>
      Array.from({length: 100}, () => `id: ${ATTEMPT}:${++sequence}\ndata: ${data}\n\n`).join('');
    const bodyStart = bodies['a body without a length'].start;
    server.answer = () => {
      const events = Array.from({length: 20}, nextEvents).join('');
      return {start: bodyStart + events, repeated: ': \n', intervalMs: 50};
    };
    const error = await expectEnd(runStream(text => relay.add(text)));
    expect(error).to.be.instanceOf(EngineError);
    expect((error as Error).message).to.equal('completion is too large');
  });

  for (const description of ['a body without a length', 'a slow body', 'headers', 'chunks']) {
    it(`of ${description} end a poll of loads`, async () => {
      // Guards against loads that are never polled again because of one target.
      server.answer = () => bodies[description] ?? ENDLESS_HEADS[description];
      const target = {targetId: 't', pool: 'p', kind: 'engine', url} as TargetConfig;
      const countBefore = server.requestCount;
      const poller = startTask(
        pollLoads({
          clock,
          http,
          config: {getBase: () => ({targets: [target]})},
          recordLoadReport: () => undefined,
        } as unknown as LoadPollerDependencies),
        createHandlers(clock),
      );
      const polled = async () => {
        while (server.requestCount === countBefore) await new Promise(r => setTimeout(r, 10));
        while (server.sockets.size > 0) await new Promise(r => setTimeout(r, 10));
      };
      await expectEnd(polled());
      poller.cancel();
    });

    it(`of ${description} end an order to an engine`, async () => {
      // Guards against orders that wait for one engine for ever.
      server.answer = () => bodies[description] ?? ENDLESS_HEADS[description];
      const control = new HttpEngineControl({baseUrlOf: () => url, sendTimeoutMs: DEADLINE_MS});
      const result = await expectEnd(control.readState(toId<TargetId>('t')));
      expect(result).to.have.property('err', true);
    });
  }

  for (const description of [
    'a header',
    'headers',
    'interim answers',
    'a slow header',
    'trailers',
  ]) {
    it(`of ${description} end a call of a service`, async () => {
      // Guards against a call that a service holds beyond its deadline.
      server.answer = () => ENDLESS_HEADS[description] ?? bodies[description];
      const result = await expectEnd(callService(false));
      expect(result).to.be.instanceOf(Error);
    });
  }

  const SMALL_PIECES: Readonly<Record<string, {status: string; send: () => Promise<unknown>}>> = {
    'an error of an engine': {status: '500 Internal Server Error', send: () => runStream()},
    'an answer of a service that is stored': {status: '200 OK', send: () => callService(true)},
  };
  for (const [description, {status, send}] of Object.entries(SMALL_PIECES)) {
    it(`keep little memory for ${description} that comes in chunks of one byte`, async () => {
      // Guards against a list of chunks, which takes far more memory than their bytes.
      const start = `HTTP/1.1 ${status}\r\ntransfer-encoding: chunked\r\n\r\n`;
      server.answer = () => ({start: start + '1\r\na\r\n'.repeat(PIECES), repeated: ''});
      collectGarbage();
      const beforeBytes = process.memoryUsage().heapUsed;
      const ended = Promise.allSettled(Array.from({length: ANSWERS}, send));
      await wait(DEADLINE_MS - 300);
      collectGarbage();
      const keptBytes = process.memoryUsage().heapUsed - beforeBytes;
      await ended;
      expect(keptBytes).to.be.below(MAX_KEPT_BYTES);
    });
  }
});
