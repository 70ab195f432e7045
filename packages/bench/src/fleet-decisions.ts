import {createSeededRandom, FailureDomain, PoolId, TargetId, toId} from '@radishgw/core';
import {
  createAutoscalingState,
  createPreemptibleState,
  createRoleState,
  decidePreemptibleLimits,
  decideRoles,
  decideTargets,
  DEFAULT_AUTOSCALING_SETTINGS,
  DEFAULT_PREEMPTIBLE_SETTINGS,
  DEFAULT_ROLE_SETTINGS,
  DomainLoad,
  DomainTargets,
  EngineLoad,
  isPreemptible,
  planWithdrawal,
  RunningWork,
} from '@radishgw/fleet';
import {Bench} from './bench.js';
import {findPercentile, formatSpread, roundTo} from './summary.js';

/** Fleet sizes in targets; the last is that of section 2.5 of the design. */
const TARGET_COUNTS = [13, 1200, 12_000];
const FAILURE_DOMAINS = 26;
const WARM_UP_ROUNDS = 100;
const ROUNDS = 300;
const STEP_MS = 5000;

/** Requests of one host that run on the targets of a withdrawn domain. */
const RUNNING_REQUESTS = 1000;

/** Calls of `isPreemptible` per round; one call is too short for the clock's resolution. */
const CHECKS_PER_ROUND = 10_000;

/** Makes one decision; `round` varies the load so that decisions differ. */
type Decide = (round: number) => void;

function domainName(index: number, domains: number): FailureDomain {
  return toId<FailureDomain>(`domain-${index % domains}`);
}

function createRoleDecision(count: number, seed: number): Decide {
  const random = createSeededRandom(seed);
  let state = createRoleState(0);
  const engines = Array.from({length: count}, (_, index): EngineLoad => ({
    targetId: toId<TargetId>(`engine-${index}`),
    failureDomain: domainName(index, FAILURE_DOMAINS),
    role: index % 3 === 0 ? 'prefill' : 'decode',
    roleAgeMs: Infinity,
    changing: false,
    leaving: false,
    reportAgeMs: 1000,
    prefillWork: index % 3 === 0 ? 0.6 + 0.2 * random.next() : 0,
    prefillBacklogMs: 100 * random.next(),
    decodeWork: index % 3 === 0 ? 0 : 0.6 + 0.2 * random.next(),
    decodeBacklog: 0,
  }));
  return round => {
    const waitingPrefillMs = 20_000 * count * (Math.floor(round / 50) % 2);
    state = decideRoles(
      state,
      {engines, waitingPrefillMs},
      DEFAULT_ROLE_SETTINGS,
      round * STEP_MS,
    ).state;
  };
}

function createLimitDecision(count: number, seed: number): Decide {
  const random = createSeededRandom(seed);
  const domains = Math.min(FAILURE_DOMAINS, count);
  const perDomain = count / domains / 2;
  let state = createPreemptibleState();
  const loads = Array.from({length: domains}, (_, index): DomainLoad => ({
    failureDomain: domainName(index, domains),
    onDemandCapacity: perDomain,
    onDemandWork: perDomain * (0.5 + 0.4 * random.next()),
    onDemandMovableWork: perDomain * 0.1,
    preemptibleCapacity: perDomain,
    preemptibleStandardWork: perDomain * 0.4 * random.next(),
    preemptibleBatchWork: perDomain * 0.2,
  }));
  return round => {
    state = decidePreemptibleLimits(
      state,
      loads,
      DEFAULT_PREEMPTIBLE_SETTINGS,
      round * STEP_MS,
    ).state;
  };
}

function createAutoscalingDecision(count: number, seed: number): Decide {
  const random = createSeededRandom(seed);
  const domains = Math.min(FAILURE_DOMAINS, count);
  let state = createAutoscalingState(0);
  let targets = Array.from({length: 2 * domains}, (_, index): DomainTargets => ({
    failureDomain: domainName(index, domains),
    cheap: index >= domains,
    desired: Math.ceil(count / domains / 2),
    ready: Math.ceil(count / domains / 2),
    maxCount: count,
    unavailable: false,
  }));
  return round => {
    const work = count * (0.5 + 0.2 * Math.sin(round / 40) + 0.02 * random.next());
    const decision = decideTargets(
      state,
      {
        pool: toId<PoolId>('pool'),
        demand: {onDemandOnly: 0.4 * work, standard: 0.4 * work, batch: 0.2 * work, backlog: 0},
        targets,
        timeOfDayMs: (round * STEP_MS * 12) % 86_400_000,
        demandAgeMs: 1000,
      },
      DEFAULT_AUTOSCALING_SETTINGS,
      round * STEP_MS * 12,
    );
    state = decision.state;
    const wanted = new Map(
      decision.orders.map(order => [`${order.failureDomain}/${order.cheap}`, order.desiredCount]),
    );
    targets = targets.map(entry => {
      const desired = wanted.get(`${entry.failureDomain}/${entry.cheap}`) ?? entry.desired;
      return {...entry, desired, ready: desired};
    });
  };
}

function createWithdrawalPlan(_count: number, seed: number): Decide {
  const random = createSeededRandom(seed);
  const running = Array.from({length: RUNNING_REQUESTS}, (_, index): RunningWork => ({
    workId: `${index}`,
    workClass: random.next() < 0.7 ? 'standard' : 'batch',
    repeatable: true,
    remainingMs: 20_000 * random.next(),
    transferMs: 2000 * random.next(),
    work: 0.02,
  }));
  return () => {
    planWithdrawal(5000, running, 10);
  };
}

function createPreemptibleCheck(): Decide {
  let admitted = 0;
  return () => {
    for (let index = 0; index < CHECKS_PER_ROUND; index++) {
      const work = {workClass: index % 3 ? 'standard' : 'urgent', repeatable: true} as const;
      if (isPreemptible(work)) admitted++;
    }
    if (admitted < 0) throw new Error('count overflow');
  };
}

const DECISIONS: ReadonlyArray<{
  readonly name: string;
  readonly create: (count: number, seed: number) => Decide;
  readonly callsPerRound: number;
}> = [
  {name: 'roles', create: createRoleDecision, callsPerRound: 1},
  {name: 'cheap limits', create: createLimitDecision, callsPerRound: 1},
  {name: 'target orders', create: createAutoscalingDecision, callsPerRound: 1},
  {
    name: `withdrawal of ${RUNNING_REQUESTS} requests`,
    create: createWithdrawalPlan,
    callsPerRound: 1,
  },
  {name: 'may run on cheap', create: createPreemptibleCheck, callsPerRound: CHECKS_PER_ROUND},
];

function measure(decide: Decide, callsPerRound: number) {
  const timesUs: number[] = [];
  for (let round = 0; round < WARM_UP_ROUNDS + ROUNDS; round++) {
    const startMs = performance.now();
    decide(round);
    if (round >= WARM_UP_ROUNDS) {
      timesUs.push(((performance.now() - startMs) * 1000) / callsPerRound);
    }
  }
  return {medianUs: findPercentile(timesUs, 0.5), p99Us: findPercentile(timesUs, 0.99)};
}

/** Wall-clock time of each fleet decision at three fleet sizes. */
export const FLEET_DECISIONS_BENCH: Bench = {
  description: 'microseconds for each fleet decision',
  run: ({seeds}) => {
    const measured = DECISIONS.flatMap(({name, create, callsPerRound}) =>
      TARGET_COUNTS.map(targets => ({
        name,
        targets,
        runs: seeds.map(seed => measure(create(targets, seed), callsPerRound)),
      })),
    );
    const rows = measured.map(({name, targets, runs}) => ({
      decision: name,
      targets,
      medianUs: formatSpread(
        runs.map(run => run.medianUs),
        3,
      ),
      p99Us: formatSpread(
        runs.map(run => run.p99Us),
        3,
      ),
    }));
    const largest = TARGET_COUNTS[TARGET_COUNTS.length - 1];
    const perStepUs = measured
      .filter(({name, targets}) => targets === largest && !name.startsWith('may'))
      .reduce((sum, {runs}) => sum + Math.max(...runs.map(run => run.p99Us)), 0);
    const share = roundTo((perStepUs / 1000 / STEP_MS) * 100, 3);
    return {
      settings: {STEP_MS, ROUNDS, FAILURE_DOMAINS, RUNNING_REQUESTS},
      rows,
      conclusion:
        `At ${largest} targets all decisions of one step take ${roundTo(perStepUs / 1000, 1)} ms ` +
        `at the 99th percentile, which is ${share}% of a core at one step in ${STEP_MS / 1000} s.`,
    };
  },
};
