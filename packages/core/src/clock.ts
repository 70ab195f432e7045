/** A scheduled callback that can be cancelled. */
export interface Timer {
  /** Prevents the callback from running; does nothing if it has already run. */
  cancel(): void;
}

/** Source of time. All packages take it as a parameter, so that tests can use virtual time. */
export interface Clock {
  /** Monotonic time in milliseconds from an arbitrary origin; not comparable across processes. */
  nowMs(): number;
  /**
   * Wall-clock time, for records that people read. Never used to decide whether a host has
   * authority, such as a role or a lease.
   */
  now(): Date;
  /** Runs `callback` once after at least `delayMs` milliseconds. */
  setTimer(delayMs: number, callback: () => void): Timer;
}

/** The clock of the process. A pending timer keeps the process alive. */
export class SystemClock implements Clock {
  nowMs(): number {
    return performance.now();
  }

  now(): Date {
    return new Date();
  }

  setTimer(delayMs: number, callback: () => void): Timer {
    const dueMs = performance.now() + delayMs;
    // Node rounds delays down and measures them from the start of its event loop's turn.
    const runIfDue = () => {
      const leftMs = dueMs - performance.now();
      if (leftMs > 0) handle = setTimeout(runIfDue, Math.ceil(leftMs));
      else callback();
    };
    let handle = setTimeout(runIfDue, Math.ceil(delayMs));
    return {cancel: () => clearTimeout(handle)};
  }
}

interface ScheduledCallback {
  readonly dueMs: number;
  readonly sequence: number;
  callback: (() => void) | undefined;
}

/**
 * A clock that advances only on request. Callbacks run in order of due time; those due at the same
 * time run in order of creation.
 */
export class VirtualClock implements Clock {
  private currentMs = 0;
  private nextSequence = 0;
  private readonly heap: ScheduledCallback[] = [];

  constructor(private readonly startDate = new Date(0)) {}

  nowMs(): number {
    return this.currentMs;
  }

  now(): Date {
    return new Date(this.startDate.getTime() + this.currentMs);
  }

  setTimer(delayMs: number, callback: () => void): Timer {
    const entry: ScheduledCallback = {
      dueMs: this.currentMs + Math.max(0, delayMs),
      sequence: this.nextSequence++,
      callback,
    };
    pushHeap(this.heap, entry);
    return {
      cancel: () => {
        entry.callback = undefined;
      },
    };
  }

  /** Advances to the due time of the next callback and runs it. Returns false if there is none. */
  runNext(): boolean {
    for (;;) {
      const entry = popHeap(this.heap);
      if (!entry) return false;
      if (!entry.callback) continue;
      this.currentMs = Math.max(this.currentMs, entry.dueMs);
      entry.callback();
      return true;
    }
  }

  /** Runs all callbacks due up to `timeMs`, then sets the clock to `timeMs`. */
  runUntil(timeMs: number): void {
    while (this.heap.length > 0 && this.heap[0].dueMs <= timeMs) {
      this.runNext();
    }
    this.currentMs = Math.max(this.currentMs, timeMs);
  }

  /** Runs all callbacks due within the next `durationMs` milliseconds. */
  advance(durationMs: number): void {
    this.runUntil(this.currentMs + durationMs);
  }
}

function precedes(a: ScheduledCallback, b: ScheduledCallback): boolean {
  return a.dueMs < b.dueMs || (a.dueMs === b.dueMs && a.sequence < b.sequence);
}

function pushHeap(heap: ScheduledCallback[], entry: ScheduledCallback): void {
  let index = heap.push(entry) - 1;
  while (index > 0) {
    const parent = (index - 1) >> 1;
    if (!precedes(heap[index], heap[parent])) return;
    [heap[index], heap[parent]] = [heap[parent], heap[index]];
    index = parent;
  }
}

function popHeap(heap: ScheduledCallback[]): ScheduledCallback | undefined {
  const first = heap[0];
  const last = heap.pop();
  if (heap.length === 0 || !last) return first;
  heap[0] = last;
  let index = 0;
  for (;;) {
    let smallest = index;
    for (const child of [2 * index + 1, 2 * index + 2]) {
      if (child < heap.length && precedes(heap[child], heap[smallest])) smallest = child;
    }
    if (smallest === index) return first;
    [heap[index], heap[smallest]] = [heap[smallest], heap[index]];
    index = smallest;
  }
}
