import {IncomingHttpHeaders} from 'node:http';
import {Dispatcher, Pool} from 'undici';
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

  /** Sends a request and reads its answer; rejects if that takes longer than `timeoutMs`. */
  async call(request: Dispatcher.RequestOptions, timeoutMs: number): Promise<TextAnswer> {
    const generation = this.current;
    generation.calls++;
    try {
      return await boundCall(timeoutMs, async signal => {
        const answer = await generation.pool.request({...request, signal});
        const text = await readText(answer.body, this.options.maxBodyBytes);
        return {statusCode: answer.statusCode, headers: answer.headers, text};
      });
    } catch (error) {
      if (this.current === generation && !this.isDestroyed) this.current = this.open();
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
