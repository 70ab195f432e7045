import {RequestId, TeamId} from '@radishgw/core';
import {Discipline, DisciplineName, LaneHead} from './disciplines.js';
import {CLASS_RANK, QueueItem, WORK_CLASSES, WorkClass} from './work.js';

/**
 * Which item is evicted from a full queue. `largestBacklog`: the newest item of the lowest class of
 * the team with the largest backlog relative to its weight. `newest`: the arriving item, whichever
 * team sent it; a baseline for benchmarks.
 */
export type OverflowRule = 'largestBacklog' | 'newest';

/** Settings of a queue. */
export interface QueueSettings {
  readonly discipline: DisciplineName;
  /** Maximum number of waiting items. */
  readonly maxItems: number;
  /** Which item to evict when the queue is full. */
  readonly overflow: OverflowRule;
  /** Prompts of at least this length count as long. */
  readonly longPromptTokens: number;
  /**
   * A team's items of a class take precedence over lower classes only while the team's start tag is
   * at most this far ahead of the virtual time, in seconds at the team's rate. Without the bound, a
   * team that marks all its requests urgent would starve the other teams.
   */
  readonly classLeadSeconds: Readonly<Record<WorkClass, number>>;
  /**
   * Unused service that a team may carry over, in seconds at its rate. Without it, bursts of a team
   * within its rate would queue behind a team that is always backlogged.
   */
  readonly creditSeconds: number;
  /**
   * A team is lagging when its start tag is more than this far behind the highest one served, in
   * seconds. Lower values delay urgent requests; higher ones delay teams with many long prompts.
   */
  readonly lagThresholdSeconds: number;
  /** Whether classes have priorities; false only as a baseline for benchmarks. */
  readonly useClasses: boolean;
}

export const DEFAULT_QUEUE_SETTINGS: QueueSettings = {
  discipline: 'startTime',
  maxItems: 2048,
  overflow: 'largestBacklog',
  longPromptTokens: 8000,
  classLeadSeconds: {urgent: 10, standard: 10, batch: Infinity},
  creditSeconds: 5,
  lagThresholdSeconds: 8,
  useClasses: true,
};

export interface QueueEntry extends LaneHead {
  readonly item: QueueItem;
  readonly isLong: boolean;
  readonly arrivedAtMs: number;
  readonly expectedOutputTokens: number;
}

export interface TeamState {
  readonly team: TeamId;
  /** Tokens per second. */
  weight: number;
  /** Finish tag of the last item dispatched: the earliest start tag of the next one. */
  finishTag: number;
  queued: number;
  queuedTokens: number;
  inFlight: number;
  /** Items by lane: class rank * 2 + (1 for long prompts), oldest first. */
  readonly lanes: QueueEntry[][];
}

export interface Charge {
  readonly state: TeamState;
  readonly entry: QueueEntry;
  chargedTokens: number;
}

/** Queue of one pool on one host. Mutated by the functions of `queue.ts` only. */
export interface RequestQueue {
  readonly settings: QueueSettings;
  readonly discipline: Discipline;
  readonly teams: Map<TeamId, TeamState>;
  readonly entries: Map<RequestId, QueueEntry>;
  /** Dispatched items whose cost isn't final yet. */
  readonly charges: Map<RequestId, Charge>;
  readonly weights: Map<TeamId, number>;
  /** Moving average of output tokens by team and class; absent until the first response. */
  readonly meanOutputs: Map<TeamId, Partial<Record<WorkClass, number>>>;
  virtualTime: number;
  /** Highest start tag of all items dispatched. */
  highestStartTag: number;
  nextArrivalIndex: number;
}

/** Weight of teams without a configured one, in tokens per second. */
const DEFAULT_WEIGHT = 1000;

/**
 * Whether an item of this kind can currently be placed on any target. With `isLagging`, the item's
 * team has fallen behind, and rules that only improve the latency of other teams don't apply.
 */
export type PlacementCheck = (workClass: WorkClass, isLong: boolean, isLagging: boolean) => boolean;

export function getOrCreateTeam(queue: RequestQueue, team: TeamId): TeamState {
  let state = queue.teams.get(team);
  if (!state) {
    state = {
      team,
      weight: queue.weights.get(team) ?? DEFAULT_WEIGHT,
      finishTag: 0,
      queued: 0,
      queuedTokens: 0,
      inFlight: 0,
      lanes: WORK_CLASSES.flatMap(() => [[], []]),
    };
    queue.teams.set(team, state);
  }
  return state;
}

/** Removes the state of a team that no longer affects any decision, which bounds memory. */
export function removeIfIdle(queue: RequestQueue, state: TeamState): void {
  const isIdle = state.queued === 0 && state.inFlight === 0;
  const {creditSeconds, discipline} = queue.settings;
  const isCaughtUp =
    state.finishTag <= queue.virtualTime - creditSeconds && discipline !== 'virtualClock';
  if (isIdle && isCaughtUp) queue.teams.delete(state.team);
}

export function addToCounts(queue: RequestQueue, state: TeamState, entry: QueueEntry): void {
  state.queued++;
  state.queuedTokens += entry.item.promptTokens + entry.expectedOutputTokens;
  queue.entries.set(entry.item.id, entry);
}

export function removeEntry(queue: RequestQueue, entry: QueueEntry): void {
  const state = getOrCreateTeam(queue, entry.item.team);
  const lane = state.lanes[laneOf(entry)];
  lane.splice(lane.indexOf(entry), 1);
  state.queued--;
  state.queuedTokens -= entry.item.promptTokens + entry.expectedOutputTokens;
  queue.entries.delete(entry.item.id);
}

export function laneOf(entry: QueueEntry): number {
  return CLASS_RANK[entry.item.workClass] * 2 + (entry.isLong ? 1 : 0);
}
