import {createSeededRandom, FailureDomain, toId, VirtualClock} from '@radishgw/core';
import {expect} from 'chai';
import {
  createCapacityState,
  decideCapacity,
  DEFAULT_CAPACITY_SETTINGS,
  EvacuationList,
  recordOrder,
  Service,
  TargetEntry,
} from '../src/index.js';
import {
  createEvacuationView,
  EvacuationView,
  hasReadEvacuations,
  updateEvacuations,
} from '../src/targets/evacuations.js';
import {TargetAccess} from '../src/targets/target-access.js';
import {TargetPool} from '../src/targets/target-pool.js';
import {isAvailable} from '../src/targets/target-state.js';
import {ENGINES, makeEntry, readAnswer} from './fixtures.js';

const domain = (name: string) => toId<FailureDomain>(name);

const listOf = (era: number, revision: number, ...names: string[]): EvacuationList => ({
  era,
  revision,
  evacuations: names.map(name => ({failureDomain: domain(name)})),
});

const active = (view: EvacuationView) => [...view.active.keys()].map(String);

describe('the evacuations that a host knows', () => {
  it('follow the newest list, whatever order lists arrive in', () => {
    // Guards against a slow read that ends an evacuation or brings one back.
    const view = createEvacuationView();
    expect(hasReadEvacuations(view)).to.equal(false);
    updateEvacuations(view, listOf(1, 5), 0);
    expect(hasReadEvacuations(view)).to.equal(true);
    const {started} = updateEvacuations(view, listOf(1, 7, 'a'), 10);
    expect(started.map(({failureDomain}) => failureDomain)).to.deep.equal(['a']);
    updateEvacuations(view, listOf(1, 6), 20);
    expect(active(view)).to.deep.equal(['a']);
    const {ended} = updateEvacuations(view, listOf(1, 8), 510);
    expect(ended).to.deep.equal([{failureDomain: 'a', forMs: 500}]);
    updateEvacuations(view, listOf(1, 7, 'a'), 520);
    expect(active(view)).to.deep.equal([]);
  });

  it('outlast an older copy of the store until their entry is written and removed', () => {
    // Guards against requests to a domain whose evacuation the store has lost.
    const view = createEvacuationView();
    updateEvacuations(view, listOf(1, 9, 'a', 'b'), 0);
    updateEvacuations(view, listOf(2, 4), 100);
    updateEvacuations(view, listOf(2, 5), 5000);
    expect(active(view)).to.deep.equal(['a', 'b']);
    updateEvacuations(view, listOf(2, 6, 'a'), 6000);
    updateEvacuations(view, listOf(2, 7), 7000);
    expect(active(view)).to.deep.equal(['b']);
    // One that nobody writes again doesn't stay for good.
    updateEvacuations(view, listOf(2, 8), 30_100);
    expect(active(view)).to.deep.equal([]);
  });
});

/** Entries of two domains; those of `b` are evacuated. */
const ENTRIES = [
  makeEntry('a', {failureDomain: domain('a')}),
  makeEntry('b', {failureDomain: domain('b')}),
];

describe('the last decision on a request', () => {
  const request = () => ({
    identity: {id: toId<never>('r'), connections: new Set<never>()},
    method: 'POST',
    path: '/',
    headers: [],
    body: undefined,
  });

  function createPool() {
    const clock = new VirtualClock();
    const access = new TargetAccess({
      clock,
      hostKey: 'own',
      coldBounds: {overageFactor: 1, slackRequests: 0},
      hasEvacuations: true,
      findService: () => undefined,
    });
    const log = {write: () => undefined};
    const random = createSeededRandom(1);
    const pool = new TargetPool({clock, log, random, codec: {readAnswer}, access});
    pool.update({revision: 1, entries: ENTRIES}, 0);
    const [a, b] = pool.forService(ENGINES);
    return {pool, a, b};
  }

  it('is no before the evacuations are known', () => {
    // Guards against a host that starts during an evacuation.
    const {pool, a} = createPool();
    expect(isAvailable(a, 0)).to.equal(false);
    expect(pool.send(a, request(), true).attempt.peek()).to.include({wasSent: false});
    pool.applyEvacuations(listOf(1, 1));
    expect(isAvailable(a, 0)).to.equal(true);
  });

  it('is no for calls of the host itself, and for fetches of a cache', () => {
    // Guards against releases, orders and caches that are placed before an evacuation begins.
    const {pool, a, b} = createPool();
    pool.applyEvacuations(listOf(1, 1, 'b'));
    const control = {...request(), identity: undefined};
    const fetch = {...request(), cacheTarget: b};
    for (const sent of [pool.send(b, control, true), pool.send(a, fetch, true)]) {
      expect(sent.attempt.peek()).to.include({type: 'failed', wasSent: false});
      sent.finish('unreachable');
    }
    expect([a.ownRequests, b.ownRequests]).to.deep.equal([0, 0]);
    pool.close();
  });

  it('ends attempts as unsent whose connection is being opened', async () => {
    // Guards against requests that were placed before, and arrive when their connection is open.
    const {pool, b} = createPool();
    pool.applyEvacuations(listOf(1, 1));
    const sent = pool.send(b, request(), true);
    expect(sent.attempt.peek()).to.equal(undefined);
    pool.applyEvacuations(listOf(1, 2, 'b'));
    const event = await sent.attempt.next(1000);
    expect(event).to.include({type: 'failed', wasSent: false});
    sent.finish('unreachable');
    pool.close();
  });
});

describe('capacity during an evacuation', () => {
  const scaled: Service = {
    name: ENGINES,
    connectionLimit: 64,
    engine: {cacheTokens: 0, handleTtlMs: 1, stageSwitchMs: 1},
    scaling: {
      minCount: 1,
      maxCount: 20,
      bootMs: 4000,
      cheapPriceRatio: undefined,
      domainPrices: new Map(),
    },
  };
  const entriesOf = (counts: Record<string, number>): TargetEntry[] =>
    Object.entries(counts).flatMap(([name, count]) =>
      Array.from({length: count}, (_, i) =>
        makeEntry(`${name}-${i}`, {failureDomain: domain(name)}),
      ),
    );

  it('is ordered in the other domains at once, and released when the domain has returned', () => {
    // Guards against too little capacity during an evacuation, and again when it ends.
    const state = createCapacityState(0);
    const step = (nowMs: number, counts: Record<string, number>, ...evacuated: string[]) => {
      const orders = decideCapacity(
        state,
        scaled,
        entriesOf(counts),
        // Demand for twelve engines.
        DEFAULT_CAPACITY_SETTINGS.engineTokensPerSecond * 12,
        DEFAULT_CAPACITY_SETTINGS,
        nowMs,
        new Set(evacuated.map(domain)),
      );
      for (const order of orders) recordOrder(state, order, nowMs);
      return orders.map(({failureDomain, desiredCount}) => `${failureDomain} ${desiredCount}`);
    };
    expect(step(5000, {a: 4, b: 4, c: 4})).to.deep.equal([]);
    expect(step(5100, {a: 4, b: 4, c: 4}, 'b')).to.deep.equal(['a 6', 'c 6']);
    expect(step(10_000, {a: 6, b: 0, c: 6}, 'b')).to.deep.equal([]);
    expect(step(20_000, {a: 6, b: 0, c: 6})).to.deep.equal(['b 4']);
    expect(step(24_000, {a: 6, b: 4, c: 6})).to.deep.equal(['a 4', 'c 4']);
  });

  it('is released after a while if the domain does not return', () => {
    // Guards against a fleet that stays too large.
    const state = createCapacityState(0);
    const step = (nowMs: number, ...evacuated: string[]) =>
      decideCapacity(
        state,
        scaled,
        entriesOf({a: 6, b: 1, c: 6}),
        DEFAULT_CAPACITY_SETTINGS.engineTokensPerSecond * 12,
        DEFAULT_CAPACITY_SETTINGS,
        nowMs,
        new Set(evacuated.map(domain)),
      ).map(({failureDomain, desiredCount}) => `${failureDomain} ${desiredCount}`);
    step(5000, 'b');
    expect(step(10_000)).to.deep.equal(['b 4']);
    expect(step(17_100)).to.deep.equal(['a 4', 'b 4', 'c 4']);
  });
});
