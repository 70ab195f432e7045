import {TargetId} from '@radishgw/core';

/** A change of a target's prefix cache, as published by the target. */
export interface CacheEvent {
  /** Counts the target's events; a jump shows that events were lost. */
  readonly sequence: number;
  readonly kind: 'added' | 'removed';
  readonly block: string;
}

/** Settings of {@link PrefixHints}. */
export interface PrefixHintSettings {
  /** Blocks remembered for one target; the least recently confirmed are dropped first. */
  readonly maxBlocksPerTarget: number;
  /**
   * Lost events after which all hints of a target are dropped. Fewer lost events leave at most as
   * many wrong hints, which cost a recomputed prefix but no correctness.
   */
  readonly maxLostEvents: number;
}

interface TargetHints {
  /** Insertion order is the order of last confirmation. */
  readonly blocks: Set<string>;
  nextSequence: number | undefined;
  lostEvents: number;
}

/** Holders compared for one prompt. */
const MAX_HOLDERS = 16;

/**
 * Which targets probably hold which prompt blocks. Everything here is a hint: events arrive late
 * and with gaps, so a wrong entry may cost time but never a wrong response.
 */
export class PrefixHints {
  private readonly targets = new Map<TargetId, TargetHints>();
  private readonly holders = new Map<string, Set<TargetId>>();

  constructor(private readonly settings: PrefixHintSettings) {}

  /** Number of leading blocks of the prompt that the target probably holds. */
  countHits(target: TargetId, prompt: readonly string[]): number {
    const blocks = this.targets.get(target)?.blocks;
    if (!blocks) return 0;
    let hits = 0;
    while (hits < prompt.length && blocks.has(prompt[hits])) hits++;
    return hits;
  }

  /**
   * Accepted targets that probably hold the deepest block of the prompt that anyone accepted
   * holds; at most {@link MAX_HOLDERS} of them, since a common beginning may be held everywhere.
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

  /** Records that a prompt was sent to a target, which will hold its blocks. */
  add(target: TargetId, prompt: readonly string[]): void {
    for (let i = prompt.length - 1; i >= 0; i--) this.addBlock(target, prompt[i]);
  }

  /** Drops hints for a prompt beyond its first `heldBlocks` blocks. */
  removeAfter(target: TargetId, prompt: readonly string[], heldBlocks: number): void {
    for (let i = heldBlocks; i < prompt.length; i++) this.removeBlock(target, prompt[i]);
  }

  /** Applies an event. Events older than the last one are ignored. */
  applyEvent(target: TargetId, event: CacheEvent): void {
    const hints = this.findTarget(target);
    const expected = hints.nextSequence ?? event.sequence;
    if (event.sequence < expected) return;
    hints.lostEvents += event.sequence - expected;
    hints.nextSequence = event.sequence + 1;
    if (hints.lostEvents > this.settings.maxLostEvents) {
      this.reset(target);
      this.findTarget(target).nextSequence = event.sequence + 1;
    }
    if (event.kind === 'added') this.addBlock(target, event.block);
    else this.removeBlock(target, event.block);
  }

  /** Drops all hints of a target, after a crash or when it leaves. */
  reset(target: TargetId): void {
    const hints = this.targets.get(target);
    if (!hints) return;
    for (const block of hints.blocks) this.removeHolder(target, block);
    this.targets.delete(target);
  }

  private findTarget(target: TargetId): TargetHints {
    let hints = this.targets.get(target);
    if (!hints) {
      hints = {blocks: new Set(), nextSequence: undefined, lostEvents: 0};
      this.targets.set(target, hints);
    }
    return hints;
  }

  private addBlock(target: TargetId, block: string): void {
    const {blocks} = this.findTarget(target);
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
