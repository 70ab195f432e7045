import {TargetId} from '@radishgw/core';

/** A change of a target's prefix cache, as published by the target. */
export interface CacheEvent {
  /** Sequence number of the target's events; a gap means that events were lost. */
  readonly sequence: number;
  readonly kind: 'added' | 'removed';
  readonly block: string;
}

/** Settings of {@link PrefixHints}. */
export interface PrefixHintSettings {
  /** Maximum number of blocks per target; the least recently confirmed are evicted first. */
  readonly maxBlocksPerTarget: number;
  /**
   * All hints of a target are dropped after more lost events than this. Each lost event leaves at
   * most one wrong hint, which costs a recomputed prefix but doesn't affect correctness.
   */
  readonly maxLostEvents: number;
}

interface TargetHints {
  /** Ordered by last confirmation, oldest first. */
  readonly blocks: Set<string>;
  nextSequence: number | undefined;
  lostEvents: number;
}

/** Maximum number of prefix holders compared for one prompt. */
const MAX_HOLDERS = 16;

/**
 * Tracks which targets probably hold which prompt blocks. All entries are hints: events arrive late
 * and with gaps, so a wrong entry may cost time but never yields a wrong response.
 */
export class PrefixHints {
  private readonly targets = new Map<TargetId, TargetHints>();
  private readonly holders = new Map<string, Set<TargetId>>();

  constructor(private readonly settings: PrefixHintSettings) {}

  /** Counts the leading blocks of the prompt that the target probably holds. */
  countCachedBlocks(target: TargetId, prompt: readonly string[]): number {
    const blocks = this.targets.get(target)?.blocks;
    if (!blocks) return 0;
    let cachedBlocks = 0;
    while (cachedBlocks < prompt.length && blocks.has(prompt[cachedBlocks])) cachedBlocks++;
    return cachedBlocks;
  }

  /**
   * Returns the accepted targets that probably hold the longest prefix of the prompt, at most
   * {@link MAX_HOLDERS} of them, since all targets may hold a common prefix.
   */
  findBestHolders(prompt: readonly string[], accept: (target: TargetId) => boolean): TargetId[] {
    for (let i = prompt.length - 1; i >= 0; i--) {
      const found: TargetId[] = [];
      for (const target of this.holders.get(prompt[i]) ?? []) {
        if (accept(target)) found.push(target);
        if (found.length === MAX_HOLDERS) break;
      }
      if (found.length > 0) return found;
    }
    return [];
  }

  /** Adds the blocks of a prompt that was sent to a target. */
  add(target: TargetId, prompt: readonly string[]): void {
    for (let i = prompt.length - 1; i >= 0; i--) this.addBlock(target, prompt[i]);
  }

  /** Removes the hints for a prompt's blocks after the first `heldBlocks`. */
  removeAfter(target: TargetId, prompt: readonly string[], heldBlocks: number): void {
    for (let i = heldBlocks; i < prompt.length; i++) this.removeBlock(target, prompt[i]);
  }

  /** Applies a cache event. Events older than the last one are ignored. */
  applyEvent(target: TargetId, event: CacheEvent): void {
    const hints = this.getOrCreateHints(target);
    const expected = hints.nextSequence ?? event.sequence;
    if (event.sequence < expected) return;
    hints.lostEvents += event.sequence - expected;
    hints.nextSequence = event.sequence + 1;
    if (hints.lostEvents > this.settings.maxLostEvents) {
      this.reset(target);
      this.getOrCreateHints(target).nextSequence = event.sequence + 1;
    }
    if (event.kind === 'added') this.addBlock(target, event.block);
    else this.removeBlock(target, event.block);
  }

  /** Removes all hints of a target, after a crash or when the target leaves the pool. */
  reset(target: TargetId): void {
    const hints = this.targets.get(target);
    if (!hints) return;
    for (const block of hints.blocks) this.removeHolder(target, block);
    this.targets.delete(target);
  }

  private getOrCreateHints(target: TargetId): TargetHints {
    let hints = this.targets.get(target);
    if (!hints) {
      hints = {blocks: new Set(), nextSequence: undefined, lostEvents: 0};
      this.targets.set(target, hints);
    }
    return hints;
  }

  private addBlock(target: TargetId, block: string): void {
    const {blocks} = this.getOrCreateHints(target);
    blocks.delete(block);
    blocks.add(block);
    const holders = this.holders.get(block);
    if (holders) holders.add(target);
    else this.holders.set(block, new Set([target]));
    for (const oldest of blocks) {
      if (blocks.size <= this.settings.maxBlocksPerTarget) break;
      this.removeBlock(target, oldest);
    }
  }

  private removeBlock(target: TargetId, block: string): void {
    if (this.targets.get(target)?.blocks.delete(block)) this.removeHolder(target, block);
  }

  private removeHolder(target: TargetId, block: string): void {
    const holders = this.holders.get(block);
    holders?.delete(target);
    if (holders?.size === 0) this.holders.delete(block);
  }
}
