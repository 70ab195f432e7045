import {expect} from 'chai';
import {Mechanism} from '../src/control/mutations.js';
import {runUsageSoak} from '../src/control/usage-soak.js';

/** One seed of each profile and one that once lost use on a planned stop (5). */
const PASSING_SEEDS = [1, 2, 3, 4, 5, 13];

/** A seed that fails without the mechanism, and the invariant that it violates. */
const FAILING_SEEDS: readonly [Mechanism, number, string][] = [
  ['sequenceCheck', 1, 'usage.atMostOnce'],
  ['freezeBeforeReport', 13, 'usage.sameBytes'],
];

describe('Soak suite usage', () => {
  it('passes for fixed seeds', async () => {
    // Guards against windows with two contents, two reporters, and use counted twice or lost (G6).
    for (const seed of PASSING_SEEDS) {
      const outcome = await runUsageSoak(seed);
      expect(outcome.failure, `seed ${seed}`).to.equal(undefined);
    }
  });

  for (const [mechanism, seed, failure] of FAILING_SEEDS) {
    it(`fails without ${mechanism}`, async () => {
      // Guards against a soak that no longer finds what the mechanism prevents.
      const outcome = await runUsageSoak(seed, new Set([mechanism]));
      expect(outcome.failure).to.include(failure);
    });
  }
});
