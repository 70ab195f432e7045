import {startTag} from './disciplines.js';
import {PlacementCheck, QueueEntry, removeIfIdle, RequestQueue, TeamState} from './queue-state.js';

export interface SelectedHead {
  readonly entry: QueueEntry;
  readonly state: TeamState;
  readonly start: number;
  /** Class rank, plus one if the class is demoted; 0 if classes are disabled. */
  readonly level: number;
  readonly key: number;
  /** Whether the team exceeds the lead up to which the class takes precedence. */
  readonly isDemoted: boolean;
  readonly isLagging: boolean;
  readonly competingTeams: number;
  /** Lowest start tag of all lane heads, including those that can't be placed. */
  readonly lowestStart: number;
}

/** Selects the placeable head with the lowest level, then the lowest key, then the oldest one. */
export function selectHead(
  queue: RequestQueue,
  nowMs: number,
  canPlace: PlacementCheck,
): SelectedHead | undefined {
  const {discipline, virtualTime, settings} = queue;
  let best: Omit<SelectedHead, 'competingTeams' | 'lowestStart'> | undefined;
  let competingTeams = 0;
  let lowestStart = Infinity;
  const placeable: (boolean | undefined)[] = [];
  for (const state of queue.teams.values()) {
    if (state.queued === 0) {
      removeIfIdle(queue, state);
      continue;
    }
    let competes = false;
    for (let lane = 0; lane < state.lanes.length; lane++) {
      const entry = state.lanes[lane].find(({item}) => item.deadlineMs > nowMs);
      if (!entry) continue;
      const start = startTag(entry, state.finishTag);
      if (start < lowestStart) lowestStart = start;
      const isLagging = queue.highestStartTag - start > settings.lagThresholdSeconds;
      const checkIndex = lane * 2 + (isLagging ? 1 : 0);
      placeable[checkIndex] ??= canPlace(entry.item.workClass, entry.isLong, isLagging);
      if (!placeable[checkIndex]) continue;
      competes = true;
      const isDemoted = start - virtualTime > settings.classLeadSeconds[entry.item.workClass];
      const level = settings.useClasses ? (lane >> 1) + (isDemoted ? 1 : 0) : 0;
      const key = discipline.key(entry, state.finishTag);
      if (
        !best ||
        level < best.level ||
        (level === best.level &&
          (key < best.key || (key === best.key && entry.arrivalIndex < best.entry.arrivalIndex)))
      ) {
        best = {entry, state, start, level, key, isDemoted, isLagging};
      }
    }
    if (competes) competingTeams++;
  }
  return best && {...best, competingTeams, lowestStart};
}
