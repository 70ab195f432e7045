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
import {RequestFingerprint} from '../src/targets/run-identity.js';
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

  it('sees a crash under a run that this host has cancelled', async () => {
    // Guards against requests that crash targets unseen because their clients leave before.
    const [run] = target.runs.values();
    monitor.watchCancelled(target, run);
    await closeServer();
    expect(target.runs.size).to.equal(1);
    await new Promise(resolve => setTimeout(resolve, 700));
    expect(crashes.map(({runs}) => runs)).to.deep.equal([[run]]);
    expect(target.runs.size).to.equal(0);
  });

  it('checks a target once for several cancelled runs, and forgets them if it runs', async () => {
    for (const id of ['r-2', 'r-3', 'r-4']) {
      const identity = makeIdentity(toId<RequestId>(id), []);
      target.runs.set(identity.requestId, {identity, sentMs: 0});
    }
    for (const run of target.runs.values()) monitor.watchCancelled(target, run);
    await new Promise(resolve => setTimeout(resolve, 700));
    expect(sockets).to.have.length(1);
    expect([crashes.length, target.runs.size]).to.deep.equal([0, 0]);
  });

  it('keeps a bounded size of cancelled runs', () => {
    // Guards against clients that fill the memory with large requests which they abandon.
    const body = Buffer.alloc(1024 * 1024);
    for (let i = 0; i < 100; i++) {
      const requestId = toId<RequestId>(`r-${i}`);
      const content = {team: undefined, method: 'POST', host: 'x', path: '/', sharedParts: []};
      const fingerprint = new RequestFingerprint({...content, body});
      const run = {identity: {requestId, sharedParts: [], fingerprint}, sentMs: 0};
      target.runs.set(requestId, run);
      monitor.watchCancelled(target, run);
    }
    expect(target.runs.size).to.equal(8);
  });

  it('keeps a bounded number of parts of cancelled runs', () => {
    // Guards against clients that fill the memory with prompts of many parts which they abandon.
    for (let i = 0; i < 100; i++) {
      const parts = Array.from({length: 2000}, (_, j) => `${i}.${j}`);
      const run = {identity: makeIdentity(toId<RequestId>(`r-${i}`), parts, ''), sentMs: 0};
      target.runs.set(run.identity.requestId, run);
      monitor.watchCancelled(target, run);
    }
    expect(target.runs.size).to.be.within(20, 70);
  });
});
