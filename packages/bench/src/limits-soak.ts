import {createSeededRandom, HostId, InvariantError, RandomSource, toId} from '@radishgw/core';
import {DEFAULT_LIMIT_SETTINGS} from '@radishgw/limits';
import {TeamSpec, TrafficShape, LimitsSimulationOptions} from './limits-options.js';
import {LimitsSimulation} from './limits-simulation.js';
import {SoakOutcome, SoakSuite} from './soak-suite.js';

const RUN_MS = 45_000;
const FIRST_FAULT_MS = 8000;

/** Kinds of fault. A run uses the kind at index `seed % FAULT_KINDS.length`. */
export const FAULT_KINDS = [
  'none',
  'loss',
  'kill',
  'pause',
  'partition',
  'outage',
  'handover',
  'rateChange',
  'mixed',
  'ownerCut',
] as const;

export type FaultKind = (typeof FAULT_KINDS)[number];

/**
 * Blocks or restores the paths between a host and its peers. The host still reaches the platform
 * and its callers.
 */
function setPeersBlocked(simulation: LimitsSimulation, hostId: HostId, isBlocked: boolean): void {
  for (const other of simulation.processes.keys()) {
    if (other !== hostId) simulation.network.setBlocked(hostId, other, isBlocked);
  }
}

type Fault = (simulation: LimitsSimulation, random: RandomSource) => void;

function pickHost(simulation: LimitsSimulation, random: RandomSource): HostId {
  const owners = [...simulation.store.shards.values()].map(record => record.owner);
  const all = [...simulation.processes.keys()];
  const pool = random.next() < 0.7 ? owners : all;
  return pool[random.nextInt(pool.length)];
}

function scheduleRestart(simulation: LimitsSimulation, random: RandomSource, hostId: HostId): void {
  simulation.clock.setTimer(500 + random.next() * 20_000, () => {
    if (!simulation.processes.get(hostId)!.isAlive) simulation.startHost(hostId);
  });
}

const FAULTS: Readonly<Record<Exclude<FaultKind, 'none' | 'loss' | 'mixed'>, Fault>> = {
  kill: (simulation, random) => {
    const hostId = pickHost(simulation, random);
    simulation.kill(hostId);
    scheduleRestart(simulation, random, hostId);
  },
  pause: (simulation, random) => {
    const hostId = pickHost(simulation, random);
    const durationMs = random.next() < 0.5 ? random.next() * 3000 : random.next() * 15_000;
    simulation.recordTrace(`pause ${hostId} for ${durationMs.toFixed(0)} ms`);
    simulation.processes.get(hostId)!.pause(durationMs);
  },
  partition: (simulation, random) => {
    const hostId = pickHost(simulation, random);
    const durationMs = random.next() * 15_000;
    if (random.next() < 0.5) {
      simulation.setIsolated(hostId, true);
      simulation.clock.setTimer(durationMs, () => simulation.setIsolated(hostId, false));
      return;
    }
    if (random.next() < 0.5) {
      simulation.recordTrace(`partition ${hostId} from all hosts`);
      setPeersBlocked(simulation, hostId, true);
      simulation.clock.setTimer(durationMs, () => setPeersBlocked(simulation, hostId, false));
      return;
    }
    const other = random.next() < 0.5 ? 'platform' : pickHost(simulation, random);
    if (other === hostId) return;
    simulation.recordTrace(`partition ${hostId} from ${other}`);
    simulation.network.setBlocked(hostId, other, true);
    simulation.clock.setTimer(durationMs, () =>
      simulation.network.setBlocked(hostId, other, false),
    );
  },
  // The owner issues grants until its authority ends, so its last grants are still valid when
  // another host takes over.
  ownerCut: (simulation, random) => {
    const records = [...simulation.store.shards.values()];
    const {owner, placement} = records[random.nextInt(records.length)];
    const durationMs = 8000 + random.next() * 10_000;
    const other = placement[random.nextInt(placement.length)];
    simulation.recordTrace(`partition ${owner} from the platform and ${other} from its peers`);
    simulation.network.setBlocked(owner, 'platform', true);
    if (other !== owner)
      simulation.clock.setTimer(5000, () => setPeersBlocked(simulation, other, true));
    simulation.clock.setTimer(durationMs, () => {
      simulation.network.setBlocked(owner, 'platform', false);
      if (other !== owner) setPeersBlocked(simulation, other, false);
    });
  },
  outage: (simulation, random) => {
    simulation.recordTrace('platform down');
    simulation.store.isUp = false;
    simulation.clock.setTimer(random.next() * 25_000, () => {
      simulation.recordTrace('platform up');
      simulation.store.isUp = true;
      simulation.store.outageEndedMs = simulation.clock.nowMs();
    });
  },
  handover: (simulation, random) => {
    const hostId = pickHost(simulation, random);
    const process = simulation.processes.get(hostId)!;
    if (!process.isAlive || process.isLeaving) return;
    simulation.recordTrace(`planned stop of ${hostId}`);
    process.stop();
    scheduleRestart(simulation, random, hostId);
  },
  rateChange: (simulation, random) => {
    const {teams} = simulation.options;
    const {teamId, tokensPerSecond, burstTokens} = teams[random.nextInt(teams.length)];
    const factor = 0.5 + random.next() * 1.5;
    simulation.changeLimit(teamId, tokensPerSecond * factor, burstTokens * factor);
  },
};

function scheduleFaults(simulation: LimitsSimulation, random: RandomSource, kind: FaultKind): void {
  if (kind === 'none' || kind === 'loss') return;
  const kinds = Object.keys(FAULTS) as Array<keyof typeof FAULTS>;
  const count = kind === 'mixed' ? 8 : 2;
  const allowed = simulation.options.ignoreFreshness
    ? kinds.filter(k => k !== 'rateChange')
    : kinds;
  for (let i = 0; i < count; i++) {
    const chosen = kind === 'mixed' ? allowed[random.nextInt(allowed.length)] : kind;
    const atMs = FIRST_FAULT_MS + random.next() * (RUN_MS - FIRST_FAULT_MS - 10_000);
    simulation.clock.setTimer(atMs, () => FAULTS[chosen](simulation, random));
  }
}

function createRandomTeam(index: number, random: RandomSource): TeamSpec {
  const isGreedy = index >= 2;
  const shapes: TrafficShape[] = ['steady', 'bursty', 'moving'];
  const tokensPerSecond = 500 + random.nextInt(5000);
  const burstTokens = tokensPerSecond * (2 + random.next() * 10);
  return {
    teamId: toId(`t${index}`),
    tokensPerSecond,
    burstTokens,
    shape: isGreedy ? 'surge' : shapes[random.nextInt(3)],
    meanCostTokens: (tokensPerSecond / 4) * (0.2 + random.next()),
    load: 0.5 + random.next() * 0.8,
    isGreedy,
    minActualCostFraction: random.next() < 0.5 ? 1 : 0.2,
  };
}

/** Creates the random options of the run with a given seed. */
export function createSoakOptions(seed: number, kind: FaultKind): LimitsSimulationOptions {
  const random = createSeededRandom(seed * 7919 + 1);
  const isLossy = kind === 'loss' || kind === 'mixed';
  return {
    seed,
    hostCount: 6 + random.nextInt(4),
    domainCount: 3 + random.nextInt(2),
    settings: {
      ...DEFAULT_LIMIT_SETTINGS,
      shardCount: 4,
      // The shorter validity lets reserves expire within a run.
      reserveValidMs: random.next() < 0.5 ? 15_000 : 1_800_000,
    },
    teams: [0, 1, 2, 3].map(index => createRandomTeam(index, random)),
    network: {
      minDelayMs: 0.5,
      maxDelayMs: 2,
      lossFraction: isLossy ? 0.02 : 0,
      lateFraction: isLossy ? 0.01 : 0,
      lateDelayMs: 3000,
    },
    maxRequestMs: 8000,
    // A partitioned host doesn't learn of a changed limit; only the freshness check covers that
    // case.
    ignoreFreshness: kind !== 'rateChange' && random.next() < 0.5,
  };
}

/** Runs one simulation with faults; `options` may disable protective mechanisms. */
export function runSimulation(options: LimitsSimulationOptions, kind: FaultKind): SoakOutcome {
  const simulation = new LimitsSimulation(options);
  const random = createSeededRandom(options.seed * 104_729 + 3);
  let failure: string | undefined;
  try {
    simulation.start();
    scheduleFaults(simulation, random, kind);
    simulation.clock.advance(RUN_MS);
    simulation.finish();
    simulation.conformanceChecker.check();
  } catch (error) {
    if (!(error instanceof InvariantError)) throw error;
    failure = error.message;
  }
  const {counts} = simulation;
  if (kind === 'none' && counts.wrongfulRefusals > 0 && !failure) {
    failure = `${counts.wrongfulRefusals} wrongful refusals with all hosts up`;
  }
  return {
    counts: {
      ...counts,
      waitedMs: Math.round(counts.waitedMs),
      [`requests.${kind}`]: counts.requests,
      [`wrongful.${kind}`]: counts.wrongfulRefusals,
    },
    failure,
    trace: simulation.trace,
  };
}

/** Runs shared limits under faults and checks their conformance. */
export const LIMITS_SOAK: SoakSuite = {
  description: 'shared limits: real owner and host code under faults, checked for conformance',
  run: seed => {
    const kind = FAULT_KINDS[seed % FAULT_KINDS.length];
    return runSimulation(createSoakOptions(seed, kind), kind);
  },
};
