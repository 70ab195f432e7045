import {expect} from 'chai';
import fc from 'fast-check';
import {createBucket, refundTokens, takeTokens} from '../src/index.js';

interface ChargeStep {
  readonly gapMs: number;
  readonly cost: number;
  readonly actualShare: number;
  readonly durationMs: number;
}

describe('TokenBucket', () => {
  it('admits at most rate × t + burst in every interval despite refunds', () => {
    // Guards against refunds of charges after which the bucket was full again.
    const step = fc.record({
      gapMs: fc.integer({min: 0, max: 2000}),
      cost: fc.integer({min: 1, max: 100}),
      actualShare: fc.double({min: 0, max: 1, noNaN: true}),
      durationMs: fc.integer({min: 0, max: 4000}),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 60}), steps => {
        expect(largestExcess(steps)).to.be.at.most(1e-6);
      }),
      {seed: 1, numRuns: 300},
    );
  });

  it('restores the level after an exact charge if the bucket was not full since', () => {
    // Guards against refunds that are lost although the bucket wasn't full since the charge.
    const bucket = createBucket(10, 100, 0);
    const stamp = takeTokens(bucket, 80, 0)!;
    expect(refundTokens(bucket, stamp, 50, 1000)).to.equal(50);
    expect(takeTokens(bucket, 80, 1000)).to.not.equal(undefined);
  });

  it('refunds nothing for a charge made before the bucket was last full', () => {
    // Guards against a late refund that allows a second burst right after the first.
    const bucket = createBucket(10, 100, 0);
    const stamp = takeTokens(bucket, 50, 0)!;
    const later = takeTokens(bucket, 100, 10_000)!;
    expect(refundTokens(bucket, stamp, 50, 10_000)).to.equal(0);
    expect(refundTokens(bucket, later, 100, 10_000)).to.equal(100);
  });
});

/** Largest excess of admitted actual cost over rate × t + burst, over all pairs of admissions. */
function largestExcess(steps: readonly ChargeStep[]): number {
  const rate = 20;
  const burst = 100;
  const bucket = createBucket(rate, burst, 0);
  const admitted: Array<{atMs: number; cost: number}> = [];
  let refunds: Array<{atMs: number; run: () => void}> = [];
  let nowMs = 0;
  for (const {gapMs, cost, actualShare, durationMs} of steps) {
    nowMs += gapMs;
    const due = refunds.filter(({atMs}) => atMs <= nowMs).sort((a, b) => a.atMs - b.atMs);
    refunds = refunds.filter(({atMs}) => atMs > nowMs);
    for (const {run} of due) run();
    const stamp = takeTokens(bucket, cost, nowMs);
    if (stamp === undefined) continue;
    const atMs = nowMs + durationMs;
    admitted.push({atMs: nowMs, cost: cost * actualShare});
    const unused = cost * (1 - actualShare);
    refunds.push({atMs, run: () => refundTokens(bucket, stamp, unused, atMs)});
  }
  let excess = 0;
  for (let i = 0; i < admitted.length; i++) {
    let sum = 0;
    for (let j = i; j < admitted.length; j++) {
      sum += admitted[j].cost;
      const elapsedMs = admitted[j].atMs - admitted[i].atMs;
      excess = Math.max(excess, sum - burst - (rate * elapsedMs) / 1000);
    }
  }
  return excess;
}
