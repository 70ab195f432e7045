import {expect} from 'chai';
import {StoreEra} from '@radishgw/coordination';
import {FailureDomain, HostId, TeamId, toId, VirtualClock} from '@radishgw/core';
import {
  acceptLease,
  createHostRegistry,
  createLeaseView,
  createTargetView,
  createUsageMemory,
  decideLease,
  HostRecord,
  LeaseRecord,
  listUsageRecords,
  observeLease,
  PeerClient,
  possibleHosts,
  rememberUsage,
  SharedReadAnswer,
  SharedReadQuestion,
  SharedReads,
  TargetList,
  updateHosts,
  updateTargets,
} from '../src/index.js';
import {createHandlers, Ok, Procedure, startTask} from '@radishgw/core';
import {FleetDuties, FleetDutiesDependencies} from '../src/duties/fleet-duties.js';
import {SharedState} from '../src/store/store-sync.js';
import {QuotaOwnership} from '../src/quota/quota-ownership.js';
import {OWNERSHIP_VALIDITY_MS, TAKEOVER_MS} from '../src/quota/quota-times.js';
import {readIntervals} from '../src/store/read-intervals.js';
import {makeEntry} from './fixtures.js';

const TIMES = {holdMs: 3000, takeoverMs: 4500};
const at = (ms: number) => ({monotonicMs: ms, wallMs: ms});

function makeRecord(id: string, fields: Partial<HostRecord> = {}): HostRecord {
  return {
    hostId: toId<HostId>(id),
    incarnation: id,
    generation: 1,
    failureDomain: toId<FailureDomain>('a'),
    address: `${id}:80`,
    peerAddress: `${id}:90`,
    isReady: true,
    beat: 1,
    madeMs: 0,
    madeWallMs: 0,
    usage: {},
    ...fields,
  };
}

describe('older copies of the store', () => {
  describe('and the lease', () => {
    it('gives no token of an era twice after a late write of an earlier era', () => {
      // Guards against a write whose revision was given out again and that lowers the term.
      const self = {hostId: toId<HostId>('c'), incarnation: 'z'};
      const view = createLeaseView();
      const held: LeaseRecord = {holder: toId('b'), incarnation: 'y', era: 2, term: 5, renewal: 3};
      observeLease(view, held, 50, at(0), 2);
      const late: LeaseRecord = {holder: toId('a'), incarnation: 'x', era: 1, term: 4, renewal: 9};
      observeLease(view, late, 51, at(1000), 2);
      const step = decideLease(view, self, TIMES, at(1000 + TIMES.takeoverMs));
      if (step.type !== 'write') throw new Error('lease is not taken over');
      expect(step.record.term).to.be.greaterThan(held.term);
    });

    it('is not taken back from a host that holds it in the era of the copy', () => {
      // Guards against a holder of an earlier era that replaces the one of this era, which acts on.
      const self = {hostId: toId<HostId>('a'), incarnation: 'x'};
      const view = createLeaseView();
      const own: LeaseRecord = {holder: self.hostId, incarnation: 'x', era: 1, term: 4, renewal: 9};
      observeLease(view, own, 10, at(0), 1);
      acceptLease(view, {...own, renewal: 10}, 11, at(0), 1);
      const other: LeaseRecord = {holder: toId('b'), incarnation: 'y', era: 2, term: 8, renewal: 1};
      observeLease(view, other, 9, at(2000), 2);
      expect(decideLease(view, self, TIMES, at(2000)).type).to.equal('wait');
    });

    it('lets no token go back when a host of the version before takes over', () => {
      // Guards against a rolling restart or a rollback after which tokens are below 2 ** 32 again.
      const view = createLeaseView();
      observeLease(view, undefined, 0, at(0), 1);
      const self = {hostId: toId<HostId>('a'), incarnation: 'x'};
      const step = decideLease(view, self, TIMES, at(TIMES.takeoverMs));
      if (step.type !== 'write') throw new Error('lease is not taken');
      // The version before sends the term as its token and ignores the era.
      const successorToken = step.record.term + 1;
      expect(successorToken).to.be.greaterThan(step.record.term);
    });
  });

  describe('and the hosts', () => {
    /** Reads the registry of a host while the other one has lost the store since 900 ms. */
    function possibleAt(nowMs: number, copy: readonly HostRecord[]): readonly string[] {
      const registry = createHostRegistry();
      const other = makeRecord('other', {beat: 7, era: 1});
      updateHosts(registry, [other], at(0), 1);
      for (let readMs = 1000; readMs <= nowMs; readMs += 1000) {
        updateHosts(registry, copy, at(readMs), 2);
      }
      return possibleHosts(registry, nowMs).map(host => host.hostId as string);
    }

    // The other host's record of 900 ms was accepted and then lost, so that it may grant quota.
    const grantsUntilMs = 900 + OWNERSHIP_VALIDITY_MS;

    it('counts a host as an owner while its lost record entitles it to grant quota', () => {
      // Guards against two owners of a team when the earlier one is cut off from the store.
      expect(grantsUntilMs).to.be.greaterThan(4000);
      expect(possibleAt(4000, [makeRecord('other', {beat: 3, era: 1})])).to.include('other');
    });

    it('counts a host that the copy lacks as an owner while its lost record entitles it', () => {
      // Guards against two owners of a team when the earlier one is cut off from the store.
      expect(possibleAt(4000, [])).to.include('other');
    });

    it('lists a host that returns to the version before, which names no era', () => {
      // Guards against a rolled back host that is never ready for the others.
      const registry = createHostRegistry();
      updateHosts(registry, [makeRecord('other', {era: 1, generation: 2})], at(0), 1);
      for (let beat = 1; beat <= 8; beat++) {
        const record = makeRecord('other', {
          generation: 3,
          incarnation: 'r',
          beat,
          madeMs: beat * 1000,
        });
        updateHosts(registry, [record], at(beat * 1000), 1);
      }
      expect(possibleHosts(registry, 8000).map(host => host.incarnation)).to.deep.equal(['r']);
    });
  });

  describe('and quotas', () => {
    it('makes a host wait whose first list has an old record of an owner', () => {
      // Guards against granting a rate twice after a restart right after the copy: the copy was taken
      // within seconds of the first start of the fleet, so that the owner looks like a new host.
      const self = toId<HostId>('c');
      const ownership = new QuotaOwnership(self);
      const old = makeRecord('a', {era: 1, beat: 1, madeMs: 1000});
      const own = makeRecord('c', {era: 2, beat: 1, madeMs: 500});
      ownership.setHosts([old, own], 1000);
      ownership.confirmList(1000, 1000);
      ownership.confirmRecord(at(1000), at(1000));
      const teams = Array.from({length: 20}, (_, i) => toId<TeamId>(`team-${i}`));
      const owned = teams.filter(team => ownership.findOwners(team, 1001)[0].hostId === self);
      expect(owned).to.not.have.length(0);
      const granted = owned.filter(team => ownership.findOwnership(team, at(1001)));
      expect(granted, `granted before ${TAKEOVER_MS} ms are over`).to.deep.equal([]);
    });
  });

  describe('and usage', () => {
    it('keeps the counts of a host that restarts from a copy without its latest ones', () => {
      // Guards against counts that the memory has and a lower sum of the next incarnation replaces.
      const memory = createUsageMemory();
      const read = (era: number, monotonicMs: number, record: HostRecord) =>
        rememberUsage(memory, {era, hosts: [record], frozen: new Map()}, {monotonicMs});
      read(1, 0, makeRecord('b', {era: 1, beat: 9, usage: {7: {team: 30}}}));
      // The copy has 10 of these 30; the new incarnation adds 2 to them.
      read(2, 3000, makeRecord('b', {era: 2, generation: 2, beat: 1, usage: {7: {team: 12}}}));
      const [record] = listUsageRecords(memory);
      expect(record.usage[7].team).to.be.at.least(30);
    });

    /** A holder's duties with a store that is a variable of the test. */
    class Duties {
      readonly clock = new VirtualClock(new Date(30_000));
      readonly frozen: {readonly windowIndex: number; readonly counts: unknown}[] = [];
      readonly reported: {readonly windowIndex: number; readonly counts: unknown}[] = [];
      state: SharedState;
      readonly era = new StoreEra();
      readonly duties: FleetDuties;

      constructor() {
        this.era.observe(1);
        const hostId = toId<HostId>('a');
        const record: LeaseRecord = {holder: hostId, incarnation: 'a', era: 1, term: 1, renewal: 0};
        this.state = {
          era: 1,
          hosts: [makeRecord('a')],
          lease: {record, revision: 5},
          frozen: new Map(),
          evidence: new Map(),
        };
        const deps = {
          hostId,
          incarnation: 'a',
          clock: this.clock,
          log: {write: () => undefined},
          shared: {
            read: () => Promise.resolve(Ok(this.state)),
            writeLease: () => Promise.resolve(Ok(6)),
            freezeWindow: (window: {windowIndex: number; counts: unknown}) => {
              this.frozen.push(window);
              return Promise.resolve(Ok(7));
            },
          },
          duties: {
            reportUsage: (windowIndex: number, counts: unknown) => {
              this.reported.push({windowIndex, counts});
              return Promise.resolve('accepted');
            },
          },
          registry: createHostRegistry(),
          monitor: {recordOutcome: () => undefined},
          reads: {isReader: true, publish: () => undefined},
          era: this.era,
          leaseTimes: TIMES,
          usageWindowMs: 10_000,
          capacity: {*step(): Procedure<void> {}},
          stages: {*step(): Procedure<void> {}},
          onRecords: () => undefined,
          onSharedRecords: () => undefined,
          onEvidence: () => undefined,
          onRenewedRecords: () => undefined,
          fleetNowMs: () => this.clock.now().getTime(),
          onHosts: () => undefined,
          isStopping: () => false,
        } as unknown as FleetDutiesDependencies;
        this.duties = new FleetDuties(deps);
      }
    }

    it('writes final counts again that were frozen right before the copy', async () => {
      // Guards against a later holder that freezes and reports the window with other counts: what
      // this host has written itself, and not read since, is not remembered.
      const fixture = new Duties();
      const task = startTask(fixture.duties.run(), createHandlers(fixture.clock));
      const settle = async (ms: number) => {
        for (let i = 0; i < ms / 50; i++) {
          fixture.clock.advance(50);
          for (let k = 0; k < 30; k++) await Promise.resolve();
        }
      };
      while (fixture.reported.length === 0) await settle(50);
      // The store comes back from a copy before the next read.
      fixture.era.observe(2);
      fixture.state = {...fixture.state, era: 2};
      await settle(3000);
      task.cancel();
      const {windowIndex} = fixture.reported[0];
      const writes = fixture.frozen.filter(window => window.windowIndex === windowIndex);
      expect(writes.length, 'writes of the reported window').to.equal(2);
    });
  });

  describe('and reads that hosts share', () => {
    class Pair {
      readonly clock = new VirtualClock();
      readonly answers: SharedReadAnswer[] = [];
      /** Whether the reader is of the version before, which names no era. */
      isReaderOld = false;
      private readonly record = makeRecord('reader');
      readonly reader = this.createReads('reader');
      readonly follower = this.createReads('follower');

      private createReads(id: string): SharedReads {
        const peers = new PeerClient();
        peers.ask = (_address: string, _path: string, question: unknown) => {
          const answer = this.reader.answer(question as SharedReadQuestion);
          if (!answer) return Promise.reject(new Error('no answer'));
          this.answers.push(answer);
          const text = JSON.stringify(answer, (key, value: unknown) =>
            this.isReaderOld && key === 'era' ? undefined : value,
          );
          return Promise.resolve(JSON.parse(text));
        };
        const era = new StoreEra();
        era.observe(1);
        return new SharedReads({
          hostId: toId<HostId>(id),
          incarnation: `incarnation of ${id}`,
          clock: this.clock,
          log: {write: () => undefined},
          peers,
          intervals: readIntervals(),
          era,
          findReader: () => this.record,
        });
      }

      run<T>(procedure: Procedure<T>): Promise<T> {
        return startTask(procedure, createHandlers(this.clock)).done as Promise<T>;
      }
    }

    const listOf = (revision: number, ...ids: readonly string[]): TargetList => ({
      era: 1,
      revision,
      entries: ids.map(id => makeEntry(id)),
    });

    it('follows the list of a reader of the version before, which names no era', async () => {
      // Guards against a list that stays as it was in a rolling restart until the reader restarts.
      const pair = new Pair();
      pair.isReaderOld = true;
      const view = createTargetView();
      updateTargets(view, listOf(10, 'a'), 0);
      // What the reader and the store have by now; the follower may use either.
      const current = listOf(20, 'a', 'b');
      pair.reader.publish('targets', current, at(0), 1);
      const read = await pair.run(
        pair.follower.read<TargetList>('targets', () => Promise.resolve(Ok(current))),
      );
      if (read.ok) updateTargets(view, read.val.value, 100);
      expect([...view.targets.keys()]).to.deep.equal(['a', 'b']);
    });

    it('sends no entry again that its target has only renewed', async () => {
      // Guards against sending the whole list at each read: live targets renew each 1.2 s.
      const pair = new Pair();
      const ids = Array.from({length: 100}, (_, i) => `target-${i}`);
      for (const revision of [100, 300]) {
        pair.reader.publish('targets', listOf(revision, ...ids), at(pair.clock.nowMs()), 1);
        await pair.run(pair.follower.fetch<TargetList>('targets'));
        pair.clock.advance(500);
      }
      expect(pair.answers.at(-1)!.changed.length).to.equal(0);
    });
  });
});
