import {expect} from 'chai';
import {OrderId, PoolId, FailureDomain, toId} from '@radishgw/core';
import {Platform} from '../src/index.js';

/** A platform under test. */
export interface PlatformUnderTest {
  readonly platform: Platform;
  /** Releases the resources that `create` opened. */
  close?(): Promise<void>;
}

/** Tests that every implementation of `Platform` must pass; `create` returns an empty store. */
export function describePlatformContract(
  name: string,
  create: () => Promise<PlatformUnderTest>,
): void {
  describe(`Platform contract: ${name}`, () => {
    let subject: PlatformUnderTest;
    let platform: Platform;

    beforeEach(async () => {
      subject = await create();
      platform = subject.platform;
    });
    afterEach(async () => subject.close?.());

    it('creates an object only if it is absent', async () => {
      // Guards against two writers that both succeed in creating the same object.
      const first = await platform.put('hosts/a', '{"n":1}', {ifRevision: 0});
      const second = await platform.put('hosts/a', '{"n":2}', {ifRevision: 0});
      expect(second.val).to.deep.equal({kind: 'conflict', revision: first.unwrap()});
      expect((await platform.get('hosts/a')).unwrap().value).to.equal('{"n":1}');
    });

    it('updates an object only at its current revision', async () => {
      // Guards against lost updates.
      const first = (await platform.put('a', '1', {ifRevision: 0})).unwrap();
      const second = (await platform.put('a', '2', {ifRevision: first})).unwrap();
      expect(second).to.be.greaterThan(first);
      const late = await platform.put('a', '3', {ifRevision: first});
      expect(late.val).to.deep.equal({kind: 'conflict', revision: second});
      const absent = await platform.put('b', '1', {ifRevision: second});
      expect(absent.val).to.deep.equal({kind: 'conflict', revision: 0});
    });

    it('removes an object only at its current revision', async () => {
      // Guards against the removal of a successor's object.
      const first = (await platform.put('a', '1')).unwrap();
      const second = (await platform.put('a', '2')).unwrap();
      const late = await platform.remove('a', {ifRevision: first});
      expect(late.val).to.deep.equal({kind: 'conflict', revision: second});
      const removed = (await platform.remove('a', {ifRevision: second})).unwrap();
      expect(removed).to.be.greaterThan(second);
      expect((await platform.get('a')).val).to.deep.equal({kind: 'notFound'});
      expect((await platform.remove('a')).val).to.deep.equal({kind: 'notFound'});
    });

    it('increases revisions across the whole store', async () => {
      // Guards against revisions that can't be compared between objects.
      const first = (await platform.put('a', '1')).unwrap();
      const second = (await platform.put('b', '1')).unwrap();
      expect(second).to.be.greaterThan(first);
      const recreated = (await platform.remove('a')).unwrap();
      expect((await platform.put('a', '1')).unwrap()).to.be.greaterThan(recreated);
    });

    it('lists objects by prefix with the revision of the list', async () => {
      // Guards against a list whose revision a watch can't continue from without a gap.
      await platform.put('shards/2', '2');
      await platform.put('shards/1', '1');
      const last = (await platform.put('hosts/a', '{}')).unwrap();
      const list = (await platform.list('shards/')).unwrap();
      expect(list.objects.map(object => object.key)).to.have.members(['shards/1', 'shards/2']);
      expect(list.revision).to.equal(last);
    });

    it('returns the changes after a revision in order, including removals', async () => {
      // Guards against watches that skip or repeat a change.
      const first = (await platform.put('config/a', '1')).unwrap();
      const second = (await platform.put('config/a', '2')).unwrap();
      await platform.put('other', '1');
      const third = (await platform.remove('config/a')).unwrap();
      const result = (await platform.watch('config/', first, 0)).unwrap();
      expect(result.compacted).to.equal(false);
      expect(result.events.map(event => [event.revision, event.removed])).to.deep.equal([
        [second, false],
        [third, true],
      ]);
      expect(result.revision).to.be.at.least(third);
    });

    it('completes a pending watch when an object changes', async () => {
      // Guards against watches that return a change only after their full wait.
      const revision = (await platform.put('config/a', '1')).unwrap();
      const waiting = platform.watch('config/', revision, 10_000);
      await platform.put('config/a', '2');
      const result = (await waiting).unwrap();
      expect(result.events.map(event => event.value)).to.deep.equal(['2']);
    });

    it('preserves keys with separators and values with arbitrary text', async () => {
      // Guards against adapters that alter keys or values.
      await platform.put('config/teams/a b%2F', '{"text":"ñ 🧵 %20"}');
      const read = (await platform.get('config/teams/a b%2F')).unwrap();
      expect(read.value).to.equal('{"text":"ñ 🧵 %20"}');
      expect((await platform.get('config/teams/a b/')).val).to.deep.equal({kind: 'notFound'});
    });

    it('rejects a value above one megabyte', async () => {
      // Guards against adapters that report a rejection as an outage, which is retried forever.
      const answer = await platform.put('a', JSON.stringify('x'.repeat(1_100_000)));
      expect(answer.err && answer.val.kind).to.equal('rejected');
    });

    it('accepts target orders, usage reports and weight transfers', async () => {
      // Guards against adapters that omit a field that the platform requires.
      const order = {
        orderId: toId<OrderId>('o1'),
        pool: toId<PoolId>('p'),
        failureDomain: toId<FailureDomain>('d'),
        desiredCount: 3,
        cheap: false,
        fencingNumber: 1,
      };
      expect((await platform.orderTargets(order)).ok).to.equal(true);
      expect((await platform.orderTargets(order)).ok).to.equal(true);
      const report = {windowId: '0/1', body: '{}', fencingNumber: 1};
      expect((await platform.reportUsage(report)).ok).to.equal(true);
      const transfer = await platform.reserveWeightTransfer({pool: toId<PoolId>('p'), bytes: 10});
      expect(transfer.unwrap().startDelayMs).to.be.at.least(0);
    });

    it('lists hosts', async () => {
      // Guards against adapters that fail on an empty list.
      expect((await platform.listHosts()).unwrap()).to.be.an('array');
    });
  });
}
