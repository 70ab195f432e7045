import {Pool} from 'undici';

/** Connections to one other host. */
const CONNECTIONS_PER_HOST = 2;

/** Questions under way on one connection. */
const REQUESTS_PER_CONNECTION = 8;

/** Hosts that can be reached accept a connection within some ms. */
const CONNECT_TIMEOUT_MS = 150;

/** Longer than the pauses between the questions to one host. */
const KEEP_ALIVE_MS = 60_000;

/** A host that was reached and didn't give what it was asked for. */
export class PeerStatusError extends Error {
  constructor(readonly status: number) {
    super(`host answered ${status}`);
  }
}

/** Asks other hosts. */
export class PeerClient {
  private readonly pools = new Map<string, Pool>();

  /** Closes the connections to hosts that aren't in the list any more. */
  closeExcept(addresses: ReadonlySet<string>): void {
    for (const [address, pool] of this.pools) {
      if (addresses.has(address)) continue;
      this.pools.delete(address);
      void pool.destroy().catch(() => undefined); // Rejects only if it is destroyed already.
    }
  }

  /**
   * Sends a question; rejects if no answer with status 200 comes within `timeoutMs`, with a
   * {@link PeerStatusError} if there is another answer.
   */
  async ask<T>(address: string, path: string, message: unknown, timeoutMs: number): Promise<T> {
    const answer = await this.getPool(address).request({
      method: 'POST',
      path,
      body: JSON.stringify(message),
      signal: AbortSignal.timeout(timeoutMs),
    });
    const text = await answer.body.text();
    if (answer.statusCode !== 200) throw new PeerStatusError(answer.statusCode);
    return JSON.parse(text) as T;
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
        connect: {timeout: CONNECT_TIMEOUT_MS},
        keepAliveTimeout: KEEP_ALIVE_MS,
      });
      this.pools.set(address, pool);
    }
    return pool;
  }
}
