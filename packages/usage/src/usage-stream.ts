import {assertInvariant, HostId, SessionId} from '@radishgw/core';
import {UsageIncrement, UsagePush} from './types.js';

/** Increments of one host session and shard that aren't known to be in a frozen window yet. */
export class UsageStream {
  private readonly pending: UsageIncrement[] = [];
  private settled = 0;

  constructor(
    readonly hostId: HostId,
    readonly sessionId: SessionId,
    readonly shard: number,
  ) {}

  get lastSequence(): number {
    return this.settled + this.pending.length;
  }

  get settledSequence(): number {
    return this.settled;
  }

  get isEmpty(): boolean {
    return this.pending.length === 0;
  }

  append(increment: UsageIncrement): void {
    assertInvariant(
      increment.sequence === this.lastSequence + 1,
      'usage.sequence',
      () => `increment ${increment.sequence} follows ${this.lastSequence} in ${this.sessionId}`,
    );
    this.pending.push(increment);
  }

  /** Drops the increments up to `sequence`, which are in frozen windows. */
  settle(sequence: number): void {
    const count = Math.min(Math.max(0, sequence - this.settled), this.pending.length);
    this.pending.splice(0, count);
    this.settled = Math.max(this.settled, sequence);
  }

  /**
   * Merges a push of this stream. Increments that are already present are skipped, so that a push
   * may arrive late or more than once. A push that would leave a gap is ignored. Returns the last
   * sequence present.
   */
  merge(push: UsagePush): number {
    this.settle(push.settledSequence);
    const added = push.increments.filter(({sequence}) => sequence > this.lastSequence);
    if (added.length > 0 && added[0].sequence !== this.lastSequence + 1) return this.lastSequence;
    for (const increment of added) this.append(increment);
    return this.lastSequence;
  }

  /** Returns the pending increments after a sequence. */
  incrementsAfter(sequence: number): UsageIncrement[] {
    return this.pending.slice(Math.max(0, sequence - this.settled));
  }

  createPush(afterSequence: number, copy: boolean): UsagePush {
    const {hostId, sessionId, shard, settledSequence} = this;
    const increments = this.incrementsAfter(afterSequence);
    return {hostId, sessionId, shard, copy, increments, settledSequence};
  }
}
