import {expect} from 'chai';
import {createSeededRandom, HostId, toId} from '@radishgw/core';
import {
  acceptLease,
  createLeaseView,
  decideLease,
  fencingToken,
  heldToken,
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
    for (let seed = 1; seed <= 200; seed++) runSeed(seed, 0);
  });

  it('never has two holders at once or one token twice when the store comes back from copies', () => {
    // Guards against a holder that acts on a lease, or a term that is given out again, of a copy.
    for (let seed = 1; seed <= 200; seed++) runSeed(seed, 0.05);
  });

  it('is taken back at once by its holder when the copy lacks the latest renewals', () => {
    // Guards against duties that rest although nobody can have succeeded their holder.
    const view = createLeaseView();
    const self = {hostId: toId<HostId>('a'), incarnation: 'x'};
    const at = (ms: number) => ({monotonicMs: ms, wallMs: ms});
    const own: LeaseRecord = {holder: self.hostId, incarnation: 'x', era: 1, term: 4, renewal: 9};
    observeLease(view, {...own, renewal: 8}, 10, at(0), 1);
    acceptLease(view, own, 11, at(0), 1);
    observeLease(view, {...own, renewal: 5}, 7, at(2000), 2);
    expect(heldToken(view, TIMES, at(2000))).to.equal(undefined);
    const step = decideLease(view, self, TIMES, at(2000));
    expect(step.type === 'write' && step.record.era).to.equal(2);
    expect(decideLease(view, self, TIMES, at(TIMES.takeoverMs)).type).to.equal('wait');
  });

  it('is not taken from a copy that names an earlier holder', () => {
    // Guards against an earlier holder that acts again after its successor.
    const view = createLeaseView();
    const self = {hostId: toId<HostId>('a'), incarnation: 'x'};
    const old: LeaseRecord = {holder: self.hostId, incarnation: 'x', era: 1, term: 4, renewal: 9};
    observeLease(view, {...old, holder: toId('b'), term: 5}, 20, {monotonicMs: 0, wallMs: 0}, 1);
    observeLease(view, old, 12, {monotonicMs: 2000, wallMs: 2000}, 2);
    const step = decideLease(view, self, TIMES, {monotonicMs: 6400, wallMs: 6400});
    expect(step.type).to.equal('wait');
  });

  it('is taken at once at the first start, also if the store names eras', () => {
    // Guards against duties that nobody has for seconds when a fleet starts.
    const view = createLeaseView();
    const now = {monotonicMs: 0, wallMs: 0};
    observeLease(view, undefined, 0, now, 1);
    const self = {hostId: toId<HostId>('a'), incarnation: 'x'};
    expect(decideLease(view, self, TIMES, now).type).to.equal('write');
    view.mayLackRecord = true;
    expect(decideLease(view, self, TIMES, now).type).to.equal('wait');
  });

  it('has higher tokens in each era, also when the copy has lost its record', () => {
    // Guards against a token that two holders have, one of them in the lost seconds.
    const self = {hostId: toId<HostId>('b'), incarnation: 'y'};
    const late = {monotonicMs: 9000, wallMs: 9000};
    const tokens = [1, 2].map(era => {
      const view = createLeaseView();
      observeLease(view, undefined, 0, {monotonicMs: 0, wallMs: 0}, era);
      const step = decideLease(view, self, TIMES, late);
      return step.type === 'write' ? fencingToken(step.record) : NaN;
    });
    expect(tokens[1]).to.be.greaterThan(tokens[0]);
    expect(Number.isSafeInteger(tokens[1])).to.equal(true);
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
    expect(heldToken(view, TIMES, now)).to.equal(4);
    observeLease(view, undefined, 11, now);
    expect(heldToken(view, TIMES, now)).to.equal(undefined);
  });
});

/** Contents of the simulated store. */
interface Stored {
  readonly lease: {readonly record: LeaseRecord; readonly revision: number} | undefined;
  readonly revision: number;
}

/** Maximum age of a copy, in seconds. */
const MAX_COPY_AGE = 10;

/**
 * Simulates hosts and a store with random delays, which comes back from a copy each second with a
 * probability of `copyShare`; checks for two holders and for repeated tokens at each step.
 */
function runSeed(seed: number, copyShare: number): void {
  const random = createSeededRandom(seed);
  let stored: Stored = {lease: undefined, revision: 0};
  let era = copyShare > 0 ? 1 : 0;
  /** Contents at each of the latest seconds, oldest first. */
  const copies: Stored[] = [];
  const hostsByToken = new Map<number, string>();
  let highestToken = 0;
  const lateWrites: {atMs: number; apply(): void}[] = [];
  const hosts: Host[] = ['a', 'b', 'c'].map(name => ({
    hostId: toId<HostId>(name),
    incarnation: `${name}1`,
    view: createLeaseView(),
    suspendedMs: 0,
    awakeAtMs: 0,
  }));
  const put = (record: LeaseRecord, ifRevision: number): number | undefined => {
    if ((stored.lease?.revision ?? 0) !== ifRevision) return undefined;
    const revision = stored.revision + 1;
    stored = {lease: {record, revision}, revision};
    return revision;
  };
  for (let nowMs = 0; nowMs < 120_000; nowMs += 100) {
    if (nowMs % 1000 === 0) {
      copies.push(stored);
      if (copies.length > MAX_COPY_AGE) copies.shift();
      if (random.next() < copyShare) {
        stored = copies[random.nextInt(copies.length)];
        era++;
      }
    }
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
      const {record, revision = 0} = stored.lease ?? {};
      observeLease(host.view, record, revision, now, era);
      // The records of the hosts show it to one that hasn't read the store before.
      if (era > 1) host.view.mayLackRecord = true;
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
      if (written !== undefined && isAnswered) {
        acceptLease(host.view, step.record, written, now, era);
      }
    }
    const holders = hosts.filter(host => {
      const now = {monotonicMs: nowMs - host.suspendedMs, wallMs: nowMs};
      return nowMs >= host.awakeAtMs && heldToken(host.view, TIMES, now) !== undefined;
    });
    expect(holders.length, `seed ${seed} at ${nowMs}`).to.be.at.most(1);
    for (const {view, hostId, suspendedMs} of holders) {
      const token = heldToken(view, TIMES, {monotonicMs: nowMs - suspendedMs, wallMs: nowMs})!;
      expect(token, `seed ${seed} at ${nowMs}`).to.be.at.least(highestToken);
      highestToken = token;
      expect(hostsByToken.get(token) ?? hostId, `seed ${seed} at ${nowMs}`).to.equal(hostId);
      hostsByToken.set(token, hostId);
    }
  }
}
