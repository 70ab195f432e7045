import {expect} from 'chai';
import {createSeededRandom, TargetId, toId} from '@radishgw/core';
import {PromptPart, PromptPartId} from '../src/model.js';
import {
  createLaneWork,
  findLane,
  isInLane,
  longShare,
  PromptLane,
  recordLaneWork,
  selectLane,
} from '../src/placing/prompt-lanes.js';

const TOKENS_PER_MS = 50;
const OBJECTIVE_MS = 600;
/** Longer prompts occupy an engine for more than half of the objective. */
const MAX_SHORT_TOKENS = 15_000;

const part = (tokens: number): PromptPart => ({id: toId<PromptPartId>('p'), tokens});
const laneOf = (prefixTokens: number, ownTokens: number) =>
  findLane([part(prefixTokens)], prefixTokens + ownTokens, OBJECTIVE_MS, TOKENS_PER_MS);
const makeTargets = (count: number) =>
  Array.from({length: count}, (_, i) => ({entry: {id: toId<TargetId>(`i-${i * 7919}`)}}));

/** Work of prompts of which one in ten has `longTokens`, and the others 1,000. */
function makeWork(longTokens: number) {
  const work = createLaneWork();
  for (let i = 0; i < 300; i++) {
    const isLong = i % 10 === 0;
    recordLaneWork(work, isLong ? 'long' : 'short', isLong ? longTokens : 1000);
  }
  return work;
}

/**
 * Mean wait of prompts of 20 ms when prompts of 1.2 s arrive at the same engines from hosts that
 * don't know of each other.
 */
function meanShortWaitMs(hasLanes: boolean, seed: number): number {
  const random = createSeededRandom(seed);
  const targets = makeTargets(40);
  const work = makeWork(60_000);
  const freeAtMs = new Map<TargetId, number>();
  let nowMs = 0;
  let waitMs = 0;
  let count = 0;
  for (let i = 0; i < 20_000; i++) {
    nowMs += 3;
    const lane: PromptLane = i % 25 === 0 ? 'long' : 'short';
    const candidates = hasLanes ? selectLane(targets, lane, work) : targets;
    const {id} = candidates[random.nextInt(candidates.length)].entry;
    const startMs = Math.max(nowMs, freeAtMs.get(id) ?? 0);
    freeAtMs.set(id, startMs + (lane === 'long' ? 1200 : 20));
    if (lane === 'long') continue;
    waitMs += startMs - nowMs;
    count++;
  }
  return waitMs / count;
}

describe('lanes of prompts', () => {
  it('tell prompts that occupy an engine for most of their objective from the others', () => {
    expect(laneOf(0, MAX_SHORT_TOKENS)).to.equal('short');
    expect(laneOf(0, MAX_SHORT_TOKENS + 1)).to.equal('long');
    expect(laneOf(MAX_SHORT_TOKENS + 1, 10)).to.equal('long');
  });

  // A prefix in both lanes would be prefilled and cached twice.
  it('are the same for all prompts with a prefix, unless one adds a long part of its own', () => {
    for (const ownTokens of [1, 5000, 14_000]) {
      expect(laneOf(14_000, ownTokens)).to.equal('short');
      expect(laneOf(16_000, ownTokens)).to.equal('long');
    }
  });

  it('share the engines by their work, and each keeps some', () => {
    expect(longShare(createLaneWork())).to.equal(0.25);
    expect(longShare(makeWork(9000))).to.be.closeTo(0.5, 0.1);
    expect(longShare(makeWork(1))).to.equal(0.25);
    expect(longShare(makeWork(1_000_000))).to.equal(0.75);
  });

  it('have the same engines on hosts whose shares differ a little', () => {
    const targets = makeTargets(400);
    const moved = targets.filter(
      ({entry}) => isInLane(entry.id, 'long', 0.45) !== isInLane(entry.id, 'long', 0.5),
    );
    expect(moved.length).to.be.below(40);
    for (const {entry} of targets) {
      if (isInLane(entry.id, 'long', 0.45)) expect(isInLane(entry.id, 'long', 0.5)).to.equal(true);
    }
  });

  it('are left out with few engines, or if one has none', () => {
    const few = makeTargets(7);
    expect(selectLane(few, 'long', makeWork(1))).to.equal(few);
    const all = makeTargets(40).filter(({entry}) => isInLane(entry.id, 'short', 0.25));
    expect(selectLane(all, 'long', makeWork(1))).to.equal(all);
  });

  // Without lanes most short prompts wait behind a long one that their host doesn't know of.
  it('keep short prompts from waiting behind long ones of other hosts', () => {
    for (const seed of [1, 2, 3]) {
      expect(meanShortWaitMs(true, seed)).to.be.below(100);
      expect(meanShortWaitMs(false, seed)).to.be.above(100);
    }
  });
});
