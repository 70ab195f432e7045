import {Bench} from './bench.js';
import {AUTHORITY_SUITE} from './control/authority-soak.js';
import {MEMBERSHIP_COST} from './control/membership-cost.js';
import {RECOVERY_ROLES} from './control/recovery-roles.js';
import {USAGE_SUITE} from './control/usage-soak.js';
import {SoakSuite} from './soak-suite.js';

/** Measurements by name, in the order in which `all` runs them. */
export const BENCHES: Readonly<Record<string, Bench>> = {
  'recovery-roles': RECOVERY_ROLES,
  'membership-cost': MEMBERSHIP_COST,
};

/** Randomised suites by name. */
export const SOAK_SUITES: Readonly<Record<string, SoakSuite>> = {
  authority: AUTHORITY_SUITE,
  usage: USAGE_SUITE,
};
