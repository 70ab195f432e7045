import {Clock, Timer, VirtualClock} from '@radishgw/core';
import {Platform} from '@radishgw/coordination';

/** A process that can be paused and killed and whose clock has its own rate and offset. */
export class SimulatedProcess implements Clock {
  private readonly pendingCallbacks: (() => void)[] = [];
  private isKilled = false;
  private activePauseCount = 0;
  /** Number of pauses so far; a difference shows that the process was paused in between. */
  pauses = 0;

  constructor(
    private readonly simulationClock: VirtualClock,
    private readonly rate: number,
    /** Offset of the wall clock from the simulation's wall clock. */
    private readonly wallOffsetMs = 0,
  ) {}

  nowMs(): number {
    return this.simulationClock.nowMs() * this.rate;
  }

  now(): Date {
    return new Date(this.simulationClock.now().getTime() + this.wallOffsetMs);
  }

  setTimer(delayMs: number, callback: () => void): Timer {
    let cancelled = false;
    const timer = this.simulationClock.setTimer(delayMs / this.rate, () =>
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
    return !this.isKilled;
  }

  get isPaused(): boolean {
    return this.activePauseCount > 0;
  }

  /** Runs a callback now, after the current pause if there is one, or never in a killed process. */
  deliver(callback: () => void): void {
    if (this.isKilled) return;
    if (this.isPaused) this.pendingCallbacks.push(callback);
    else callback();
  }

  pause(durationMs: number): void {
    this.activePauseCount++;
    this.pauses++;
    this.simulationClock.setTimer(durationMs, () => {
      this.activePauseCount--;
      while (!this.isPaused && this.pendingCallbacks.length > 0)
        this.deliver(this.pendingCallbacks.shift()!);
    });
  }

  kill(): void {
    this.isKilled = true;
    this.pendingCallbacks.length = 0;
  }

  /** Returns a promise that is fulfilled only while the process runs. */
  deliverResult<T>(promise: Promise<T>): Promise<T> {
    return new Promise(resolve => {
      void promise.then(value => this.deliver(() => resolve(value)));
    });
  }
}

/** Returns a platform whose answers reach the process only while it runs. */
export function createProcessPlatform(process: SimulatedProcess, platform: Platform): Platform {
  return {
    get: key => process.deliverResult(platform.get(key)),
    list: prefix => process.deliverResult(platform.list(prefix)),
    put: (key, value, condition) => process.deliverResult(platform.put(key, value, condition)),
    remove: (key, condition) => process.deliverResult(platform.remove(key, condition)),
    watch: (prefix, afterRevision, waitMs) =>
      process.deliverResult(platform.watch(prefix, afterRevision, waitMs)),
    listHosts: () => process.deliverResult(platform.listHosts()),
    orderTargets: order => process.deliverResult(platform.orderTargets(order)),
    reportUsage: report => process.deliverResult(platform.reportUsage(report)),
    reserveWeightTransfer: request =>
      process.deliverResult(platform.reserveWeightTransfer(request)),
  };
}
