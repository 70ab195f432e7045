/** Called for each block that enters or leaves the cache. */
export type CacheChange = (kind: 'added' | 'removed', block: string) => void;

/** LRU cache of prefix blocks with an adjustable capacity. */
export class PrefixCache {
  /** In order of last use, the least recent first. */
  private readonly blocks = new Set<string>();

  constructor(
    private capacityBlocks: number,
    private readonly onChange: CacheChange,
  ) {}

  get size(): number {
    return this.blocks.size;
  }

  /** Number of leading blocks of the prompt that are cached. */
  countHits(prompt: readonly string[]): number {
    let hits = 0;
    while (hits < prompt.length && this.blocks.has(prompt[hits])) hits++;
    return hits;
  }

  /** Adds the blocks of a prompt or marks them as most recently used. */
  insert(prompt: readonly string[]): void {
    // From the last block to the first, so that the first block of a prefix is evicted last.
    for (let i = prompt.length - 1; i >= 0; i--) {
      const known = this.blocks.delete(prompt[i]);
      this.blocks.add(prompt[i]);
      if (!known) this.onChange('added', prompt[i]);
    }
    this.evict();
  }

  /** Changes the capacity and evicts the blocks that no longer fit. */
  resize(capacityBlocks: number): void {
    this.capacityBlocks = Math.max(0, capacityBlocks);
    this.evict();
  }

  /** Empties the cache without calling `onChange`, as in a crash. */
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
