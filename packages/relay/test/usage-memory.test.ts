import {expect} from 'chai';
import {FailureDomain, HostId, toId} from '@radishgw/core';
import {
  createUsageMemory,
  FREEZE_DELAY_MS,
  HostRecord,
  listUsageRecords,
  mayFreeze,
  rememberUsage,
} from '../src/index.js';

function makeRecord(id: string, beat: number, count: number): HostRecord {
  return {
    hostId: toId<HostId>(id),
    incarnation: id,
    generation: 1,
    failureDomain: toId<FailureDomain>('a'),
    address: `${id}:80`,
    peerAddress: `${id}:90`,
    isReady: true,
    beat,
    madeMs: beat,
    madeWallMs: beat,
    usage: {7: {team: count}},
  };
}

const window = (windowIndex: number, team: number) => ({windowIndex, counts: {team}});
const countsOf = (records: readonly HostRecord[]) =>
  records.map(({hostId, usage}) => [hostId as string, usage[7].team]);

describe('usage that a host remembers', () => {
  it('is not summed before all hosts can have written again to an older copy', () => {
    // Guards against a window that is reported as empty.
    const memory = createUsageMemory();
    const read = (era: number, monotonicMs: number) =>
      rememberUsage(memory, {era, hosts: [], frozen: new Map()}, {monotonicMs});
    read(1, 0);
    expect(mayFreeze(memory, {monotonicMs: 0})).to.equal(true);
    read(2, 5000);
    read(2, 6000);
    expect(mayFreeze(memory, {monotonicMs: 5000 + FREEZE_DELAY_MS - 1})).to.equal(false);
    expect(mayFreeze(memory, {monotonicMs: 5000 + FREEZE_DELAY_MS})).to.equal(true);
  });

  it('keeps the counts of hosts whose records an older copy lacks', () => {
    // Guards against counts that are lost with their host and the store's latest writes.
    const memory = createUsageMemory();
    const latest = [makeRecord('a', 9, 30), makeRecord('b', 9, 12)];
    rememberUsage(memory, {era: 1, hosts: latest, frozen: new Map()}, {monotonicMs: 0});
    const older = [makeRecord('a', 4, 10)];
    rememberUsage(memory, {era: 2, hosts: older, frozen: new Map()}, {monotonicMs: 3000});
    const written = [makeRecord('a', 12, 34)];
    rememberUsage(memory, {era: 2, hosts: written, frozen: new Map()}, {monotonicMs: 4000});
    expect(countsOf(listUsageRecords(memory))).to.deep.equal([
      ['a', 34],
      ['b', 12],
    ]);
  });

  it('names the final counts of windows that an older copy lacks, once', () => {
    // Guards against a window that is reported a second time with other counts.
    const memory = createUsageMemory();
    const read = (era: number, ...windows: readonly {windowIndex: number}[]) => {
      const frozen = new Map(windows.map(entry => [entry.windowIndex, entry as never]));
      return rememberUsage(memory, {era, hosts: [], frozen}, {monotonicMs: 0});
    };
    expect(read(1, window(5, 1), window(6, 2), window(7, 3))).to.deep.equal([]);
    expect(read(1, window(6, 2), window(7, 3))).to.deep.equal([]);
    expect(read(2, window(5, 1))).to.deep.equal([window(6, 2), window(7, 3)]);
    expect(read(2, window(5, 1))).to.deep.equal([]);
    expect(memory.frozen.get(7)).to.deep.equal(window(7, 3));
  });

  it('keeps final counts beside a window of another writer with a high number', () => {
    // Guards against windows that are frozen again, and never reported, because of one odd entry.
    const memory = createUsageMemory();
    const odd = window(Number.MAX_SAFE_INTEGER, 1);
    for (let index = 5; index < 200; index++) {
      const frozen = new Map([window(index, index), odd].map(entry => [entry.windowIndex, entry]));
      rememberUsage(memory, {era: 1, hosts: [], frozen}, {monotonicMs: index});
      expect(memory.frozen.get(index)).to.deep.equal(window(index, index));
      if (index > 5)
        expect(memory.frozen.get(index - 1)).to.deep.equal(window(index - 1, index - 1));
    }
    expect(memory.frozen.size).to.be.lessThan(100);
  });
});
