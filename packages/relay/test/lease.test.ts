import {expect} from 'chai';
import {createSeededRandom, HostId, toId} from '@radishgw/core';
import {
  acceptLease,
  createLeaseView,
  decideLease,
  heldTerm,
  LeaseRecord,
  LeaseView,
  observeLease,
} from '../src/index.js';

const TIMES = {holdMs: 3000, takeoverMs: 4500};

interface Host {
  readonly hostId: HostId;
  readonly incarnation: string;
  readonly view: LeaseView;
  /** Total time suspended, by which the monotonic clock is behind the wall clock. */
  suspendedMs: number;
  awakeAtMs: number;
}

describe('lease', () => {
  it('never has two holders at once despite suspensions, lost answers and late writes', () => {
    // Guards against two hosts that both act as the holder.
    for (let seed = 1; seed <= 200; seed++) runSeed(seed);
  });

  it('increases the fencing token when another host takes over', () => {
    // Guards against a successor whose calls are rejected as older than its predecessor's.
    const view = createLeaseView();
    const old: LeaseRecord = {holder: toId('a'), incarnation: 'x', term: 4, renewal: 9};
    observeLease(view, old, 10, {monotonicMs: 0, wallMs: 0});
    const self = {hostId: toId<HostId>('b'), incarnation: 'y'};
    expect(decideLease(view, self, TIMES, {monotonicMs: 4400, wallMs: 4400}).type).to.equal('wait');
    const step = decideLease(view, self, TIMES, {monotonicMs: 4500, wallMs: 4500});
    expect(step.type === 'write' && step.record.term).to.equal(5);
  });

  it('is taken over with a higher token when its record can not be used', () => {
    // Guards against a fleet without a holder, and against a token that starts anew.
    const view = createLeaseView();
    observeLease(view, undefined, 812, {monotonicMs: 0, wallMs: 0});
    const self = {hostId: toId<HostId>('b'), incarnation: 'y'};
    expect(decideLease(view, self, TIMES, {monotonicMs: 4400, wallMs: 4400}).type).to.equal('wait');
    const step = decideLease(view, self, TIMES, {monotonicMs: 4500, wallMs: 4500});
    expect(step.type === 'write' && step.record.term).to.equal(813);
  });

  it('is not held any more when its record has been replaced by another writer', () => {
    // Guards against a holder that goes on while another one takes over.
    const view = createLeaseView();
    const now = {monotonicMs: 0, wallMs: 0};
    const own: LeaseRecord = {holder: toId('a'), incarnation: 'x', term: 4, renewal: 9};
    acceptLease(view, own, 10, now);
    expect(heldTerm(view, TIMES, now)).to.equal(4);
    observeLease(view, undefined, 11, now);
    expect(heldTerm(view, TIMES, now)).to.equal(undefined);
  });
});

/** Simulates hosts and a store with random delays; checks for two holders at each step. */
function runSeed(seed: number): void {
  const random = createSeededRandom(seed);
  let stored: {record: LeaseRecord; revision: number} | undefined;
  let revision = 0;
  const lateWrites: {atMs: number; apply(): void}[] = [];
  const hosts: Host[] = ['a', 'b', 'c'].map(name => ({
    hostId: toId<HostId>(name),
    incarnation: `${name}1`,
    view: createLeaseView(),
    suspendedMs: 0,
    awakeAtMs: 0,
  }));
  const put = (record: LeaseRecord, ifRevision: number): number | undefined => {
    if ((stored?.revision ?? 0) !== ifRevision) return undefined;
    stored = {record, revision: ++revision};
    return revision;
  };
  for (let nowMs = 0; nowMs < 120_000; nowMs += 100) {
    for (const write of lateWrites.filter(item => item.atMs <= nowMs)) write.apply();
    lateWrites.splice(0, lateWrites.length, ...lateWrites.filter(item => item.atMs > nowMs));
    for (const host of hosts) {
      const now = {monotonicMs: nowMs - host.suspendedMs, wallMs: nowMs};
      if (nowMs < host.awakeAtMs || random.next() < 0.9) continue;
      if (random.next() < 0.05) {
        const durationMs = random.nextInt(8000);
        host.awakeAtMs = nowMs + durationMs;
        host.suspendedMs += durationMs;
        continue;
      }
      if (random.next() < 0.15) continue; // The read fails.
      observeLease(host.view, stored?.record, stored?.revision ?? 0, now);
      const step = decideLease(host.view, host, TIMES, now);
      if (step.type === 'wait') continue;
      const ifRevision = host.view.revision;
      const outcome = random.next();
      if (outcome < 0.1) {
        lateWrites.push({
          atMs: nowMs + random.nextInt(6000),
          apply: () => put(step.record, ifRevision),
        });
        continue;
      }
      const written = put(step.record, ifRevision);
      const isAnswered = outcome > 0.2;
      if (written !== undefined && isAnswered) acceptLease(host.view, step.record, written, now);
    }
    const holders = hosts.filter(host => {
      const now = {monotonicMs: nowMs - host.suspendedMs, wallMs: nowMs};
      return nowMs >= host.awakeAtMs && heldTerm(host.view, TIMES, now) !== undefined;
    });
    expect(holders.length, `seed ${seed} at ${nowMs}`).to.be.at.most(1);
  }
}
