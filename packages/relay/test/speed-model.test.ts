import {expect} from 'chai';
import {HostRecord, omitVolatileFields} from '../src/store/host-registry.js';
import {SpeedModel} from '../src/placing/speed-model.js';
import {decodeRecord} from '../src/store/state-schemas.js';

/** Records responses that take `factor` times as long as expected, one each 200 ms. */
function observe(model: SpeedModel, key: string, factor: number, count: number, nowMs: number) {
  for (let i = 0; i < count; i++) {
    model.recordRatio(key, Math.log(factor), 1, nowMs + 200 * i);
  }
}

function factorOf(model: SpeedModel, keys: readonly string[], nowMs: number): number[] {
  return model.speedsOf(keys, nowMs).map(({timeFactor}) => timeFactor);
}

describe('speed model', () => {
  const others = ['a', 'b', 'c', 'd', 'e'];

  it('learns that a target is slower than the others within a few responses', () => {
    // Guards against a slow target that gets as much work as a fast one.
    const model = new SpeedModel();
    for (const key of others) observe(model, key, 1, 5, 0);
    observe(model, 'slow', 1.7, 5, 0);
    const [slow, usual] = factorOf(model, ['slow', ...others], 1000);
    expect(slow / usual).to.be.within(1.3, 1.75);
  });

  it('does not judge a target by a single response', () => {
    // Guards against one response that places the next fifty requests.
    const model = new SpeedModel();
    for (const key of others) observe(model, key, 1, 5, 0);
    observe(model, 'new', 0.1, 1, 0);
    const [once, usual] = factorOf(model, ['new', ...others], 100);
    expect(once / usual).to.be.greaterThan(0.45);
  });

  it('is moved little by outliers', () => {
    // Guards against a target that counts as slow after a pause of a second.
    const model = new SpeedModel();
    for (const key of others) observe(model, key, 1, 8, 0);
    observe(model, 'a', 50, 1, 1600);
    const [paused, usual] = factorOf(model, others, 1800);
    expect(paused / usual).to.be.lessThan(1.15);
  });

  it('knows what other hosts have observed, and remembers it when they are gone', () => {
    // Guards against hosts that see a target too rarely to learn its speed.
    const hosts = Array.from({length: 10}, () => new SpeedModel());
    const keys = ['slow', ...others];
    for (const [index, host] of hosts.entries()) {
      host.recordRatio(keys[index % 6], index % 6 === 0 ? Math.log(1.7) : 0, 1, 0);
      host.recordRatio('slow', Math.log(1.7), 1, 0);
      host.recordWork('slow', 400, 0);
    }
    const model = new SpeedModel();
    model.applyReports(
      hosts.map(host => host.report(500)),
      500,
    );
    expect(factorOf(model, keys, 500)[0]).to.be.greaterThan(1.3);
    expect(model.speedsOf(keys, 500)[0].utilization).to.be.within(0.4, 0.5);
    for (let nowMs = 1500; nowMs < 20_000; nowMs += 1000) model.applyReports([], nowMs);
    expect(model.speedsOf(keys, 20_000)[0].utilization).to.equal(0);
  });

  it('counts each observation once over many reports', () => {
    // Guards against a weight that grows while nothing is observed.
    const host = new SpeedModel();
    const model = new SpeedModel();
    observe(host, 'a', 2, 10, 0);
    for (let nowMs = 2000; nowMs < 30_000; nowMs += 1000) {
      model.applyReports([host.report(nowMs)], nowMs);
    }
    const direct = new SpeedModel();
    observe(direct, 'a', 2, 10, 0);
    const [shared] = factorOf(model, ['a', 'b'], 30_000);
    const [own] = factorOf(direct, ['a', 'b'], 2000);
    expect(Math.log(shared)).to.be.within(0.6 * Math.log(own), 1.2 * Math.log(own));
  });

  it('forgets the speed of a target that is not used for minutes', () => {
    // Guards against a target that is avoided for good after a slow time.
    const model = new SpeedModel();
    for (const key of others) observe(model, key, 1, 5, 0);
    observe(model, 'slow', 2, 5, 0);
    for (let nowMs = 1000; nowMs < 400_000; nowMs += 1000) model.applyReports([], nowMs);
    const [slow, usual] = factorOf(model, ['slow', ...others], 400_000);
    expect(slow / usual).to.be.lessThan(1.1);
  });

  it('reports a bounded number of targets', () => {
    // Guards against records that grow with the number of targets.
    const model = new SpeedModel();
    for (let i = 0; i < 500; i++) model.recordRatio(`t${i}`, 0, 1, 0);
    expect(Object.keys(model.report(0))).to.have.length(32);
  });
});

describe('observations in the record of a host', () => {
  const record = {
    hostId: 'host',
    incarnation: '1',
    generation: 1,
    failureDomain: 'domain',
    address: '127.0.0.1:1',
    peerAddress: '127.0.0.1:2',
    isReady: true,
    beat: 1,
    madeMs: 1,
    madeWallMs: 1,
    usage: {},
  };

  it('are optional, and dropped alone if they are invalid', () => {
    // Guards against a host that counts as lost as the others can't read its observations.
    const work = {services: ['engines'], targets: {'t 1 127.0.0.1:1': [100, -20, 300]}};
    expect(decodeRecord(record)).to.deep.equal(record);
    expect(decodeRecord({...record, work})?.work).to.deep.equal(work);
    const tooMany = Object.fromEntries(Array.from({length: 100}, (_, i) => [`t${i}`, [1, 1, 1]]));
    for (const targets of [{t: [1, 2]}, {t: [-1, 0, 0]}, {t: ['x', 0, 0]}, 7, tooMany]) {
      const decoded = decodeRecord({...record, work: {services: [], targets}});
      expect(decoded).to.include({hostId: 'host'});
      expect(decoded?.work).to.equal(undefined);
    }
  });

  it('are not shared with the records of the other hosts', () => {
    // Guards against a reader that sends the observations of all hosts to all hosts of its domain.
    const work = {services: [], targets: {t: [1, 1, 1] as const}};
    const own = {...record, work} as unknown as HostRecord;
    expect(omitVolatileFields(own).work).to.equal(undefined);
  });
});
