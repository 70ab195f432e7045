import {Bench} from './bench.js';
import {AUTHORITY_SUITE} from './control/authority-soak.js';
import {FAIRNESS} from './fairness.js';
import {LIMITS_SOAK} from './limits-soak.js';
import {SoakSuite} from './soak-suite.js';

/** Measurements by name, in the order in which `all` runs them. */
export const BENCHES: Readonly<Record<string, Bench>> = {
  fairness: FAIRNESS,
};

/** Randomised suites by name. */
export const SOAK_SUITES: Readonly<Record<string, SoakSuite>> = {
  limits: LIMITS_SOAK,
  authority: AUTHORITY_SUITE,
};
