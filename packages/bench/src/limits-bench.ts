import {HostId, TeamId, toId} from '@radishgw/core';
import {DEFAULT_LIMIT_SETTINGS, LimitSettings} from '@radishgw/limits';
import {Bench, BenchRow} from './bench.js';
import {measureCost} from './limits-cost.js';
import {TeamSpec, TrafficShape, LimitsSimulationOptions} from './limits-options.js';
import {LimitsSimulation} from './limits-simulation.js';

const SHAPES: readonly TrafficShape[] = ['steady', 'bursty', 'moving'];
const HOST_COUNTS = [6, 9, 100, 730];
const LARGE_HOST_COUNT = 50;
const EVENT_DELAY_MS = 15_000;

type System = 'shared' | 'fixed rate/N' | 'ask owner';
const SYSTEMS: readonly System[] = ['shared', 'fixed rate/N', 'ask owner'];

/**
 * Settings under which hosts keep no tokens and acquire a grant from the owner for each request.
 */
const ASK_OWNER: Partial<LimitSettings> = {
  reserveBurstFraction: 0,
  reserveRateFraction: 0,
  grantHorizonMs: 0,
};

/** The event that is injected into a scenario. */
export type ScenarioEvent = 'none' | 'owner crash' | 'holder crash' | 'planned stop' | 'outage';

/** One combination of hosts, traffic, event and system to be measured. */
export interface Scenario {
  readonly hostCount: number;
  readonly shape: TrafficShape;
  readonly event: ScenarioEvent;
  readonly system: System;
  readonly settings?: Partial<LimitSettings>;
  /** Offered load as a fraction of the rate limit; 0.9 by default. */
  readonly load?: number;
  readonly neverFence?: boolean;
  /** Lower bound of the actual cost as a fraction of the estimate; 0.5 by default. */
  readonly minActualCostFraction?: number;
}

function createTeams(scenario: Scenario, count: number): TeamSpec[] {
  return Array.from({length: count}, (_, index) => ({
    teamId: toId<TeamId>(`team${index}`),
    tokensPerSecond: 3000,
    burstTokens: 18_000,
    shape: scenario.shape,
    meanCostTokens: 300,
    load: scenario.load ?? 0.9,
    isGreedy: false,
    minActualCostFraction: scenario.minActualCostFraction ?? 0.5,
  }));
}

/** Creates and starts the simulation of a scenario, with its event scheduled. */
export function createScenario(scenario: Scenario, seed: number): LimitsSimulation {
  const {hostCount, system} = scenario;
  const isLarge = hostCount > LARGE_HOST_COUNT;
  const options: LimitsSimulationOptions = {
    seed,
    hostCount,
    domainCount: isLarge ? 26 : 3,
    settings: {
      ...DEFAULT_LIMIT_SETTINGS,
      shardCount: isLarge ? hostCount : 16,
      ...(system === 'ask owner' ? ASK_OWNER : {}),
      ...scenario.settings,
    },
    teams: createTeams(scenario, isLarge ? 2 * hostCount : 6),
    network: {minDelayMs: 0.5, maxDelayMs: 1.5, lossFraction: 0, lateFraction: 0, lateDelayMs: 0},
    maxRequestMs: 5000,
    strategy: system === 'fixed rate/N' ? 'fixed' : 'shared',
    pollIntervalMs: isLarge ? 3000 : 500,
    neverFence: scenario.neverFence,
  };
  const simulation = new LimitsSimulation(options);
  simulation.start();
  simulation.clock.setTimer(EVENT_DELAY_MS, () => startEvent(simulation, scenario.event));
  return simulation;
}

const EVENTS: Readonly<
  Record<ScenarioEvent, (simulation: LimitsSimulation, teamId: TeamId) => void>
> = {
  none: () => undefined,
  'owner crash': (simulation, teamId) => simulation.kill(simulation.ownerOf(teamId)),
  'holder crash': (simulation, teamId) => simulation.kill(findOtherHolder(simulation, teamId)),
  'planned stop': (simulation, teamId) =>
    simulation.processes.get(simulation.ownerOf(teamId))!.stop(),
  outage: simulation => {
    simulation.store.isUp = false;
  },
};

function findOtherHolder(simulation: LimitsSimulation, teamId: TeamId): HostId {
  const owner = simulation.ownerOf(teamId);
  const record = [...simulation.store.shards.values()].find(shard => shard.owner === owner)!;
  return record.placement.find(hostId => hostId !== owner)!;
}

function startEvent(simulation: LimitsSimulation, event: ScenarioEvent): void {
  EVENTS[event](simulation, simulation.options.teams[0].teamId);
}

interface Measurement {
  requests: number;
  refused: number;
  overshootPercent: number;
  messagesPerSecondPerHost: number;
  meanWaitMs: number;
}

/** Runs one scenario for `runMs`. With an event, only requests of the affected team are counted. */
function measure(scenario: Scenario, seeds: readonly number[], runMs: number): Measurement {
  const sum = {requests: 0, refused: 0, overshootPercent: 0, messages: 0, waitMs: 0, admitted: 0};
  for (const seed of seeds) {
    const simulation = createScenario(scenario, seed);
    const {teamId} = simulation.options.teams[0];
    let admitted = 0;
    let refused = 0;
    const isCounted = (id: TeamId) => scenario.event === 'none' || id === teamId;
    simulation.onAdmitted = (_, id) => (admitted += isCounted(id) ? 1 : 0);
    simulation.onWrongfulRefusal = (_, reason, id) => (refused += isCounted(id) ? 1 : 0);
    simulation.clock.advance(runMs);
    sum.messages += simulation.network.messages;
    simulation.finish();
    for (const team of simulation.options.teams) {
      const excess = simulation.conformanceChecker.largestExcessTokens(team.teamId);
      sum.overshootPercent = Math.max(sum.overshootPercent, (100 * excess) / team.burstTokens);
    }
    sum.requests += admitted + refused;
    sum.refused += refused;
    sum.waitMs += simulation.counts.waitedMs;
    sum.admitted += simulation.counts.admitted;
  }
  const hostSeconds = seeds.length * scenario.hostCount * (runMs / 1000);
  return {
    requests: sum.requests,
    refused: sum.refused,
    overshootPercent: sum.overshootPercent,
    messagesPerSecondPerHost: sum.messages / hostSeconds,
    meanWaitMs: sum.waitMs / Math.max(1, sum.admitted),
  };
}

function toRow(part: string, scenario: Scenario, setting: string, measured: Measurement): BenchRow {
  const {requests, refused} = measured;
  return {
    part,
    hosts: scenario.hostCount,
    traffic: scenario.shape,
    event: scenario.event,
    system: scenario.system,
    setting,
    requests,
    refused,
    'refused %': Number(((100 * refused) / Math.max(1, requests)).toFixed(2)),
    'overshoot %': Number(measured.overshootPercent.toFixed(3)),
    'messages/s/host': Number(measured.messagesPerSecondPerHost.toFixed(1)),
    'wait ms': Number(measured.meanWaitMs.toFixed(2)),
  };
}

function compareSystems(seeds: readonly number[]): BenchRow[] {
  const rows: BenchRow[] = [];
  for (const hostCount of HOST_COUNTS) {
    const isLarge = hostCount > LARGE_HOST_COUNT;
    for (const shape of SHAPES) {
      for (const system of SYSTEMS) {
        const scenario: Scenario = {hostCount, shape, event: 'none', system};
        const used = isLarge ? seeds.slice(0, 1) : seeds;
        const runMs = hostCount > 500 ? 6000 : isLarge ? 15_000 : 30_000;
        rows.push(toRow('scale', scenario, '', measure(scenario, used, runMs)));
      }
    }
  }
  const events: ScenarioEvent[] = ['owner crash', 'holder crash', 'planned stop', 'outage'];
  for (const event of events) {
    for (const system of SYSTEMS) {
      const scenario: Scenario = {hostCount: 9, shape: 'steady', event, system};
      rows.push(toRow('event', scenario, '', measure(scenario, seeds, 45_000)));
    }
  }
  return rows;
}

/** Values of each setting in the parameter sweeps; all other settings keep their defaults. */
const PARAMETER_SWEEPS: ReadonlyArray<readonly [keyof LimitSettings, readonly number[]]> = [
  ['reserveBurstFraction', [0, 0.25, 0.5, 0.75, 0.9]],
  ['reserveRateFraction', [0, 0.3, 0.6, 0.9]],
  ['grantHorizonMs', [0, 250, 500, 1000, 2000]],
  ['outstandingFraction', [0.25, 0.5, 0.75, 1]],
  ['refillPauseMs', [1300, 1500, 3000, 6000]],
];

function measureParameterSweeps(seeds: readonly number[]): BenchRow[] {
  const rows: BenchRow[] = [];
  const cases: Array<[ScenarioEvent, TrafficShape, number]> = [
    ['none', 'bursty', 0.9],
    ['owner crash', 'steady', 0.7],
    ['owner crash', 'steady', 1],
    ['holder crash', 'steady', 1],
    ['outage', 'steady', 0.7],
  ];
  for (const [name, values] of PARAMETER_SWEEPS) {
    for (const value of values) {
      for (const [event, shape, load] of cases) {
        const settings = {[name]: value};
        const scenario: Scenario = {hostCount: 9, shape, event, system: 'shared', settings, load};
        const label = `${name}=${value}, load ${load}`;
        rows.push(toRow('curve', scenario, label, measure(scenario, seeds, 45_000)));
      }
    }
  }
  for (const neverFence of [true, false]) {
    const event: ScenarioEvent = 'holder crash';
    const base = {hostCount: 9, shape: 'steady', event, system: 'shared', load: 1.2} as const;
    // With exact estimates, nothing is refunded and the team uses its whole rate.
    const scenario: Scenario = {...base, neverFence, minActualCostFraction: 1};
    const label = neverFence ? 'lost host withheld 30 min' : 'lost host fenced';
    rows.push(toRow('fence', scenario, label, measure(scenario, seeds, 90_000)));
  }
  return rows;
}

function describeConclusion(rows: readonly BenchRow[]): string {
  const shared = rows.filter(row => row.part === 'scale' && row.system === 'shared');
  const refused = shared.reduce((sum, row) => sum + Number(row.refused), 0);
  const overshoot = Math.max(
    ...rows.filter(row => row.system === 'shared').map(row => Number(row['overshoot %'])),
  );
  const bound = overshoot === 0 ? 'the bound held in every run' : `overshoot was ${overshoot}%`;
  return `With all hosts up, ${refused} requests within the rate were refused (target 0); ${bound}.`;
}

/** Compares wrongful refusals, overshoot and messages of shared limits with two simpler systems. */
export const LIMITS_BENCH: Bench = {
  description: 'shared limits compared with fixed shares and with asking the owner each time',
  run: ({seeds}) => {
    // The sweeps have many runs; three seeds keep their total time within minutes.
    const curves = measureParameterSweeps(seeds.slice(0, 3));
    const rows = [...compareSystems(seeds), ...curves, ...measureCost()];
    return {settings: {...DEFAULT_LIMIT_SETTINGS}, rows, conclusion: describeConclusion(rows)};
  },
};
