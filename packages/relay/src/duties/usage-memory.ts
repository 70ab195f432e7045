import {HostId} from '@radishgw/core';
import {compareIncarnations, compareRecords, HostRecord} from '../store/host-registry.js';
import {Instant} from '../instant.js';
import {FrozenWindow, SharedState} from '../store/store-sync.js';

/**
 * Time after the end of a window until its counts are complete: a host forwards its counts each
 * second, and the host that writes them takes up to half a second more. All counts are written again
 * in that time when the store has come back from an older copy.
 */
export const FREEZE_DELAY_MS = 2500;

/** Number of complete windows that are kept in the store. */
export const RETAINED_WINDOWS = 12;

/** Number of windows that a host remembers; of those in the store others may have written some. */
const MAX_REMEMBERED_WINDOWS = 3 * RETAINED_WINDOWS;

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
  /** Counts of windows that are final; those that were read or written last come last. */
  readonly frozen: Map<number, FrozenWindow>;
  /** Newest record of each host, and the time at which it was read last. */
  readonly records: Map<HostId, RememberedRecord>;
}

interface RememberedRecord {
  readonly record: HostRecord;
  /** Time at which a record of the host was read last. */
  readonly readMs: number;
  /** Highest counts of the host's earlier incarnations, of which a later one may know less. */
  readonly earlier: HostRecord['usage'];
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
    const hasRestarted = known && compareIncarnations(known.record, newest) !== 0;
    const earlier = hasRestarted
      ? maxCounts(known.record.usage, known.earlier)
      : (known?.earlier ?? {});
    memory.records.set(record.hostId, {record: newest, readMs: monotonicMs, earlier});
  }
  for (const [hostId, {readMs}] of memory.records) {
    if (monotonicMs - readMs > RECORD_MEMORY_MS) memory.records.delete(hostId);
  }
  const isLost = ({windowIndex}: FrozenWindow) => isRestored && !state.frozen.has(windowIndex);
  const lost = [...memory.frozen.values()].filter(isLost);
  lost.sort((a, b) => a.windowIndex - b.windowIndex);
  for (const [index, window] of state.frozen) {
    memory.frozen.delete(index);
    memory.frozen.set(index, window);
  }
  for (const index of memory.frozen.keys()) {
    if (memory.frozen.size <= MAX_REMEMBERED_WINDOWS) break;
    memory.frozen.delete(index);
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
  return [...records.values()].map(({record, earlier}) => ({
    ...record,
    usage: maxCounts(record.usage, earlier),
  }));
}

/** The higher count of each team in each window. */
function maxCounts(a: HostRecord['usage'], b: HostRecord['usage']): HostRecord['usage'] {
  const result: Record<string, Record<string, number>> = {};
  for (const usage of [a, b]) {
    for (const [index, counts] of Object.entries(usage)) {
      const window = (result[index] ??= {});
      for (const [team, count] of Object.entries(counts)) {
        window[team] = Math.max(window[team] ?? 0, count);
      }
    }
  }
  return result;
}
