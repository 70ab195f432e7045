import {EventLog, Procedure, sleep} from '@radishgw/core';

/** Delay after which a loop that has failed starts again. */
const LOOP_RESTART_DELAY_MS = 500;

/** Runs a loop until cancelled, also if it fails: the host must not stop to follow the store. */
export function* keepRunning(loop: () => Procedure<void>, log: EventLog): Procedure<void> {
  for (;;) {
    try {
      yield* loop();
    } catch (error) {
      log.write('invariantViolated', {detail: String((error as Error).stack ?? error)});
    }
    yield* sleep(LOOP_RESTART_DELAY_MS);
  }
}
