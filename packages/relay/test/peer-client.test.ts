import {createServer, Server} from 'node:http';
import {AddressInfo, Socket} from 'node:net';
import {expect} from 'chai';
import {BodyTooLargeError} from '@radishgw/core';
import {PeerClient} from '../src/index.js';

const TIMEOUT_MS = 200;

describe('peer client', () => {
  const peers = new PeerClient();
  const sockets = new Set<Socket>();
  let silentSockets = new Set<Socket>();
  let server: Server;
  let address: string;

  before(async () => {
    server = createServer((request, response) => {
      request.resume();
      if (silentSockets.has(request.socket)) return;
      setTimeout(() => response.end('1'), 20);
    });
    server.on('connection', socket => sockets.add(socket));
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  after(async () => {
    await peers.close();
    server.close();
    server.closeAllConnections();
  });

  it('gives up an answer that never ends before it fills the memory', async () => {
    // Guards against a host that ends because of an answer of another one.
    let writtenBytes = 0;
    const endless = createServer((_request, response) => {
      const chunk = Buffer.alloc(64 * 1024);
      const fill = () => {
        while (!response.destroyed && response.write(chunk)) writtenBytes += chunk.length;
      };
      response.on('drain', fill);
      fill();
    });
    await new Promise<void>(resolve => endless.listen(0, '127.0.0.1', resolve));
    const {port} = endless.address() as AddressInfo;
    const failure = await peers
      .ask(`127.0.0.1:${port}`, '/x', {}, 10_000)
      .catch((error: unknown) => error);
    expect(failure).to.be.instanceOf(BodyTooLargeError);
    expect(writtenBytes).to.be.lessThan(64 * 1024 * 1024);
    endless.close();
  });

  const ask = () => peers.ask<number>(address, '/x', {}, TIMEOUT_MS);

  it('opens a new connection once a request on an open one got no answer', async () => {
    // Guards against requests that fail in turn on each connection that has gone silent.
    await Promise.all(Array.from({length: 12}, ask));
    expect(sockets.size).to.equal(2);
    silentSockets = new Set(sockets);
    const failure = await ask().catch((error: unknown) => error);
    expect(failure).to.be.instanceOf(Error);
    expect(await Promise.all(Array.from({length: 12}, ask))).to.deep.equal(Array(12).fill(1));
  });
});
