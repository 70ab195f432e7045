import {RequestId, TeamId} from '@radishgw/core';
import {chooseHead} from './choose-head.js';
import {DISCIPLINES} from './disciplines.js';
import {
  Charge,
  countEntry,
  DEFAULT_QUEUE_SETTINGS,
  Entry,
  findTeam,
  forgetIfIdle,
  Gate,
  laneOf,
  OverflowRule,
  QueueSettings,
  removeEntry,
  RequestQueue,
  TeamState,
} from './queue-state.js';
import {QueueItem, WORK_CLASSES, WorkClass} from './work.js';

/** Why an item was chosen. */
export interface QueueReason {
  readonly rule: 'class' | 'classDemoted' | 'onlyTeam';
  readonly team: TeamId;
  readonly workClass: WorkClass;
  readonly waitedMs: number;
  /** How far the team's start tag is ahead of the virtual time, in seconds of its own rate. */
  readonly leadSeconds: number;
  readonly chargedTokens: number;
  /** Teams whose waiting work could have been chosen. */
  readonly competingTeams: number;
}

/** Outcome of {@link enqueue}. A displaced item left the queue without having run. */
export type EnqueueDecision =
  | {readonly type: 'queued'; readonly displaced?: QueueItem; readonly queuedItems: number}
  | {readonly type: 'refused'; readonly reason: 'queueFull' | 'deadlinePassed' | 'duplicate'};

/** Outcome of {@link takeNext}. */
export interface TakenItem {
  readonly item: QueueItem;
  readonly isLong: boolean;
  /** Whether the team was behind, see {@link Gate}. */
  readonly isOwed: boolean;
  readonly reason: QueueReason;
}

/** Tokens of a request as far as they are known. */
export interface ActualTokens {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Weight of the newest response in the mean output of a team. */
const OUTPUT_SMOOTHING = 0.1;

/** An empty queue; settings that are left out have the values of `DEFAULT_QUEUE_SETTINGS`. */
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
    highestStart: 0,
    nextOrder: 0,
  };
}

/** Sets a team's weight, normally its rate in tokens per second. Applies to later charges. */
export function setTeamWeight(queue: RequestQueue, team: TeamId, weight: number): void {
  const positive = Math.max(1e-6, weight);
  queue.weights.set(team, positive);
  const state = queue.teams.get(team);
  if (state) state.weight = positive;
}

/** Forgets what is known of a team that no longer exists; its waiting items stay. */
export function removeTeam(queue: RequestQueue, team: TeamId): void {
  queue.weights.delete(team);
  queue.meanOutputs.delete(team);
}

/** Adds an item, or refuses it. A refused or displaced item has not run. */
export function enqueue(queue: RequestQueue, item: QueueItem, nowMs: number): EnqueueDecision {
  if (item.deadlineMs <= nowMs) return {type: 'refused', reason: 'deadlinePassed'};
  if (queue.entries.has(item.id) || queue.charges.has(item.id)) {
    return {type: 'refused', reason: 'duplicate'};
  }
  const state = findTeam(queue, item.team);
  addEntry(queue, state, item, nowMs);
  if (queue.entries.size <= queue.settings.maxItems) {
    return {type: 'queued', queuedItems: queue.entries.size};
  }
  const displaced = DISPLACE[queue.settings.overflow](queue, item);
  if (displaced.id === item.id) return {type: 'refused', reason: 'queueFull'};
  return {type: 'queued', displaced, queuedItems: queue.entries.size};
}

/** Removes a waiting item. Undefined when it isn't waiting, for instance because it runs. */
export function cancelItem(queue: RequestQueue, id: RequestId): QueueItem | undefined {
  const entry = queue.entries.get(id);
  if (!entry) return undefined;
  removeEntry(queue, entry);
  forgetIfIdle(queue, findTeam(queue, entry.item.team));
  return entry.item;
}

/** Removes and returns the items whose deadline has passed; they have not run. */
export function expireItems(queue: RequestQueue, nowMs: number): QueueItem[] {
  const expired = [...queue.entries.values()].filter(entry => entry.item.deadlineMs <= nowMs);
  for (const entry of expired) cancelItem(queue, entry.item.id);
  return expired.map(entry => entry.item);
}

/** Earliest deadline of a waiting item, for the timer that calls {@link expireItems}. */
export function nextDeadlineMs(queue: RequestQueue): number | undefined {
  let earliest: number | undefined;
  for (const {item} of queue.entries.values()) {
    if (earliest === undefined || item.deadlineMs < earliest) earliest = item.deadlineMs;
  }
  return earliest;
}

/** Takes the item to dispatch next and charges its expected cost, or undefined if none may run. */
export function takeNext(queue: RequestQueue, nowMs: number, gate: Gate): TakenItem | undefined {
  if (queue.entries.size === 0) return undefined;
  const choice = chooseHead(queue, nowMs, gate);
  if (!choice) return undefined;
  const {entry, state, start} = choice;
  const leadSeconds = start - queue.virtualTime;
  removeEntry(queue, entry);
  queue.virtualTime = Math.max(queue.virtualTime, choice.lowestStart);
  queue.highestStart = Math.max(queue.highestStart, start);
  const chargedTokens = entry.item.promptTokens + entry.expectedOutputTokens;
  state.tag = start + chargedTokens / state.weight;
  state.inFlight++;
  queue.charges.set(entry.item.id, {state, entry, chargedTokens});
  return {
    item: entry.item,
    isLong: entry.isLong,
    isOwed: choice.isOwed,
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

/** Raises the charge of a running request once it has produced more than was expected. */
export function recordProgress(queue: RequestQueue, id: RequestId, outputTokens: number): void {
  const charge = queue.charges.get(id);
  if (!charge || outputTokens <= charge.entry.expectedOutputTokens) return;
  correctCharge(charge, charge.entry.item.promptTokens + outputTokens);
}

/**
 * Replaces the charge of a dispatched request by its actual cost. A request that didn't run is
 * settled with zero tokens. Unknown ids are ignored, so that a second call has no effect.
 */
export function settleItem(queue: RequestQueue, id: RequestId, actual: ActualTokens): void {
  const charge = queue.charges.get(id);
  if (!charge) return;
  queue.charges.delete(id);
  correctCharge(charge, actual.promptTokens + actual.outputTokens);
  const {state, entry} = charge;
  state.inFlight--;
  if (actual.outputTokens > 0) learnOutput(queue, entry.item, actual.outputTokens);
  forgetIfIdle(queue, state);
  if (queue.entries.size === 0 && queue.charges.size === 0) endBusyPeriod(queue);
}

/** Start-time fair queueing sets the virtual time to the highest tag when the server falls idle. */
function endBusyPeriod(queue: RequestQueue): void {
  for (const state of queue.teams.values()) {
    const endOfCredit = state.tag + queue.settings.creditSeconds;
    queue.virtualTime = Math.max(queue.virtualTime, endOfCredit);
  }
  for (const state of queue.teams.values()) forgetIfIdle(queue, state);
}

/**
 * Puts a dispatched item that has not run back to its place in the queue, without a charge.
 * Returns false if the item isn't dispatched.
 */
export function returnItem(queue: RequestQueue, id: RequestId): boolean {
  const charge = queue.charges.get(id);
  if (!charge) return false;
  queue.charges.delete(id);
  correctCharge(charge, 0);
  const {state, entry} = charge;
  state.inFlight--;
  const lane = state.lanes[laneOf(entry)];
  const index = lane.findIndex(other => other.order > entry.order);
  lane.splice(index < 0 ? lane.length : index, 0, entry);
  countEntry(queue, state, entry);
  return true;
}

function learnOutput(queue: RequestQueue, item: QueueItem, outputTokens: number): void {
  const means = queue.meanOutputs.get(item.team) ?? {};
  const mean = means[item.workClass] ?? outputTokens;
  means[item.workClass] = mean + OUTPUT_SMOOTHING * (outputTokens - mean);
  queue.meanOutputs.set(item.team, means);
}

function correctCharge(charge: Charge, tokens: number): void {
  charge.state.tag += (tokens - charge.chargedTokens) / charge.state.weight;
  charge.chargedTokens = tokens;
}

function addEntry(queue: RequestQueue, state: TeamState, item: QueueItem, nowMs: number): void {
  const expectedOutputTokens = Math.min(
    item.maxOutputTokens,
    queue.meanOutputs.get(item.team)?.[item.workClass] ?? item.maxOutputTokens,
  );
  const tokens = item.promptTokens + expectedOutputTokens;
  const entry: Entry = {
    item,
    isLong: item.promptTokens >= queue.settings.longPromptTokens,
    arrivedAtMs: nowMs,
    expectedOutputTokens,
    base: queue.discipline.baseAtArrival(queue.virtualTime, nowMs, queue.settings.creditSeconds),
    order: queue.nextOrder++,
    normalizedCost: tokens / state.weight,
  };
  state.lanes[laneOf(entry)].push(entry);
  countEntry(queue, state, entry);
}

/** Removes the item that gives way to `arriving`, which may be the arriving item itself. */
const DISPLACE: Readonly<
  Record<OverflowRule, (queue: RequestQueue, arriving: QueueItem) => QueueItem>
> = {
  mostOverdrawn: queue => removeNewest(queue, findMostOverdrawn(queue)),
  newest: (queue, arriving) => cancelItem(queue, arriving.id)!,
};

/** The team with the most waiting work for its weight: displacing others would be undeserved. */
function findMostOverdrawn(queue: RequestQueue): TeamState {
  let worst: TeamState | undefined;
  for (const state of queue.teams.values()) {
    if (state.queued === 0) continue;
    if (!worst || state.queuedTokens / state.weight > worst.queuedTokens / worst.weight) {
      worst = state;
    }
  }
  return worst!;
}

function removeNewest(queue: RequestQueue, state: TeamState): QueueItem {
  // The lowest class gives way first, and within it the newest item.
  for (let rank = WORK_CLASSES.length - 1; ; rank--) {
    const short = state.lanes[rank * 2].at(-1);
    const long = state.lanes[rank * 2 + 1].at(-1);
    const newest = short && long ? (short.order > long.order ? short : long) : (short ?? long);
    if (!newest) continue;
    removeEntry(queue, newest);
    return newest.item;
  }
}
