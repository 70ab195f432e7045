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

/** Maximum time for which a lost host may be listed after it created its last record. */
const MAX_LISTED_MS = HOST_TIMEOUT_MS + 2 * INTERVAL_MS;

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

/** Applies a read of one record with synchronized clocks; returns whether its host is ready. */
function read(registry: HostRegistry, nowMs: number, record: HostRecord): boolean {
  updateHosts(registry, [record], {monotonicMs: nowMs, wallMs: nowMs});
  return readyHosts(registry, nowMs).length === 1;
}

describe('host registry', () => {
  it('does not treat a late record as a sign of life', () => {
    // Guards against directories that list a host long after it stopped because its last write to
    // the store was carried out seconds later. The benchmark scenario trouble-3 on deployment
    // huon-stitch had 13 such answers.
    const registry = createHostRegistry();
    const stoppedMs = 3000;
    let listedUntilMs = 0;
    for (let nowMs = 0; nowMs <= 15_000; nowMs += INTERVAL_MS) {
      const isLateWriteDone = nowMs >= 6500;
      const madeMs = Math.min(nowMs, isLateWriteDone ? stoppedMs : stoppedMs - INTERVAL_MS);
      if (read(registry, nowMs, makeRecord(madeMs, madeMs))) listedUntilMs = nowMs;
    }
    expect(listedUntilMs).to.be.within(stoppedMs, stoppedMs + MAX_LISTED_MS);
  });

  it('does not treat a leftover record as a sign of life', () => {
    // Guards against a host that has just started and lists one that had stopped before.
    const registry = createHostRegistry();
    expect(read(registry, 10_000, makeRecord(5, 3000))).to.equal(false);
    // The host may still grant quota; a host that has just started must not take that over.
    expect(possibleHosts(registry, 10_000)).to.have.length(1);
    expect(possibleHosts(registry, 10_000 + HOST_TIMEOUT_MS)).to.have.length(0);
  });

  it('lists a host again after a suspension', () => {
    // Guards against a host that stays lost because its clock stopped for some seconds.
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

  it('gives hosts time to write again after a store outage', () => {
    // Guards against directories that list only the host itself after the outage, and against hosts
    // that each use the whole budget of extra attempts.
    const registry = createHostRegistry();
    for (let nowMs = 0; nowMs <= 5000; nowMs += INTERVAL_MS) {
      read(registry, nowMs, makeRecord(nowMs, nowMs));
    }
    const backMs = 15_000;
    registry.hasFailedRead = true;
    expect(read(registry, backMs, makeRecord(5000, 5000))).to.equal(true);
    expect(possibleHosts(registry, backMs)).to.have.length(1);
    // A host that was lost during the outage is detected after the grace period.
    expect(read(registry, backMs + 1000, makeRecord(5000, 5000))).to.equal(true);
    expect(read(registry, backMs + 2000, makeRecord(5000, 5000))).to.equal(false);
  });

  it('lists a restarted host', () => {
    // Guards against a restarted host whose first records are treated as late.
    const registry = createHostRegistry();
    read(registry, 0, makeRecord(50, 0));
    updateHosts(registry, [{...makeRecord(1, 10, 2), madeWallMs: 9000}], {
      monotonicMs: 9000,
      wallMs: 9000,
    });
    expect(readyHosts(registry, 9000)).to.have.length(1);
  });

  it('keeps hosts that an older copy of the store lacks until they can have written again', () => {
    // Guards against the rest of the hosts sharing out the limits of all of them.
    const registry = createHostRegistry();
    for (let nowMs = 0; nowMs <= 5000; nowMs += INTERVAL_MS) {
      updateHosts(registry, [makeRecord(nowMs, nowMs)], {monotonicMs: nowMs, wallMs: nowMs}, 1);
    }
    const readAt = (nowMs: number, era: number) => {
      updateHosts(registry, [], {monotonicMs: nowMs, wallMs: nowMs}, era);
      return [readyHosts(registry, nowMs).length, possibleHosts(registry, nowMs).length];
    };
    expect(readAt(8000, 2)).to.deep.equal([1, 1]);
    expect(readAt(9000, 2)).to.deep.equal([1, 1]);
    expect(readAt(9100, 1)).to.deep.equal([1, 1]);
    expect(readAt(10_000, 2)).to.deep.equal([0, 0]);
  });

  it('lists a host that has restarted from an older copy of the store at once', () => {
    // Guards against a generation that is given out again, so that new records count as older.
    const registry = createHostRegistry();
    read(registry, 8000, {...makeRecord(9, 8000, 2), era: 1, isReady: false});
    const restarted = {...makeRecord(1, 100, 2), era: 2, madeWallMs: 9000};
    expect(read(registry, 9000, restarted)).to.equal(true);
    expect(read(registry, 9500, {...makeRecord(10, 9000, 2), era: 1})).to.equal(true);
    expect([...registry.hosts.values()][0].record.beat).to.equal(1);
  });

  it('ignores a record that is older than the one it knows', () => {
    // Guards against a late write that reverts a host to an older state.
    const registry = createHostRegistry();
    read(registry, 1000, {...makeRecord(5, 1000), isReady: false});
    expect(read(registry, 2000, makeRecord(4, 900))).to.equal(false);
  });
});
