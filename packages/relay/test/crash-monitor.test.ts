import {AddressInfo, createServer, Server, Socket} from 'node:net';
import {
  createSeededRandom,
  RequestId,
  SILENT_LOG,
  SystemClock,
  TargetId,
  toId,
} from '@radishgw/core';
import {expect} from 'chai';
import {CrashMonitor, ObservedCrash} from '../src/quarantine/crash-monitor.js';
import {RelayMetrics} from '../src/metrics.js';
import {ServiceName} from '../src/index.js';
import {PooledTarget, TargetPool} from '../src/targets/target-pool.js';
import {ENGINES, makeEntry, makeIdentity, readAnswer} from './fixtures.js';

describe('crash monitor', () => {
  const clock = new SystemClock();
  const crashes: ObservedCrash[] = [];
  let monitor: CrashMonitor;
  let server: Server;
  let target: PooledTarget;
  const sockets: Socket[] = [];

  beforeEach(async () => {
    crashes.length = 0;
    const onCrash = (crash: ObservedCrash) => void crashes.push(crash);
    monitor = new CrashMonitor({clock, log: SILENT_LOG, metrics: new RelayMetrics(), onCrash});
    server = createServer(socket => sockets.push(socket.on('error', () => undefined)));
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    const pool = new TargetPool({
      clock,
      log: SILENT_LOG,
      random: createSeededRandom(1),
      codec: {readAnswer},
    });
    const entry = makeEntry('engine', {address: `127.0.0.1:${port}`});
    pool.update({revision: 1, entries: [entry]});
    [target] = pool.forService(ENGINES as ServiceName);
    const identity = makeIdentity(toId<RequestId>('r-1'), ['part']);
    target.runs.set(identity.requestId, {identity, sentMs: 0});
  });
  afterEach(() => {
    for (const socket of sockets.splice(0)) socket.destroy();
    server.close();
  });

  const closeServer = () => new Promise(resolve => server.close(resolve));

  it('takes an engine for crashed that refuses connections, once, with its runs', async () => {
    await closeServer();
    const checks = [monitor.check(target), monitor.check(target)];
    target.runs.clear();
    expect(await Promise.all(checks)).to.deep.equal([true, true]);
    expect(await monitor.check(target)).to.equal(true);
    expect(crashes).to.have.length(1);
    expect(crashes[0].runs).to.have.length(1);
  });

  it('does not take an engine for crashed that has reset its connections', async () => {
    expect(await monitor.check(target)).to.equal(false);
    expect(crashes).to.have.length(0);
  });

  it('sees a crash soon after connections were only reset', async () => {
    expect(await monitor.check(target)).to.equal(false);
    for (const socket of sockets.splice(0)) socket.destroy();
    await closeServer();
    await new Promise(resolve => setTimeout(resolve, 30));
    expect(await monitor.check(target)).to.equal(true);
  });

  it('does not take an engine for crashed that was leaving', async () => {
    target.entry = {...target.entry, id: toId<TargetId>('engine'), isDraining: true};
    await closeServer();
    expect(await monitor.check(target)).to.equal(false);
  });
});
