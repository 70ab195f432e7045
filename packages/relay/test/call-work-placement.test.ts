import {expect} from 'chai';
import {createSeededRandom, TargetId} from '@radishgw/core';
import {Backlog} from '../src/placing/backlog.js';
import {placeCallByWork, recordCall, recordCallSent} from '../src/placing/call-work-placement.js';
import {CostModel, kindsOf} from '../src/placing/cost-model.js';
import {WorkModel} from '../src/placing/work-model.js';
import {createTargetState, recordLoad, TargetState} from '../src/targets/target-state.js';
import {ENGINES, makeEntry} from './fixtures.js';
import {CallKind, CallLoad, playCallLoad} from './placement-load.js';

const ONE_KIND: readonly CallKind[] = [
  {path: 'x', share: 1, minMs: 30, maxMs: 70, objectiveMs: 180},
];

/** One path costs fifteen times as much as the other. */
const TWO_KINDS: readonly CallKind[] = [
  {path: 'light', share: 0.9, minMs: 15, maxMs: 25, objectiveMs: 150},
  {path: 'heavy', share: 0.1, minMs: 270, maxMs: 330, objectiveMs: 600},
];

const TWO_SLOW = [0.25, 0.25, 1, 1, 1, 1, 1, 1];

const SMALL_FLEET: CallLoad = {
  seed: 1,
  hosts: 3,
  slots: 2,
  speeds: Array.from({length: 8}, () => 1),
  durationMs: 15_000,
  kinds: ONE_KIND,
  utilization: 0.75,
};

/** Mean share of three seeds. */
function play(load: CallLoad, scheduler: 'slots' | 'work' | 'complete'): number {
  const shares = [1, 2, 3].map(seed => playCallLoad({...load, seed}, scheduler));
  return shares.reduce((sum, share) => sum + share, 0) / shares.length;
}

/** Largest difference to a scheduler that knows everything. */
const MAX_LOSS = 0.05;

describe('placement of calls by expected work', function () {
  this.timeout(60_000);

  it('serves calls in time at targets of unequal speed', () => {
    // Guards against slow targets that get as many calls as fast ones.
    const load = {...SMALL_FLEET, speeds: TWO_SLOW};
    const complete = play(load, 'complete');
    expect(play(load, 'work')).to.be.greaterThan(complete - MAX_LOSS);
    expect(play(load, 'slots')).to.be.lessThan(complete - MAX_LOSS);
  });

  it('serves them in time when half of the hosts are lost', () => {
    // Guards against estimates that count the load of hosts that are gone.
    const load = {...SMALL_FLEET, hosts: 6, speeds: TWO_SLOW, lossAtMs: 6000};
    const complete = play(load, 'complete');
    expect(play(load, 'work')).to.be.greaterThan(complete - MAX_LOSS);
    expect(play(load, 'slots')).to.be.lessThan(complete - MAX_LOSS);
  });

  it('serves calls in time at targets that are slow in turns and say so', () => {
    // Guards against a reported slowdown that has no effect on the next calls.
    const slowdown = {usualMs: 0, slowMs: 900, factor: 4, isReported: true, isInTurns: true};
    const load = {...SMALL_FLEET, slowdown};
    const byWork = play(load, 'work');
    expect(byWork).to.be.greaterThan(play(load, 'complete') - MAX_LOSS);
    expect(byWork).to.be.greaterThan(play(load, 'slots') + 0.01);
  });

  it('serves calls in time at targets that are slow in turns without saying so', () => {
    // Guards against speeds that follow the latest response.
    const slowdown = {usualMs: 0, slowMs: 900, factor: 4, isReported: false, isInTurns: true};
    const load = {...SMALL_FLEET, slowdown, utilization: 0.68};
    expect(play(load, 'work')).to.be.greaterThan(play(load, 'complete') - MAX_LOSS);
  });

  it('serves light calls in time beside those that cost fifteen times as much', () => {
    // Guards against light calls that wait behind a heavy one while another target is almost free.
    const load = {...SMALL_FLEET, kinds: TWO_KINDS};
    const byWork = play(load, 'work');
    expect(byWork).to.be.greaterThan(play(load, 'complete') - MAX_LOSS);
    expect(byWork).to.be.greaterThan(play(load, 'slots'));
  });

  it('serves light calls during a burst of heavy ones no worse than by slots', () => {
    // Guards against a burst that leads all light calls to the same target.
    const burst = {kind: 1, fromMs: 5000, toMs: 5400};
    const load = {...SMALL_FLEET, kinds: TWO_KINDS, utilization: 0.5, burst};
    expect(play(load, 'work')).to.be.greaterThan(play(load, 'slots') - 0.01);
  });

  it('does not lead many hosts to the same target', () => {
    // Guards against 60 hosts that learn of the same fast target in the same second.
    const load = {...SMALL_FLEET, hosts: 60, speeds: TWO_SLOW};
    expect(play(load, 'work')).to.be.greaterThan(play(load, 'slots') + 0.03);
  });

  it('learns nothing from a target that fails fast, and keeps trying others', () => {
    // Guards against a call that is sent to the same target again.
    const work = new WorkModel('work');
    const targets = [0, 1, 2].map(i => createTargetState(makeEntry(`t${i}`, {slots: 2}), 0));
    const kinds = kindsOf(makeCall('/a/x'));
    recordCall(work, targets[0], kinds, undefined, 50, 0);
    const tried = new Set<TargetId>();
    for (let i = 0; i < 3; i++) {
      const context = {work, hostCount: 3, nowMs: 10, random: createSeededRandom(1)};
      const placement = placeCallByWork(targets, kinds, tried, context)!;
      expect(tried.has(placement.target.entry.id)).to.equal(false);
      tried.add(placement.target.entry.id);
      recordCallSent(work, placement.target, placement.expectation, 10)();
    }
    expect(
      placeCallByWork(targets, kinds, tried, {
        work,
        hostCount: 3,
        nowMs: 10,
        random: createSeededRandom(1),
      }),
    ).to.equal(undefined);
    expect(work.costs.expectedMs(kinds)).to.equal(50);
  });
});

function makeCall(path: string, bodyBytes = 100) {
  return {service: ENGINES, route: 'route', pathPrefix: '/a/', path, bodyBytes, team: 'team'};
}

describe('cost model', () => {
  it('learns that one path costs more than a similar one', () => {
    // Guards against calls that are all expected to cost the mean.
    const costs = new CostModel();
    for (let i = 0; i < 10; i++) {
      costs.record(kindsOf(makeCall('/a/report')), 300, 1);
      for (let j = 0; j < 9; j++) costs.record(kindsOf(makeCall('/a/lookup')), 20, 1);
    }
    expect(costs.expectedMs(kindsOf(makeCall('/a/report')))).to.be.within(230, 310);
    expect(costs.expectedMs(kindsOf(makeCall('/a/lookup')))).to.be.within(18, 35);
  });

  it('expects the mean of its route of a kind that is new', () => {
    // Guards against ids in paths, which make each call a kind of its own.
    const costs = new CostModel();
    expect(costs.expectedMs(kindsOf(makeCall('/a/x')))).to.equal(undefined);
    for (let i = 0; i < 20; i++) costs.record(kindsOf(makeCall(`/a/item/${i}`)), 40, 1);
    expect(costs.expectedMs(kindsOf(makeCall('/a/item/new?q=1')))).to.be.within(35, 45);
    expect(costs.expectedMs(kindsOf(makeCall('/a/other')))).to.be.within(35, 45);
  });

  it('keeps a bounded number of kinds and follows changes', () => {
    // Guards against memory that grows with the paths that clients invent.
    const costs = new CostModel();
    for (let i = 0; i < 5000; i++) costs.record(kindsOf(makeCall(`/a/${i}`)), 40, 1);
    for (let i = 0; i < 200; i++) costs.record(kindsOf(makeCall('/a/x')), 80, 1);
    expect(costs.expectedMs(kindsOf(makeCall('/a/x')))).to.be.within(75, 85);
    expect(costs['kinds'].size).to.be.at.most(1000);
  });

  it('is moved little by a single long time', () => {
    // Guards against one call that hung and makes its kind count as heavy.
    const costs = new CostModel();
    for (let i = 0; i < 20; i++) costs.record(kindsOf(makeCall('/a/x')), 20, 1);
    costs.record(kindsOf(makeCall('/a/x')), 60_000, 1);
    expect(costs.expectedMs(kindsOf(makeCall('/a/x')))).to.be.lessThan(30);
  });
});

describe('backlog', () => {
  const others = {residualMs: 50, utilization: 0, timeFactor: 1, hostCount: 2};

  function makeTarget(): TargetState {
    return createTargetState(makeEntry('t', {slots: 2}), 0);
  }

  it('has the time until a slot is free', () => {
    // Guards against a target with one short call left that counts as much as one with a long one.
    const backlog = new Backlog();
    const target = makeTarget();
    expect(backlog.waitMs(target, others, 0)).to.equal(0);
    const remove = backlog.add(target, 300, 0);
    expect(backlog.waitMs(target, others, 0)).to.equal(0);
    backlog.add(target, 100, 0);
    expect(backlog.waitMs(target, others, 0)).to.equal(100);
    expect(backlog.waitMs(target, others, 60)).to.equal(40);
    backlog.add(target, 100, 0);
    expect(backlog.waitMs(target, others, 0)).to.equal(200);
    remove();
    expect(backlog.waitMs(target, others, 0)).to.equal(100);
  });

  it('assumes that an overdue request goes on', () => {
    // Guards against a frozen target that counts as free once its requests are overdue.
    const backlog = new Backlog();
    const target = makeTarget();
    for (let i = 0; i < 2; i++) backlog.add(target, 50, 0);
    expect(backlog.waitMs(target, others, 800)).to.equal(750);
    expect(backlog.waitMs(target, others, 60_000)).to.equal(2000);
  });

  it('takes the work of other hosts as finished after a time', () => {
    // Guards against a target that is avoided for a load that it reported long ago.
    const backlog = new Backlog();
    const target = makeTarget();
    recordLoad(target, {running: 2, waiting: 2, slots: 2}, 0);
    expect(backlog.waitMs(target, others, 0)).to.be.within(50, 150);
    expect(backlog.waitMs(target, others, 1000)).to.equal(0);
    const usual = {...others, utilization: 6};
    expect(backlog.waitMs(target, usual, 1000)).to.be.greaterThan(0);
  });
});
