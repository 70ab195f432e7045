import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {AddressInfo, Socket} from 'node:net';
import {expect} from 'chai';
import {OrderId, toId} from '@radishgw/core';
import {EngineOrder, HttpEngineControl} from '../src/index.js';
import {ENGINE, PREFILL} from './order-fixture.js';

const ORDER: EngineOrder = {...PREFILL, orderId: toId<OrderId>('1.1.a'), fencingNumber: 4};

describe('HttpEngineControl', () => {
  let server: Server;
  let answer: (request: IncomingMessage, response: ServerResponse, body: string) => void;
  let requests: {line: string; body: string}[];
  let control: HttpEngineControl;

  beforeEach(async () => {
    requests = [];
    server = createServer((request, response) => {
      let body = '';
      request.on('data', (chunk: Buffer) => (body += chunk.toString()));
      request.on('end', () => {
        requests.push({line: `${request.method} ${request.url}`, body});
        answer(request, response, body);
      });
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    const baseUrlOf = () => `http://127.0.0.1:${port}`;
    control = new HttpEngineControl({baseUrlOf, sendTimeoutMs: 300});
  });
  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  it('sends an order as JSON', async () => {
    // Guards against a change of the order's wire format.
    answer = (_request, response) => response.end('{}');
    expect((await control.sendOrder(ENGINE, ORDER, () => true)).ok).to.equal(true);
    expect(requests[0].line).to.equal('POST /v1/orders');
    expect(JSON.parse(requests[0].body)).to.deep.equal(ORDER);
  });

  it('writes nothing when the authority is lost before the connection is made', async () => {
    // Guards against orders that are written after waiting for a connection beyond the authority.
    answer = (_request, response) => response.end('{}');
    const result = await control.sendOrder(ENGINE, ORDER, () => false);
    expect(result.err && result.val.kind).to.equal('unauthorised');
    expect(requests).to.have.length(0);
  });

  it('checks the authority in the event loop turn in which the order is written', async () => {
    // Guards against a client that writes the order in a later turn than the authority check.
    answer = (_request, response) => response.end('{}');
    let turnEnded = false;
    let writtenInTurn: boolean | undefined;
    const {write} = Socket.prototype;
    Socket.prototype.write = function (this: Socket, ...args: unknown[]) {
      if (String(args[0]).startsWith('POST /v1/orders')) writtenInTurn ??= !turnEnded;
      return (write as (...all: unknown[]) => boolean).apply(this, args);
    } as typeof write;
    try {
      await control.sendOrder(ENGINE, ORDER, () => {
        setImmediate(() => (turnEnded = true));
        return true;
      });
    } finally {
      Socket.prototype.write = write;
    }
    expect(writtenInTurn).to.equal(true);
  });

  it('distinguishes refusals from unknown outcomes', async () => {
    // Guards against an unknown outcome that is reported as a refusal, and vice versa.
    const statuses: [number, string][] = [
      [409, 'stale'],
      [422, 'rejected'],
      [500, 'outcomeUnknown'],
      [503, 'notSent'],
    ];
    for (const [status, kind] of statuses) {
      answer = (_request, response) => response.writeHead(status).end();
      const result = await control.sendOrder(ENGINE, ORDER, () => true);
      expect(result.err && result.val.kind, `${status}`).to.equal(kind);
    }
  });

  it('destroys the connection at the send timeout', async () => {
    // Guards against queued bytes of an order that are sent after the timeout.
    const closed = new Promise<void>(resolve => {
      answer = request => request.socket.on('close', () => resolve());
    });
    const result = await control.sendOrder(ENGINE, ORDER, () => true);
    expect(result.err && result.val.kind).to.equal('outcomeUnknown');
    await closed;
  });

  it('reports an engine that does not listen as not sent', async () => {
    // Guards against a refused connection that is reported as an unknown outcome.
    await new Promise<void>(resolve => server.close(() => resolve()));
    const result = await control.sendOrder(ENGINE, ORDER, () => true);
    expect(result.err && result.val.kind).to.equal('notSent');
  });

  it('reads the state and rejects an invalid one', async () => {
    // Guards against decisions based on a state that was parsed wrongly.
    const state = {...PREFILL, orderId: null, activeRequests: 3};
    answer = (_request, response) => response.end(JSON.stringify(state));
    expect((await control.readState(ENGINE)).unwrap()).to.deep.equal(state);
    answer = (_request, response) => response.end('{"role":"unknown"}');
    const result = await control.readState(ENGINE);
    expect(result.err && result.val.kind).to.equal('rejected');
  });
});
