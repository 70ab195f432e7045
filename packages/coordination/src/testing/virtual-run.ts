import {setImmediate} from 'node:timers';
import {VirtualClock} from '@radishgw/core';

/** Runs the continuations of all settled promises; they may set timers. */
export function drainPromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

/** Advances a virtual clock to `timeMs` and runs promise continuations after each callback. */
export async function runVirtually(clock: VirtualClock, timeMs: number): Promise<void> {
  let reached = false;
  await drainPromises();
  clock.setTimer(timeMs - clock.nowMs(), () => {
    reached = true;
  });
  while (!reached && clock.runNext()) await drainPromises();
}
