import {expect} from 'chai';
import {FailureDomain, HostId, toId} from '@radishgw/core';
import {
  createHostRegistry,
  HOST_TIMEOUT_MS,
  HostRecord,
  HostRegistry,
  possibleHosts,
  readyHosts,
  updateHosts,
} from '../src/index.js';

const INTERVAL_MS = 1000;

/** Longest time for which a lost host may be named after its last record was made. */
const MAX_NAMED_MS = HOST_TIMEOUT_MS + 2 * INTERVAL_MS;

function makeRecord(beat: number, madeMs: number, generation = 1): HostRecord {
  return {
    hostId: toId<HostId>('other'),
    incarnation: String(generation),
    generation,
    failureDomain: toId<FailureDomain>('a'),
    address: 'other:80',
    peerAddress: 'other:90',
    isReady: true,
    beat,
    madeMs,
    madeWallMs: madeMs,
    usage: {},
  };
}

/** Reads a record as the store held it at a time, on clocks that agree. */
function read(registry: HostRegistry, nowMs: number, record: HostRecord): boolean {
  updateHosts(registry, [record], {monotonicMs: nowMs, wallMs: nowMs});
  return readyHosts(registry, nowMs).length === 1;
}

describe('host registry', () => {
  it('does not take a late record for a sign of life', () => {
    // Guards against directories that name a host that is long off because its last write to the
    // store was carried out seconds later: 13 answers on huon-stitch, trouble-3.
    const registry = createHostRegistry();
    const offMs = 3000;
    let namedUntilMs = 0;
    for (let nowMs = 0; nowMs <= 15_000; nowMs += INTERVAL_MS) {
      const isLateDone = nowMs >= 6500;
      const madeMs = Math.min(nowMs, isLateDone ? offMs : offMs - INTERVAL_MS);
      if (read(registry, nowMs, makeRecord(madeMs, madeMs))) namedUntilMs = nowMs;
    }
    expect(namedUntilMs).to.be.within(offMs, offMs + MAX_NAMED_MS);
  });

  it('does not take a record that was left behind for a sign of life', () => {
    // Guards against a host that has just started and names one that was off before.
    const registry = createHostRegistry();
    expect(read(registry, 10_000, makeRecord(5, 3000))).to.equal(false);
    // It may still grant quota, which a host that knows less must not take over.
    expect(possibleHosts(registry, 10_000)).to.have.length(1);
    expect(possibleHosts(registry, 10_000 + HOST_TIMEOUT_MS)).to.have.length(0);
  });

  it('knows a host again that was suspended', () => {
    // Guards against a host that seems lost for good since its clock stood still for some seconds.
    const registry = createHostRegistry();
    const suspendedMs = 6000;
    for (let nowMs = 0; nowMs <= 5000; nowMs += INTERVAL_MS) {
      expect(read(registry, nowMs, makeRecord(nowMs, nowMs))).to.equal(true);
    }
    const listed: boolean[] = [];
    for (let nowMs = 5000 + suspendedMs; nowMs <= 20_000; nowMs += INTERVAL_MS) {
      const madeMs = nowMs - suspendedMs;
      listed.push(read(registry, nowMs, makeRecord(madeMs, madeMs)));
    }
    expect(listed.slice(2)).to.not.include(false);
  });

  it('gives hosts time to return after an outage of the store', () => {
    // Guards against directories that name nobody but the host itself when the store is back, and
    // against hosts that each take the whole bound on extra attempts.
    const registry = createHostRegistry();
    for (let nowMs = 0; nowMs <= 5000; nowMs += INTERVAL_MS) {
      read(registry, nowMs, makeRecord(nowMs, nowMs));
    }
    const backMs = 15_000;
    registry.hasFailedRead = true;
    expect(read(registry, backMs, makeRecord(5000, 5000))).to.equal(true);
    expect(possibleHosts(registry, backMs)).to.have.length(1);
    // A host that was lost within the outage is found then.
    expect(read(registry, backMs + 1000, makeRecord(5000, 5000))).to.equal(true);
    expect(read(registry, backMs + 2000, makeRecord(5000, 5000))).to.equal(false);
  });

  it('knows a host again that has started anew', () => {
    // Guards against a restarted host whose first records seem late.
    const registry = createHostRegistry();
    read(registry, 0, makeRecord(50, 0));
    updateHosts(registry, [{...makeRecord(1, 10, 2), madeWallMs: 9000}], {
      monotonicMs: 9000,
      wallMs: 9000,
    });
    expect(readyHosts(registry, 9000)).to.have.length(1);
  });

  it('ignores a record that is older than the one it knows', () => {
    // Guards against a write that is carried out late and turns a host back to an older state.
    const registry = createHostRegistry();
    read(registry, 1000, {...makeRecord(5, 1000), isReady: false});
    expect(read(registry, 2000, makeRecord(4, 900))).to.equal(false);
  });
});
