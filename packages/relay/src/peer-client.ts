import {Pool} from 'undici';

/** Connections to one other host. */
const CONNECTIONS = 2;

/** Questions under way on one connection. */
const PIPELINING = 8;

/** Hosts that can be reached accept a connection within some ms. */
const CONNECT_TIMEOUT_MS = 150;

/** Longer than the pauses between the questions to one host. */
const KEEP_ALIVE_MS = 60_000;

/** A host that was reached and didn't give what it was asked for. */
export class PeerRefusal extends Error {
  constructor(readonly status: number) {
    super(`host answered ${status}`);
  }
}

/** Asks other hosts. */
export class PeerClient {
  private readonly pools = new Map<string, Pool>();

  /** Closes the connections to hosts that aren't in the list any more. */
  keepOnly(addresses: ReadonlySet<string>): void {
    for (const [address, pool] of this.pools) {
      if (addresses.has(address)) continue;
      this.pools.delete(address);
      void pool.destroy().catch(() => undefined); // Rejects only if it is destroyed already.
    }
  }

  /**
   * Sends a question; rejects if no answer with status 200 comes within `timeoutMs`, with a
   * {@link PeerRefusal} if there is another answer.
   */
  async ask<T>(address: string, path: string, question: unknown, timeoutMs: number): Promise<T> {
    const answer = await this.findPool(address).request({
      method: 'POST',
      path,
      body: JSON.stringify(question),
      signal: AbortSignal.timeout(timeoutMs),
    });
    const text = await answer.body.text();
    if (answer.statusCode !== 200) throw new PeerRefusal(answer.statusCode);
    return JSON.parse(text) as T;
  }

  async close(): Promise<void> {
    await Promise.all([...this.pools.values()].map(pool => pool.destroy()));
    this.pools.clear();
  }

  private findPool(address: string): Pool {
    let pool = this.pools.get(address);
    if (!pool) {
      pool = new Pool(`http://${address}`, {
        connections: CONNECTIONS,
        pipelining: PIPELINING,
        connect: {timeout: CONNECT_TIMEOUT_MS},
        keepAliveTimeout: KEEP_ALIVE_MS,
      });
      this.pools.set(address, pool);
    }
    return pool;
  }
}
