/** A call that wasn't finished in time. */
export class CallTimeoutError extends Error {
  constructor(timeoutMs: number) {
    super(`no answer within ${timeoutMs} ms`);
  }
}

/**
 * Starts a call and rejects with {@link CallTimeoutError} if it isn't finished within `timeoutMs`,
 * whatever it waits for. The signal is aborted then; undici regards it only once a request is sent,
 * so that it alone doesn't bound the wait for a connection.
 */
export async function boundCall<T>(
  timeoutMs: number,
  start: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
  const controller = new AbortController();
  let timer: NodeJS.Timeout | undefined;
  const timedOut = new Promise<never>((_resolve, reject) => {
    timer = setTimeout(() => {
      const error = new CallTimeoutError(timeoutMs);
      reject(error);
      controller.abort(error);
    }, timeoutMs);
  });
  try {
    return await Promise.race([start(controller.signal), timedOut]);
  } finally {
    clearTimeout(timer);
  }
}
