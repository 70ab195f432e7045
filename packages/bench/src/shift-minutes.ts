import {createSeededRandom, RandomSource, TargetId, VirtualClock} from '@radishgw/core';
import {
  createRoleState,
  decideRoles,
  DEFAULT_ROLE_SETTINGS,
  EngineLoad,
  EngineRole,
  RoleSettings,
} from '@radishgw/fleet';
import {DECODE_RATE, PoolOutcome, PoolRequest, PREFILL_RATE, RolePool} from './role-pool.js';
import {findPercentile} from './summary.js';

const MINUTE_MS = 60_000;

/** Latency targets of section 2.5 of the design. */
export const FIRST_TOKEN_TARGET_MS = 680;
export const TOKEN_GAP_TARGET_MS = 44;

/** Two changes in opposite directions within this time count as an oscillation. */
export const OSCILLATION_WINDOW_MS = 3 * MINUTE_MS;

/** Settings of the simulation of minutes, which uses fake engines. */
export const MINUTES_SETTINGS = {
  engines: 13,
  durationMs: {step: 20 * MINUTE_MS, swing: 12 * MINUTE_MS},
  /** Work relative to the capacity of the pool with an ideal split of roles. */
  load: 0.68,
  /** Mean engine time of a request on engines with one role. */
  requestWorkMs: 330,
  reportLagMs: 4000,
  decisionIntervalMs: 5000,
  startShare: 0.32,
};

/** An ordered role change; the direction is +1 towards prefill and -1 towards decode. */
interface RoleOrder {
  readonly targetId: TargetId;
  readonly to: EngineRole;
  readonly direction: 1 | -1;
}

/** A role strategy: the initial roles and decisions based on lagging reports. */
export interface RoleStrategy {
  readonly name: string;
  startRoles(engines: number): EngineRole[];
  /** Creates a decision function with its own state. */
  start(): (loads: readonly EngineLoad[], nowMs: number) => RoleOrder[];
}

/** Results of one run. */
export interface ShiftFigures {
  readonly goodput: number;
  readonly p95FirstTokenMs: number;
  readonly p95GapMs: number;
  readonly changes: number;
  readonly oscillations: number;
}

/**
 * Returns the split for the mean share at which prefill and decode engines have the same ratio of
 * utilisation to planned utilisation. Every strategy except 'all mixed' starts with it.
 * @param mixed number of engines with both roles, taken from both sides of the split
 */
export function splitRoles(engines: number, mixed = 0): EngineRole[] {
  const {startShare} = MINUTES_SETTINGS;
  const {plannedPrefillUse, plannedDecodeUse} = DEFAULT_ROLE_SETTINGS;
  const prefillNeed = startShare / plannedPrefillUse;
  const decodeNeed = (1 - startShare) / plannedDecodeUse;
  const wanted = (engines * prefillNeed) / (prefillNeed + decodeNeed);
  const prefill = Math.round(wanted - mixed / 2);
  return Array.from({length: engines}, (_, index) => {
    if (index < prefill) return 'prefill';
    return index < prefill + mixed ? 'both' : 'decode';
  });
}

/** Direction in which a role change moves the split. */
function findDirection(from: EngineRole, to: EngineRole): 1 | -1 {
  const rank: Record<EngineRole, number> = {decode: 0, both: 1, prefill: 2};
  return rank[to] > rank[from] ? 1 : -1;
}

/** Creates a strategy from the role policy of the fleet package. */
export function createPolicyStrategy(settings: RoleSettings, name = 'policy'): RoleStrategy {
  return {
    name,
    startRoles: engines => splitRoles(engines, settings.minMixed),
    start: () => {
      let state = createRoleState(0);
      return (engines, nowMs) => {
        const decision = decideRoles(state, {engines}, settings, nowMs);
        state = decision.state;
        return decision.changes.map(({targetId, from, to}) => ({
          targetId,
          to,
          direction: findDirection(from, to),
        }));
      };
    },
  };
}

/** Two baselines without role changes, and a utilisation threshold without dwell time or state. */
export const BASELINES: readonly RoleStrategy[] = [
  {
    name: 'fixed split',
    startRoles: engines => splitRoles(engines),
    start: () => () => [],
  },
  {
    name: 'all mixed',
    startRoles: engines => Array.from({length: engines}, () => 'both' as const),
    start: () => () => [],
  },
  {
    name: 'threshold',
    startRoles: engines => splitRoles(engines),
    start: () => decideByThreshold,
  },
];

const HIGH_UTILISATION = 0.8;
const LOW_UTILISATION = 0.6;

/** Moves one engine if one role is above 80% utilisation and the other below 60%. */
function decideByThreshold(loads: readonly EngineLoad[]): RoleOrder[] {
  const prefill = loads.filter(({role}) => role === 'prefill');
  const decode = loads.filter(({role}) => role === 'decode');
  const prefillUse = findMeanLoad(prefill, load => load.prefillWork + load.prefillBacklogMs / 1000);
  const decodeUse = findMeanLoad(decode, load => load.decodeWork + load.decodeBacklog);
  const moveEngine = (
    from: readonly EngineLoad[],
    to: EngineRole,
    direction: 1 | -1,
  ): RoleOrder[] => {
    const engine = from.find(({changing}) => !changing);
    return engine && from.length > 1 ? [{targetId: engine.targetId, to, direction}] : [];
  };
  if (prefillUse > HIGH_UTILISATION && decodeUse < LOW_UTILISATION)
    return moveEngine(decode, 'prefill', 1);
  if (decodeUse > HIGH_UTILISATION && prefillUse < LOW_UTILISATION)
    return moveEngine(prefill, 'decode', -1);
  return [];
}

function findMeanLoad(loads: readonly EngineLoad[], value: (load: EngineLoad) => number): number {
  return loads.reduce((sum, load) => sum + value(load), 0) / Math.max(1, loads.length);
}

/** Change of the prefill share during a run. */
export type ShiftScenario = 'step' | 'swing';

const SCENARIOS: Readonly<
  Record<ShiftScenario, (random: RandomSource) => (atMs: number) => number>
> = {
  step: createStepShare,
  swing: createSwingShare,
};

/**
 * Prefill share over 20 minutes: 0.32, a ramp up by half within 3 minutes, then a ramp down to half
 * of 0.32 within 3 minutes, with noise of up to 10% by the minute.
 */
function createStepShare(random: RandomSource): (atMs: number) => number {
  const swings = Array.from({length: 60}, () => 0.9 + 0.2 * random.next());
  return atMs => {
    const minute = atMs / MINUTE_MS;
    const up = 0.16 * Math.min(1, Math.max(0, (minute - 4) / 3));
    const down = 0.32 * Math.min(1, Math.max(0, (minute - 11) / 3));
    return (0.32 + up - down) * swings[Math.floor(minute)];
  };
}

/**
 * Prefill share that jumps between 0.5 and 1.5 times 0.32 every 30 to 90 s, too short for a role
 * change to pay off.
 */
function createSwingShare(random: RandomSource): (atMs: number) => number {
  const segments: Array<{readonly endMs: number; readonly share: number}> = [];
  for (let endMs = 0; endMs < MINUTES_SETTINGS.durationMs.swing;) {
    endMs += MINUTE_MS * (0.5 + random.next());
    segments.push({endMs, share: 0.32 * (0.5 + random.next())});
  }
  return atMs => segments.find(({endMs}) => atMs < endMs)!.share;
}

/** Poisson arrivals with log-normal sizes; the mean work per second is the same at every share. */
export function createArrivals(scenario: ShiftScenario, seed: number): PoolRequest[] {
  const random = createSeededRandom(seed);
  const shareAt = SCENARIOS[scenario](random);
  const {engines, durationMs, load, requestWorkMs} = MINUTES_SETTINGS;
  const gapMs = requestWorkMs / (engines * load);
  const arrivals: PoolRequest[] = [];
  for (let atMs = 0; atMs < durationMs[scenario]; atMs -= gapMs * Math.log(1 - random.next())) {
    const share = shareAt(atMs);
    const prompt = (share * requestWorkMs * PREFILL_RATE) / 1000;
    const output = ((1 - share) * requestWorkMs * DECODE_RATE) / 1000;
    arrivals.push({
      atMs,
      promptTokens: Math.min(8000, Math.max(16, Math.round(sampleSize(random, prompt)))),
      outputTokens: Math.max(4, Math.round(sampleSize(random, output))),
    });
  }
  return arrivals;
}

const SIZE_SIGMA = 0.5;

/** Samples a log-normal distribution with the given mean. */
function sampleSize(random: RandomSource, mean: number): number {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
  return mean * Math.exp(SIZE_SIGMA * normal - SIZE_SIGMA ** 2 / 2);
}

/** Simulates one strategy in one scenario. */
export function runMinutes(
  strategy: RoleStrategy,
  scenario: ShiftScenario,
  seed: number,
): ShiftFigures {
  const {engines, durationMs, reportLagMs, decisionIntervalMs} = MINUTES_SETTINGS;
  const clock = new VirtualClock();
  const pool = new RolePool(clock, seed, strategy.startRoles(engines), reportLagMs);
  const intended = new Map<TargetId, EngineRole>();
  const decide = strategy.start();
  const orders: Array<{readonly atMs: number; readonly direction: number}> = [];
  const tick = () => {
    const nowMs = clock.nowMs();
    for (const {targetId, to, direction} of decide(pool.readLoads(intended), nowMs)) {
      intended.set(targetId, to);
      pool.changeRole(targetId, to);
      orders.push({atMs: nowMs, direction});
    }
    clock.setTimer(decisionIntervalMs, tick);
  };
  clock.setTimer(decisionIntervalMs, tick);
  for (const arrival of createArrivals(scenario, seed)) {
    clock.runUntil(arrival.atMs);
    pool.submit(arrival);
  }
  // A request that needs longer than this after the last arrival has missed its targets anyway.
  clock.runUntil(durationMs[scenario] + 2 * MINUTE_MS);
  return summarise(pool.outcomes, orders);
}

/** Counts consecutive role changes in opposite directions within the oscillation window. */
export function countOscillations(
  orders: ReadonlyArray<{readonly atMs: number; readonly direction: number}>,
): number {
  return orders.filter(
    ({atMs, direction}, index) =>
      index > 0 &&
      direction !== orders[index - 1].direction &&
      atMs - orders[index - 1].atMs < OSCILLATION_WINDOW_MS,
  ).length;
}

function summarise(
  outcomes: readonly PoolOutcome[],
  orders: ReadonlyArray<{readonly atMs: number; readonly direction: number}>,
): ShiftFigures {
  const firstTokens = outcomes.map(({atMs, firstTokenMs}) => (firstTokenMs ?? Infinity) - atMs);
  const gaps = outcomes.map(({firstTokenMs, finishedMs, outputTokens}) =>
    finishedMs === undefined || firstTokenMs === undefined
      ? Infinity
      : (finishedMs - firstTokenMs) / Math.max(1, outputTokens - 1),
  );
  const good = outcomes.filter(
    (_, index) => firstTokens[index] <= FIRST_TOKEN_TARGET_MS && gaps[index] <= TOKEN_GAP_TARGET_MS,
  );
  return {
    goodput: good.length / outcomes.length,
    p95FirstTokenMs: findPercentile(firstTokens, 0.95),
    p95GapMs: findPercentile(gaps, 0.95),
    changes: orders.length,
    oscillations: countOscillations(orders),
  };
}
