import {expect} from 'chai';
import {call, createHandlers, sleep, startTask, VirtualClock} from '../src/index.js';

describe('startTask', () => {
  it('resumes a procedure with the results of its effects', async () => {
    // Guards against effects whose result is lost or passed to the wrong step.
    const clock = new VirtualClock();
    const seen: number[] = [];
    const task = startTask(
      (function* () {
        yield* sleep(50);
        seen.push(clock.nowMs());
        return yield* call(async () => 7);
      })(),
      createHandlers(clock),
    );
    clock.advance(100);
    expect(await task.done).to.equal(7);
    expect(seen).to.deep.equal([50]);
  });

  it('cancels the pending effect and runs finally blocks', async () => {
    // Guards against a cancelled procedure that continues to run.
    const clock = new VirtualClock();
    const seen: string[] = [];
    const task = startTask(
      (function* () {
        try {
          yield* sleep(50);
          seen.push('slept');
        } finally {
          seen.push('released');
        }
      })(),
      createHandlers(clock),
    );
    task.cancel();
    clock.advance(100);
    await task.done;
    expect(seen).to.deep.equal(['released']);
  });
});

describe('VirtualClock', () => {
  it('runs callbacks in order of due time, then of creation', () => {
    // Guards against callbacks due at the same time that run in a different order in each run.
    const clock = new VirtualClock();
    const seen: string[] = [];
    clock.setTimer(20, () => seen.push('c'));
    clock.setTimer(10, () => seen.push('a'));
    clock.setTimer(10, () => seen.push('b'));
    clock.setTimer(5, () => seen.push('cancelled')).cancel();
    clock.advance(30);
    expect(seen).to.deep.equal(['a', 'b', 'c']);
  });
});
