/** Settings of the plan by the work that the engines have to do. */
export interface WorkPlanSettings {
  /**
   * Prompt tokens per second that an engine of mean speed prefills on average over the fleet: three
   * of four engines prefill, at 50 tokens per ms.
   */
  readonly engineTokensPerSecond: number;
  /** Share of the engines' capacity that the highest demand of the window may take. */
  readonly targetUtilization: number;
  /** The same while all preemptible engines of one failure domain are withdrawn. */
  readonly maxUtilization: number;
  /**
   * Part of the cached tokens that is planned as if it weren't cached: caches evict parts that the
   * hosts assume to be there, and new engines have none.
   */
  readonly uncertainCachedShare: number;
  /** Capacity ordered before demand is known, relative to the initial on-demand targets. */
  readonly initialCapacityFactor: number;
  /** Time over which the highest demand counts; longer than the waves that demand follows. */
  readonly windowMs: number;
  /** A longer time without demand means that the earlier demand says nothing about the next. */
  readonly maxGapMs: number;
  /** Minimum growth of the fleet in one step, as each order costs. */
  readonly minGrowthShare: number;
  /** Maximum part of the fleet that is released in one step, and the minimum worth an order. */
  readonly maxShrinkShare: number;
  readonly minShrinkShare: number;
  readonly shrinkIntervalMs: number;
  /** Part of the hosts that may be missing while the fleet shrinks; the demand of others isn't known. */
  readonly maxLostHostShare: number;
  /** Time for which hosts that are gone count as missing. */
  readonly hostMemoryMs: number;
}

export const DEFAULT_WORK_PLAN_SETTINGS: WorkPlanSettings = {
  engineTokensPerSecond: 37_000,
  targetUtilization: 0.4,
  maxUtilization: 0.85,
  uncertainCachedShare: 0.25,
  initialCapacityFactor: 1,
  windowMs: 15_000,
  maxGapMs: 4000,
  minGrowthShare: 0.1,
  maxShrinkShare: 0.25,
  minShrinkShare: 0.1,
  shrinkIntervalMs: 5000,
  maxLostHostShare: 0.1,
  hostMemoryMs: 60_000,
};

/** Demand for the prompt tokens of a service over all hosts. */
export interface WorkDemand {
  /** Prompt tokens per second, served or refused. */
  readonly tokensPerSecond: number;
  /** Part of them that isn't cached where the hosts place them. */
  readonly uncachedPerSecond: number;
  /** Number of hosts whose demand is included. */
  readonly hostCount: number;
}

/** State of the plan for one service. */
export interface WorkPlan {
  /** Number of engines that the demand has required within the window, oldest first. */
  readonly required: {readonly atMs: number; readonly count: number}[];
  /** Numbers of hosts within the time for which they are remembered, oldest first. */
  readonly hostCounts: {readonly atMs: number; readonly count: number}[];
  /** Time since which the demand has been known without a gap; undefined if it isn't. */
  knownSinceMs: number | undefined;
  lastKnownMs: number;
  lastShrinkMs: number;
  /** Whether the demand has been known for as long as the window once. */
  hasObserved: boolean;
}

export function createWorkPlan(): WorkPlan {
  return {
    required: [],
    hostCounts: [],
    knownSinceMs: undefined,
    lastKnownMs: -Infinity,
    lastShrinkMs: -Infinity,
    hasObserved: false,
  };
}

/** What the plan needs to know about the fleet. */
export interface FleetSize {
  /** Number of engines that are planned now. */
  readonly plannedCount: number;
  /** Number of engines that take requests. */
  readonly readyCount: number;
  /** Number of engines to keep until the demand has been observed. */
  readonly minUnobservedCount: number;
  /** Number of failure domains that may lose all of their engines; 0 or 1 for none. */
  readonly riskyDomainCount: number;
}

/** Number of engines that a demand requires. */
export function enginesFor(
  demand: WorkDemand,
  riskyDomainCount: number,
  settings: WorkPlanSettings,
): number {
  const {engineTokensPerSecond, targetUtilization, maxUtilization} = settings;
  const cached = Math.max(0, demand.tokensPerSecond - demand.uncachedPerSecond);
  const work = demand.uncachedPerSecond + settings.uncertainCachedShare * cached;
  const busy = work / engineTokensPerSecond;
  const remainingShare = riskyDomainCount > 1 ? 1 - 1 / riskyDomainCount : 1;
  return Math.ceil(Math.max(busy / targetUtilization, busy / maxUtilization / remainingShare));
}

/**
 * Plans the number of engines of a service from the work that its demand causes. The load it
 * answers: demand that follows waves of some seconds with bursts, while a new engine takes seconds to
 * start. The fleet grows at once. It shrinks in steps, to the highest demand of the window, and only
 * while that demand is known.
 */
export function planEngines(
  plan: WorkPlan,
  demand: WorkDemand,
  fleet: FleetSize,
  settings: WorkPlanSettings,
  nowMs: number,
): number {
  const floor = plan.hasObserved ? 0 : fleet.minUnobservedCount;
  const planned = Math.max(fleet.plannedCount, floor);
  dropBefore(plan.required, nowMs - settings.windowMs);
  dropBefore(plan.hostCounts, nowMs - settings.hostMemoryMs);
  // No demand at all can't be told from demand that isn't known, as after a start of all hosts.
  if (demand.tokensPerSecond <= 0) return planned;
  if (nowMs - plan.lastKnownMs > settings.maxGapMs) plan.knownSinceMs = nowMs;
  plan.lastKnownMs = nowMs;
  plan.hostCounts.push({atMs: nowMs, count: demand.hostCount});
  const count = enginesFor(demand, fleet.riskyDomainCount, settings);
  plan.required.push({atMs: nowMs, count});
  const required = highest(plan.required);
  if (required > planned) {
    return Math.max(required, Math.ceil(planned * (1 + settings.minGrowthShare)));
  }
  const observedMs = nowMs - plan.knownSinceMs!;
  if (observedMs < settings.windowMs) return planned;
  plan.hasObserved = true;
  const mayShrink =
    nowMs - plan.lastShrinkMs >= settings.shrinkIntervalMs &&
    demand.hostCount >= highest(plan.hostCounts) * (1 - settings.maxLostHostShare) &&
    fleet.readyCount >= required &&
    required <= fleet.plannedCount * (1 - settings.minShrinkShare);
  if (!mayShrink) return fleet.plannedCount;
  plan.lastShrinkMs = nowMs;
  return Math.max(required, Math.floor(fleet.plannedCount * (1 - settings.maxShrinkShare)));
}

type Samples = {readonly atMs: number; readonly count: number}[];

function dropBefore(samples: Samples, limitMs: number): void {
  const first = samples.findIndex(sample => sample.atMs > limitMs);
  samples.splice(0, first < 0 ? samples.length : first);
}

function highest(samples: Samples): number {
  return Math.max(0, ...samples.map(sample => sample.count));
}
