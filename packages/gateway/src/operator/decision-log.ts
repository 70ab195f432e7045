import {Clock} from '@radishgw/core';

/** A decision and its reason, as returned by the operators' `/explain` endpoint. */
export interface DecisionRecord {
  readonly at: string;
  readonly kind: 'limit' | 'dispatch' | 'refusal' | 'role' | 'order' | 'config';
  /** Ids of the request, team and target that the decision concerns. */
  readonly subject: readonly string[];
  readonly decision: string;
  readonly reason: unknown;
}

const DEFAULT_CAPACITY = 4096;

/** Ring buffer of the latest decisions of this host. */
export class DecisionLog {
  private readonly records: DecisionRecord[] = [];
  private nextIndex = 0;

  constructor(
    private readonly clock: Clock,
    private readonly capacity = DEFAULT_CAPACITY,
  ) {}

  add(record: Omit<DecisionRecord, 'at'>): void {
    this.records[this.nextIndex] = {at: this.clock.now().toISOString(), ...record};
    this.nextIndex = (this.nextIndex + 1) % this.capacity;
  }

  /** Returns at most `limit` records that concern an id, newest first. */
  find(id: string, limit = 50): DecisionRecord[] {
    const found: DecisionRecord[] = [];
    for (let i = 1; i <= this.records.length && found.length < limit; i++) {
      const index = (this.nextIndex - i + this.capacity) % this.capacity;
      const record = this.records[index];
      if (record?.subject.includes(id)) found.push(record);
    }
    return found;
  }
}
