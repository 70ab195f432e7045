import {createConnector, readText} from '@radishgw/core';
import {Pool} from 'undici';

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
  private readonly pools = new Map<string, Pool>();

  /** Closes the connections to all hosts that aren't listed. */
  closeExcept(addresses: ReadonlySet<string>): void {
    for (const [address, pool] of this.pools) {
      if (addresses.has(address)) continue;
      this.pools.delete(address);
      void pool.destroy().catch(() => undefined); // Rejects only if it is destroyed already.
    }
  }

  /**
   * Sends a request; rejects if no answer with status 200 arrives within `timeoutMs`, with a
   * {@link PeerStatusError} if the answer has another status.
   */
  async ask<T>(address: string, path: string, message: unknown, timeoutMs: number): Promise<T> {
    const {statusCode, text} = await this.send(address, path, JSON.stringify(message), timeoutMs);
    if (statusCode !== 200) throw new PeerStatusError(statusCode);
    return JSON.parse(text) as T;
  }

  private async send(
    address: string,
    path: string,
    body: string,
    timeoutMs: number,
  ): Promise<{readonly statusCode: number; readonly text: string}> {
    const pool = this.getPool(address);
    try {
      const signal = AbortSignal.timeout(timeoutMs);
      const answer = await pool.request({method: 'POST', path, body, signal});
      const text = await readText(answer.body, MAX_ANSWER_BYTES);
      return {statusCode: answer.statusCode, text};
    } catch (error) {
      // The other open connection may be as silent as this one was.
      if (this.pools.get(address) === pool) this.pools.delete(address);
      void pool.close().catch(() => undefined); // Rejects only if it is closed already.
      throw error;
    }
  }

  async close(): Promise<void> {
    await Promise.all([...this.pools.values()].map(pool => pool.destroy()));
    this.pools.clear();
  }

  private getPool(address: string): Pool {
    let pool = this.pools.get(address);
    if (!pool) {
      pool = new Pool(`http://${address}`, {
        connections: CONNECTIONS_PER_HOST,
        pipelining: REQUESTS_PER_CONNECTION,
        connect: createConnector(CONNECT_TIMEOUT_MS),
        keepAliveTimeout: KEEP_ALIVE_MS,
      });
      this.pools.set(address, pool);
    }
    return pool;
  }
}
