import {Bench} from './bench.js';
import {AUTHORITY_SUITE} from './control/authority-soak.js';
import {USAGE_SUITE} from './control/usage-soak.js';
import {COST_BENCH} from './cost.js';
import {FAIRNESS} from './fairness.js';
import {FLEET_DECISIONS_BENCH} from './fleet-decisions.js';
import {LIMITS_SOAK} from './limits-soak.js';
import {ORDERING_BENCH} from './ordering.js';
import {SHIFT_BENCH} from './shift.js';
import {SoakSuite} from './soak-suite.js';
import {URGENCY} from './urgency.js';

/** Measurements by name, in the order in which `all` runs them. */
export const BENCHES: Readonly<Record<string, Bench>> = {
  fairness: FAIRNESS,
  urgency: URGENCY,
  shift: SHIFT_BENCH,
  cost: COST_BENCH,
  ordering: ORDERING_BENCH,
  fleetDecisions: FLEET_DECISIONS_BENCH,
};

/** Randomised suites by name. */
export const SOAK_SUITES: Readonly<Record<string, SoakSuite>> = {
  limits: LIMITS_SOAK,
  authority: AUTHORITY_SUITE,
  usage: USAGE_SUITE,
};
