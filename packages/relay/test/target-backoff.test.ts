import {expect} from 'chai';
import {createSeededRandom} from '@radishgw/core';
import {excludeUntil, recordHealthDispatch} from '@radishgw/scheduling';
import {decideWait, nextReturnMs, backoffUntil} from '../src/targets/target-backoff.js';
import {
  createReturnSchedule,
  recordFinished,
  scheduleReturn,
} from '../src/request/return-schedule.js';
import {createTargetState, isAvailable, TargetState} from '../src/targets/target-state.js';
import {makeEntry} from './fixtures.js';

const HOSTS = 195;

describe('pauses that targets ask for', () => {
  const random = createSeededRandom(7);

  function makeBackingOff(id: string, untilMs: number): TargetState {
    const target = createTargetState(makeEntry(id), 0);
    target.backoffUntilMs = untilMs;
    excludeUntil(target.health, untilMs);
    return target;
  }

  it('end at different times at the hosts of a fleet, none early', () => {
    // Guards against a fleet that returns to a target in the same moment.
    const untilMs = Array.from({length: HOSTS}, () => backoffUntil(1000, 2000, random)).sort(
      (a, b) => a - b,
    );
    expect(untilMs[0]).to.be.at.least(3000);
    for (let i = 0; i + 40 < HOSTS; i++) expect(untilMs[i + 40] - untilMs[i]).to.be.greaterThan(20);
  });

  it('of more than five minutes are taken for a mistake', () => {
    // Guards against a value that excludes a target for ever.
    expect(backoffUntil(0, 1e14, random)).to.be.within(10_000, 11_000);
    expect(backoffUntil(0, 120_000, random)).to.be.at.least(120_000);
  });

  it('are followed by one call until it has succeeded', () => {
    // Guards against all waiting requests at once at a target that has just shed load.
    const target = makeBackingOff('t', 1000);
    expect(isAvailable(target, 999)).to.equal(false);
    expect(isAvailable(target, 1000)).to.equal(true);
    recordHealthDispatch(target.health, 'a1');
    expect(isAvailable(target, 1001)).to.equal(false);
    expect(nextReturnMs([target], 1001)).to.be.greaterThan(1001);
  });

  it('are waited for only by requests that can meet their objective then', () => {
    // Guards against requests that wait in vain, and refusals of those that are served in time.
    const targets = [
      makeBackingOff('a', 1500),
      makeBackingOff('b', 1200),
      createTargetState(makeEntry('c'), 0),
    ];
    const returnMs = nextReturnMs(targets, 1000);
    expect(returnMs).to.equal(1200);
    const inputs = {
      returnMs,
      receivedMs: 1000,
      objectiveMs: 500,
      deadlineAtMs: 3000,
      waiting: 0,
      maxWaiting: 1,
    };
    expect(decideWait(inputs)).to.equal(true);
    expect(decideWait({...inputs, waiting: 1})).to.equal(false);
    expect(decideWait({...inputs, objectiveMs: 300})).to.equal(false);
    expect(decideWait({...inputs, deadlineAtMs: 1100})).to.equal(false);
    expect(decideWait({...inputs, returnMs: undefined})).to.equal(false);
  });
});

describe('returns of refused clients', () => {
  it('are spread at the rate at which the service finishes requests, in order', () => {
    // Guards against refused clients that return together and are refused again.
    const schedule = createReturnSchedule();
    for (let atMs = 0; atMs < 2000; atMs += 40) recordFinished(schedule, atMs);
    const delays = Array.from({length: 20}, () => scheduleReturn(schedule, 2300, 2000));
    expect(delays[0]).to.equal(300);
    for (let i = 1; i < delays.length; i++) expect(delays[i] - delays[i - 1]).to.be.closeTo(40, 1);
  });

  it('stay within a second however many clients are refused', () => {
    // Guards against clients that are told to return after their deadline.
    const schedule = createReturnSchedule();
    const delays = Array.from({length: 500}, () => scheduleReturn(schedule, 500, 0));
    expect(Math.max(...delays)).to.be.at.most(1500);
    expect(Math.min(...delays)).to.be.at.least(500);
  });
});
