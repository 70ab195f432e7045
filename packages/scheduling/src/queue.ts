import {RequestId, TeamId} from '@radishgw/core';
import {selectHead} from './choose-head.js';
import {DISCIPLINES} from './disciplines.js';
import {
  addToCounts,
  Charge,
  DEFAULT_QUEUE_SETTINGS,
  getOrCreateTeam,
  laneOf,
  OverflowRule,
  PlacementCheck,
  QueueEntry,
  QueueSettings,
  removeEntry,
  removeIfIdle,
  RequestQueue,
  TeamState,
} from './queue-state.js';
import {QueueItem, WORK_CLASSES, WorkClass} from './work.js';

/** Why an item was selected; returned by the operators' `/explain` endpoint. */
export interface QueueReason {
  readonly rule: 'class' | 'classDemoted' | 'onlyTeam';
  readonly team: TeamId;
  readonly workClass: WorkClass;
  readonly waitedMs: number;
  /** Lead of the team's start tag over the virtual time, in seconds at the team's rate. */
  readonly leadSeconds: number;
  readonly chargedTokens: number;
  /** Teams with an item that could have been selected. */
  readonly competingTeams: number;
}

/** Outcome of {@link enqueue}. An evicted item has left the queue without having run. */
export type EnqueueDecision =
  | {readonly type: 'queued'; readonly evicted?: QueueItem; readonly queuedItems: number}
  | {readonly type: 'refused'; readonly reason: 'queueFull' | 'deadlinePassed' | 'duplicate'};

/** Outcome of {@link dequeue}. */
export interface DequeuedItem {
  readonly item: QueueItem;
  readonly isLong: boolean;
  /** Whether the team was lagging, see {@link PlacementCheck}. */
  readonly isLagging: boolean;
  readonly reason: QueueReason;
}

/** Tokens that a request has actually used. */
export interface ActualTokens {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Weight of the newest response in the moving average of a team's output tokens. */
const OUTPUT_SMOOTHING = 0.1;

/** Creates an empty queue. Omitted settings take the values of {@link DEFAULT_QUEUE_SETTINGS}. */
export function createQueue(settings: Partial<QueueSettings> = {}): RequestQueue {
  const merged = {...DEFAULT_QUEUE_SETTINGS, ...settings};
  return {
    settings: merged,
    discipline: DISCIPLINES[merged.discipline],
    teams: new Map(),
    entries: new Map(),
    charges: new Map(),
    weights: new Map(),
    meanOutputs: new Map(),
    virtualTime: 0,
    highestStartTag: 0,
    nextArrivalIndex: 0,
  };
}

/** Sets a team's weight, normally its rate in tokens per second. Applies to later charges. */
export function setTeamWeight(queue: RequestQueue, team: TeamId, weight: number): void {
  const positive = Math.max(1e-6, weight);
  queue.weights.set(team, positive);
  const state = queue.teams.get(team);
  if (state) state.weight = positive;
}

/** Removes the weight and averages of a team that no longer exists; its waiting items stay. */
export function removeTeam(queue: RequestQueue, team: TeamId): void {
  queue.weights.delete(team);
  queue.meanOutputs.delete(team);
}

/** Adds an item, or refuses it. A refused or evicted item has not run. */
export function enqueue(queue: RequestQueue, item: QueueItem, nowMs: number): EnqueueDecision {
  if (item.deadlineMs <= nowMs) return {type: 'refused', reason: 'deadlinePassed'};
  if (queue.entries.has(item.id) || queue.charges.has(item.id)) {
    return {type: 'refused', reason: 'duplicate'};
  }
  const state = getOrCreateTeam(queue, item.team);
  addEntry(queue, state, item, nowMs);
  if (queue.entries.size <= queue.settings.maxItems) {
    return {type: 'queued', queuedItems: queue.entries.size};
  }
  const evicted = EVICT[queue.settings.overflow](queue, item);
  if (evicted.id === item.id) return {type: 'refused', reason: 'queueFull'};
  return {type: 'queued', evicted, queuedItems: queue.entries.size};
}

/** Removes and returns a waiting item; undefined if it isn't waiting, e.g. while it runs. */
export function cancelItem(queue: RequestQueue, id: RequestId): QueueItem | undefined {
  const entry = queue.entries.get(id);
  if (!entry) return undefined;
  removeEntry(queue, entry);
  removeIfIdle(queue, getOrCreateTeam(queue, entry.item.team));
  return entry.item;
}

/** Removes and returns the items whose deadline has passed; they have not run. */
export function expireItems(queue: RequestQueue, nowMs: number): QueueItem[] {
  const expired = [...queue.entries.values()].filter(entry => entry.item.deadlineMs <= nowMs);
  for (const entry of expired) cancelItem(queue, entry.item.id);
  return expired.map(entry => entry.item);
}

/** Returns the earliest deadline of the waiting items, for the timer of {@link expireItems}. */
export function nextDeadlineMs(queue: RequestQueue): number | undefined {
  let earliest: number | undefined;
  for (const {item} of queue.entries.values()) {
    if (earliest === undefined || item.deadlineMs < earliest) earliest = item.deadlineMs;
  }
  return earliest;
}

/**
 * Removes and returns the next item to dispatch, and charges its expected cost to the team. Returns
 * undefined if no item can be placed.
 */
export function dequeue(
  queue: RequestQueue,
  nowMs: number,
  canPlace: PlacementCheck,
): DequeuedItem | undefined {
  if (queue.entries.size === 0) return undefined;
  const choice = selectHead(queue, nowMs, canPlace);
  if (!choice) return undefined;
  const {entry, state, start} = choice;
  const leadSeconds = start - queue.virtualTime;
  removeEntry(queue, entry);
  queue.virtualTime = Math.max(queue.virtualTime, choice.lowestStart);
  queue.highestStartTag = Math.max(queue.highestStartTag, start);
  const chargedTokens = entry.item.promptTokens + entry.expectedOutputTokens;
  state.finishTag = start + chargedTokens / state.weight;
  state.inFlight++;
  queue.charges.set(entry.item.id, {state, entry, chargedTokens});
  return {
    item: entry.item,
    isLong: entry.isLong,
    isLagging: choice.isLagging,
    reason: {
      rule: choice.competingTeams === 1 ? 'onlyTeam' : choice.isDemoted ? 'classDemoted' : 'class',
      team: entry.item.team,
      workClass: entry.item.workClass,
      waitedMs: nowMs - entry.arrivedAtMs,
      leadSeconds,
      chargedTokens,
      competingTeams: choice.competingTeams,
    },
  };
}

/** Raises the charge of a running request once it exceeds its expected output. */
export function recordProgress(queue: RequestQueue, id: RequestId, outputTokens: number): void {
  const charge = queue.charges.get(id);
  if (!charge || outputTokens <= charge.entry.expectedOutputTokens) return;
  correctCharge(charge, charge.entry.item.promptTokens + outputTokens);
}

/**
 * Replaces the charge of a dispatched request by its actual cost. A request that didn't run is
 * settled with zero tokens. Unknown ids are ignored, so that repeated calls have no effect.
 */
export function settleItem(queue: RequestQueue, id: RequestId, actual: ActualTokens): void {
  const charge = queue.charges.get(id);
  if (!charge) return;
  queue.charges.delete(id);
  correctCharge(charge, actual.promptTokens + actual.outputTokens);
  const {state, entry} = charge;
  state.inFlight--;
  if (actual.outputTokens > 0) updateMeanOutput(queue, entry.item, actual.outputTokens);
  removeIfIdle(queue, state);
  if (queue.entries.size === 0 && queue.charges.size === 0) advanceVirtualTimeWhenIdle(queue);
}

/**
 * At the end of a busy period, start-time fair queueing sets the virtual time to the highest finish
 * tag. The credit that `minStartTagAtArrival` deducts is added, so that the next start tag of the
 * team with that finish tag isn't below it.
 */
function advanceVirtualTimeWhenIdle(queue: RequestQueue): void {
  for (const state of queue.teams.values()) {
    const creditedFinishTag = state.finishTag + queue.settings.creditSeconds;
    queue.virtualTime = Math.max(queue.virtualTime, creditedFinishTag);
  }
  for (const state of queue.teams.values()) removeIfIdle(queue, state);
}

/**
 * Returns a dispatched item that has not run to its former position in the queue and refunds its
 * charge. Returns false if the item isn't dispatched.
 */
export function requeueItem(queue: RequestQueue, id: RequestId): boolean {
  const charge = queue.charges.get(id);
  if (!charge) return false;
  queue.charges.delete(id);
  correctCharge(charge, 0);
  const {state, entry} = charge;
  state.inFlight--;
  const lane = state.lanes[laneOf(entry)];
  const index = lane.findIndex(other => other.arrivalIndex > entry.arrivalIndex);
  lane.splice(index < 0 ? lane.length : index, 0, entry);
  addToCounts(queue, state, entry);
  return true;
}

function updateMeanOutput(queue: RequestQueue, item: QueueItem, outputTokens: number): void {
  const means = queue.meanOutputs.get(item.team) ?? {};
  const mean = means[item.workClass] ?? outputTokens;
  means[item.workClass] = mean + OUTPUT_SMOOTHING * (outputTokens - mean);
  queue.meanOutputs.set(item.team, means);
}

function correctCharge(charge: Charge, tokens: number): void {
  charge.state.finishTag += (tokens - charge.chargedTokens) / charge.state.weight;
  charge.chargedTokens = tokens;
}

function addEntry(queue: RequestQueue, state: TeamState, item: QueueItem, nowMs: number): void {
  const expectedOutputTokens = Math.min(
    item.maxOutputTokens,
    queue.meanOutputs.get(item.team)?.[item.workClass] ?? item.maxOutputTokens,
  );
  const tokens = item.promptTokens + expectedOutputTokens;
  const entry: QueueEntry = {
    item,
    isLong: item.promptTokens >= queue.settings.longPromptTokens,
    arrivedAtMs: nowMs,
    expectedOutputTokens,
    minStartTag: queue.discipline.minStartTagAtArrival(
      queue.virtualTime,
      nowMs,
      queue.settings.creditSeconds,
    ),
    arrivalIndex: queue.nextArrivalIndex++,
    normalizedCost: tokens / state.weight,
  };
  state.lanes[laneOf(entry)].push(entry);
  addToCounts(queue, state, entry);
}

/** Evicts an item in favour of `arriving`, which may itself be the one evicted. */
const EVICT: Readonly<
  Record<OverflowRule, (queue: RequestQueue, arriving: QueueItem) => QueueItem>
> = {
  largestBacklog: queue => evictNewest(queue, findLargestBacklog(queue)),
  newest: (queue, arriving) => cancelItem(queue, arriving.id)!,
};

/**
 * Returns the team with the largest backlog relative to its weight, so that a flood from one team
 * doesn't evict the items of others.
 */
function findLargestBacklog(queue: RequestQueue): TeamState {
  let worst: TeamState | undefined;
  for (const state of queue.teams.values()) {
    if (state.queued === 0) continue;
    if (!worst || state.queuedTokens / state.weight > worst.queuedTokens / worst.weight) {
      worst = state;
    }
  }
  return worst!;
}

function evictNewest(queue: RequestQueue, state: TeamState): QueueItem {
  // Evict from the lowest class first, and within it the newest item.
  for (let rank = WORK_CLASSES.length - 1; ; rank--) {
    const short = state.lanes[rank * 2].at(-1);
    const long = state.lanes[rank * 2 + 1].at(-1);
    const newest =
      short && long ? (short.arrivalIndex > long.arrivalIndex ? short : long) : (short ?? long);
    if (!newest) continue;
    removeEntry(queue, newest);
    return newest.item;
  }
}
