import {once} from 'node:events';
import {AddressInfo, connect, Socket} from 'node:net';
import {issueKey} from '@radishgw/config';
import {createHandlers, createSystemRandom, KeyId, sleep, SystemClock, toId} from '@radishgw/core';
import {expect} from 'chai';
import {CallerServer, CallerServices} from '../src/caller/caller-server.js';
import {DecisionLog} from '../src/operator/decision-log.js';
import {Metrics} from '../src/operator/metrics.js';
import {Refusal} from '../src/request/refusal.js';

/** More than the buffers of both sockets hold. */
const LARGE_ANSWER_BYTES = 16 * 1024 * 1024;

/** A stopping server closes idle connections after half a second. */
const AFTER_GRACE_MS = 800;
const STOP_TIMEOUT_MS = 5000;

/** Time after which a call to the route of {@link CallerServerFixture} is refused. */
const ROUTE_MS = 400;

const ROUTE = {
  routeId: 'slow',
  method: 'GET',
  path: '/slow',
  pool: 'slow',
  idempotent: true,
  access: 'open',
  costTokens: 0,
};

/** A server whose `GET /v1/entry` has an answer of {@link LARGE_ANSWER_BYTES} at least. */
class CallerServerFixture {
  readonly clock = new SystemClock();
  readonly key = issueKey(toId<KeyId>('one'), createSystemRandom());
  finishedCount = 0;
  readonly callerServer = new CallerServer({
    clock: this.clock,
    handlers: createHandlers(this.clock),
    random: createSystemRandom(),
    metrics: new Metrics(),
    decisions: new DecisionLog(this.clock),
    log: {
      write: (event: string) => void (this.finishedCount += Number(event === 'requestFinished')),
    },
    maxInFlight: 10,
    defaultDeadlineMs: 10_000,
    requestTimeoutMs: 10_000,
    maxBodyBytes: 1000,
    tls: undefined,
    config: {
      getRoutes: () => [ROUTE],
      findTeamByKey: () => ({
        teamId: 'team',
        keys: [this.key.record],
        parameters: {maxInFlight: 10},
      }),
    },
    dispatcher: {
      *acquire() {
        yield* sleep(ROUTE_MS);
        throw new Refusal('targetFailed', 'no target');
      },
    },
    checkFreshness: () => undefined,
    listEntryHosts: () => ({hosts: ['x'.repeat(LARGE_ANSWER_BYTES)], maxAgeMs: 1000}),
  } as unknown as CallerServices);

  async open(): Promise<Socket> {
    const {server} = this.callerServer;
    if (!server.listening) await once(server.listen(0, '127.0.0.1'), 'listening');
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    socket.on('error', () => undefined); // Reported by `close`.
    await once(socket, 'connect');
    return socket;
  }

  formatRequest(path: string): string {
    return `GET ${path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${this.key.text}\r\n\r\n`;
  }

  /** Waits until this number of answers have been handed to their connections. */
  async waitForFinished(count: number): Promise<void> {
    while (this.finishedCount < count) await this.sleep(10);
  }

  sleep(delayMs: number): Promise<void> {
    return new Promise(resolve => this.clock.setTimer(delayMs, resolve));
  }
}

describe('CallerServer', function () {
  this.timeout(15_000);

  it('sends whole answers when it stops although their caller reads them late', async () => {
    // Guards against answers that are cut as their connection counts as idle while they are sent.
    const fixture = new CallerServerFixture();
    const socket = await fixture.open();
    socket.pause();
    socket.write(fixture.formatRequest('/v1/entry'));
    await fixture.waitForFinished(1);
    const stopped = fixture.callerServer.stop(STOP_TIMEOUT_MS);
    await fixture.sleep(AFTER_GRACE_MS);
    let receivedBytes = 0;
    socket.on('data', chunk => (receivedBytes += chunk.length));
    socket.resume();
    await once(socket, 'close');
    await stopped;
    expect(receivedBytes).to.be.above(LARGE_ANSWER_BYTES);
  });

  it('answers requests when it stops that were sent ahead of the answer to an earlier one', async () => {
    // Guards against a request that is read, and whose connection is closed with an earlier answer.
    const fixture = new CallerServerFixture();
    const socket = await fixture.open();
    let received = '';
    socket.on('data', chunk => (received += String(chunk)));
    socket.write(fixture.formatRequest('/slow').repeat(2));
    await fixture.sleep(ROUTE_MS / 2);
    expect(fixture.callerServer.getInFlight()).to.equal(2);
    void fixture.callerServer.stop(STOP_TIMEOUT_MS);
    await once(socket, 'close');
    expect(received.split('HTTP/1.1 ')).to.have.length(3);
  });

  it('answers requests that arrive on an open connection after it began to stop', async () => {
    // Guards against a request that is served, and whose connection is closed with an earlier answer.
    const fixture = new CallerServerFixture();
    const socket = await fixture.open();
    let received = '';
    socket.on('data', chunk => (received += String(chunk)));
    socket.write(fixture.formatRequest('/slow'));
    await fixture.sleep(ROUTE_MS / 4);
    void fixture.callerServer.stop(STOP_TIMEOUT_MS);
    await fixture.sleep(ROUTE_MS / 4);
    socket.write(fixture.formatRequest('/slow'));
    await once(socket, 'close');
    const [first, second] = received.split('HTTP/1.1 ').slice(1);
    expect(first.toLowerCase()).to.not.include('connection: close');
    expect(second.toLowerCase()).to.include('connection: close');
  });

  it('serves no request that arrives after an answer has said that it closes the connection', async () => {
    // Guards against a request that runs although its connection is closed before its answer.
    const fixture = new CallerServerFixture();
    const socket = await fixture.open();
    let received = '';
    const ended = fixture.callerServer.stop(STOP_TIMEOUT_MS);
    socket.on('data', chunk => (received += String(chunk)));
    socket.pause();
    socket.write(fixture.formatRequest('/v1/entry'));
    await fixture.waitForFinished(1);
    socket.write(fixture.formatRequest('/slow'));
    await fixture.sleep(ROUTE_MS / 2);
    expect(fixture.callerServer.getInFlight()).to.equal(1);
    socket.resume();
    await once(socket, 'close');
    await ended;
    expect(received.match(/HTTP\/1\.1 /g)).to.have.length(1);
  });

  it('frees the places of requests that were sent ahead when their caller leaves', async () => {
    // Guards against requests that stay in flight for good, so that the host is full or never stops.
    const fixture = new CallerServerFixture();
    const socket = await fixture.open();
    socket.write(fixture.formatRequest('/slow').repeat(3));
    await fixture.sleep(ROUTE_MS / 2);
    expect(fixture.callerServer.getInFlight()).to.equal(3);
    socket.destroy();
    await fixture.sleep(2 * ROUTE_MS);
    expect(fixture.callerServer.getInFlight()).to.equal(0);
    await fixture.callerServer.stop(STOP_TIMEOUT_MS);
  });
});
