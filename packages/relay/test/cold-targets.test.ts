import {createSeededRandom, RandomSource, toId, VirtualClock} from '@radishgw/core';
import {expect} from 'chai';
import {Service} from '../src/index.js';
import {
  ColdBounds,
  ColdHosts,
  coldShare,
  createColdHosts,
  hasColdShares,
  recordColdHosts,
  recordColdRecord,
} from '../src/targets/cold-shares.js';
import {nextColdMs, preferWarm, TargetAccess} from '../src/targets/target-access.js';
import {TargetPool} from '../src/targets/target-pool.js';
import {createTargetState, isAvailable, TargetState} from '../src/targets/target-state.js';
import {ENGINES, makeEntry, readAnswer} from './fixtures.js';

const RATE = 9.1;
const BOUNDS: ColdBounds = {overageFactor: 1.5, slackRequests: 5};
/** 9.1 x 1.5 + 5 = 18.65. */
const ALLOWED = 18;

const SERVICE: Service = {
  name: ENGINES,
  connectionLimit: 64,
  engine: undefined,
  scaling: undefined,
  coldRequestsPerSecond: RATE,
  coldStartMs: 4000,
};

const at = (ms: number) => ({monotonicMs: ms, wallMs: ms});

/** Largest number of times within one second. */
function maxPerSecond(timesMs: readonly number[]): number {
  const sorted = [...timesMs].sort((a, b) => a - b);
  let first = 0;
  let max = 0;
  sorted.forEach((timeMs, last) => {
    while (timeMs - sorted[first] >= 1000) first++;
    max = Math.max(max, last - first + 1);
  });
  return max;
}

function viewOf(ownKey: string, keys: readonly string[]): ColdHosts {
  const state = createColdHosts(ownKey);
  recordColdHosts(state, keys, at(0));
  return state;
}

const keysOf = (from: number, to: number) =>
  Array.from({length: to - from}, (_, i) => `host-${from + i}/x`);

describe('shares of cold targets', () => {
  const random = createSeededRandom(1);

  for (const count of [1, 2, 3, 5, 8, 9, 10, 16, 60, 75]) {
    it(`add up to half of what is allowed if ${count} hosts send and others are gone`, () => {
      // Guards against hosts that count different hosts and together send more than is allowed.
      for (let round = 0; round < 20; round++) {
        const sending = keysOf(0, count);
        let sum = 0;
        for (const key of sending) {
          const gone = keysOf(100, 130).filter(() => random.next() < 0.5);
          sum += coldShare(viewOf(key, [...sending, ...gone]), `t-${round}`, RATE, BOUNDS);
        }
        expect(sum).to.be.at.most(ALLOWED / 2);
      }
    });
  }

  it('are given out whole and to other hosts for each target', () => {
    // Guards against a target that nobody may send to, and hosts that get all cold targets.
    const keys = keysOf(0, 60);
    const totals = new Map<string, number>();
    for (let target = 0; target < 60; target++) {
      let sum = 0;
      for (const key of keys) {
        const share = coldShare(viewOf(key, keys), `t-${target}`, RATE, BOUNDS);
        totals.set(key, (totals.get(key) ?? 0) + share);
        sum += share;
      }
      expect(sum).to.equal(9);
    }
    expect(Math.min(...totals.values())).to.be.at.least(1);
    expect(Math.max(...totals.values())).to.be.at.most(25);
  });

  it('are none where less than one request is allowed, and at least one otherwise', () => {
    // Guards against rounding that exceeds a small rate or lets nothing through.
    const sum = (rate: number) =>
      keysOf(0, 5).reduce((total, key) => {
        const bounds = {overageFactor: 1, slackRequests: 0};
        return total + coldShare(viewOf(key, keysOf(0, 5)), 't', rate, bounds);
      }, 0);
    expect([0.5, 1, 1.9, 4].map(sum)).to.deep.equal([0, 1, 1, 2]);
  });

  it('are not used by a host that has just started, is cut off or was suspended', () => {
    // Guards against hosts that others don't count, or that don't know the others.
    const state = createColdHosts('own');
    expect(hasColdShares(state, at(0))).to.equal(false);
    recordColdHosts(state, ['own'], at(900));
    recordColdRecord(state, at(900), at(1000));
    expect(hasColdShares(state, at(1000))).to.equal(false);
    for (let ms = 2000; ms <= 6000; ms += 1000) {
      recordColdHosts(state, ['own'], at(ms - 100));
      recordColdRecord(state, at(ms - 100), at(ms));
    }
    expect(hasColdShares(state, at(6000))).to.equal(true);
    // The monotonic clock stops while a host is suspended.
    expect(hasColdShares(state, {monotonicMs: 6000, wallMs: 8500})).to.equal(false);
    // It can't read the records.
    expect(hasColdShares(state, at(8500))).to.equal(false);
    // It can read the records, but its own isn't stored; then it has to settle again.
    recordColdHosts(state, ['own'], at(11_500));
    expect(hasColdShares(state, at(11_500))).to.equal(false);
    recordColdRecord(state, at(11_500), at(11_600));
    expect(hasColdShares(state, at(11_600))).to.equal(false);
  });
});

/** A host that reads the records of the others and sends what it may. */
interface SimulatedHost {
  readonly key: string;
  readonly startMs: number;
  /** From then on it is gone. */
  readonly killMs: number;
  /** From then on it can't reach the store, but targets. */
  readonly cutMs: number;
  readonly readOffsetMs: number;
  readonly readDelayMs: number;
  readonly access: TargetAccess;
  readonly target: TargetState;
}

interface Simulation {
  readonly arrivalsMs: number[];
  readonly wanted: number;
}

/** Plays hosts that share one cold target; `wants` says whether a host has a request now. */
function simulate(
  random: RandomSource,
  specs: readonly Pick<SimulatedHost, 'startMs' | 'killMs' | 'cutMs'>[],
  durationMs: number,
  wants: () => boolean,
): Simulation {
  const stepMs = 20;
  const clock = new VirtualClock();
  /** Times of the latest stored record of each host, and its history. */
  const recordsMs = new Map<string, number[]>();
  const hosts: SimulatedHost[] = specs.map((spec, i) => {
    const key = `host-${i}/x`;
    const access = new TargetAccess({
      clock,
      hostKey: key,
      coldBounds: BOUNDS,
      hasEvacuations: false,
      findService: () => SERVICE,
    });
    const target = createTargetState(makeEntry('cold'), 0);
    target.coldUntilMs = Infinity;
    target.gate = access.createGate(target);
    const readOffsetMs = Math.floor(random.next() * 50) * stepMs;
    return {...spec, key, access, target, readOffsetMs, readDelayMs: random.next() * 1500};
  });
  const arrivalsMs: number[] = [];
  let wanted = 0;
  for (let nowMs = 0; nowMs < durationMs; nowMs += stepMs) {
    clock.runUntil(nowMs);
    for (const host of hosts) {
      if (nowMs < host.startMs || nowMs >= host.killMs) continue;
      if (nowMs % 1000 === host.readOffsetMs && nowMs < host.cutMs) {
        recordsMs.set(host.key, [...(recordsMs.get(host.key) ?? []), nowMs]);
        host.access.recordStored(at(nowMs));
        const asOfMs = nowMs - host.readDelayMs;
        const listed = [...recordsMs].filter(([, times]) => {
          const latestMs = Math.max(...times.filter(timeMs => timeMs <= asOfMs));
          return asOfMs - latestMs < 3500;
        });
        host.access.recordHosts(
          listed.map(([key]) => key),
          at(asOfMs),
        );
      }
      if (!wants()) continue;
      wanted++;
      if (!isAvailable(host.target, nowMs)) continue;
      host.target.gate!.recordSent(nowMs);
      arrivalsMs.push(nowMs + random.next() * 400);
    }
  }
  return {arrivalsMs, wanted};
}

describe('a cold target', () => {
  const always = {startMs: 0, killMs: Infinity, cutMs: Infinity};

  for (const [state, spec] of Object.entries({
    run: () => always,
    'start at once': () => always,
    'start one after another': (i: number) => ({...always, startMs: i * 300}),
    'are killed and cut off': (i: number) => ({
      startMs: (i % 7) * 1000,
      killMs: i % 3 === 1 ? 9000 + i * 100 : Infinity,
      cutMs: i % 3 === 2 ? 9000 + i * 100 : Infinity,
    }),
    'are replaced': (i: number) => ({
      startMs: i < 60 ? 0 : 10_000,
      killMs: i < 60 && i % 2 === 0 ? 10_000 : Infinity,
      cutMs: i < 60 && i % 2 === 1 ? 10_000 : Infinity,
    }),
  })) {
    for (const count of [2, 12, 75]) {
      it(`gets no more than is allowed in any second if ${count} hosts ${state}`, () => {
        // Guards against targets that crash because all hosts send to them at once.
        const random = createSeededRandom(count);
        const specs = Array.from({length: count}, (_, i) => spec(i));
        const {arrivalsMs} = simulate(random, specs, 30_000, () => true);
        expect(maxPerSecond(arrivalsMs)).to.be.within(1, ALLOWED);
      });
    }
  }

  it('is not starved if 60 hosts have 5 requests a second', () => {
    // Guards against shares of hosts that have no requests while the others have none.
    const random = createSeededRandom(3);
    const specs = Array.from({length: 60}, () => always);
    const wants = () => random.next() < 5 / 60 / 50;
    const {arrivalsMs, wanted} = simulate(random, specs, 120_000, wants);
    expect(wanted).to.be.within(500, 700);
    // Nine of 60 hosts send.
    expect(arrivalsMs.length).to.be.at.least(wanted / 10);
  });
});

/** A pool of a host that has settled as the only one, so that it may send nine requests in 1.5 s. */
function createPool(service: Service = SERVICE) {
  const clock = new VirtualClock();
  const access = new TargetAccess({
    clock,
    hostKey: 'own',
    coldBounds: BOUNDS,
    hasEvacuations: false,
    findService: () => service,
  });
  const lines: string[] = [];
  const pool = new TargetPool({
    clock,
    log: {write: event => void lines.push(event)},
    random: createSeededRandom(1),
    codec: {readAnswer},
    access,
  });
  const settle = () => {
    for (let i = 0; i < 6; i++) {
      clock.advance(1000);
      access.recordHosts(['own'], at(clock.nowMs()));
      access.recordStored(at(clock.nowMs()));
    }
  };
  settle();
  const find = (id: string) => pool.forService(ENGINES).find(({entry}) => entry.id === id)!;
  const request = () => ({
    identity: {id: toId<never>('r'), connections: new Set<never>()},
    method: 'POST',
    path: '/',
    headers: [],
    body: undefined,
  });
  return {clock, pool, settle, lines, find, request};
}

describe('a pool with cold targets', () => {
  let pool: TargetPool | undefined;
  afterEach(() => pool?.close());

  it('refuses what exceeds the share of this host as unsent', async () => {
    // Guards against paths that send without asking, and against refusals that count as runs.
    const {clock, find, request, ...rest} = createPool();
    pool = rest.pool;
    pool.update({revision: 1, entries: [makeEntry('a', {coldForMs: 60_000})]}, clock.nowMs());
    const target = find('a');
    const attempts = Array.from({length: 10}, () => pool!.send(target, request(), true));
    expect(isAvailable(target, clock.nowMs())).to.equal(false);
    const failed = attempts.filter(({attempt}) => attempt.peek() !== undefined);
    expect(failed).to.deep.equal([attempts[9]]);
    expect(attempts[9].attempt.peek()).to.include({type: 'failed', wasSent: false});
    for (const attempt of attempts) attempt.finish('unreachable');
    expect(target.ownRequests).to.equal(0);
    expect(nextColdMs([target], clock.nowMs())).to.equal(clock.nowMs() + 1500);
    clock.advance(1500);
    expect(target.gate!.findRefusal(clock.nowMs())).to.equal(undefined);
  });

  it('dates the time of an entry by its first read, and follows a warm target that turns cold', () => {
    // Guards against entries that keep a target cold for as long as they are read again.
    const {clock, find, lines, ...rest} = createPool();
    pool = rest.pool;
    let revision = 0;
    const update = (fields: object) =>
      pool!.update({revision: ++revision, entries: [makeEntry('a', fields)]}, clock.nowMs());
    const isCold = () => find('a').gate!.isCold(clock.nowMs());
    update({coldForMs: 2000});
    clock.advance(1900);
    update({coldForMs: 2000});
    expect(isCold()).to.equal(true);
    clock.advance(200);
    expect(isCold()).to.equal(false);
    update({});
    expect(isCold()).to.equal(false);
    update({coldForMs: 500});
    expect(isCold()).to.equal(true);
    update({});
    expect(isCold()).to.equal(false);
    expect(lines.filter(event => event === 'targetCold')).to.have.length(2);
  });

  it('takes a new target with an invalid cold time for cold, and a known one for what it was', () => {
    // Guards against a mistake of one field that stops a service, or crashes a new target.
    const {clock, find, ...rest} = createPool();
    pool = rest.pool;
    const invalid = {hasInvalidColdTime: true as const};
    pool.update({revision: 1, entries: [makeEntry('a', invalid)]}, clock.nowMs());
    expect(find('a').gate!.isCold(clock.nowMs())).to.equal(false);
    const entries = [makeEntry('a', invalid), makeEntry('b', invalid)];
    pool.update({revision: 2, entries}, clock.nowMs());
    expect(find('a').gate!.isCold(clock.nowMs())).to.equal(false);
    expect(find('b').gate!.isCold(clock.nowMs() + 3900)).to.equal(true);
    expect(find('b').gate!.isCold(clock.nowMs() + 4100)).to.equal(false);
  });

  it('limits nothing where the service has no rate', () => {
    // Guards against changes to deployments that don't ask for them.
    const {clock, find, request, ...rest} = createPool({...SERVICE, coldRequestsPerSecond: 0});
    pool = rest.pool;
    pool.update({revision: 1, entries: [makeEntry('a', {coldForMs: 60_000})]}, clock.nowMs());
    for (let i = 0; i < 100; i++) pool.send(find('a'), request(), true).finish('cancelled');
    expect(isAvailable(find('a'), clock.nowMs())).to.equal(true);
    expect(preferWarm([find('a')], new Set(), clock.nowMs())).to.have.length(1);
  });

  it('leaves a cold target out while a warm one of its stage has room', () => {
    // Guards against slow answers of the target that has no requests yet.
    const {clock, find, ...rest} = createPool();
    pool = rest.pool;
    const entries = [makeEntry('cold', {coldForMs: 60_000}), makeEntry('warm', {slots: 2})];
    pool.update({revision: 1, entries}, clock.nowMs());
    const preferred = (tried: readonly string[] = []) =>
      preferWarm(pool!.forService(ENGINES), new Set(tried), clock.nowMs()).map(
        ({entry}) => entry.id as string,
      );
    expect(preferred()).to.deep.equal(['warm']);
    expect(preferred(['warm'])).to.deep.equal(['cold', 'warm']);
    find('warm').ownRequests = 2;
    expect(preferred()).to.deep.equal(['cold', 'warm']);
  });
});
