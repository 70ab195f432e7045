import {expect} from 'chai';
import {createSeededRandom, FailureDomain, TargetId, toId} from '@radishgw/core';
import {EngineStage, TargetEntry} from '../src/index.js';
import {
  decideStages,
  decideStagesByWork,
  DEFAULT_STAGE_SETTINGS,
  StageOrder,
} from '../src/duties/stage-policy.js';
import {makeEntry} from './fixtures.js';

const DOMAINS = ['domain-a', 'domain-b', 'domain-c'].map(id => toId<FailureDomain>(id));
const SWITCH_MS = 3000;
const ON_DEMAND_PER_DOMAIN = 30;
const PREEMPTIBLE_PER_DOMAIN = 25;

type StartStage = (random: () => number) => EngineStage;

const START_STAGES: Readonly<Record<string, StartStage>> = {
  prefill: () => 'prefill',
  decode: () => 'decode',
  either: random => (random() < 0.5 ? 'decode' : 'prefill'),
};

interface PlayedOrders {
  readonly orders: readonly (StageOrder & {readonly atMs: number})[];
  readonly entries: readonly TargetEntry[];
  /** Numbers of decode engines of the domains in the end. */
  readonly lastDecodeCounts: readonly number[];
  /** Lowest number of decode engines of a domain once the first orders have been carried out. */
  readonly minDecodeCount: number;
}

/** Plays a fleet whose on-demand engines are replaced by preemptible ones within ten seconds. */
function play(startStage: StartStage, isByWork: boolean, seed = 1): PlayedOrders {
  const source = createSeededRandom(seed);
  const random = () => source.next();
  let entries: TargetEntry[] = [];
  let nextId = 0;
  const add = (failureDomain: FailureDomain, isCheap: boolean) =>
    entries.push(
      makeEntry(`t${nextId++}`, {failureDomain, isCheap, stage: startStage(random), slots: 64}),
    );
  for (const domain of DOMAINS) {
    for (let i = 0; i < ON_DEMAND_PER_DOMAIN; i++) add(domain, false);
  }
  const sent = new Map<TargetId, {stage: EngineStage; atMs: number}>();
  const orders: (StageOrder & {atMs: number})[] = [];
  let minDecodeCount = Infinity;
  const countDecode = (domain: FailureDomain) =>
    entries.filter(e => e.failureDomain === domain && e.stage === 'decode').length;
  for (let nowMs = 1000; nowMs <= 60_000; nowMs += 1000) {
    if (nowMs >= 6000 && nowMs < 16_000) {
      for (const domain of DOMAINS) replace(domain, nowMs);
    }
    for (const order of orders.filter(({atMs}) => atMs === nowMs - SWITCH_MS)) {
      entries = entries.map(e => (e.id === order.target ? {...e, stage: order.stage} : e));
    }
    const decided = isByWork
      ? decideStagesByWork(sent, entries, DEFAULT_STAGE_SETTINGS, nowMs)
      : decideStages(
          new Map([...sent].map(([id, {atMs}]) => [id, atMs])),
          entries,
          DEFAULT_STAGE_SETTINGS,
          nowMs,
        );
    for (const order of decided.slice(0, 12)) {
      sent.set(order.target, {stage: order.stage, atMs: nowMs});
      orders.push({...order, atMs: nowMs});
    }
    if (nowMs > 10_000) minDecodeCount = Math.min(minDecodeCount, ...DOMAINS.map(countDecode));
  }
  return {orders, entries, lastDecodeCounts: DOMAINS.map(countDecode), minDecodeCount};

  function replace(domain: FailureDomain, nowMs: number): void {
    const isIn = (entry: TargetEntry, isCheap: boolean) =>
      entry.failureDomain === domain && entry.isCheap === isCheap;
    const due = Math.floor(((nowMs - 5000) / 10_000) * PREEMPTIBLE_PER_DOMAIN);
    for (let count = entries.filter(e => isIn(e, true)).length; count < due; count++) {
      add(domain, true);
    }
    const kept = Math.max(1, Math.round(ON_DEMAND_PER_DOMAIN * (1 - (nowMs - 5000) / 10_000)));
    for (let count = entries.filter(e => isIn(e, false)).length; count > kept; count--) {
      const leaving = entries.filter(e => isIn(e, false));
      const {id} = leaving[Math.floor(random() * leaving.length)];
      entries = entries.filter(entry => entry.id !== id);
    }
  }
}

describe('stages by work', () => {
  for (const [name, startStage] of Object.entries(START_STAGES)) {
    it(`keeps engines in both stages with few switches if they start as ${name}`, () => {
      // Guards against fleets in which most orders are switches back and forth, and against a
      // failure domain without one of the stages.
      for (let seed = 1; seed <= 5; seed++) {
        const {orders, lastDecodeCounts, minDecodeCount} = play(startStage, true, seed);
        for (const count of lastDecodeCounts) expect(count, `seed ${seed}`).to.be.within(4, 10);
        expect(minDecodeCount, `seed ${seed}`).to.be.at.least(1);
        const before = play(startStage, false, seed).orders.length;
        expect(orders.length, `seed ${seed}`).to.be.at.most(before);
        if (name === 'either') expect(orders.length).to.be.at.most(0.7 * before);
      }
    });
  }

  it('switches no engine twice within half a minute', () => {
    // Guards against engines that spend their time changing stages.
    for (const startStage of Object.values(START_STAGES)) {
      const lastMs = new Map<TargetId, number>();
      for (const {target, atMs} of play(startStage, true).orders) {
        expect(atMs - (lastMs.get(target) ?? -Infinity)).to.be.at.least(30_000);
        lastMs.set(target, atMs);
      }
    }
  });

  it('counts an order that has not been carried out', () => {
    // Guards against a second engine that is switched while the first one is on its way.
    const entries = [1, 2, 3, 4].map(i => makeEntry(`p${i}`, {stage: 'prefill'}));
    const first = decideStagesByWork(new Map(), entries, DEFAULT_STAGE_SETTINGS, 0);
    expect(first).to.have.length(1);
    const sent = new Map([[first[0].target, {stage: first[0].stage, atMs: 0}]]);
    expect(decideStagesByWork(sent, entries, DEFAULT_STAGE_SETTINGS, 2000)).to.deep.equal([]);
  });

  it('has the only engine of a failure domain decode', () => {
    // Guards against a domain without a decode engine after its preemptible ones were withdrawn.
    const entries = [makeEntry('only', {stage: 'prefill'})];
    expect(decideStagesByWork(new Map(), entries, DEFAULT_STAGE_SETTINGS, 0)).to.deep.equal([
      {target: 'only', stage: 'decode'},
    ]);
  });

  it('has engines of two stages as soon as there are two', () => {
    // Guards against a small domain that only decodes.
    const entries = [1, 2].map(i => makeEntry(`d${i}`, {stage: 'decode'}));
    const orders = decideStagesByWork(new Map(), entries, DEFAULT_STAGE_SETTINGS, 0);
    expect(orders.map(order => order.stage)).to.deep.equal(['prefill']);
  });
});
