/** Called for each block that enters or leaves the cache. */
export type CacheChange = (kind: 'added' | 'removed', block: string) => void;

/** Prefix blocks in least-recently-used order, within a capacity that the owner may change. */
export class PrefixCache {
  /** Insertion order is the order of last use. */
  private readonly blocks = new Set<string>();

  constructor(
    private capacityBlocks: number,
    private readonly onChange: CacheChange,
  ) {}

  get size(): number {
    return this.blocks.size;
  }

  /** Number of leading blocks of the prompt that are held. */
  countHits(prompt: readonly string[]): number {
    let hits = 0;
    while (hits < prompt.length && this.blocks.has(prompt[hits])) hits++;
    return hits;
  }

  /** Adds the blocks of a prompt or marks them as just used. */
  insert(prompt: readonly string[]): void {
    // From the tail to the head, so that the head of a chain is evicted last.
    for (let i = prompt.length - 1; i >= 0; i--) {
      const known = this.blocks.delete(prompt[i]);
      this.blocks.add(prompt[i]);
      if (!known) this.onChange('added', prompt[i]);
    }
    this.evict();
  }

  /** Changes the capacity, in blocks, and evicts what no longer fits. */
  resize(capacityBlocks: number): void {
    this.capacityBlocks = Math.max(0, capacityBlocks);
    this.evict();
  }

  /** Empties the cache without announcing it, as a crash does. */
  reset(): void {
    this.blocks.clear();
  }

  private evict(): void {
    for (const block of this.blocks) {
      if (this.blocks.size <= this.capacityBlocks) return;
      this.blocks.delete(block);
      this.onChange('removed', block);
    }
  }
}
