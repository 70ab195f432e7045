import {once} from 'node:events';
import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {AddressInfo, connect, Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import {expect} from 'chai';
import {ClientConnections} from '../src/request/client-connections.js';

const REQUEST = 'GET / HTTP/1.1\r\nhost: x\r\n\r\n';

/** Time in which all that is sent on the loopback interface has been read. */
const READ_MS = 300;

/** Sends a request on a connection of its own, and another one when it is told to. */
const CLIENT = `
const {connect} = require('node:net');
const {workerData, parentPort} = require('node:worker_threads');
const {port, text, signal} = workerData;
const socket = connect(port, '127.0.0.1', () => socket.write(text));
let received = '';
socket.on('data', chunk => (received += chunk));
socket.on('error', () => undefined);
socket.on('close', () => parentPort.postMessage(received));
parentPort.on('message', () => {
  socket.write(text, () => setTimeout(() => {
    Atomics.store(new Int32Array(signal), 0, 1);
    Atomics.notify(new Int32Array(signal), 0);
  }, 250));
});
`;

/** Sends a request on each of many connections at once. */
const MANY_CLIENTS = `
const {connect} = require('node:net');
const {workerData, parentPort} = require('node:worker_threads');
const {port, text, signal, count} = workerData;
const received = new Array(count).fill('');
let sent = 0;
let closed = 0;
for (let i = 0; i < count; i++) {
  const socket = connect(port, '127.0.0.1', () => socket.write(text, () => {
    if (++sent < count) return;
    Atomics.store(new Int32Array(signal), 0, 1);
    Atomics.notify(new Int32Array(signal), 0);
  }));
  socket.on('data', chunk => (received[i] += chunk));
  socket.on('error', () => undefined);
  socket.on('close', () => ++closed === count && parentPort.postMessage(received));
}
`;

/** Serves requests as {@link ClientServer} does, with answers that the test sends. */
class Fixture {
  readonly server: Server = createServer((request, response) => void this.serve(request, response));
  readonly connections = new ClientConnections(this.server);
  readonly clients: Socket[] = [];
  /** Connections as the server has them. */
  readonly accepted: Socket[] = [];
  readCount = 0;
  readonly served: ServerResponse[] = [];
  onServe: (response: ServerResponse) => void = () => undefined;

  constructor() {
    this.server.on('connection', (socket: Socket) => this.accepted.push(socket));
  }

  async open(): Promise<Socket> {
    if (!this.server.listening) await once(this.server.listen(0, '127.0.0.1'), 'listening');
    const accepted = once(this.server, 'connection');
    const socket = connect((this.server.address() as AddressInfo).port, '127.0.0.1');
    socket.on('error', () => undefined); // Reported by `close`.
    this.clients.push(socket);
    await accepted;
    return socket;
  }

  stop(): void {
    for (const socket of this.clients) socket.destroy();
    this.server.close();
    this.server.closeAllConnections();
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.readCount++;
    if (!(await this.connections.begin(request, response))) return;
    this.served.push(response);
    this.onServe(response);
  }
}

describe('ClientConnections', () => {
  let fixture: Fixture;
  beforeEach(() => (fixture = new Fixture()));
  afterEach(() => fixture.stop());

  it('keeps nothing of requests that were sent ahead and have been answered', async () => {
    // Guards against memory that grows with each request until its connection is closed.
    fixture.onServe = response => setImmediate(() => response.end('done'));
    const client = await fixture.open();
    client.resume();
    const initialCount = fixture.accepted[0].listenerCount('close');
    client.write(REQUEST.repeat(100));
    while (fixture.served.length < 100) await wait(10);
    await wait(READ_MS);
    expect(fixture.connections.requestCount).to.equal(0);
    expect(fixture.accepted[0].listenerCount('close')).to.be.at.most(initialCount + 1);
  });

  it('stops reading requests that are sent ahead of an answer', async () => {
    // Guards against a client that fills the memory of the host with requests that wait.
    const client = await fixture.open();
    client.write(REQUEST.repeat(50_000));
    await wait(4 * READ_MS);
    expect(fixture.served).to.have.length(1);
    expect(fixture.readCount).to.be.below(5000);
  });

  it('forgets connections that are closed under requests that wait', async () => {
    // Guards against requests of closed connections that count as in progress.
    const client = await fixture.open();
    client.write(REQUEST.repeat(3));
    await wait(READ_MS);
    expect(fixture.connections.requestCount).to.equal(3);
    client.destroy();
    await wait(READ_MS);
    expect(fixture.connections.requestCount).to.equal(0);
    expect(fixture.served).to.have.length(1);
  });

  it('closes connections of clients that speak HTTP/1.0 or close them as it stops', async () => {
    // Guards against a stop that lasts as long as such connections.
    fixture.onServe = response => void wait(200).then(() => response.end('done'));
    const texts = [
      'GET / HTTP/1.0\r\n\r\n',
      'GET / HTTP/1.0\r\nconnection: keep-alive\r\n\r\n',
      'GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n',
      REQUEST,
      REQUEST + REQUEST,
      '',
      'GET / HTT',
    ];
    const received = await Promise.all(
      texts.map(async text => {
        const client = await fixture.open();
        const chunks: Buffer[] = [];
        client.on('data', chunk => chunks.push(chunk));
        client.write(text);
        const closed = new Promise(resolve => client.once('close', resolve));
        return {chunks, closed};
      }),
    );
    await wait(100);
    void fixture.connections.stopAccepting();
    await Promise.all(received.map(({closed}) => closed));
    expect(fixture.connections.requestCount).to.equal(0);
    const counts = received.map(
      ({chunks}) => Buffer.concat(chunks).toString().split('done').length - 1,
    );
    expect(counts).to.deep.equal([1, 1, 1, 1, 2, 0, 0]);
  });

  it('answers or leaves unread what arrived before it closes an idle connection', async () => {
    // Guards against a host that reads a whole request late and closes its connection under it.
    fixture.onServe = response => response.end('done');
    await once(fixture.server.listen(0, '127.0.0.1'), 'listening');
    const {port} = fixture.server.address() as AddressInfo;
    const signal = new SharedArrayBuffer(4);
    const worker = new Worker(CLIENT, {eval: true, workerData: {port, text: REQUEST, signal}});
    const closed = once(worker, 'message') as Promise<[string]>;
    while (fixture.served.length === 0) await wait(10);
    await wait(READ_MS);
    expect(fixture.connections.requestCount).to.equal(0);
    worker.postMessage('send');
    // Blocks the event loop until the second request has waited for 250 ms.
    Atomics.wait(new Int32Array(signal), 0, 0, 5000);
    void fixture.connections.stopAccepting();
    const [received] = await closed;
    await worker.terminate();
    expect(received.split('done').length - 1).to.equal(fixture.readCount);
  });

  it('answers requests on connections that wait to be accepted as it stops', async () => {
    // Guards against a stop that resets connections on which requests have been sent.
    fixture.onServe = response => response.end('done');
    await once(fixture.server.listen(0, '127.0.0.1'), 'listening');
    const {port} = fixture.server.address() as AddressInfo;
    const signal = new SharedArrayBuffer(4);
    const count = 50;
    const workerData = {port, text: REQUEST, signal, count};
    const worker = new Worker(MANY_CLIENTS, {eval: true, workerData});
    const closed = once(worker, 'message') as Promise<[string[]]>;
    // Blocks the event loop until all requests have been sent.
    Atomics.wait(new Int32Array(signal), 0, 0, 5000);
    expect(fixture.accepted).to.have.length(0);
    await fixture.connections.stopAccepting();
    const [received] = await closed;
    await worker.terminate();
    expect(received.filter(text => text.includes('done'))).to.have.length(count);
  });
});
