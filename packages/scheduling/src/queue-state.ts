import {RequestId, TeamId} from '@radishgw/core';
import {Discipline, DisciplineName, HeadOfLane} from './disciplines.js';
import {CLASS_RANK, QueueItem, WORK_CLASSES, WorkClass} from './work.js';

/**
 * `mostOverdrawn`: the newest item of the team with the most waiting work for its weight.
 * `newest`: the item that arrives, whoever sent it; only for comparison.
 */
export type OverflowRule = 'mostOverdrawn' | 'newest';

/** Settings of a queue. */
export interface QueueSettings {
  readonly discipline: DisciplineName;
  /** Most items that wait. */
  readonly maxItems: number;
  /** What gives way when the queue is full. */
  readonly overflow: OverflowRule;
  /** Prompts of at least this length count as long. */
  readonly longPromptTokens: number;
  /**
   * A team's work of a class goes ahead of lower classes only while the team's start tag is at
   * most this far ahead of the virtual time, in seconds of its own rate. Without the bound, a team
   * that marks all its work urgent would take the service of the others.
   */
  readonly classLeadSeconds: Readonly<Record<WorkClass, number>>;
  /**
   * Unused service that a team keeps, in seconds of its own rate. Without it, bursts of a team
   * within its rate queue behind a team that always has work waiting.
   */
  readonly creditSeconds: number;
  /**
   * A team is owed service when its start tag is this far behind the highest one served, in
   * seconds. Lower values cost urgent work, higher ones cost teams with many long prompts.
   */
  readonly owedSeconds: number;
  /** Whether classes count at all; false only for comparison. */
  readonly useClasses: boolean;
}

export const DEFAULT_QUEUE_SETTINGS: QueueSettings = {
  discipline: 'startTime',
  maxItems: 2048,
  overflow: 'mostOverdrawn',
  longPromptTokens: 8000,
  classLeadSeconds: {urgent: 10, standard: 10, batch: Infinity},
  creditSeconds: 5,
  owedSeconds: 8,
  useClasses: true,
};

export interface Entry extends HeadOfLane {
  readonly item: QueueItem;
  readonly isLong: boolean;
  readonly arrivedAtMs: number;
  readonly expectedOutputTokens: number;
}

export interface TeamState {
  readonly team: TeamId;
  /** Tokens per second. */
  weight: number;
  /** Normalised service charged so far; the earliest start tag of the next item. */
  tag: number;
  queued: number;
  queuedTokens: number;
  inFlight: number;
  /** Items by lane: class rank * 2 + (1 for long prompts), oldest first. */
  readonly lanes: Entry[][];
}

export interface Charge {
  readonly state: TeamState;
  readonly entry: Entry;
  chargedTokens: number;
}

/** Queue of one pool on one host. Changed in place by the functions of `queue.ts` only. */
export interface RequestQueue {
  readonly settings: QueueSettings;
  readonly discipline: Discipline;
  readonly teams: Map<TeamId, TeamState>;
  readonly entries: Map<RequestId, Entry>;
  /** Dispatched items whose cost isn't final. */
  readonly charges: Map<RequestId, Charge>;
  readonly weights: Map<TeamId, number>;
  /** Moving mean of output tokens by team and class; missing until the first response. */
  readonly meanOutputs: Map<TeamId, Partial<Record<WorkClass, number>>>;
  virtualTime: number;
  /** Highest start tag of any item dispatched. */
  highestStart: number;
  nextOrder: number;
}

/** Weight of teams that have none, in tokens per second. */
const DEFAULT_WEIGHT = 1000;

/**
 * Tells whether work of a kind can be placed on some target at present. `isOwed` tells that the
 * work's team is behind, so that rules which only serve other teams' comfort give way.
 */
export type Gate = (workClass: WorkClass, isLong: boolean, isOwed: boolean) => boolean;

export function findTeam(queue: RequestQueue, team: TeamId): TeamState {
  let state = queue.teams.get(team);
  if (!state) {
    state = {
      team,
      weight: queue.weights.get(team) ?? DEFAULT_WEIGHT,
      tag: 0,
      queued: 0,
      queuedTokens: 0,
      inFlight: 0,
      lanes: WORK_CLASSES.flatMap(() => [[], []]),
    };
    queue.teams.set(team, state);
  }
  return state;
}

/** Drops the state of a team that no longer affects any decision, which bounds memory. */
export function forgetIfIdle(queue: RequestQueue, state: TeamState): void {
  const hasNoWork = state.queued === 0 && state.inFlight === 0;
  const {creditSeconds, discipline} = queue.settings;
  const hasNoDebt = state.tag <= queue.virtualTime - creditSeconds && discipline !== 'virtualClock';
  if (hasNoWork && hasNoDebt) queue.teams.delete(state.team);
}

export function countEntry(queue: RequestQueue, state: TeamState, entry: Entry): void {
  state.queued++;
  state.queuedTokens += entry.item.promptTokens + entry.expectedOutputTokens;
  queue.entries.set(entry.item.id, entry);
}

export function removeEntry(queue: RequestQueue, entry: Entry): void {
  const state = findTeam(queue, entry.item.team);
  const lane = state.lanes[laneOf(entry)];
  lane.splice(lane.indexOf(entry), 1);
  state.queued--;
  state.queuedTokens -= entry.item.promptTokens + entry.expectedOutputTokens;
  queue.entries.delete(entry.item.id);
}

export function laneOf(entry: Entry): number {
  return CLASS_RANK[entry.item.workClass] * 2 + (entry.isLong ? 1 : 0);
}
