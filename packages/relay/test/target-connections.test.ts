import {AddressInfo, createServer, Server, Socket} from 'node:net';
import {expect} from 'chai';
import {RequestId, SystemClock, toId} from '@radishgw/core';
import {
  AttemptEvent,
  TargetConnection,
  TargetConnections,
} from '../src/targets/target-connections.js';
import {readAnswer} from './fixtures.js';

/** Takes each answer for one that names its request. */
const OBSERVER = {
  readAnswer: () => ({...readAnswer([]), requestId: 'r-1'}),
  onAnswer: () => undefined,
};

/** Starts a target that sends arbitrary bytes; `onRequest` gets the index of the request. */
async function startTarget(
  onRequest: (socket: Socket, count: number) => void,
): Promise<{server: Server; address: string}> {
  let count = 0;
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    let pending = '';
    socket.on('data', data => {
      pending += data.toString('latin1');
      while (pending.includes('\r\n\r\n')) {
        pending = pending.slice(pending.indexOf('\r\n\r\n') + 4);
        onRequest(socket, count++);
      }
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return {server, address: `127.0.0.1:${(server.address() as AddressInfo).port}`};
}

const REQUEST = {method: 'GET', path: '/x', headers: ['host', 'h.example'], body: undefined};
const REQUEST_ID = toId<RequestId>('r-1');

const createIdentity = () => ({id: REQUEST_ID, connections: new Set<TargetConnection>()});

async function collect(
  connections: TargetConnections,
  mayRepeat = true,
  identity = createIdentity(),
): Promise<AttemptEvent[]> {
  const attempt = connections.send({...REQUEST, identity}, mayRepeat);
  const events: AttemptEvent[] = [];
  for (;;) {
    const event = await attempt.next(1000);
    events.push(event);
    if (event.type === 'silent') attempt.abort();
    if (event.type === 'end' || event.type === 'failed' || event.type === 'silent') return events;
  }
}

describe('target connections', () => {
  let server: Server | undefined;
  afterEach(() => server?.close());

  async function serve(onRequest: (socket: Socket, count: number) => void) {
    const target = await startTarget(onRequest);
    server = target.server;
    return new TargetConnections(target.address, new SystemClock(), OBSERVER);
  }

  const types = (events: readonly AttemptEvent[]) => events.map(event => event.type);

  it('sends nothing to a target that leaves while the connection opens', async () => {
    // Guards against requests that reach a target later than it may be called.
    let count = 0;
    const connections = await serve(socket => {
      count++;
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
    });
    const attempt = connections.send(REQUEST, true);
    connections.retire();
    const event = await attempt.next(1000);
    expect(event).to.include({type: 'failed', wasSent: false});
    expect(count).to.equal(0);
  });

  it('completes an answer of a target that leaves, and closes its connection then', async () => {
    // Guards against answers that are lost when their target leaves.
    let socketCount = 0;
    const connections = await serve((socket, count) => {
      socketCount = count + 1;
      setTimeout(() => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'), 50);
    });
    const closed = new Promise<void>(resolve =>
      server!.once('connection', socket => socket.once('close', resolve)),
    );
    const attempt = connections.send(REQUEST, true);
    while (socketCount === 0) await new Promise(resolve => setTimeout(resolve, 5));
    connections.retire();
    for (const type of ['head', 'data', 'end']) {
      expect((await attempt.next(1000)).type).to.equal(type);
    }
    const startMs = Date.now();
    await closed;
    expect(Date.now() - startMs).to.be.lessThan(1000);
  });

  it('fails an answer without a length that ends with a reset', async () => {
    // Guards against delivering a truncated answer as complete.
    const connections = await serve(socket => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nhalf', () =>
        setTimeout(() => socket.resetAndDestroy(), 20),
      );
    });
    expect(types(await collect(connections))).to.deep.equal(['head', 'data', 'failed']);
  });

  it('detects a reset that arrives together with the last bytes', async () => {
    // Guards against delivering a truncated answer as complete: libuv reports the reset as an end.
    const connections = await serve(socket => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nhalf', () => socket.resetAndDestroy());
    });
    expect(types(await collect(connections)).at(-1)).to.equal('failed');
  });

  it('completes an answer without a length when the connection is closed', async () => {
    // Guards against losing the answers of targets that end them by closing the connection.
    const connections = await serve(socket => socket.end('HTTP/1.1 200 OK\r\n\r\nwhole'));
    expect(types(await collect(connections))).to.deep.equal(['head', 'data', 'end']);
  });

  for (const end of ['closed', 'reset'] as const) {
    it(`fails a chunked answer without a last chunk when its closing connection is ${end}`, async () => {
      // Guards against delivering a truncated stream as complete: undici ends the body together
      // with a connection that has `Connection: close`.
      const connections = await serve(socket => {
        const head = 'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n';
        socket.write(head + '4\r\nhalf\r\n', () =>
          setTimeout(() => (end === 'reset' ? socket.resetAndDestroy() : socket.end()), 20),
        );
      });
      expect(types(await collect(connections)).at(-1)).to.equal('failed');
    });
  }

  it('fails an answer that is shorter than its content length', async () => {
    // Guards against delivering a truncated answer as complete.
    const connections = await serve(socket => {
      socket.end('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf');
    });
    expect(types(await collect(connections)).at(-1)).to.equal('failed');
  });

  it('does not reuse a connection on which bytes followed the answer', async () => {
    // Guards against taking an additional answer for the answer to the next request.
    const answer = (id: number) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-length: 1\r\n\r\na`;
    const connections = await serve((socket, count) => {
      socket.write(count === 0 ? answer(0) + answer(99) : answer(count));
    });
    for (let i = 0; i < 2; i++) {
      const [head] = await collect(connections);
      expect(head.type === 'head' && head.headers[1]).to.equal(String(i));
      await new Promise(resolve => setTimeout(resolve, 30));
    }
  });

  it('does not reuse a connection whose attempt was aborted while the connection closes', async () => {
    // Guards against requests that fail as they are sent on a connection that is being closed.
    const connections = await serve((socket, count) => {
      if (count > 0) socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
    });
    const attempt = connections.send({...REQUEST, identity: createIdentity()}, true);
    expect(await attempt.next(50)).to.deep.equal({type: 'silent'});
    attempt.abort();
    await new Promise(resolve => setImmediate(resolve));
    expect(types(await collect(connections))).to.deep.equal(['head', 'end']);
    expect(connections.openedCount).to.equal(2);
  });

  for (const status of ['099', '600']) {
    it(`does not reuse a connection after an answer with status ${status}`, async () => {
      // Guards against requests that are sent on a connection while it is being closed.
      const connections = await serve((socket, count) => {
        const line = count === 0 ? `HTTP/1.1 ${status} Status` : 'HTTP/1.1 200 OK';
        socket.write(`${line}\r\ncontent-length: 0\r\n\r\n`);
      });
      const attempt = connections.send({...REQUEST, identity: createIdentity()}, true);
      expect(await attempt.next(1000)).to.include({type: 'failed', wasSent: true});
      await new Promise(resolve => setImmediate(resolve));
      expect(types(await collect(connections))).to.deep.equal(['head', 'end']);
      expect(connections.openedCount).to.equal(2);
    });
  }

  it('does not reuse a connection whose answer names no request', async () => {
    // Guards against a second copy of the answer that is taken for the answer to the next request.
    const sockets = new Set<Socket>();
    const target = await startTarget(socket => {
      sockets.add(socket);
      socket.write('HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n');
    });
    server = target.server;
    const connections = new TargetConnections(target.address, new SystemClock(), {
      readAnswer,
      onAnswer: () => undefined,
    });
    for (let i = 0; i < 3; i++) {
      await collect(connections);
      await new Promise(resolve => setTimeout(resolve, 10));
    }
    expect(sockets.size).to.equal(3);
  });

  it('sends a request that was refused on another connection, and other requests on it', async () => {
    // Guards against a second copy of a refusal that is taken for the answer to the next attempt.
    const sockets: Socket[] = [];
    const connections = await serve(socket => {
      sockets.push(socket);
      socket.write('HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n');
    });
    const identity = createIdentity();
    for (const sent of [identity, identity, createIdentity()]) {
      await collect(connections, true, sent);
      await new Promise(resolve => setTimeout(resolve, 10));
    }
    expect(new Set(sockets.slice(0, 2)).size).to.equal(2);
    expect(new Set(sockets).size).to.equal(2);
  });

  it('does not reuse a connection after an answer to another request', async () => {
    // Guards against a caller that gets the answer that was due to the caller before.
    const sockets = new Set<Socket>();
    const connections = await serve(socket => {
      sockets.add(socket);
      socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
    });
    for (const id of ['r-0', 'r-2']) {
      const identity = {...createIdentity(), id: toId<RequestId>(id)};
      await collect(connections, true, identity);
      await new Promise(resolve => setTimeout(resolve, 10));
    }
    expect(sockets.size).to.equal(2);
  });

  it('sends a request once when the target closes the reused connection', async () => {
    // Guards against running a request twice whose connection was closed while it was sent.
    let requests = 0;
    const connections = await serve((socket, count) => {
      requests++;
      if (count === 0) socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
      else socket.destroy();
    });
    await collect(connections, false);
    await new Promise(resolve => setImmediate(resolve));
    const events = await collect(connections, false);
    expect(events.at(-1)).to.include({type: 'failed', wasSent: true});
    expect(requests).to.equal(2);
  });

  it('reports that nothing was sent when no connection is established', async () => {
    // Guards against failing requests that another target could serve.
    const connections = await serve(() => undefined);
    server?.close();
    await new Promise(resolve => setTimeout(resolve, 20));
    expect((await collect(connections)).at(-1)).to.include({type: 'failed', wasSent: false});
  });

  it('stops waiting for a target that does not answer', async () => {
    // Guards against a request that hangs on an unresponsive connection.
    const connections = await serve(() => undefined);
    expect(types(await collect(connections))).to.deep.equal(['silent']);
  });

  describe('reuse for requests that must not be repeated', () => {
    /** Number of connections for two requests with a pause between them. */
    async function countConnections(keepAlive: string, pauseMs: number, usesAnnounced = true) {
      const target = await startTarget(socket =>
        socket.write(`HTTP/1.1 200 OK\r\nContent-Length: 0\r\n${keepAlive}\r\n`),
      );
      server = target.server;
      const clock = new SystemClock();
      let skippedMs = 0;
      const shifted = {
        nowMs: () => clock.nowMs() + skippedMs,
        setTimer: clock.setTimer.bind(clock),
      } as SystemClock;
      const connections = new TargetConnections(target.address, shifted, OBSERVER);
      connections.usesAnnouncedTimeout = usesAnnounced;
      await collect(connections, false);
      await new Promise(resolve => setTimeout(resolve, 20));
      skippedMs = pauseMs;
      await collect(connections, false);
      connections.retire();
      return connections.openedCount;
    }

    it('follows the idle timeout that the target announces', async () => {
      expect(await countConnections('Keep-Alive: timeout=10\r\n', 4900)).to.equal(1);
      expect(await countConnections('Keep-Alive: max=5, timeout=10\r\n', 4900)).to.equal(1);
    });

    // The target could close the connection just as the request is sent, so that it may have run.
    it('ends well before that timeout', async () => {
      expect(await countConnections('Keep-Alive: timeout=10\r\n', 5100)).to.equal(2);
    });

    it('is brief if the target announces nothing usable', async () => {
      for (const header of ['', 'Keep-Alive: timeout=-1\r\n', 'Keep-Alive: timeout=x\r\n']) {
        expect(await countConnections(header, 1600), header).to.equal(2);
      }
    });

    it('is brief unless the target is known to follow what it announces', async () => {
      expect(await countConnections('Keep-Alive: timeout=10\r\n', 1600, false)).to.equal(2);
    });
  });
});
