import {Clock} from '@radishgw/core';

/** A decision and why it was made, for the operators' `explain`. */
export interface DecisionRecord {
  readonly at: string;
  readonly kind: 'limit' | 'dispatch' | 'refusal' | 'role' | 'order' | 'config';
  /** Ids that the decision is about: request, team, target. */
  readonly subject: readonly string[];
  readonly decision: string;
  readonly reason: unknown;
}

const DEFAULT_CAPACITY = 4096;

/** The latest decisions of this host; older ones are overwritten. */
export class DecisionLog {
  private readonly records: DecisionRecord[] = [];
  private next = 0;

  constructor(
    private readonly clock: Clock,
    private readonly capacity = DEFAULT_CAPACITY,
  ) {}

  add(record: Omit<DecisionRecord, 'at'>): void {
    this.records[this.next] = {at: this.clock.now().toISOString(), ...record};
    this.next = (this.next + 1) % this.capacity;
  }

  /** Records about an id, newest first, at most `limit`. */
  find(id: string, limit = 50): DecisionRecord[] {
    const found: DecisionRecord[] = [];
    for (let i = 1; i <= this.records.length && found.length < limit; i++) {
      const index = (this.next - i + this.capacity) % this.capacity;
      const record = this.records[index];
      if (record?.subject.includes(id)) found.push(record);
    }
    return found;
  }
}
