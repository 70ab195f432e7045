import {once} from 'node:events';
import {AddressInfo, connect} from 'node:net';
import {ReadGate, SystemClock} from '@radishgw/core';
import {expect} from 'chai';
import {ClientServer} from '../src/request/client-server.js';
import {createConfigView} from '../src/store/config-view.js';
import {RelayDependencies} from '../src/request/request-context.js';

describe('ClientServer', () => {
  it('holds back the reading of answers when a client connects', async () => {
    // Guards against clients that wait to be accepted while the answers to others are read.
    const readGate = new ReadGate();
    const {server} = new ClientServer({
      clock: new SystemClock(),
      configView: createConfigView(),
      targets: {readGate},
    } as unknown as RelayDependencies);
    await once(server.listen(0, '127.0.0.1'), 'listening');
    const client = connect((server.address() as AddressInfo).port, '127.0.0.1');
    try {
      const isHeld = new Promise<boolean>(resolve => {
        server.once('connection', () => resolve(!readGate.mayRead(() => undefined)));
      });
      expect(await isHeld).to.equal(true);
    } finally {
      client.destroy();
      server.close();
    }
  });
});
