import {startTag} from './disciplines.js';
import {Entry, forgetIfIdle, Gate, RequestQueue, TeamState} from './queue-state.js';

export interface Choice {
  readonly entry: Entry;
  readonly state: TeamState;
  readonly start: number;
  readonly level: number;
  readonly key: number;
  readonly isDemoted: boolean;
  readonly isOwed: boolean;
  readonly competingTeams: number;
  /** Lowest start tag of any waiting item. */
  readonly lowestStart: number;
}

/** The head with the lowest level, then the lowest key, then the earliest arrival. */
export function chooseHead(queue: RequestQueue, nowMs: number, gate: Gate): Choice | undefined {
  const {discipline, virtualTime, settings} = queue;
  let best: Omit<Choice, 'competingTeams' | 'lowestStart'> | undefined;
  let competingTeams = 0;
  let lowestStart = Infinity;
  const openLanes: (boolean | undefined)[] = [];
  for (const state of queue.teams.values()) {
    if (state.queued === 0) {
      forgetIfIdle(queue, state);
      continue;
    }
    let competes = false;
    for (let lane = 0; lane < state.lanes.length; lane++) {
      const entry = state.lanes[lane].find(({item}) => item.deadlineMs > nowMs);
      if (!entry) continue;
      const start = startTag(entry, state.tag);
      if (start < lowestStart) lowestStart = start;
      const isOwed = queue.highestStart - start > settings.owedSeconds;
      const gateIndex = lane * 2 + (isOwed ? 1 : 0);
      openLanes[gateIndex] ??= gate(entry.item.workClass, entry.isLong, isOwed);
      if (!openLanes[gateIndex]) continue;
      competes = true;
      const isDemoted = start - virtualTime > settings.classLeadSeconds[entry.item.workClass];
      const level = settings.useClasses ? (lane >> 1) + (isDemoted ? 1 : 0) : 0;
      const key = discipline.key(entry, state.tag);
      if (
        !best ||
        level < best.level ||
        (level === best.level &&
          (key < best.key || (key === best.key && entry.order < best.entry.order)))
      ) {
        best = {entry, state, start, level, key, isDemoted, isOwed};
      }
    }
    if (competes) competingTeams++;
  }
  return best && {...best, competingTeams, lowestStart};
}
