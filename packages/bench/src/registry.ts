import {Bench} from './bench.js';
import {LIMITS_BENCH} from './limits-bench.js';
import {LIMITS_SOAK} from './limits-soak.js';
import {RECOVERY_BENCH} from './recovery.js';
import {SoakSuite} from './soak-suite.js';

/** Measurements by name, in the order in which `all` runs them. */
export const BENCHES: Readonly<Record<string, Bench>> = {
  limits: LIMITS_BENCH,
  recovery: RECOVERY_BENCH,
};

/** Randomised suites by name. */
export const SOAK_SUITES: Readonly<Record<string, SoakSuite>> = {
  limits: LIMITS_SOAK,
};
