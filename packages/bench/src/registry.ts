import {Bench} from './bench.js';
import {DECISIONS} from './decisions.js';
import {FAIRNESS} from './fairness.js';
import {RETRIES} from './retries.js';
import {ROUTING} from './routing.js';
import {SoakSuite} from './soak-suite.js';
import {URGENCY} from './urgency.js';

/** Measurements by name, in the order in which `all` runs them. */
export const BENCHES: Readonly<Record<string, Bench>> = {
  fairness: FAIRNESS,
  urgency: URGENCY,
  routing: ROUTING,
  retries: RETRIES,
  decisions: DECISIONS,
};

/** Randomised suites by name. */
export const SOAK_SUITES: Readonly<Record<string, SoakSuite>> = {};
