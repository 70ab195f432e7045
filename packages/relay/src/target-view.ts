import {TargetId} from '@radishgw/core';
import {TargetEntry, TargetList} from './model.js';
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

/** This host's view of the list of targets. */
export interface TargetView {
  targets: Map<TargetId, TargetEntry>;
  /** Revision of the store at which the list was read. */
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
    revision: -Infinity,
    readAtMs: -Infinity,
    graceUntilMs: -Infinity,
    missing: new Set(),
    rate: createRevisionRate(),
    hasFailedRead: false,
  };
}

/** Whether two entries describe the same incarnation of a target. */
export function isSameIncarnation(a: TargetEntry, b: TargetEntry): boolean {
  return a.id === b.id && a.bornMs === b.bornMs && a.address === b.address;
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
 * older than the previous one is ignored. Its revision decides: a read that was sent earlier may
 * have been carried out later.
 */
export function updateTargets(
  view: TargetView,
  {revision, entries}: TargetList,
  nowMs: number,
): TargetChanges {
  if (revision < view.revision) return {added: [], draining: [], gone: [], kept: []};
  if (detectOutage(view, revision, nowMs)) view.graceUntilMs = nowMs + REAPPEARANCE_GRACE_MS;
  view.readAtMs = Math.max(view.readAtMs, nowMs);
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
  view.targets = next;
  view.missing = missing;
  return {added, draining, gone, kept};
}
