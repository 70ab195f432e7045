import {createSeededRandom, HostId, InvariantError, RandomSource, toId} from '@radishgw/core';
import {DEFAULT_LIMIT_SETTINGS} from '@radishgw/limits';
import {TeamSpec, TrafficShape, WorldOptions} from './limits-options.js';
import {LimitsWorld} from './limits-world.js';
import {SoakOutcome, SoakSuite} from './soak-suite.js';

const RUN_MS = 45_000;
const FIRST_FAULT_MS = 8000;

/** Kinds of fault; a seed picks one by its remainder. */
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

/** Cuts a host from its peers while it still reaches the platform and callers. */
function cutPeers(world: LimitsWorld, hostId: HostId, isCut: boolean): void {
  for (const other of world.processes.keys()) {
    if (other !== hostId) world.network.setBlocked(hostId, other, isCut);
  }
}

type Fault = (world: LimitsWorld, random: RandomSource) => void;

function pickHost(world: LimitsWorld, random: RandomSource): HostId {
  const owners = [...world.store.shards.values()].map(record => record.owner);
  const all = [...world.processes.keys()];
  const pool = random.next() < 0.7 ? owners : all;
  return pool[random.nextInt(pool.length)];
}

function restartLater(world: LimitsWorld, random: RandomSource, hostId: HostId): void {
  world.clock.setTimer(500 + random.next() * 20_000, () => {
    if (!world.processes.get(hostId)!.isAlive) world.startHost(hostId);
  });
}

const FAULTS: Readonly<Record<Exclude<FaultKind, 'none' | 'loss' | 'mixed'>, Fault>> = {
  kill: (world, random) => {
    const hostId = pickHost(world, random);
    world.kill(hostId);
    restartLater(world, random, hostId);
  },
  pause: (world, random) => {
    const hostId = pickHost(world, random);
    const durationMs = random.next() < 0.5 ? random.next() * 3000 : random.next() * 15_000;
    world.note(`pause ${hostId} for ${durationMs.toFixed(0)} ms`);
    world.processes.get(hostId)!.pause(durationMs);
  },
  partition: (world, random) => {
    const hostId = pickHost(world, random);
    const durationMs = random.next() * 15_000;
    if (random.next() < 0.5) {
      world.setIsolated(hostId, true);
      world.clock.setTimer(durationMs, () => world.setIsolated(hostId, false));
      return;
    }
    if (random.next() < 0.5) {
      world.note(`cut ${hostId} from all hosts`);
      cutPeers(world, hostId, true);
      world.clock.setTimer(durationMs, () => cutPeers(world, hostId, false));
      return;
    }
    const other = random.next() < 0.5 ? 'platform' : pickHost(world, random);
    if (other === hostId) return;
    world.note(`cut ${hostId} from ${other}`);
    world.network.setBlocked(hostId, other, true);
    world.clock.setTimer(durationMs, () => world.network.setBlocked(hostId, other, false));
  },
  // The owner grants until its authority ends; at the takeover its last grants are still valid.
  ownerCut: (world, random) => {
    const records = [...world.store.shards.values()];
    const {owner, placement} = records[random.nextInt(records.length)];
    const durationMs = 8000 + random.next() * 10_000;
    const other = placement[random.nextInt(placement.length)];
    world.note(`cut ${owner} from the platform and ${other} from its peers`);
    world.network.setBlocked(owner, 'platform', true);
    if (other !== owner) world.clock.setTimer(5000, () => cutPeers(world, other, true));
    world.clock.setTimer(durationMs, () => {
      world.network.setBlocked(owner, 'platform', false);
      if (other !== owner) cutPeers(world, other, false);
    });
  },
  outage: (world, random) => {
    world.note('platform down');
    world.store.isUp = false;
    world.clock.setTimer(random.next() * 25_000, () => {
      world.note('platform up');
      world.store.isUp = true;
      world.store.outageEndedMs = world.clock.nowMs();
    });
  },
  handover: (world, random) => {
    const hostId = pickHost(world, random);
    const process = world.processes.get(hostId)!;
    if (!process.isAlive || process.isLeaving) return;
    world.note(`planned stop of ${hostId}`);
    process.stop();
    restartLater(world, random, hostId);
  },
  rateChange: (world, random) => {
    const {teams} = world.options;
    const {teamId, tokensPerSecond, burstTokens} = teams[random.nextInt(teams.length)];
    const factor = 0.5 + random.next() * 1.5;
    world.changeLimit(teamId, tokensPerSecond * factor, burstTokens * factor);
  },
};

function scheduleFaults(world: LimitsWorld, random: RandomSource, kind: FaultKind): void {
  if (kind === 'none' || kind === 'loss') return;
  const kinds = Object.keys(FAULTS) as Array<keyof typeof FAULTS>;
  const count = kind === 'mixed' ? 8 : 2;
  const allowed = world.options.ignoreFreshness ? kinds.filter(k => k !== 'rateChange') : kinds;
  for (let i = 0; i < count; i++) {
    const chosen = kind === 'mixed' ? allowed[random.nextInt(allowed.length)] : kind;
    const atMs = FIRST_FAULT_MS + random.next() * (RUN_MS - FIRST_FAULT_MS - 10_000);
    world.clock.setTimer(atMs, () => FAULTS[chosen](world, random));
  }
}

function randomTeam(index: number, random: RandomSource): TeamSpec {
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
    greedy: isGreedy,
    leastActualShare: random.next() < 0.5 ? 1 : 0.2,
  };
}

/** Options of the run with a given seed. */
export function soakOptions(seed: number, kind: FaultKind): WorldOptions {
  const random = createSeededRandom(seed * 7919 + 1);
  const isLossy = kind === 'loss' || kind === 'mixed';
  return {
    seed,
    hostCount: 6 + random.nextInt(4),
    domainCount: 3 + random.nextInt(2),
    settings: {
      ...DEFAULT_LIMIT_SETTINGS,
      shardCount: 4,
      // Short enough that reserves also lapse within a run.
      reserveValidMs: random.next() < 0.5 ? 15_000 : 1_800_000,
    },
    teams: [0, 1, 2, 3].map(index => randomTeam(index, random)),
    network: {
      minDelayMs: 0.5,
      maxDelayMs: 2,
      lossFraction: isLossy ? 0.02 : 0,
      lateFraction: isLossy ? 0.01 : 0,
      lateDelayMs: 3000,
    },
    longestRequestMs: 8000,
    // A limit that a cut-off host doesn't know of is left to the freshness rule.
    ignoreFreshness: kind !== 'rateChange' && random.next() < 0.5,
  };
}

/** Runs one world; `options` may switch mechanisms off. */
export function runWorld(options: WorldOptions, kind: FaultKind): SoakOutcome {
  const world = new LimitsWorld(options);
  const random = createSeededRandom(options.seed * 104_729 + 3);
  let failure: string | undefined;
  try {
    world.start();
    scheduleFaults(world, random, kind);
    world.clock.advance(RUN_MS);
    world.finish();
    world.auditor.check();
  } catch (error) {
    if (!(error instanceof InvariantError)) throw error;
    failure = error.message;
  }
  const {counts} = world;
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
    trace: world.trace,
  };
}

/** Shared limits under faults against the auditor. */
export const LIMITS_SOAK: SoakSuite = {
  description: 'shared limits: real owner and host code under faults, checked by the auditor',
  run: seed => {
    const kind = FAULT_KINDS[seed % FAULT_KINDS.length];
    return runWorld(soakOptions(seed, kind), kind);
  },
};
