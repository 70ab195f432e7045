/* global Buffer, performance, setTimeout */
/** The link between one machine and one address, which can be cut without a reset. */
import {connect, createServer} from 'node:net';

/** First pause before TCP sends bytes again that nobody acknowledged; it doubles each time (RFC 6298). */
const FIRST_RETRANSMISSION_MS = 200;

export class Link {
  isCut = false;
  pairs = new Set();
  /** Called when the machine ends a connection whose bytes are held up. */
  onHeldEnd = () => undefined;

  /** `onBytes(chunk)` is called with each chunk that the machine sends, before it is passed on. */
  constructor(target, onBytes = () => undefined) {
    this.target = target;
    this.onBytes = onBytes;
  }

  async start() {
    this.server = createServer({allowHalfOpen: true}, socket => this.accept(socket));
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
    return this;
  }

  accept(near) {
    near.setNoDelay(true);
    near.on('error', () => undefined);
    if (this.isCut) {
      // The connection wouldn't have been established: nothing that is sent on it gets through.
      near.resume();
      this.pairs.add({near, isLost: true});
      return;
    }
    const [host, port] = this.target.split(':');
    const far = connect({host, port: Number(port), allowHalfOpen: true, noDelay: true});
    const pair = {near, far, held: [], heldSinceMs: undefined, hasEnded: false, isLost: false};
    this.pairs.add(pair);
    near.on('data', chunk => {
      this.onBytes(chunk);
      this.pass(pair, chunk);
    });
    near.on('end', () => {
      pair.hasEnded = true;
      if (pair.heldSinceMs !== undefined) this.onHeldEnd('closed without a reset');
      if (pair.heldSinceMs === undefined) far.end();
    });
    // A reset: what is held up is lost.
    near.on('error', () => {
      pair.wasReset = true;
      if (pair.heldSinceMs !== undefined) this.onHeldEnd('reset');
      pair.held.length = 0;
      far.destroy();
    });
    near.on('close', () => {
      if (pair.heldSinceMs === undefined) far.end();
    });
    far.on('error', () => near.destroy());
    far.on('data', chunk => {
      if (!this.isCut && !near.destroyed) near.write(chunk);
    });
    far.on('end', () => near.end());
    far.on('close', () => this.pairs.delete(pair));
  }

  pass(pair, chunk) {
    if (!this.isCut && pair.heldSinceMs === undefined) {
      pair.far.write(chunk);
      return;
    }
    pair.heldSinceMs ??= performance.now();
    pair.held.push(chunk);
  }

  cut() {
    this.isCut = true;
  }

  /** Ends the cut. Bytes that were held up arrive when TCP sends them the next time. */
  heal() {
    this.isCut = false;
    for (const pair of this.pairs) {
      if (pair.isLost) {
        pair.near.destroy();
        this.pairs.delete(pair);
        continue;
      }
      if (pair.heldSinceMs === undefined) continue;
      const nowMs = performance.now();
      let pauseMs = FIRST_RETRANSMISSION_MS;
      let atMs = pair.heldSinceMs + pauseMs;
      while (atMs < nowMs) {
        pauseMs *= 2;
        atMs += pauseMs;
      }
      setTimeout(() => {
        pair.heldSinceMs = undefined;
        if (pair.wasReset) return;
        pair.far.write(Buffer.concat(pair.held.splice(0)));
        if (pair.hasEnded) pair.far.end();
      }, atMs - nowMs);
    }
  }
}
