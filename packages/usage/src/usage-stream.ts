import {assertInvariant, HostId, SessionId} from '@radishgw/core';
import {UsageIncrement, UsagePush} from './types.js';

/** Increments of one host session and shard that are not yet known to be in a frozen window. */
export class UsageStream {
  private readonly kept: UsageIncrement[] = [];
  private settled = 0;

  constructor(
    readonly hostId: HostId,
    readonly sessionId: SessionId,
    readonly shard: number,
  ) {}

  get lastSequence(): number {
    return this.settled + this.kept.length;
  }

  get settledSequence(): number {
    return this.settled;
  }

  get isEmpty(): boolean {
    return this.kept.length === 0;
  }

  append(increment: UsageIncrement): void {
    assertInvariant(
      increment.sequence === this.lastSequence + 1,
      'usage.sequence',
      () => `increment ${increment.sequence} follows ${this.lastSequence} in ${this.sessionId}`,
    );
    this.kept.push(increment);
  }

  /** Drops increments that are in frozen windows. */
  settle(sequence: number): void {
    const count = Math.min(Math.max(0, sequence - this.settled), this.kept.length);
    this.kept.splice(0, count);
    this.settled = Math.max(this.settled, sequence);
  }

  /**
   * Takes in a push of this stream; what is already held is passed over, so that a push may arrive
   * twice or late. Returns the last sequence held. A push that leaves a gap is not taken.
   */
  merge(push: UsagePush): number {
    this.settle(push.settledSequence);
    const fresh = push.increments.filter(({sequence}) => sequence > this.lastSequence);
    if (fresh.length > 0 && fresh[0].sequence !== this.lastSequence + 1) return this.lastSequence;
    for (const increment of fresh) this.append(increment);
    return this.lastSequence;
  }

  /** Kept increments after a sequence. */
  after(sequence: number): UsageIncrement[] {
    return this.kept.slice(Math.max(0, sequence - this.settled));
  }

  createPush(afterSequence: number, copy: boolean): UsagePush {
    const {hostId, sessionId, shard, settledSequence} = this;
    const increments = this.after(afterSequence);
    return {hostId, sessionId, shard, copy, increments, settledSequence};
  }
}
