import {expect} from 'chai';
import {runAuthoritySoak} from '../src/control/authority-soak.js';
import {Mechanism} from '../src/control/mutations.js';

const PASSING_SEEDS = [1, 2, 3, 4, 5, 11, 24];

/** Mechanism to disable, seed that then fails, and part of the failure message. */
const FAILING_SEEDS: readonly [Mechanism, number, string][] = [
  ['sameTurnCheck', 11, 'orders.noConflict'],
  ['fencing', 1, 'orders.noConflict'],
  ['quarantine', 24, 'orders.noConflict'],
  ['journalBeforeSend', 2, 'orders.noConflict'],
  ['ownAttemptRecognition', 5, 'sessions lost although only answers were lost'],
];

describe('Soak suite authority', () => {
  it('passes for fixed seeds', async () => {
    // Guards against conflicting orders, unauthorised orders and two role holders (G1, G3, G5).
    for (const seed of PASSING_SEEDS) {
      const outcome = await runAuthoritySoak(seed);
      expect(outcome.failure, `seed ${seed}`).to.equal(undefined);
    }
  });

  for (const [mechanism, seed, failure] of FAILING_SEEDS) {
    it(`fails without ${mechanism}`, async () => {
      // Guards against a soak that no longer detects the failures that the mechanism prevents.
      const outcome = await runAuthoritySoak(seed, new Set([mechanism]));
      expect(outcome.failure).to.include(failure);
    });
  }
});
