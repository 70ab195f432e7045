import {Bench} from './bench.js';
import {AUTHORITY_SOAK} from './control/authority-soak.js';
import {MEMBERSHIP_COST_BENCH} from './control/membership-cost.js';
import {RECOVERY_ROLES_BENCH} from './control/recovery-roles.js';
import {USAGE_SOAK} from './control/usage-soak.js';
import {CONFIGURATION_BENCH} from './configuration.js';
import {COST_BENCH} from './cost.js';
import {DECISIONS} from './decisions.js';
import {FAIRNESS} from './fairness.js';
import {FLEET_DECISIONS_BENCH} from './fleet-decisions.js';
import {IDLE_COST_BENCH} from './idle-cost.js';
import {LIMITS_BENCH} from './limits-bench.js';
import {LIMITS_SOAK} from './limits-soak.js';
import {ORDERING_BENCH} from './ordering.js';
import {OVERHEAD_BENCH} from './overhead.js';
import {RECOVERY_BENCH} from './recovery.js';
import {RETRIES} from './retries.js';
import {ROUTING} from './routing.js';
import {SHIFT_BENCH} from './shift.js';
import {SoakSuite} from './soak-suite.js';
import {URGENCY} from './urgency.js';

/** Benchmarks by name, in the order in which `all` runs them. */
export const BENCHES: Readonly<Record<string, Bench>> = {
  fairness: FAIRNESS,
  urgency: URGENCY,
  shift: SHIFT_BENCH,
  cost: COST_BENCH,
  routing: ROUTING,
  retries: RETRIES,
  decisions: DECISIONS,
  ordering: ORDERING_BENCH,
  fleetDecisions: FLEET_DECISIONS_BENCH,
  overhead: OVERHEAD_BENCH,
  'recovery-roles': RECOVERY_ROLES_BENCH,
  'membership-cost': MEMBERSHIP_COST_BENCH,
  configuration: CONFIGURATION_BENCH,
  idle: IDLE_COST_BENCH,
  limits: LIMITS_BENCH,
  recovery: RECOVERY_BENCH,
};

/** Soak suites by name. */
export const SOAK_SUITES: Readonly<Record<string, SoakSuite>> = {
  limits: LIMITS_SOAK,
  authority: AUTHORITY_SOAK,
  usage: USAGE_SOAK,
};
