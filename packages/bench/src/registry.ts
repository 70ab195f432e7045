import {Bench} from './bench.js';
import {FAIRNESS} from './fairness.js';
import {SoakSuite} from './soak-suite.js';
import {URGENCY} from './urgency.js';

/** Measurements by name, in the order in which `all` runs them. */
export const BENCHES: Readonly<Record<string, Bench>> = {
  fairness: FAIRNESS,
  urgency: URGENCY,
};

/** Randomised suites by name. */
export const SOAK_SUITES: Readonly<Record<string, SoakSuite>> = {};
