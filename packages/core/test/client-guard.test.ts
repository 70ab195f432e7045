import {createServer, Server} from 'node:http';
import {AddressInfo, connect, Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {expect} from 'chai';
import {BodyResult, ClientGuard, deriveClientBounds, SystemClock} from '../src/index.js';

const MIB = 1024 * 1024;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;
setFlagsFromString('--no-expose-gc');

describe('ClientGuard', () => {
  let server: Server;
  const clients: Socket[] = [];

  afterEach(() => {
    for (const client of clients.splice(0)) client.destroy();
    server.closeAllConnections();
    server.close();
  });

  /** Sends the start of a body of `statedBytes`; the connection stays open. */
  function startBody(statedBytes: number, sentBytes: number): void {
    const client = connect((server.address() as AddressInfo).port, '127.0.0.1');
    client.on('error', () => undefined);
    client.write(`POST / HTTP/1.1\r\nhost: x\r\ncontent-length: ${statedBytes}\r\n\r\n`);
    client.write(Buffer.alloc(sentBytes));
    clients.push(client);
  }

  async function waitFor(isDone: () => boolean): Promise<void> {
    while (!isDone()) await wait(5);
  }

  // The closures of a request kept the blocks until the client closed its connection.
  it('drops the body of an evicted request whose client stays connected', async () => {
    const results: BodyResult[] = [];
    server = createServer((request, response) => {
      const guarded = guard.begin(request, response)!;
      void guarded.readBody(32 * MIB, Infinity).then(result => results.push(result));
    });
    const bounds = deriveClientBounds({clientMemoryMb: 24});
    const guard = new ClientGuard({server, bounds, clock: new SystemClock(), onFault: () => {}});
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    collectGarbage();
    const before = process.memoryUsage().arrayBuffers;
    startBody(32 * MIB, 20 * MIB);
    await waitFor(() => guard.heldBytes >= 20 * MIB);
    startBody(32 * MIB, 8 * MIB);
    await waitFor(() => results.length === 1);
    expect(results[0].type).to.equal('noMemory');
    await waitFor(() => guard.heldBytes >= 8 * MIB || results.length === 2);
    for (const client of clients) client.pause();
    await wait(50);
    collectGarbage();
    await wait(50);
    collectGarbage();
    const keptBytes = process.memoryUsage().arrayBuffers - before;
    expect(keptBytes).to.be.below(guard.heldBytes + 4 * MIB);
  });
});
