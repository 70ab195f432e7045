import {IncomingHttpHeaders} from 'node:http';
import {DecoratorHandler, Dispatcher, Pool} from 'undici';
import {boundCall} from './bound-call.js';
import {createConnector} from './connector.js';
import {readText} from './read-text.js';

/** Settings of a {@link BoundedPool}. */
export interface BoundedPoolOptions {
  readonly connections: number;
  /** Maximum number of pipelined requests of a connection. */
  readonly pipelining: number;
  readonly connectTimeoutMs: number;
  /** Idle time after which a connection is closed. */
  readonly keepAliveMs?: number;
  readonly maxBodyBytes: number;
}

/** An answer that was read completely. */
export interface TextAnswer {
  readonly statusCode: number;
  /** By lower-case name. */
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
}

/** Nothing was sent, as the call might not start any more when it had got a connection. */
export class CallNotStartedError extends Error {
  constructor() {
    super('the call may not start any more');
  }
}

/** Connections that were opened together, and how many calls still use them. */
interface Generation {
  readonly pool: Pool;
  calls: number;
}

/**
 * Connections to one server. Each call ends within its timeout, which includes the wait for a
 * connection. A failed call retires all connections, as the others may be as silent as its own;
 * calls in progress on them still end, but no call waits behind them. The connection of a call that
 * is given up is reset, so that the call can't arrive later.
 */
export class BoundedPool {
  private current: Generation;
  private isDestroyed = false;

  constructor(
    private readonly origin: string,
    private readonly options: BoundedPoolOptions,
  ) {
    this.current = this.open();
  }

  /**
   * Sends a request and reads its answer; rejects if that takes longer than `timeoutMs`. `mayStart` is
   * asked when the request has got a connection; if it returns false, nothing is sent and the call
   * rejects with a {@link CallNotStartedError}.
   */
  async call(
    request: Dispatcher.RequestOptions,
    timeoutMs: number,
    mayStart?: () => boolean,
  ): Promise<TextAnswer> {
    const generation = this.current;
    generation.calls++;
    try {
      return await boundCall(timeoutMs, async signal => {
        const {pool} = generation;
        const dispatcher = mayStart ? pool.compose(checkStart(mayStart)) : pool;
        const answer = await dispatcher.request({...request, signal});
        const text = await readText(answer.body, this.options.maxBodyBytes);
        return {statusCode: answer.statusCode, headers: answer.headers, text};
      });
    } catch (error) {
      const isRetired = this.current !== generation || this.isDestroyed;
      if (!isRetired && !(error instanceof CallNotStartedError)) this.current = this.open();
      throw error;
    } finally {
      generation.calls--;
      if (this.current !== generation && generation.calls === 0) destroy(generation.pool);
    }
  }

  /** Closes all connections; calls in progress fail. */
  destroy(): void {
    this.isDestroyed = true;
    destroy(this.current.pool);
  }

  private open(): Generation {
    const {connections, pipelining, connectTimeoutMs, keepAliveMs} = this.options;
    const pool = new Pool(this.origin, {
      connections,
      pipelining,
      connect: createConnector(connectTimeoutMs),
      ...(keepAliveMs !== undefined && {keepAliveTimeout: keepAliveMs}),
    });
    return {pool, calls: 0};
  }
}

function destroy(pool: Pool): void {
  void pool.destroy().catch(() => undefined); // Rejects only if it is destroyed already.
}

/** Asks whether a request may start just before it is written. */
function checkStart(mayStart: () => boolean): Dispatcher.DispatcherComposeInterceptor {
  return dispatch => (options, handler) => {
    // The types don't show the methods of a decorator.
    const checked = new DecoratorHandler(handler) as Dispatcher.DispatchHandler;
    const start = checked.onRequestStart!.bind(checked);
    checked.onRequestStart = (controller, context) => {
      if (mayStart()) start(controller, context);
      else controller.abort(new CallNotStartedError());
    };
    return dispatch(options, checked);
  };
}
