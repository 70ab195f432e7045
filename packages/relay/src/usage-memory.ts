import {HostId} from '@radishgw/core';
import {compareRecords, HostRecord} from './host-registry.js';
import {Instant} from './instant.js';
import {FrozenWindow, SharedState} from './store-sync.js';

/**
 * Time after the end of a window until its counts are complete: a host forwards its counts each
 * second, and the host that writes them takes up to half a second more. All counts are written again
 * in that time when the store has come back from an older copy.
 */
export const FREEZE_DELAY_MS = 2500;

/** Number of complete windows that are kept in the store. */
export const RETAINED_WINDOWS = 12;

/** Time for which records are remembered; no window is reported that late. */
const RECORD_MEMORY_MS = 60_000;

/**
 * Usage that this host has read from the store or written to it. The store may come back from an
 * older copy, without counts that have been reported, or that only a host that is gone had written.
 */
export interface UsageMemory {
  /** Latest era in which this host has read the store; undefined before the first read. */
  era: number | undefined;
  /** Time of the first read after the store came back from an older copy. */
  restoredAtMs: number;
  /** Counts of windows that are final. */
  readonly frozen: Map<number, FrozenWindow>;
  /** Newest record of each host, and the time at which it was read last. */
  readonly records: Map<HostId, {readonly record: HostRecord; readonly readMs: number}>;
}

export function createUsageMemory(): UsageMemory {
  return {era: undefined, restoredAtMs: -Infinity, frozen: new Map(), records: new Map()};
}

/** Applies a read of the store; returns the windows that the store has lost, oldest first. */
export function rememberUsage(
  memory: UsageMemory,
  state: Pick<SharedState, 'era' | 'hosts' | 'frozen'>,
  {monotonicMs}: Pick<Instant, 'monotonicMs'>,
): readonly FrozenWindow[] {
  const isRestored = memory.era !== undefined && state.era > memory.era;
  memory.era = state.era;
  if (isRestored) memory.restoredAtMs = monotonicMs;
  for (const record of state.hosts) {
    const known = memory.records.get(record.hostId);
    const newest = known && compareRecords(known.record, record) > 0 ? known.record : record;
    memory.records.set(record.hostId, {record: newest, readMs: monotonicMs});
  }
  for (const [hostId, {readMs}] of memory.records) {
    if (monotonicMs - readMs > RECORD_MEMORY_MS) memory.records.delete(hostId);
  }
  const isLost = ({windowIndex}: FrozenWindow) => isRestored && !state.frozen.has(windowIndex);
  const lost = [...memory.frozen.values()].filter(isLost);
  lost.sort((a, b) => a.windowIndex - b.windowIndex);
  for (const [index, window] of state.frozen) memory.frozen.set(index, window);
  const lastIndex = Math.max(-Infinity, ...memory.frozen.keys());
  for (const index of memory.frozen.keys()) {
    if (index <= lastIndex - RETAINED_WINDOWS) memory.frozen.delete(index);
  }
  return lost;
}

/** Whether all hosts can have written their counts since the store came back from an older copy. */
export function mayFreeze(
  {restoredAtMs}: UsageMemory,
  {monotonicMs}: Pick<Instant, 'monotonicMs'>,
): boolean {
  return monotonicMs - restoredAtMs >= FREEZE_DELAY_MS;
}

/** Records from which the counts of a window are summed. */
export function listUsageRecords({records}: UsageMemory): readonly HostRecord[] {
  return [...records.values()].map(({record}) => record);
}
