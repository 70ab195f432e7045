import {TeamId} from '@radishgw/core';
import {WindowCounts} from '../model.js';

/** Number of windows that a host keeps: those that can still be reported and the current one. */
const RETAINED_WINDOWS = 6;

/** Number of requests that this host started for each team, by window. */
export interface UsageLedger {
  readonly windows: Map<number, Record<string, number>>;
}

export function createUsageLedger(): UsageLedger {
  return {windows: new Map()};
}

/** Index of the window that contains a time; windows are counted from the Unix epoch. */
export function windowIndexAt(wallMs: number, windowMs: number): number {
  return Math.floor(wallMs / windowMs);
}

/** Counts one request. */
export function countRequest(ledger: UsageLedger, team: TeamId, windowIndex: number): void {
  let counts = ledger.windows.get(windowIndex);
  if (!counts) {
    counts = {};
    ledger.windows.set(windowIndex, counts);
    for (const index of ledger.windows.keys()) {
      if (index <= windowIndex - RETAINED_WINDOWS) ledger.windows.delete(index);
    }
  }
  counts[team] = (counts[team] ?? 0) + 1;
}

/** Adds the counts of an earlier incarnation of this host. */
export function mergeCounts(
  ledger: UsageLedger,
  earlier: Readonly<Record<string, WindowCounts>>,
): void {
  for (const [index, counts] of Object.entries(earlier)) {
    const own = ledger.windows.get(Number(index)) ?? {};
    for (const [team, count] of Object.entries(counts)) own[team] = (own[team] ?? 0) + count;
    ledger.windows.set(Number(index), own);
  }
}

/** Sums the counts of one window over all hosts. */
export function sumWindow(
  hosts: Iterable<Readonly<Record<string, WindowCounts>>>,
  windowIndex: number,
): WindowCounts {
  const total: Record<string, number> = {};
  for (const windows of hosts) {
    for (const [team, count] of Object.entries(windows[windowIndex] ?? {})) {
      total[team] = (total[team] ?? 0) + count;
    }
  }
  return total;
}
