import {Bench} from './bench.js';
import {COST_BENCH} from './cost.js';
import {FLEET_DECISIONS_BENCH} from './fleet-decisions.js';
import {ORDERING_BENCH} from './ordering.js';
import {SHIFT_BENCH} from './shift.js';
import {SoakSuite} from './soak-suite.js';

/** Measurements by name, in the order in which `all` runs them. */
export const BENCHES: Readonly<Record<string, Bench>> = {
  shift: SHIFT_BENCH,
  cost: COST_BENCH,
  ordering: ORDERING_BENCH,
  fleetDecisions: FLEET_DECISIONS_BENCH,
};

/** Randomised suites by name. */
export const SOAK_SUITES: Readonly<Record<string, SoakSuite>> = {};
