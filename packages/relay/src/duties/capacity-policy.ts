import {FailureDomain} from '@radishgw/core';
import {CapacityOrder, ScalingTraits, Service, TargetEntry} from '../model.js';
import {
  createWorkPlan,
  DEFAULT_WORK_PLAN_SETTINGS,
  planEngines,
  WorkDemand,
  WorkPlan,
  WorkPlanSettings,
} from './work-plan.js';

/** Settings of the capacity policy. */
export interface CapacitySettings {
  /**
   * Prompt tokens per second planned for each engine. A decode engine prefills 30,000 while
   * decoding; half of that is reserved for bursts, and large parts of prompts are often cached.
   */
  readonly engineTokensPerSecond: number;
  /** Capacity ordered before demand is known, relative to the initial on-demand targets. */
  readonly initialCapacityFactor: number;
  /** Preemptible targets are used if their price relative to on-demand targets is at most this. */
  readonly maxPreemptiblePriceRatio: number;
  /**
   * On-demand targets kept in each failure domain in case its preemptible ones are
   * withdrawn.
   */
  readonly onDemandPerDomain: number;
  /**
   * Delay from the first target that was seen to the first order for preemptible targets; short
   * because they take long to start.
   */
  readonly firstOrderDelayMs: number;
  /**
   * Delay from the first target that was seen to the first order for on-demand targets: targets
   * register within seconds of their start, and the initial fleet isn't known before that.
   */
  readonly discoveryMs: number;
  /** Minimum time before an order is sent again: new targets take seconds to register. */
  readonly resendMs: number;
  /** Settings for the services that are planned by work. */
  readonly work: WorkPlanSettings;
}

export const DEFAULT_CAPACITY_SETTINGS: CapacitySettings = {
  engineTokensPerSecond: 15_000,
  initialCapacityFactor: 1.5,
  maxPreemptiblePriceRatio: 0.6,
  onDemandPerDomain: 1,
  firstOrderDelayMs: 900,
  discoveryMs: 2500,
  resendMs: 3000,
  work: DEFAULT_WORK_PLAN_SETTINGS,
};

/** Time that the targets of an evacuated failure domain have to return, in times of a start. */
const RETURN_BOOT_TIMES = 3;

/** State that the holder of the fleet lease keeps for one service. */
export interface CapacityState {
  /** Time at which this holder first saw a target of the service. */
  readonly firstSeenMs: number;
  /** Maximum number of on-demand targets seen; 0 if a predecessor has ordered targets. */
  startCount: number;
  /** Number of targets inherited from a predecessor; 0 if there was none. */
  inheritedCount: number;
  /** Failure domains in which targets have been seen. */
  readonly domains: Set<FailureDomain>;
  /** Latest order by failure domain and kind of target. */
  readonly lastOrders: Map<string, SentOrder>;
  /** Failure domains that return after an evacuation, with the time until which that may last. */
  readonly returning: Map<FailureDomain, number>;
  /** Desired number of targets; the maximum so far if the service isn't planned by work. */
  desiredTotal: number;
  /** Set once the service is planned by work. */
  plan: WorkPlan | undefined;
}

/** The latest order for one kind of targets in one failure domain. */
interface SentOrder {
  readonly count: number;
  readonly atMs: number;
  /** Number of ready targets when it was sent. */
  readonly readyCount: number;
  isAccepted: boolean;
}

export function createCapacityState(nowMs: number): CapacityState {
  return {
    firstSeenMs: nowMs,
    startCount: 0,
    inheritedCount: 0,
    domains: new Set(),
    lastOrders: new Map(),
    returning: new Map(),
    desiredTotal: 0,
    plan: undefined,
  };
}

/**
 * Decides which orders to send for a service. Where preemptible targets are offered they provide
 * most of the capacity. It is spread over the failure domains because all preemptible targets of a
 * domain are withdrawn together. On-demand targets are removed only when the preemptible ones that
 * replace them are ready. With `work`, the service is planned by the work of its engines.
 */
export function decideCapacity(
  state: CapacityState,
  service: Service,
  entries: readonly TargetEntry[],
  demandPerSecond: number,
  settings: CapacitySettings,
  nowMs: number,
  evacuated: ReadonlySet<FailureDomain> = new Set(),
  work?: WorkDemand,
): CapacityOrder[] {
  const {scaling} = service;
  if (!scaling || !service.engine) return [];
  for (const entry of entries) state.domains.add(entry.failureDomain);
  const elapsedMs = nowMs - state.firstSeenMs;
  if (elapsedMs < settings.firstOrderDelayMs) return [];
  recordInitialTargets(state, entries);
  const usesPreemptible =
    scaling.cheapPriceRatio !== undefined &&
    scaling.cheapPriceRatio <= settings.maxPreemptiblePriceRatio;
  const domains = sortByPrice(
    [...state.domains].filter(domain => !evacuated.has(domain)),
    scaling,
  );
  recordReturns(state, evacuated, scaling, nowMs);
  if (work) {
    const riskyDomainCount = usesPreemptible ? domains.length : 0;
    state.desiredTotal = planByWork(state, work, entries, riskyDomainCount, settings, nowMs);
  } else {
    const fromDemand = Math.ceil(demandPerSecond / settings.engineTokensPerSecond);
    const fromInitial = Math.ceil(state.startCount * settings.initialCapacityFactor);
    const desired = fromDemand > 0 ? fromDemand : fromInitial;
    state.desiredTotal = Math.max(state.desiredTotal, state.inheritedCount, desired);
  }
  const orders: CapacityOrder[] = [];
  domains.forEach((failureDomain, index) => {
    const share = splitEvenly(state.desiredTotal, domains.length, index);
    const total = Math.min(scaling.maxCount, Math.max(scaling.minCount, share));
    const minOnDemand = usesPreemptible
      ? Math.min(total, Math.max(scaling.minCount, settings.onDemandPerDomain))
      : total;
    const ready = countReady(entries, failureDomain);
    const order = (isCheap: boolean, desiredCount: number) =>
      orders.push({service: service.name, failureDomain, isCheap, desiredCount});
    if (usesPreemptible) order(true, Math.min(total - minOnDemand, scaling.maxCount - minOnDemand));
    // The initial fleet isn't known before targets have had time to register.
    if (elapsedMs < settings.discoveryMs) return;
    // Removes on-demand targets only as their replacements become ready.
    const needed = Math.max(minOnDemand, total - ready.preemptible);
    order(
      false,
      usesPreemptible ? Math.max(minOnDemand, Math.min(ready.onDemand, needed)) : needed,
    );
  });
  const bootMs = state.plan ? scaling.bootMs : 0;
  return orders
    .filter(order => isDue(state, order, entries, settings, bootMs, nowMs))
    .filter(order => !replacesReturning(state, order, orders, entries));
}

/**
 * Begins again with the fleet as it is, for a holder that has held the lease before: another one may
 * have planned the fleet in between, and its demand isn't known any more.
 */
export function restartPlan(state: CapacityState, entries: readonly TargetEntry[]): void {
  if (!state.plan) return;
  state.plan = createWorkPlan();
  state.desiredTotal = 0;
  state.startCount = 0;
  state.inheritedCount = entries.filter(entry => !entry.isDraining).length;
}

function planByWork(
  state: CapacityState,
  work: WorkDemand,
  entries: readonly TargetEntry[],
  riskyDomainCount: number,
  settings: CapacitySettings,
  nowMs: number,
): number {
  state.plan ??= createWorkPlan();
  const fromInitial = Math.ceil(state.startCount * settings.work.initialCapacityFactor);
  const fleet = {
    plannedCount: state.desiredTotal,
    readyCount: entries.filter(entry => !entry.isDraining).length,
    minUnobservedCount: Math.max(state.inheritedCount, fromInitial),
    riskyDomainCount,
  };
  return planEngines(state.plan, work, fleet, settings.work, nowMs);
}

/** Records the failure domains whose targets have to return after an evacuation. */
function recordReturns(
  {domains, returning}: CapacityState,
  evacuated: ReadonlySet<FailureDomain>,
  {bootMs}: ScalingTraits,
  nowMs: number,
): void {
  for (const domain of domains) {
    if (evacuated.has(domain)) returning.set(domain, nowMs + RETURN_BOOT_TIMES * bootMs);
    else if (nowMs >= (returning.get(domain) ?? Infinity)) returning.delete(domain);
  }
}

/**
 * Whether an order would release targets that still stand in for those of a failure domain that was
 * evacuated. Its targets may be gone or cold when the evacuation ends.
 */
function replacesReturning(
  {returning}: CapacityState,
  order: CapacityOrder,
  orders: readonly CapacityOrder[],
  entries: readonly TargetEntry[],
): boolean {
  if (returning.has(order.failureDomain)) return false;
  const readyCount = ({failureDomain, isCheap}: CapacityOrder) => {
    const ready = countReady(entries, failureDomain);
    return isCheap ? ready.preemptible : ready.onDemand;
  };
  if (order.desiredCount >= readyCount(order)) return false;
  return orders.some(
    other => returning.has(other.failureDomain) && readyCount(other) < other.desiredCount,
  );
}

/**
 * Records the targets that exist before this holder has sent orders. Preemptible targets show that
 * a predecessor has already sized the fleet. The demand that it knew may be lost, for example after
 * a restart of all hosts.
 */
function recordInitialTargets(state: CapacityState, entries: readonly TargetEntry[]): void {
  const ready = entries.filter(entry => !entry.isDraining);
  const onDemand = ready.filter(entry => !entry.isCheap);
  if (state.inheritedCount === 0) state.startCount = Math.max(state.startCount, onDemand.length);
  if (state.lastOrders.size > 0 || onDemand.length === ready.length) return;
  state.inheritedCount = Math.max(state.inheritedCount, ready.length);
  state.startCount = 0;
}

interface ReadyCounts {
  readonly preemptible: number;
  readonly onDemand: number;
}

function countReady(entries: readonly TargetEntry[], failureDomain: FailureDomain): ReadyCounts {
  let preemptible = 0;
  let onDemand = 0;
  for (const entry of entries) {
    if (entry.isDraining || entry.failureDomain !== failureDomain) continue;
    if (entry.isCheap) preemptible++;
    else onDemand++;
  }
  return {preemptible, onDemand};
}

/** Sorts by price because the first domains get the remainder of an uneven split. */
function sortByPrice(domains: FailureDomain[], scaling: ScalingTraits): FailureDomain[] {
  const price = (domain: FailureDomain) => scaling.domainPrices.get(domain) ?? 1;
  return domains.sort((a, b) => price(a) - price(b) || (a < b ? -1 : 1));
}

function splitEvenly(total: number, parts: number, index: number): number {
  return Math.floor(total / parts) + (index < total % parts ? 1 : 0);
}

/**
 * Within the resend interval an order is due if it differs from the latest one; after that, if the
 * number of ready targets differs from it. An accepted order for more targets has `bootMs` more,
 * unless ready targets have gone since.
 */
function isDue(
  state: CapacityState,
  order: CapacityOrder,
  entries: readonly TargetEntry[],
  settings: CapacitySettings,
  bootMs: number,
  nowMs: number,
): boolean {
  const last = state.lastOrders.get(orderKey(order));
  const count = countKind(entries, order);
  if (!last) return count !== order.desiredCount;
  const isBooting = last.isAccepted && count >= last.readyCount && count < order.desiredCount;
  const resendMs = settings.resendMs + (isBooting ? bootMs : 0);
  if (nowMs - last.atMs < resendMs) return last.count !== order.desiredCount;
  return count !== order.desiredCount;
}

function countKind(entries: readonly TargetEntry[], order: CapacityOrder): number {
  const ready = countReady(entries, order.failureDomain);
  return order.isCheap ? ready.preemptible : ready.onDemand;
}

function orderKey(order: CapacityOrder): string {
  return `${order.failureDomain}/${order.isCheap}`;
}

/** Records that an order was sent while `entries` were known. */
export function recordOrder(
  state: CapacityState,
  order: CapacityOrder,
  nowMs: number,
  entries: readonly TargetEntry[] = [],
): void {
  state.lastOrders.set(orderKey(order), {
    count: order.desiredCount,
    atMs: nowMs,
    readyCount: countKind(entries, order),
    isAccepted: false,
  });
}

/** Records that the platform has accepted the latest order of its kind. */
export function recordAcceptedOrder(state: CapacityState, order: CapacityOrder): void {
  const last = state.lastOrders.get(orderKey(order));
  if (last?.count === order.desiredCount) last.isAccepted = true;
}
