import {createSeededRandom, FailureDomain, PoolId, RandomSource, toId} from '@radishgw/core';
import {AutoscalingInput, DesiredCount, DomainTargets, PoolDemand} from '@radishgw/fleet';

const MINUTE_MS = 60_000;
const DAY_MS = 86_400_000;

/** Settings of the fluid fleet. */
export const ORDER_FLEET = {
  days: 3,
  /** Days at the start that are run but not counted; the daily profile is learned in them. */
  learningDays: 1,
  stepMs: 30_000,
  failureDomains: 3,
  maxPerDomain: 3,
  leadMs: 240_000,
  /** Arrivals vary by this share of the lead to either side. */
  leadSpread: 0.25,
  dailySwing: 0.5,
  minuteNoise: 0.05,
  burstsPerDay: 6,
  burstMs: 600_000,
  burstFactor: 1.4,
  /** A failure domain is lost for this long at a random time of the second day. */
  lossMs: 3_600_000,
  shares: {steadyOnly: 0.4, standard: 0.4, batch: 0.2},
  cheapPrice: 0.35,
  /** Share of a target that can be used before work waits. */
  usable: 0.95,
};

/** A way to order targets: counts at the start and a decision for each step. */
export interface OrderingStrategy {
  readonly name: string;
  /** Steady and cheap targets at the start. */
  start(meanWork: number): {readonly steady: number; readonly cheap: number};
  /** A decision function with its own state. */
  create(meanWork: number): (input: AutoscalingInput, nowMs: number) => readonly DesiredCount[];
}

/** Figures of the counted days. */
export interface OrderingFigures {
  /** Price of the targets over that of steady targets for exactly the work. */
  readonly cost: number;
  /** Share of the work that didn't wait. */
  readonly onTime: number;
  readonly worstHour: number;
  /** Share of the work in the hour after the loss of a domain that didn't wait. */
  readonly afterLoss: number;
  readonly ordersPerDay: number;
}

interface Group {
  readonly failureDomain: FailureDomain;
  readonly cheap: boolean;
  desired: number;
  ready: number;
  arrivalsMs: number[];
}

/** Work in targets over time: a daily curve with a steep morning, noise and bursts. */
function createWork(meanWork: number, random: RandomSource): (atMs: number) => number {
  const {days, dailySwing, minuteNoise, burstsPerDay, burstMs, burstFactor} = ORDER_FLEET;
  const noise = Array.from(
    {length: (days * DAY_MS) / MINUTE_MS + 1},
    () => 1 + minuteNoise * (2 * random.next() - 1),
  );
  const bursts = Array.from({length: days * burstsPerDay}, () => random.next() * days * DAY_MS);
  return atMs => {
    const turn = (2 * Math.PI * atMs) / DAY_MS;
    const curve = 1 + dailySwing * (Math.sin(turn) + 0.25 * Math.sin(2 * turn));
    const isBurst = bursts.some(startMs => atMs >= startMs && atMs < startMs + burstMs);
    return meanWork * curve * noise[Math.floor(atMs / MINUTE_MS)] * (isBurst ? burstFactor : 1);
  };
}

/** Highest work of the daily curve without noise and bursts, over the mean. */
export const PEAK_FACTOR = 1.55;

class OrderFleet {
  readonly groups: Group[];
  orders = 0;

  constructor(
    start: {readonly steady: number; readonly cheap: number},
    private readonly random: RandomSource,
  ) {
    const {failureDomains} = ORDER_FLEET;
    this.groups = [false, true].flatMap(cheap =>
      Array.from({length: failureDomains}, (_, domain): Group => {
        const total = cheap ? start.cheap : start.steady;
        const count = Math.floor((total + domain) / failureDomains);
        return {
          failureDomain: toId<FailureDomain>(`domain-${domain}`),
          cheap,
          desired: count,
          ready: count,
          arrivalsMs: [],
        };
      }),
    );
  }

  apply(order: DesiredCount): void {
    const group = this.groups.find(
      ({failureDomain, cheap}) => failureDomain === order.failureDomain && cheap === order.cheap,
    )!;
    group.desired = order.desiredCount;
    this.orders++;
  }

  /** Lets targets arrive and go; the lost domain has none and gets none. */
  step(nowMs: number, lostDomain: string | undefined): void {
    for (const group of this.groups) {
      if (group.failureDomain === lostDomain) {
        group.ready = 0;
        group.arrivalsMs = [];
        continue;
      }
      group.ready += group.arrivalsMs.filter(atMs => atMs <= nowMs).length;
      group.arrivalsMs = group.arrivalsMs.filter(atMs => atMs > nowMs);
      const {leadMs, leadSpread} = ORDER_FLEET;
      while (group.ready + group.arrivalsMs.length < group.desired) {
        const factor = 1 + leadSpread * (2 * this.random.next() - 1);
        group.arrivalsMs.push(nowMs + leadMs * factor);
      }
      while (group.ready + group.arrivalsMs.length > group.desired) {
        if (group.arrivalsMs.length > 0) group.arrivalsMs.pop();
        else group.ready--;
      }
    }
  }

  countReady(cheap: boolean): number {
    return this.groups
      .filter(group => group.cheap === cheap)
      .reduce((sum, group) => sum + group.ready, 0);
  }
}

/** Runs one strategy; decisions see the figures of the step before. */
export function runOrdering(
  strategy: OrderingStrategy,
  meanWork: number,
  seed: number,
): OrderingFigures {
  const {days, learningDays, stepMs, lossMs, shares, cheapPrice, usable} = ORDER_FLEET;
  const random = createSeededRandom(seed);
  const workAt = createWork(meanWork, random);
  const lossStartMs = DAY_MS * (1 + random.next() * 0.9);
  const lostName = `domain-${random.nextInt(ORDER_FLEET.failureDomains)}`;
  const fleet = new OrderFleet(strategy.start(meanWork), createSeededRandom(seed + 1000));
  const decide = strategy.create(meanWork);
  const hours = Array.from({length: days * 24}, () => ({work: 0, late: 0}));
  const loss = {work: 0, late: 0};
  let demand: PoolDemand | undefined;
  let backlog = 0;
  let price = 0;
  let ordersBefore = 0;
  for (let nowMs = 0; nowMs < days * DAY_MS; nowMs += stepMs) {
    const isLost = nowMs >= lossStartMs && nowMs < lossStartMs + lossMs;
    fleet.step(nowMs, isLost ? lostName : undefined);
    if (nowMs < learningDays * DAY_MS) ordersBefore = fleet.orders;
    else price += (fleet.countReady(false) + cheapPrice * fleet.countReady(true)) * stepMs;
    if (demand) {
      const targets = fleet.groups.map((group): DomainTargets => ({
        failureDomain: group.failureDomain,
        cheap: group.cheap,
        desired: group.desired,
        ready: group.ready,
        maxCount: Math.ceil(ORDER_FLEET.maxPerDomain * meanWork),
        unavailable: isLost && group.failureDomain === lostName,
      }));
      const input = {
        pool: toId<PoolId>('pool'),
        demand,
        targets,
        timeOfDayMs: nowMs % DAY_MS,
        demandAgeMs: stepMs,
      };
      for (const order of decide(input, nowMs)) fleet.apply(order);
    }
    const work = workAt(nowMs);
    const steady = fleet.countReady(false) * usable;
    const steadyOnly = work * shares.steadyOnly;
    const room = Math.max(0, steady - steadyOnly) + fleet.countReady(true) * usable;
    const movable = work - steadyOnly + backlog;
    const late = Math.max(0, steadyOnly - steady) + Math.max(0, movable - room);
    // Waiting work is worked off later; it doesn't grow beyond what callers wait for.
    backlog = Math.min(late, work);
    const hour = hours[Math.floor(nowMs / 3_600_000)];
    hour.work += work;
    hour.late += Math.min(work, late);
    if (isLost) {
      loss.work += work;
      loss.late += Math.min(work, late);
    }
    demand = {
      onDemandOnly: steadyOnly,
      standard: work * shares.standard,
      batch: work * shares.batch,
      backlog,
    };
  }
  const counted = hours.slice(learningDays * 24);
  const countedWork = counted.reduce((sum, {work}) => sum + work, 0);
  return {
    cost: price / stepMs / countedWork,
    onTime: 1 - counted.reduce((sum, {late}) => sum + late, 0) / countedWork,
    worstHour: Math.min(...counted.map(({work, late}) => 1 - late / work)),
    afterLoss: 1 - loss.late / loss.work,
    ordersPerDay: (fleet.orders - ordersBefore) / (days - learningDays),
  };
}
