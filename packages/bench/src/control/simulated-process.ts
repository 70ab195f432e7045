import {Clock, Timer, VirtualClock} from '@radishgw/core';
import {Platform} from '@radishgw/coordination';

/** Faults of a process: pauses, a kill and a clock that runs at its own rate. */
export class SimulatedProcess implements Clock {
  private readonly waiting: (() => void)[] = [];
  private killed = false;
  private pauseCount = 0;
  /** Total of all pauses that have begun, for telling whether one fell into an interval. */
  pauses = 0;

  constructor(
    private readonly world: VirtualClock,
    private readonly rate: number,
    /** How far its wall clock is off. */
    private readonly wallOffsetMs = 0,
  ) {}

  nowMs(): number {
    return this.world.nowMs() * this.rate;
  }

  now(): Date {
    return new Date(this.world.now().getTime() + this.wallOffsetMs);
  }

  setTimer(delayMs: number, callback: () => void): Timer {
    let cancelled = false;
    const timer = this.world.setTimer(delayMs / this.rate, () =>
      this.deliver(() => {
        if (!cancelled) callback();
      }),
    );
    return {
      cancel: () => {
        cancelled = true;
        timer.cancel();
      },
    };
  }

  get isAlive(): boolean {
    return !this.killed;
  }

  get isPaused(): boolean {
    return this.pauseCount > 0;
  }

  /** Runs a callback of the process, after the pause if it is paused, never if it was killed. */
  deliver(callback: () => void): void {
    if (this.killed) return;
    if (this.isPaused) this.waiting.push(callback);
    else callback();
  }

  pause(durationMs: number): void {
    this.pauseCount++;
    this.pauses++;
    this.world.setTimer(durationMs, () => {
      this.pauseCount--;
      while (!this.isPaused && this.waiting.length > 0) this.deliver(this.waiting.shift()!);
    });
  }

  kill(): void {
    this.killed = true;
    this.waiting.length = 0;
  }

  /** A promise that settles inside the process. */
  gate<T>(promise: Promise<T>): Promise<T> {
    return new Promise(resolve => {
      void promise.then(value => this.deliver(() => resolve(value)));
    });
  }
}

/** A platform whose answers reach the process only while it runs. */
export function gatePlatform(process: SimulatedProcess, platform: Platform): Platform {
  return {
    get: key => process.gate(platform.get(key)),
    list: prefix => process.gate(platform.list(prefix)),
    put: (key, value, condition) => process.gate(platform.put(key, value, condition)),
    remove: (key, condition) => process.gate(platform.remove(key, condition)),
    watch: (prefix, afterRevision, waitMs) =>
      process.gate(platform.watch(prefix, afterRevision, waitMs)),
    listHosts: () => process.gate(platform.listHosts()),
    orderTargets: order => process.gate(platform.orderTargets(order)),
    reportUsage: report => process.gate(platform.reportUsage(report)),
    reserveWeightTransfer: request => process.gate(platform.reserveWeightTransfer(request)),
  };
}
