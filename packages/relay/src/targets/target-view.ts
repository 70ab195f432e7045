import {comparePositions} from '@radishgw/coordination';
import {TargetId} from '@radishgw/core';
import {incarnationKey} from './leaving-targets.js';
import {TargetEntry, TargetList} from '../model.js';
import {
  createRevisionRate,
  RevisionRate,
  tookUsualWrites,
  updateRevisionRate,
} from './revision-rate.js';

/**
 * Time for which entries that are missing after a store outage are retained. The store may expire
 * entries while it is unavailable; live targets register again within two seconds of its recovery.
 */
export const REAPPEARANCE_GRACE_MS = 2000;

/**
 * Minimum duration of an outage in which entries expire: targets write theirs about every 1.2 s,
 * and the store removes an entry after three missed writes.
 */
export const MIN_OUTAGE_MS = 2000;

/** Time for which an incarnation that has gone is remembered; a copy of the store isn't older. */
const GONE_MEMORY_MS = 60_000;

/**
 * Time for which an entry that a copy of the store has brought back isn't used: the store removes
 * the entry of a target that is gone, and a target that leaves is gone.
 */
const REVIVED_MS = 10_000;

/** This host's view of the list of targets. */
export interface TargetView {
  targets: Map<TargetId, TargetEntry>;
  /** Era and revision of the store at which the list was read. */
  era: number;
  revision: number;
  readAtMs: number;
  /** Until this time, entries that are missing from the list are retained. */
  graceUntilMs: number;
  /** Entries that are missing from the latest read. */
  missing: Set<TargetId>;
  /** Rate of the revisions while no read fails. */
  readonly rate: RevisionRate;
  /** Whether a read has failed since the latest successful one. */
  hasFailedRead: boolean;
  /** Times at which incarnations have gone, oldest first, by `incarnationKey`. */
  readonly goneMs: Map<string, number>;
  /** Incarnations that had gone and whose entries a copy of the store has brought back. */
  readonly revived: Set<string>;
  /** Time until which those aren't used. */
  revivedUntilMs: number;
}

/** Changes made by a read of the list. */
export interface TargetChanges {
  readonly added: readonly TargetEntry[];
  readonly draining: readonly TargetEntry[];
  readonly gone: readonly TargetEntry[];
  /** Entries that are missing from this read for the first time and are retained for now. */
  readonly kept: readonly TargetEntry[];
}

export function createTargetView(): TargetView {
  return {
    targets: new Map(),
    era: -Infinity,
    revision: -Infinity,
    readAtMs: -Infinity,
    graceUntilMs: -Infinity,
    missing: new Set(),
    rate: createRevisionRate(),
    hasFailedRead: false,
    goneMs: new Map(),
    revived: new Set(),
    revivedUntilMs: -Infinity,
  };
}

/** Whether two entries describe the same incarnation of a target. */
export function isSameIncarnation(a: TargetEntry, b: TargetEntry): boolean {
  return a.id === b.id && a.bornMs === b.bornMs && a.address === b.address;
}

/** Applies the first list after the store has come back from an older copy. */
function beginEra(view: TargetView, entries: readonly TargetEntry[], nowMs: number): void {
  // The copy lacks targets that have registered since; they write their entries again.
  view.graceUntilMs = nowMs + REAPPEARANCE_GRACE_MS;
  view.revivedUntilMs = nowMs + REVIVED_MS;
  view.revived.clear();
  for (const entry of entries) {
    const key = incarnationKey(entry);
    if (entry.isFromCopy && view.goneMs.has(key)) view.revived.add(key);
  }
}

/** Leaves out the entries that a copy of the store has brought back. */
function omitRevived(
  view: TargetView,
  entries: readonly TargetEntry[],
  nowMs: number,
): readonly TargetEntry[] {
  if (nowMs >= view.revivedUntilMs) view.revived.clear();
  if (view.revived.size === 0) return entries;
  const copied = new Set(entries.filter(entry => entry.isFromCopy).map(incarnationKey));
  for (const key of view.revived) if (!copied.has(key)) view.revived.delete(key);
  return entries.filter(entry => !view.revived.has(incarnationKey(entry)));
}

function recordGone(view: TargetView, gone: readonly TargetEntry[], nowMs: number): void {
  for (const entry of gone) {
    const key = incarnationKey(entry);
    view.goneMs.delete(key);
    view.goneMs.set(key, nowMs);
  }
  for (const [key, goneMs] of view.goneMs) {
    if (nowMs - goneMs < GONE_MEMORY_MS) break;
    view.goneMs.delete(key);
  }
}

/** Whether the store was unavailable between the previous list and one of `revision`. */
function detectOutage(view: TargetView, revision: number, nowMs: number): boolean {
  const gapMs = nowMs - view.readAtMs;
  const revisions = revision - view.revision;
  if (!view.hasFailedRead) {
    if (Number.isFinite(gapMs) && gapMs > 0) updateRevisionRate(view.rate, revisions, gapMs);
    return false;
  }
  return gapMs > MIN_OUTAGE_MS && !tookUsualWrites(view.rate, revisions, gapMs);
}

/**
 * Applies a complete read of the list, which was current in the store at `nowMs`. A list that is
 * older than the previous one is ignored. Its position decides: a read that was sent earlier may
 * have been carried out later.
 */
export function updateTargets(
  view: TargetView,
  {era = 0, revision, entries: listed}: TargetList,
  nowMs: number,
): TargetChanges {
  if (comparePositions({era, revision}, view) < 0) {
    return {added: [], draining: [], gone: [], kept: []};
  }
  if (era > view.era && view.readAtMs > -Infinity) beginEra(view, listed, nowMs);
  else if (detectOutage(view, revision, nowMs)) view.graceUntilMs = nowMs + REAPPEARANCE_GRACE_MS;
  const entries = omitRevived(view, listed, nowMs);
  view.readAtMs = Math.max(view.readAtMs, nowMs);
  view.era = era;
  view.revision = revision;
  view.hasFailedRead = false;
  const next = new Map(entries.map(entry => [entry.id, entry]));
  const gone: TargetEntry[] = [];
  const kept: TargetEntry[] = [];
  const missing = new Set<TargetId>();
  for (const [id, old] of view.targets) {
    const entry = next.get(id);
    if (entry && isSameIncarnation(old, entry)) continue;
    if (entry || nowMs >= view.graceUntilMs) {
      gone.push(old);
      continue;
    }
    next.set(id, old);
    missing.add(id);
    if (!view.missing.has(id)) kept.push(old);
  }
  const added: TargetEntry[] = [];
  const draining: TargetEntry[] = [];
  for (const [id, entry] of next) {
    const old = view.targets.get(id);
    const isKnown = old !== undefined && isSameIncarnation(old, entry);
    if (!isKnown) added.push(entry);
    if (entry.isDraining && !(isKnown && old.isDraining)) draining.push(entry);
    // An incarnation never returns from draining; a late write of its entry may say so.
    if (isKnown && old.isDraining && entry.bornMs !== undefined) {
      next.set(id, {...entry, isDraining: true});
    }
  }
  recordGone(view, gone, nowMs);
  view.targets = next;
  view.missing = missing;
  return {added, draining, gone, kept};
}
