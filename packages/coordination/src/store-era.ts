import {Revision} from './platform.js';

/**
 * Position in the store's history. The store may come back from an older copy: its era rises then,
 * and revisions after the copy are given out again. So revisions order states within an era only.
 */
export interface StorePosition {
  readonly era: number;
  readonly revision: Revision;
}

/** Compares two positions; positive if `a` is later. */
export function comparePositions(a: StorePosition, b: StorePosition): number {
  return a.era - b.era || a.revision - b.revision;
}

/** Era of a store that has never come back from a copy. */
export const FIRST_ERA = 1;

/** Called when the store has come back from an older copy. */
type EraListener = (era: number) => void;

/**
 * The latest era of the store that this process has learned of, from the store itself or from
 * another host. What an earlier era says is out of date. A store that never names an era has one.
 */
export class StoreEra {
  private known: number | undefined;
  private readonly listeners: EraListener[] = [];

  /** 0 before the first observation. */
  get current(): number {
    return this.known ?? 0;
  }

  /** Calls `listener` whenever the era rises after the first observation. */
  subscribe(listener: EraListener): void {
    this.listeners.push(listener);
  }

  /** Records an era, undefined if none is named; false if it is over. */
  observe(era: number | undefined): boolean {
    if (era === undefined || era === this.known) return true;
    if (this.known !== undefined && era < this.known) return false;
    const isFirst = this.known === undefined;
    this.known = era;
    if (!isFirst) for (const listener of this.listeners) listener(era);
    return true;
  }
}
