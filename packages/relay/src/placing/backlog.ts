import {TargetState} from '../targets/target-state.js';

/** Share of its expected time that a request is assumed to need still when it is overdue. */
const OVERDUE_SHARE = 0.25;

/** Longest time for which an overdue request is assumed to need as much as it has taken. */
const MAX_OVERDUE_MS = 2000;

/** A request of this host at a target. */
interface Outstanding {
  readonly expectedMs: number;
  readonly sentMs: number;
}

/** Work of other hosts that a target is assumed to have. */
export interface OthersWork {
  /** Mean rest of the work of a request in ms. */
  readonly residualMs: number;
  /** Share of the time of all slots for which hosts have given the target work, times the slots. */
  readonly utilization: number;
  /** Multiple of the expected time that work takes at the target. */
  readonly timeFactor: number;
  /** Number of hosts, including this one. */
  readonly hostCount: number;
}

/** The requests of this host at each target. */
export class Backlog {
  private readonly targets = new WeakMap<TargetState, Set<Outstanding>>();

  /** Adds a request that is expected to take `expectedMs`; returns a function that removes it. */
  add(target: TargetState, expectedMs: number, nowMs: number): () => void {
    let requests = this.targets.get(target);
    if (!requests) this.targets.set(target, (requests = new Set()));
    const request = {expectedMs, sentMs: nowMs};
    requests.add(request);
    return () => void this.targets.get(target)?.delete(request);
  }

  /** Expected number of requests at the target. */
  count(target: TargetState, others: OthersWork, nowMs: number): number {
    return (this.targets.get(target)?.size ?? 0) + estimateOthers(target, others, nowMs);
  }

  /** Expected time until a slot of the target is free for a further request. */
  waitMs(target: TargetState, others: OthersWork, nowMs: number): number {
    const slots = Math.max(1, target.entry.slots);
    const requests = this.targets.get(target);
    const othersCount = estimateOthers(target, others, nowMs);
    const count = (requests?.size ?? 0) + othersCount;
    if (count <= slots - 1) return 0;
    const rests = [...(requests ?? [])].map(request => restMs(request, nowMs));
    const othersMs = others.residualMs * others.timeFactor;
    for (let i = 0; i < Math.round(othersCount); i++) rests.push(othersMs);
    // The last slot is taken with the probability of the fraction of a request.
    if (rests.length < slots) return ((count - slots + 1) * othersMs) / slots;
    // Targets start requests in the order in which they come.
    const freeMs = rests.slice(0, slots);
    for (const rest of rests.slice(slots)) freeMs[indexOfMin(freeMs)] += rest;
    return Math.min(...freeMs);
  }
}

/**
 * Requests of other hosts at the target: those of its latest report that it hasn't finished since,
 * and its usual number for the rest.
 */
function estimateOthers(
  {loadAtMs, othersRequests, entry}: TargetState,
  {residualMs, utilization, timeFactor, hostCount}: OthersWork,
  nowMs: number,
): number {
  const usual = (utilization * (hostCount - 1)) / hostCount;
  if (loadAtMs === -Infinity) return usual;
  const doneInMs = residualMs * timeFactor * Math.max(1, othersRequests / Math.max(1, entry.slots));
  const freshness = doneInMs > 0 ? Math.exp(-(nowMs - loadAtMs) / doneInMs) : 0;
  return usual + freshness * (othersRequests - usual);
}

function restMs({expectedMs, sentMs}: Outstanding, nowMs: number): number {
  const elapsedMs = nowMs - sentMs;
  // The longer a request is overdue, the longer it is likely to go on.
  const overdueMs = Math.min(MAX_OVERDUE_MS, Math.max(0, elapsedMs - expectedMs));
  return Math.max(expectedMs - elapsedMs, OVERDUE_SHARE * expectedMs, overdueMs);
}

function indexOfMin(values: readonly number[]): number {
  let index = 0;
  for (let i = 1; i < values.length; i++) if (values[i] < values[index]) index = i;
  return index;
}
