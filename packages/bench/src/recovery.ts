import {Bench} from './bench.js';
import {measureLimitsRecovery} from './limits-recovery.js';

/** Measures the time from the loss of a shard owner until its successor issues grants. */
export const RECOVERY_BENCH: Bench = {
  description: 'time from the loss of an owner until its successor acts',
  run: ({seeds}) => {
    const rows = measureLimitsRecovery(seeds);
    const crash = rows.filter(row => row.event === 'owner crash');
    const worst = Math.max(...crash.map(row => Number(row['grants ms (max)'])));
    const conclusion = `Limits: grants resume at most ${worst} ms after the owner was killed.`;
    return {settings: {}, rows, conclusion};
  },
};
