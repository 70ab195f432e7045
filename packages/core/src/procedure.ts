import {Clock} from './clock.js';

/** A request from a procedure to the outside; `type` selects the handler. */
export interface Effect {
  readonly type: string;
}

/** Control flow written as a generator: it yields effects and receives their results. */
export type Procedure<T> = Generator<Effect, T, unknown>;

/** Continues a suspended procedure. Only the first call has an effect. */
export interface Resume {
  ok(value?: unknown): void;
  fail(error: unknown): void;
}

/** Starts an effect. The returned function, if any, cancels it. */
export type EffectHandler = (effect: never, resume: Resume) => (() => void) | void;

/** Handlers by effect type. */
export type EffectHandlers = Readonly<Record<string, EffectHandler>>;

/** A running procedure. */
export interface Task<T> {
  /** Settles with the procedure's result; rejects with its uncaught error; undefined if cancelled. */
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

/** Waits for a promise-returning function and gives its value. */
export function* call<T>(start: () => Promise<T>): Procedure<T> {
  const effect: CallEffect = {type: 'call', start};
  return (yield effect) as T;
}

/** Suspends the procedure for `delayMs` milliseconds. */
export function* sleep(delayMs: number): Procedure<void> {
  const effect: SleepEffect = {type: 'sleep', delayMs};
  yield effect;
}

/** Handlers for `call` and `sleep`; other effect types are added beside them. */
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

/** Runs a procedure: each yielded effect goes to its handler, whose result resumes the procedure. */
export function startTask<T>(procedure: Procedure<T>, handlers: EffectHandlers): Task<T> {
  let finished = false;
  let cancelEffect: (() => void) | void;
  let settle!: (value: T | undefined) => void;
  let reject!: (error: unknown) => void;
  const done = new Promise<T | undefined>((resolve, fail) => {
    settle = resolve;
    reject = fail;
  });
  // The caller may ignore `done`; an uncaught error is then reported by whoever awaits it.
  done.catch(() => undefined);

  function step(advance: () => IteratorResult<Effect, T>): void {
    if (finished) return;
    let result: IteratorResult<Effect, T>;
    try {
      result = advance();
    } catch (error) {
      finished = true;
      reject(error);
      return;
    }
    if (result.done) {
      finished = true;
      settle(result.value);
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
      resume.fail(new Error(`no handler for effect "${effect.type}"`));
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
      settle(undefined);
    },
  };
}
