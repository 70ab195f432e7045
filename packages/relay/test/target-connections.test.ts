import {AddressInfo, createServer, Server, Socket} from 'node:net';
import {expect} from 'chai';
import {SystemClock} from '@radishgw/core';
import {AttemptEvent, TargetConnections} from '../src/target-connections.js';

/** A target whose bytes the test decides; `onRequest` gets the number of the request. */
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

async function collect(connections: TargetConnections, mayRepeat = true): Promise<AttemptEvent[]> {
  const attempt = connections.send(REQUEST, mayRepeat);
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
    return new TargetConnections(target.address, new SystemClock());
  }

  const types = (events: readonly AttemptEvent[]) => events.map(event => event.type);

  it('does not take an answer without a length as whole when it ends with a reset', async () => {
    // Guards against half an answer that looks complete to the client.
    const connections = await serve(socket => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nhalf', () =>
        setTimeout(() => socket.resetAndDestroy(), 20),
      );
    });
    expect(types(await collect(connections))).to.deep.equal(['head', 'data', 'failed']);
  });

  it('finds a reset that arrives together with the last bytes', async () => {
    // Guards against half an answer that looks complete: libuv reports such a reset as an end.
    const connections = await serve(socket => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nhalf', () => socket.resetAndDestroy());
    });
    expect(types(await collect(connections)).at(-1)).to.equal('failed');
  });

  it('takes an answer without a length as whole when the connection is closed', async () => {
    // Guards against the loss of answers of targets that end them so.
    const connections = await serve(socket => socket.end('HTTP/1.1 200 OK\r\n\r\nwhole'));
    expect(types(await collect(connections))).to.deep.equal(['head', 'data', 'end']);
  });

  for (const end of ['closed', 'reset'] as const) {
    it(`does not take chunks without a last one as whole when a closing connection is ${end}`, async () => {
      // Guards against half a stream that looks complete: undici ends it with such a connection.
      const connections = await serve(socket => {
        const head = 'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n';
        socket.write(head + '4\r\nhalf\r\n', () =>
          setTimeout(() => (end === 'reset' ? socket.resetAndDestroy() : socket.end()), 20),
        );
      });
      expect(types(await collect(connections)).at(-1)).to.equal('failed');
    });
  }

  it('fails an answer that is shorter than its length', async () => {
    // Guards against a cut answer that looks complete.
    const connections = await serve(socket => {
      socket.end('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf');
    });
    expect(types(await collect(connections)).at(-1)).to.equal('failed');
  });

  it('does not reuse a connection on which bytes followed the answer', async () => {
    // Guards against an additional answer that is taken for that of the next request.
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

  it('sends a request once when the target closes its kept connection', async () => {
    // Guards against a second run of a request whose connection was closed as it was sent.
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

  it('tells that nothing was sent when no connection is established', async () => {
    // Guards against giving up requests that another target could serve.
    const connections = await serve(() => undefined);
    server?.close();
    await new Promise(resolve => setTimeout(resolve, 20));
    expect((await collect(connections)).at(-1)).to.include({type: 'failed', wasSent: false});
  });

  it('gives up waiting for a target that is silent', async () => {
    // Guards against a request that hangs on a connection that has gone silent.
    const connections = await serve(() => undefined);
    expect(types(await collect(connections))).to.deep.equal(['silent']);
  });
});
