import {BoundedPool} from '@radishgw/core';

const CONNECTIONS_PER_HOST = 2;

/** Maximum number of pipelined requests. */
const REQUESTS_PER_CONNECTION = 8;

/** Timeout of connecting; reachable hosts accept a connection within a few ms. */
const CONNECT_TIMEOUT_MS = 150;

/** Idle time of a connection; longer than the interval between requests to one host. */
const KEEP_ALIVE_MS = 60_000;

/** Maximum size of an answer; the largest are the entries of all targets. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

/** Error of a request that another host answered with a status other than 200. */
export class PeerStatusError extends Error {
  constructor(readonly status: number) {
    super(`host answered with status ${status}`);
  }
}

/** Client for the requests between hosts. */
export class PeerClient {
  private readonly pools = new Map<string, BoundedPool>();

  /** Closes the connections to all hosts that aren't listed. */
  closeExcept(addresses: ReadonlySet<string>): void {
    for (const [address, pool] of this.pools) {
      if (addresses.has(address)) continue;
      this.pools.delete(address);
      pool.destroy();
    }
  }

  /**
   * Sends a request; rejects if no answer with status 200 arrives within `timeoutMs`, with a
   * {@link PeerStatusError} if the answer has another status.
   */
  async ask<T>(address: string, path: string, message: unknown, timeoutMs: number): Promise<T> {
    const request = {method: 'POST', path, body: JSON.stringify(message)} as const;
    const {statusCode, text} = await this.getPool(address).call(request, timeoutMs);
    if (statusCode !== 200) throw new PeerStatusError(statusCode);
    return JSON.parse(text) as T;
  }

  close(): void {
    this.closeExcept(new Set());
  }

  private getPool(address: string): BoundedPool {
    let pool = this.pools.get(address);
    if (!pool) {
      pool = new BoundedPool(`http://${address}`, {
        connections: CONNECTIONS_PER_HOST,
        pipelining: REQUESTS_PER_CONNECTION,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        keepAliveMs: KEEP_ALIVE_MS,
        maxBodyBytes: MAX_ANSWER_BYTES,
      });
      this.pools.set(address, pool);
    }
    return pool;
  }
}
