import {TargetId} from '@radishgw/core';
import {TargetEntry, TargetList} from '../model.js';

/**
 * Time for which a target whose entry can't be used any more counts as it was: another writer may
 * have replaced the entry, and the target writes its own every 1.2 s.
 */
const GRACE_MS = 2000;

/** The entries of targets as they were last usable. */
export interface KnownEntries {
  readonly entries: Map<TargetId, TargetEntry>;
  /** Time since which the entry of a target can't be used. */
  readonly unreadableSinceMs: Map<TargetId, number>;
}

export function createKnownEntries(): KnownEntries {
  return {entries: new Map(), unreadableSinceMs: new Map()};
}

/** Adds the known entries to a list in whose place there are ones now that can't be used. */
export function keepUnreadable(known: KnownEntries, list: TargetList, nowMs: number): TargetList {
  // A target always states when it started; an entry in which that is missing isn't its own.
  const isForeign = ({id, bornMs}: TargetEntry) =>
    bornMs === undefined &&
    (known.entries.get(id)?.bornMs !== undefined || known.unreadableSinceMs.has(id));
  const foreign = list.entries.filter(isForeign).map(({id}) => id);
  const unreadable = new Set([...(list.unreadable ?? []), ...foreign]);
  for (const id of known.unreadableSinceMs.keys()) {
    if (!unreadable.has(id)) known.unreadableSinceMs.delete(id);
  }
  const kept: TargetEntry[] = [];
  for (const id of unreadable) {
    const entry = known.entries.get(id);
    const sinceMs = known.unreadableSinceMs.get(id) ?? nowMs;
    known.unreadableSinceMs.set(id, sinceMs);
    if (entry && nowMs - sinceMs < GRACE_MS) kept.push(entry);
  }
  const entries = [...list.entries.filter(({id}) => !unreadable.has(id)), ...kept];
  known.entries.clear();
  for (const entry of entries) known.entries.set(entry.id, entry);
  return {era: list.era, revision: list.revision, entries};
}
