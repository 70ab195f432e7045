import {RequestId, TeamId, toId} from '@radishgw/core';
import {
  cancelItem,
  createQueue,
  dequeue,
  enqueue,
  expireItems,
  RequestQueue,
  requeueItem,
  settleItem,
} from '@radishgw/scheduling';

/** Settings of the admission of prompts. */
export interface AdmissionSettings {
  /** Share of its objective that a request may queue behind others at its target. */
  readonly queueObjectiveShare: number;
  /**
   * Share of the queue of more urgent requests that less urgent ones may fill, for each step of
   * urgency. The rest is kept for the urgent ones, which have shorter objectives.
   */
  readonly lessUrgentShare: number;
  /**
   * Minimum of that share. Estimates of the queue are never 0 in a busy fleet, so that prompts with
   * a shorter bound would wait without a shortage.
   */
  readonly minLessUrgentShare: number;
  /** The same for a request that can't wait any longer while there is no shortage. */
  readonly urgentShare: number;
  /** The same for requests that can't meet their objective any more. */
  readonly lateShare: number;
  /**
   * Time after one of the most urgent requests had to wait for which there is a shortage. Without
   * one, a request that can't wait any longer needs only its own bound: the estimates may have a
   * part that never falls below the bound of less urgent ones.
   */
  readonly shortageMs: number;
  /** Time for which an urgency counts as in use after its last request. */
  readonly activeMs: number;
  /** Maximum number of requests of one urgency of a service that wait on a host. */
  readonly maxHeld: number;
  /** One of so many requests is admitted although it should wait, so that estimates keep learning. */
  readonly probeInterval: number;
  /** Maximum part of the expected time of a request that the error of estimates may take off. */
  readonly maxErrorShare: number;
  /**
   * Time constant of the average of estimated queues that a waiting request goes by. It is decided
   * again and again, so that it would be sent by the first estimate that is too low by chance.
   */
  readonly averagingMs: number;
  /** Limits on the time between two requests that have waited, by which the estimates catch up. */
  readonly minSpacingMs: number;
  readonly maxSpacingMs: number;
  /** Time over which finished requests are counted. */
  readonly rateWindowMs: number;
  /** Time that a request keeps for its answer before its deadline. */
  readonly deadlineMarginMs: number;
}

export const DEFAULT_ADMISSION_SETTINGS: AdmissionSettings = {
  queueObjectiveShare: 0.8,
  lessUrgentShare: 0.5,
  minLessUrgentShare: 0.4,
  urgentShare: 0.75,
  lateShare: 0.5,
  shortageMs: 5000,
  activeMs: 3000,
  maxHeld: 16,
  probeInterval: 20,
  maxErrorShare: 0.5,
  averagingMs: 200,
  minSpacingMs: 20,
  maxSpacingMs: 500,
  rateWindowMs: 2000,
  deadlineMarginMs: 100,
};

/** A request that is to be placed. */
export interface AdmissionRequest {
  readonly id: RequestId;
  readonly team: TeamId | undefined;
  /** 0 is the most urgent. */
  readonly urgency: number;
  readonly objectiveMs: number;
  /** Time since the request arrived. */
  readonly ageMs: number;
  /** Time until its deadline. */
  readonly leftMs: number;
  readonly promptTokens: number;
}

/** Estimate for the best target of a request. */
export interface AdmissionEstimate {
  /** Time until its target begins with it. */
  readonly queueMs: number;
  /** Time that it takes without others. */
  readonly workMs: number;
  /** Error of recent estimates. */
  readonly errorMs: number;
}

/**
 * `hold`: the request waits on the host and is decided again when it is the first of those that
 * wait. `refuse`: it can't be served in time, or too many wait; it hasn't run.
 */
export type AdmissionDecision =
  | {readonly type: 'admit'; readonly isProbe: boolean}
  | {readonly type: 'hold'}
  | {readonly type: 'refuse'; readonly retryAfterMs: number};

/** Urgency of the requests that can't meet their objective any more; behind all others. */
const LATE_URGENCY = Infinity;

const ANONYMOUS = toId<TeamId>('anonymous');

/** State of one service on one host. */
export interface AdmissionState {
  /** Shortest objective of an urgency and the time of its latest request. */
  readonly active: Map<number, {readonly objectiveMs: number; readonly atMs: number}>;
  /** Requests that wait, by urgency; fair to the teams within one urgency. */
  readonly queues: Map<number, RequestQueue>;
  /** Urgency at which each waiting request is queued. */
  readonly held: Map<RequestId, number>;
  /** Requests since the latest probe that were not admitted. */
  delayedCount: number;
  /** Time at which one of the most urgent requests last had to wait. */
  shortageAtMs: number;
  /** Average of the estimated queues of waiting requests, and the time of the latest one. */
  averageQueueMs: number;
  averagedAtMs: number;
  /** Time from which the next request that waits may be sent. */
  nextHeldAtMs: number;
  /** Times of the requests that were sent, oldest first. */
  readonly admittedMs: number[];
}

export function createAdmissionState(): AdmissionState {
  return {
    active: new Map(),
    queues: new Map(),
    held: new Map(),
    delayedCount: 0,
    shortageAtMs: -Infinity,
    averageQueueMs: 0,
    averagedAtMs: -Infinity,
    nextHeldAtMs: -Infinity,
    admittedMs: [],
  };
}

/** Records a request when it arrives. */
export function recordArrival(
  state: AdmissionState,
  urgency: number,
  objectiveMs: number,
  nowMs: number,
  settings: AdmissionSettings = DEFAULT_ADMISSION_SETTINGS,
): void {
  const last = state.active.get(urgency);
  const isShorter = last !== undefined && last.objectiveMs < objectiveMs;
  if (isShorter && nowMs - last.atMs <= settings.activeMs) return;
  state.active.set(urgency, {objectiveMs, atMs: nowMs});
}

/**
 * Maximum queue at a target for which a request of this urgency is sent there. Less urgent requests
 * are sent to shorter queues than more urgent ones that are in use, so that these find room.
 */
export function findQueueBoundMs(
  state: AdmissionState,
  urgency: number,
  objectiveMs: number,
  nowMs: number,
  settings: AdmissionSettings,
): number {
  let boundMs = objectiveMs * settings.queueObjectiveShare;
  const moreUrgent = [...state.active]
    .filter(([other, {atMs}]) => other < urgency && nowMs - atMs <= settings.activeMs)
    .sort(([a], [b]) => b - a);
  moreUrgent.forEach(([, other], index) => {
    const share = Math.max(settings.minLessUrgentShare, settings.lessUrgentShare ** (index + 1));
    boundMs = Math.min(boundMs, other.objectiveMs * settings.queueObjectiveShare * share);
  });
  return boundMs;
}

/**
 * Decides whether a request is sent to its target now, waits on the host, or is refused. The load it
 * answers: more prompts than the engines can prefill for some seconds, of different urgency and from
 * teams of which one may send far more than usual. A request that waits stays held until it is
 * admitted, refused, or {@link release}d.
 */
export function decideAdmission(
  state: AdmissionState,
  request: AdmissionRequest,
  estimate: AdmissionEstimate,
  nowMs: number,
  settings: AdmissionSettings = DEFAULT_ADMISSION_SETTINGS,
): AdmissionDecision {
  const {queueMs, workMs, errorMs} = estimate;
  const {ageMs, objectiveMs, leftMs} = request;
  const isLate = ageMs + workMs > objectiveMs;
  const urgency = isLate ? LATE_URGENCY : request.urgency;
  const ownBoundMs = findQueueBoundMs(state, urgency, objectiveMs, nowMs, settings);
  const canWaitOn = ageMs + queueMs + workMs < objectiveMs * settings.queueObjectiveShare;
  const hasShortage = nowMs - state.shortageAtMs <= settings.shortageMs;
  const isShort = hasShortage || canWaitOn;
  const boundMs = isLate
    ? ownBoundMs * (isShort ? settings.lateShare : 1)
    : Math.min(
        isShort ? ownBoundMs : (ownBoundMs * settings.urgentShare) / settings.minLessUrgentShare,
        objectiveMs - workMs - ageMs,
        objectiveMs * settings.queueObjectiveShare,
      );
  // A refusal allows for the error, as it may be wrong. The order of those that wait doesn't: with
  // an error of 150 ms, bounds that allow for it make all prompts late under a shortage.
  const surelyMs = workMs - Math.min(errorMs, workMs * settings.maxErrorShare);
  const wasHeld = state.held.has(request.id);
  const hasTurn = isFirst(state, request.id, urgency, nowMs);
  const averageMs = averageQueue(state, queueMs, nowMs, settings);
  const mayStart = !wasHeld || (nowMs >= state.nextHeldAtMs && averageMs <= boundMs);
  if (hasTurn && mayStart && queueMs <= boundMs && queueMs + surelyMs <= leftMs) {
    if (wasHeld && hasShortage) state.nextHeldAtMs = nowMs + spacingMs(state, nowMs, settings);
    state.admittedMs.push(nowMs);
    admitHeld(state, request, nowMs);
    return {type: 'admit', isProbe: false};
  }
  if (!wasHeld && ++state.delayedCount >= settings.probeInterval) {
    state.delayedCount = 0;
    return {type: 'admit', isProbe: true};
  }
  const isMostUrgent = ownBoundMs >= objectiveMs * settings.queueObjectiveShare;
  if (!isLate && isMostUrgent) state.shortageAtMs = nowMs;
  const canWait = leftMs > surelyMs + settings.deadlineMarginMs;
  if (canWait && hold(state, request, urgency, nowMs, settings)) return {type: 'hold'};
  release(state, request.id);
  return {type: 'refuse', retryAfterMs: Math.max(0, queueMs - Math.max(0, boundMs))};
}

/** Updates the average of the estimated queues and returns it. */
function averageQueue(
  state: AdmissionState,
  queueMs: number,
  nowMs: number,
  {averagingMs}: AdmissionSettings,
): number {
  const weight = 1 - Math.exp(-(nowMs - state.averagedAtMs) / averagingMs);
  state.averageQueueMs += weight * (queueMs - state.averageQueueMs);
  state.averagedAtMs = nowMs;
  return state.averageQueueMs;
}

/**
 * Time until the next request that waits: hosts that see the same queue end would otherwise all
 * send theirs before any of them sees those of the others.
 */
function spacingMs(
  {admittedMs}: AdmissionState,
  nowMs: number,
  {rateWindowMs, minSpacingMs, maxSpacingMs}: AdmissionSettings,
): number {
  const first = admittedMs.findIndex(atMs => nowMs - atMs <= rateWindowMs);
  admittedMs.splice(0, first < 0 ? admittedMs.length : first);
  return Math.min(maxSpacingMs, Math.max(minSpacingMs, rateWindowMs / (admittedMs.length + 1)));
}

/** Whether no other request that waits goes before this one. */
export function isFirst(
  state: AdmissionState,
  id: RequestId,
  urgency: number,
  nowMs: number,
): boolean {
  const first = findFirst(state, nowMs);
  if (!first || first.id === id) return true;
  // A request that arrives goes before those that are less urgent.
  return !state.held.has(id) && urgency < first.urgency;
}

/** Whether a request that waits is decided again now: it is the first, or doesn't wait any more. */
export function isDue(state: AdmissionState, id: RequestId, nowMs: number): boolean {
  return !state.held.has(id) || findFirst(state, nowMs)?.id === id;
}

/** Forgets a request that waits; no effect on others. */
export function release(state: AdmissionState, id: RequestId): void {
  const urgency = state.held.get(id);
  if (urgency === undefined) return;
  state.held.delete(id);
  cancelItem(state.queues.get(urgency)!, id);
}

/** Number of requests that wait. */
export function countHeld(state: AdmissionState): number {
  return state.held.size;
}

function findFirst(
  state: AdmissionState,
  nowMs: number,
): {readonly id: RequestId; readonly urgency: number} | undefined {
  for (const urgency of [...state.queues.keys()].sort((a, b) => a - b)) {
    const queue = state.queues.get(urgency)!;
    for (const {id} of expireItems(queue, nowMs)) state.held.delete(id);
    const first = dequeue(queue, nowMs, () => true);
    if (!first) continue;
    requeueItem(queue, first.item.id);
    return {id: first.item.id, urgency};
  }
  return undefined;
}

/** Takes an admitted request out of the queue; it counts for the share of its team. */
function admitHeld(
  state: AdmissionState,
  {id, promptTokens}: AdmissionRequest,
  nowMs: number,
): void {
  const urgency = state.held.get(id);
  if (urgency === undefined) return;
  state.held.delete(id);
  const queue = state.queues.get(urgency)!;
  const first = dequeue(queue, nowMs, () => true);
  if (first) settleItem(queue, first.item.id, {promptTokens, outputTokens: 0});
}

/** Adds a request to those that wait, or moves it behind once it is late; false if it is refused. */
function hold(
  state: AdmissionState,
  request: AdmissionRequest,
  urgency: number,
  nowMs: number,
  settings: AdmissionSettings,
): boolean {
  const {id, team = ANONYMOUS, promptTokens, leftMs} = request;
  if (state.held.get(id) === urgency) return true;
  release(state, id);
  let queue = state.queues.get(urgency);
  if (!queue) {
    // A full queue drops the latest request of the team that has most in it.
    queue = createQueue({maxItems: settings.maxHeld, overflow: 'largestBacklog'});
    state.queues.set(urgency, queue);
  }
  const decision = enqueue(
    queue,
    {
      id,
      team,
      workClass: 'standard',
      promptTokens,
      maxOutputTokens: 0,
      deadlineMs: nowMs + leftMs,
    },
    nowMs,
  );
  if (decision.type === 'refused') return false;
  if (decision.evicted) state.held.delete(decision.evicted.id);
  state.held.set(id, urgency);
  return true;
}
