import {Clock} from './clock.js';

/** An operation that a procedure requests from its environment; `type` selects the handler. */
export interface Effect {
  readonly type: string;
}

/** A generator that yields effects and is resumed with their results. */
export type Procedure<T> = Generator<Effect, T, unknown>;

/** Resumes a suspended procedure. Calls after the first one are ignored. */
export interface Resume {
  ok(value?: unknown): void;
  fail(error: unknown): void;
}

/** Starts an effect and optionally returns a function that cancels it. */
export type EffectHandler = (effect: never, resume: Resume) => (() => void) | void;

/** Handlers by effect type. */
export type EffectHandlers = Readonly<Record<string, EffectHandler>>;

/** A running procedure. */
export interface Task<T> {
  /**
   * Resolves to the procedure's result, or to undefined if the task was cancelled. Rejects with the
   * procedure's uncaught error.
   */
  readonly done: Promise<T | undefined>;
  /** Cancels the pending effect and runs the procedure's `finally` blocks. */
  cancel(): void;
}

interface CallEffect extends Effect {
  readonly type: 'call';
  readonly start: () => Promise<unknown>;
}

interface SleepEffect extends Effect {
  readonly type: 'sleep';
  readonly delayMs: number;
}

/** Calls a function that returns a promise, and returns the value that the promise resolves to. */
export function* call<T>(start: () => Promise<T>): Procedure<T> {
  const effect: CallEffect = {type: 'call', start};
  return (yield effect) as T;
}

/** Suspends the procedure for `delayMs` milliseconds. */
export function* sleep(delayMs: number): Procedure<void> {
  const effect: SleepEffect = {type: 'sleep', delayMs};
  yield effect;
}

/** Creates the handlers for `call` and `sleep` and adds those in `extra`. */
export function createHandlers(clock: Clock, extra: EffectHandlers = {}): EffectHandlers {
  return {
    call: (effect: CallEffect, resume: Resume) => {
      effect.start().then(resume.ok, resume.fail);
    },
    sleep: (effect: SleepEffect, resume: Resume) => {
      const timer = clock.setTimer(effect.delayMs, () => resume.ok());
      return () => timer.cancel();
    },
    ...extra,
  };
}

/** Runs a procedure: passes each yielded effect to its handler and resumes with the result. */
export function startTask<T>(procedure: Procedure<T>, handlers: EffectHandlers): Task<T> {
  let finished = false;
  let cancelEffect: (() => void) | void;
  let resolveDone!: (value: T | undefined) => void;
  let rejectDone!: (error: unknown) => void;
  const done = new Promise<T | undefined>((resolve, fail) => {
    resolveDone = resolve;
    rejectDone = fail;
  });
  // Prevents an unhandled rejection if the caller ignores `done`. Callers that await it still
  // get the error.
  done.catch(() => undefined);

  function step(advance: () => IteratorResult<Effect, T>): void {
    if (finished) return;
    let result: IteratorResult<Effect, T>;
    try {
      result = advance();
    } catch (error) {
      finished = true;
      rejectDone(error);
      return;
    }
    if (result.done) {
      finished = true;
      resolveDone(result.value);
      return;
    }
    startEffect(result.value);
  }

  function startEffect(effect: Effect): void {
    let resumed = false;
    const resumeOnce = (advance: () => IteratorResult<Effect, T>) => {
      if (resumed) return;
      resumed = true;
      cancelEffect = undefined;
      step(advance);
    };
    const resume: Resume = {
      ok: value => resumeOnce(() => procedure.next(value)),
      fail: error => resumeOnce(() => procedure.throw(error)),
    };
    const handler = handlers[effect.type];
    if (!handler) {
      resume.fail(new Error(`no handler registered for effect "${effect.type}"`));
      return;
    }
    const cancel = handler(effect as never, resume);
    if (!resumed) cancelEffect = cancel;
  }

  step(() => procedure.next());
  return {
    done,
    cancel: () => {
      if (finished) return;
      finished = true;
      cancelEffect?.();
      procedure.return(undefined as T);
      resolveDone(undefined);
    },
  };
}
