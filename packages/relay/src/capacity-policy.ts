import {FailureDomain} from '@radishgw/core';
import {CapacityOrder, ScalingTraits, Service, TargetEntry} from './model.js';

/** Settings of the capacity policy. */
export interface CapacitySettings {
  /**
   * Prompt tokens that an engine is counted on to read in a second. A decode engine reads 30,000
   * beside its other work; half is kept for bursts, and most of a prompt is often shared.
   */
  readonly tokensPerEngine: number;
  /** Capacity before demand is known, relative to what was there at the start. */
  readonly startFactor: number;
  /** Cheap targets are used if they cost at most this part of the ordinary price. */
  readonly maxCheapPriceRatio: number;
  /** Ordinary targets kept in each failure domain for when the cheap ones are withdrawn. */
  readonly ordinaryPerDomain: number;
  /** Cheap targets are ordered this soon after the first target was seen: they take long to come. */
  readonly firstOrderMs: number;
  /**
   * Other orders wait this long after the first target was seen: targets register themselves within
   * seconds of their start, and what is there at the start isn't known before.
   */
  readonly settleMs: number;
  /** An order isn't repeated sooner: new targets take seconds to appear. */
  readonly repeatMs: number;
}

export const DEFAULT_CAPACITY_SETTINGS: CapacitySettings = {
  tokensPerEngine: 15_000,
  startFactor: 1.5,
  maxCheapPriceRatio: 0.6,
  ordinaryPerDomain: 1,
  firstOrderMs: 900,
  settleMs: 2500,
  repeatMs: 3000,
};

/** What the holder of the fleet lease knows of one service. */
export interface CapacityState {
  /** When this holder first saw a target of the service. */
  readonly firstSeenMs: number;
  /** Most ordinary targets seen by a holder without a predecessor. */
  startCount: number;
  /** Targets that a predecessor left; 0 without one. */
  inheritedCount: number;
  /** Failure domains in which targets were seen. */
  readonly domains: Set<FailureDomain>;
  /** Last order by domain and kind. */
  readonly lastOrders: Map<string, {readonly count: number; readonly atMs: number}>;
  /** Highest number wanted so far. */
  wantedTotal: number;
}

export function createCapacityState(nowMs: number): CapacityState {
  return {
    firstSeenMs: nowMs,
    startCount: 0,
    inheritedCount: 0,
    domains: new Set(),
    lastOrders: new Map(),
    wantedTotal: 0,
  };
}

/**
 * Decides which orders to send for a service. Most capacity is cheap where that is offered, spread
 * over the failure domains, since a domain's cheap targets are withdrawn together. Ordinary targets
 * go only when the cheap ones that replace them are there.
 */
export function decideCapacity(
  state: CapacityState,
  service: Service,
  entries: readonly TargetEntry[],
  demandPerSecond: number,
  settings: CapacitySettings,
  nowMs: number,
): CapacityOrder[] {
  const {scaling} = service;
  if (!scaling || !service.engine) return [];
  for (const entry of entries) state.domains.add(entry.failureDomain);
  const seenForMs = nowMs - state.firstSeenMs;
  if (seenForMs < settings.firstOrderMs) return [];
  const fromDemand = Math.ceil(demandPerSecond / settings.tokensPerEngine);
  noteInitial(state, entries);
  const fromStart = Math.ceil(state.startCount * settings.startFactor);
  const wanted = fromDemand > 0 ? fromDemand : fromStart;
  state.wantedTotal = Math.max(state.wantedTotal, state.inheritedCount, wanted);
  const usesCheap =
    scaling.cheapPriceRatio !== undefined && scaling.cheapPriceRatio <= settings.maxCheapPriceRatio;
  const domains = sortByPrice([...state.domains], scaling);
  const orders: CapacityOrder[] = [];
  domains.forEach((failureDomain, index) => {
    const share = splitEvenly(state.wantedTotal, domains.length, index);
    const total = Math.min(scaling.maxCount, Math.max(scaling.minCount, share));
    const kept = usesCheap
      ? Math.min(total, Math.max(scaling.minCount, settings.ordinaryPerDomain))
      : total;
    const present = countReady(entries, failureDomain);
    const order = (isCheap: boolean, desiredCount: number) =>
      orders.push({service: service.name, failureDomain, isCheap, desiredCount});
    if (usesCheap) order(true, Math.min(total - kept, scaling.maxCount - kept));
    // What is there at the start isn't known before targets had time to register.
    if (seenForMs < settings.settleMs) return;
    // Ordinary targets leave as what replaces them is ready.
    const needed = Math.max(kept, total - present.cheap);
    order(false, usesCheap ? Math.max(kept, Math.min(present.ordinary, needed)) : needed);
  });
  return orders.filter(order => isDue(state, order, entries, settings, nowMs));
}

/**
 * Notes what was there before this holder ordered anything. Cheap targets show that a predecessor
 * has ordered what is needed; its knowledge of demand may be lost, as after a restart of all hosts.
 */
function noteInitial(state: CapacityState, entries: readonly TargetEntry[]): void {
  const ready = entries.filter(entry => !entry.isDraining);
  const ordinary = ready.filter(entry => !entry.isCheap);
  if (state.inheritedCount === 0) state.startCount = Math.max(state.startCount, ordinary.length);
  if (state.lastOrders.size > 0 || ordinary.length === ready.length) return;
  state.inheritedCount = Math.max(state.inheritedCount, ready.length);
  state.startCount = 0;
}

interface Present {
  readonly cheap: number;
  readonly ordinary: number;
}

function countReady(entries: readonly TargetEntry[], failureDomain: FailureDomain): Present {
  let cheap = 0;
  let ordinary = 0;
  for (const entry of entries) {
    if (entry.isDraining || entry.failureDomain !== failureDomain) continue;
    if (entry.isCheap) cheap++;
    else ordinary++;
  }
  return {cheap, ordinary};
}

/** Cheaper domains get the remainder of an uneven split. */
function sortByPrice(domains: FailureDomain[], scaling: ScalingTraits): FailureDomain[] {
  const price = (domain: FailureDomain) => scaling.domainPrices.get(domain) ?? 1;
  return domains.sort((a, b) => price(a) - price(b) || (a < b ? -1 : 1));
}

function splitEvenly(total: number, parts: number, index: number): number {
  return Math.floor(total / parts) + (index < total % parts ? 1 : 0);
}

/** An order is sent if it differs from the last one, or again if its effect isn't seen. */
function isDue(
  state: CapacityState,
  order: CapacityOrder,
  entries: readonly TargetEntry[],
  settings: CapacitySettings,
  nowMs: number,
): boolean {
  const last = state.lastOrders.get(orderKey(order));
  const present = countReady(entries, order.failureDomain);
  const count = order.isCheap ? present.cheap : present.ordinary;
  if (last && nowMs - last.atMs < settings.repeatMs) return last.count !== order.desiredCount;
  return count !== order.desiredCount;
}

function orderKey(order: CapacityOrder): string {
  return `${order.failureDomain}/${order.isCheap}`;
}

/** Notes an order that was sent. */
export function recordOrder(state: CapacityState, order: CapacityOrder, nowMs: number): void {
  state.lastOrders.set(orderKey(order), {count: order.desiredCount, atMs: nowMs});
}
