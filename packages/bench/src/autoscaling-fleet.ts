import {createSeededRandom, FailureDomain, PoolId, RandomSource, toId} from '@radishgw/core';
import {AutoscalingInput, DesiredCount, DomainTargets, PoolDemand} from '@radishgw/fleet';

const MINUTE_MS = 60_000;
const DAY_MS = 86_400_000;

/** Settings of the fleet, which is modelled as a fluid: work is a continuous quantity. */
export const AUTOSCALING_FLEET = {
  days: 3,
  /** Days at the start that are not counted, in which the policy learns the daily profile. */
  learningDays: 1,
  stepMs: 30_000,
  failureDomains: 3,
  maxPerDomain: 3,
  leadMs: 240_000,
  /** The lead time varies by up to this share in either direction. */
  leadSpread: 0.25,
  dailySwing: 0.5,
  minuteNoise: 0.05,
  burstsPerDay: 6,
  burstMs: 600_000,
  burstFactor: 1.4,
  /** Duration of the loss of a failure domain, at a random time of the second day. */
  lossMs: 3_600_000,
  shares: {steadyOnly: 0.4, standard: 0.4, batch: 0.2},
  cheapPrice: 0.35,
  /** Share of a target's capacity that can be used before work waits. */
  usable: 0.95,
};

/** An autoscaling strategy: the initial target counts and a decision for each step. */
export interface AutoscalingStrategy {
  readonly name: string;
  /** Returns the initial numbers of on-demand and preemptible targets. */
  start(meanWork: number): {readonly onDemand: number; readonly preemptible: number};
  /** Creates a decision function with its own state. */
  create(meanWork: number): (input: AutoscalingInput, nowMs: number) => readonly DesiredCount[];
}

/** Results of the counted days. */
export interface AutoscalingFigures {
  /** Price of the targets relative to on-demand targets that exactly match the work. */
  readonly cost: number;
  /** Share of the work that didn't wait. */
  readonly onTime: number;
  readonly worstHour: number;
  /** Share of the work that didn't wait in the hour in which a failure domain was lost. */
  readonly afterLoss: number;
  readonly ordersPerDay: number;
}

interface TargetGroup {
  readonly failureDomain: FailureDomain;
  readonly preemptible: boolean;
  desired: number;
  ready: number;
  pendingReadyMs: number[];
}

/** Returns the work over time, in targets: a daily curve with a steep ramp, noise and bursts. */
function createWork(meanWork: number, random: RandomSource): (atMs: number) => number {
  const {days, dailySwing, minuteNoise, burstsPerDay, burstMs, burstFactor} = AUTOSCALING_FLEET;
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

/** Ratio of the peak to the mean of the daily curve, without noise and bursts. */
export const PEAK_FACTOR = 1.55;

class AutoscalingFleet {
  readonly groups: TargetGroup[];
  orders = 0;

  constructor(
    start: {readonly onDemand: number; readonly preemptible: number},
    private readonly random: RandomSource,
  ) {
    const {failureDomains} = AUTOSCALING_FLEET;
    this.groups = [false, true].flatMap(preemptible =>
      Array.from({length: failureDomains}, (_, domain): TargetGroup => {
        const total = preemptible ? start.preemptible : start.onDemand;
        const count = Math.floor((total + domain) / failureDomains);
        return {
          failureDomain: toId<FailureDomain>(`domain-${domain}`),
          preemptible,
          desired: count,
          ready: count,
          pendingReadyMs: [],
        };
      }),
    );
  }

  apply(order: DesiredCount): void {
    const group = this.groups.find(
      ({failureDomain, preemptible}) =>
        failureDomain === order.failureDomain && preemptible === order.cheap,
    )!;
    group.desired = order.desiredCount;
    this.orders++;
  }

  /** Applies desired counts after the lead time; the lost domain has no targets and gets none. */
  step(nowMs: number, lostDomain: string | undefined): void {
    for (const group of this.groups) {
      if (group.failureDomain === lostDomain) {
        group.ready = 0;
        group.pendingReadyMs = [];
        continue;
      }
      group.ready += group.pendingReadyMs.filter(atMs => atMs <= nowMs).length;
      group.pendingReadyMs = group.pendingReadyMs.filter(atMs => atMs > nowMs);
      const {leadMs, leadSpread} = AUTOSCALING_FLEET;
      while (group.ready + group.pendingReadyMs.length < group.desired) {
        const factor = 1 + leadSpread * (2 * this.random.next() - 1);
        group.pendingReadyMs.push(nowMs + leadMs * factor);
      }
      while (group.ready + group.pendingReadyMs.length > group.desired) {
        if (group.pendingReadyMs.length > 0) group.pendingReadyMs.pop();
        else group.ready--;
      }
    }
  }

  countReady(preemptible: boolean): number {
    return this.groups
      .filter(group => group.preemptible === preemptible)
      .reduce((sum, group) => sum + group.ready, 0);
  }
}

/** Runs one strategy; each decision is based on the demand of the previous step. */
export function runAutoscaling(
  strategy: AutoscalingStrategy,
  meanWork: number,
  seed: number,
): AutoscalingFigures {
  const {days, learningDays, stepMs, lossMs, shares, cheapPrice, usable} = AUTOSCALING_FLEET;
  const random = createSeededRandom(seed);
  const workAt = createWork(meanWork, random);
  const lossStartMs = DAY_MS * (1 + random.next() * 0.9);
  const lostDomain = `domain-${random.nextInt(AUTOSCALING_FLEET.failureDomains)}`;
  const fleet = new AutoscalingFleet(strategy.start(meanWork), createSeededRandom(seed + 1000));
  const decide = strategy.create(meanWork);
  const hours = Array.from({length: days * 24}, () => ({work: 0, late: 0}));
  const loss = {work: 0, late: 0};
  let demand: PoolDemand | undefined;
  let backlog = 0;
  let price = 0;
  let ordersBefore = 0;
  for (let nowMs = 0; nowMs < days * DAY_MS; nowMs += stepMs) {
    const isLost = nowMs >= lossStartMs && nowMs < lossStartMs + lossMs;
    fleet.step(nowMs, isLost ? lostDomain : undefined);
    if (nowMs < learningDays * DAY_MS) ordersBefore = fleet.orders;
    else price += (fleet.countReady(false) + cheapPrice * fleet.countReady(true)) * stepMs;
    if (demand) {
      const targets = fleet.groups.map((group): DomainTargets => ({
        failureDomain: group.failureDomain,
        cheap: group.preemptible,
        desired: group.desired,
        ready: group.ready,
        maxCount: Math.ceil(AUTOSCALING_FLEET.maxPerDomain * meanWork),
        unavailable: isLost && group.failureDomain === lostDomain,
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
    const onDemand = fleet.countReady(false) * usable;
    const onDemandOnly = work * shares.steadyOnly;
    const spareCapacity = Math.max(0, onDemand - onDemandOnly) + fleet.countReady(true) * usable;
    const movable = work - onDemandOnly + backlog;
    const late = Math.max(0, onDemandOnly - onDemand) + Math.max(0, movable - spareCapacity);
    // Late work is carried over, up to the work of one step, because callers don't wait longer.
    backlog = Math.min(late, work);
    const hour = hours[Math.floor(nowMs / 3_600_000)];
    hour.work += work;
    hour.late += Math.min(work, late);
    if (isLost) {
      loss.work += work;
      loss.late += Math.min(work, late);
    }
    demand = {
      onDemandOnly,
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
