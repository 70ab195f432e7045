import {expect} from 'chai';
import {FAULT_KINDS, LIMITS_SOAK, runSimulation, createSoakOptions} from '../src/limits-soak.js';

describe('soak suite limits', () => {
  for (let seed = 1; seed <= 20; seed++) {
    it(`keeps limits.conformance with seed ${seed}, ${FAULT_KINDS[seed % 10]}`, async () => {
      // Guards against admitted cost above rate × t + burst under the faults of this seed.
      expect((await LIMITS_SOAK.run(seed)).failure).to.equal(undefined);
    });
  }

  it('refuses nothing within the rate while all hosts are up, seed 270', async () => {
    // Guards against refusals because refill above the burst is dropped while spent tokens still
    // count as outstanding.
    expect((await LIMITS_SOAK.run(270)).failure).to.equal(undefined);
  });

  for (const seed of [387, 500, 700]) {
    it(`keeps the rate and refuses nothing within it, seed ${seed}`, async () => {
      // Guards against the same loss of refill, and against crediting lost refill twice (seed 387).
      expect((await LIMITS_SOAK.run(seed)).failure).to.equal(undefined);
    });
  }

  it('produces the same run for the same seed', () => {
    // Guards against failures that can't be reproduced from their seed.
    const options = createSoakOptions(8, 'mixed');
    expect(runSimulation(options, 'mixed')).to.deep.equal(runSimulation(options, 'mixed'));
  });
});
