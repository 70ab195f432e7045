import {comparePositions} from '@radishgw/coordination';
import {FailureDomain} from '@radishgw/core';
import {Evacuation, EvacuationList} from '../model.js';

/**
 * Time for which an evacuation that an older copy of the store lacks stays in force unless its entry
 * is written again. Without a limit, one that was ended meanwhile would stay for good.
 */
const LOST_ENTRY_MS = 30_000;

/** An evacuation that is in force. */
interface ActiveEvacuation {
  readonly evacuation: Evacuation;
  readonly sinceMs: number;
  /** Time until which it stays in force although the copy of the store lacks its entry. */
  keptUntilMs: number | undefined;
}

/** The evacuations that a host knows. */
export interface EvacuationView {
  readonly active: Map<FailureDomain, ActiveEvacuation>;
  /** Position of the store at which they were read; before all others until the first read. */
  era: number;
  revision: number;
}

/** An evacuation that has ended. */
export interface EndedEvacuation extends Evacuation {
  readonly forMs: number;
}

export interface EvacuationChanges {
  readonly started: readonly Evacuation[];
  readonly ended: readonly EndedEvacuation[];
}

export function createEvacuationView(): EvacuationView {
  return {active: new Map(), era: -Infinity, revision: -Infinity};
}

/** Whether the evacuations have been read at least once. */
export function hasReadEvacuations(view: EvacuationView): boolean {
  return view.era > -Infinity;
}

/** Applies a complete list; one that is older than the previous one is ignored. */
export function updateEvacuations(
  view: EvacuationView,
  {era = 0, revision, evacuations}: EvacuationList,
  nowMs: number,
): EvacuationChanges {
  const started: Evacuation[] = [];
  const ended: EndedEvacuation[] = [];
  if (comparePositions({era, revision}, view) < 0) return {started, ended};
  const isRestored = hasReadEvacuations(view) && era > view.era;
  view.era = era;
  view.revision = revision;
  const listed = new Map(evacuations.map(item => [item.failureDomain, item]));
  for (const [domain, active] of view.active) {
    if (listed.has(domain)) {
      active.keptUntilMs = undefined;
      continue;
    }
    if (isRestored) active.keptUntilMs ??= nowMs + LOST_ENTRY_MS;
    if (active.keptUntilMs !== undefined && nowMs < active.keptUntilMs) continue;
    view.active.delete(domain);
    ended.push({...active.evacuation, forMs: nowMs - active.sinceMs});
  }
  for (const [domain, evacuation] of listed) {
    if (view.active.has(domain)) continue;
    view.active.set(domain, {evacuation, sinceMs: nowMs, keptUntilMs: undefined});
    started.push(evacuation);
  }
  return {started, ended};
}
