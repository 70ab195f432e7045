import {setImmediate} from 'node:timers';
import {VirtualClock} from '@radishgw/core';

/** Lets all settled promises run their continuations, which may set timers. */
export function drainPromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}

/** Moves a virtual clock to `timeMs`, with promise continuations run after each callback. */
export async function runVirtually(clock: VirtualClock, timeMs: number): Promise<void> {
  let reached = false;
  await drainPromises();
  clock.setTimer(timeMs - clock.nowMs(), () => {
    reached = true;
  });
  while (!reached && clock.runNext()) await drainPromises();
}
