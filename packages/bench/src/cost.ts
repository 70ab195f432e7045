import {FailureDomain, PoolId, toId, VirtualClock} from '@radishgw/core';
import {
  createAutoscalingState,
  decideTargets,
  DEFAULT_AUTOSCALING_SETTINGS,
  DEFAULT_PREEMPTIBLE_SETTINGS,
  DomainTargets,
} from '@radishgw/fleet';
import {Bench} from './bench.js';
import {PreemptibleFleet} from './preemptible-fleet.js';
import {
  PREEMPTIBLE_FLEET,
  PreemptibleFigures,
  PreemptibleStrategy,
} from './preemptible-settings.js';
import {findMean, formatSpread} from './summary.js';

const MAX_PER_DOMAIN = 20;

/** Targets by failure domain on which the autoscaling policy converges for the mean work. */
function sizeFleet(): Pick<PreemptibleStrategy, 'onDemand' | 'preemptible'> {
  const {failureDomains, work, classShares, nonRepeatableShare} = PREEMPTIBLE_FLEET;
  const repeatable = 1 - nonRepeatableShare;
  const demand = {
    onDemandOnly: work * (classShares.urgent + (1 - classShares.urgent) * nonRepeatableShare),
    standard: work * classShares.standard * repeatable,
    batch: work * classShares.batch * repeatable,
    backlog: 0,
  };
  let targets = Array.from({length: 2 * failureDomains}, (_, index): DomainTargets => ({
    failureDomain: toId<FailureDomain>(`domain-${index % failureDomains}`),
    cheap: index >= failureDomains,
    desired: 1,
    ready: 1,
    maxCount: MAX_PER_DOMAIN,
    unavailable: false,
  }));
  const settings = {
    ...DEFAULT_AUTOSCALING_SETTINGS,
    preemptibleAvailability: PREEMPTIBLE_FLEET.expectedAvailability,
  };
  let state = createAutoscalingState(0);
  for (let nowMs = 0; nowMs < 3 * DEFAULT_AUTOSCALING_SETTINGS.scaleDownHoldMs; nowMs += 30_000) {
    const decision = decideTargets(
      state,
      {pool: toId<PoolId>('pool'), demand, targets, timeOfDayMs: 0, demandAgeMs: 0},
      settings,
      nowMs,
    );
    state = decision.state;
    targets = targets.map(entry => {
      const order = decision.orders.find(
        other => other.failureDomain === entry.failureDomain && other.cheap === entry.cheap,
      );
      return order ? {...entry, desired: order.desiredCount, ready: order.desiredCount} : entry;
    });
  }
  const countsOf = (preemptible: boolean) =>
    targets.filter(entry => entry.cheap === preemptible).map(entry => entry.desired);
  return {onDemand: countsOf(false), preemptible: countsOf(true)};
}

function listStrategies(): PreemptibleStrategy[] {
  const {onDemand, preemptible} = sizeFleet();
  const {work, failureDomains} = PREEMPTIBLE_FLEET;
  const perDomain = Math.ceil(work / DEFAULT_PREEMPTIBLE_SETTINGS.plannedUse / failureDomains);
  const onDemandOnly = onDemand.map(() => perDomain);
  // One on-demand target fewer than the policy orders, so there is no reserve for a lost domain.
  const oneFewerOnDemand = onDemand.map((count, domain) => (domain === 0 ? count - 1 : count));
  const noTargets = onDemand.map(() => 0);
  return [
    {name: 'no cheap targets', onDemand: onDemandOnly, preemptible: noTargets, usesPolicy: false},
    {name: 'no rule, same targets', onDemand, preemptible, usesPolicy: false},
    {name: 'no rule, one steady less', onDemand: oneFewerOnDemand, preemptible, usesPolicy: false},
    {name: 'policy, one steady less', onDemand: oneFewerOnDemand, preemptible, usesPolicy: true},
    {name: 'policy', onDemand, preemptible, usesPolicy: true},
  ];
}

interface Measured {
  readonly strategy: PreemptibleStrategy;
  readonly runs: readonly PreemptibleFigures[];
}

function sumOf(counts: readonly number[]): number {
  return counts.reduce((sum, count) => sum + count, 0);
}

function formatRow({strategy, runs}: Measured) {
  const spread = (key: keyof PreemptibleFigures, digits: number) =>
    formatSpread(
      runs.map(run => run[key]),
      digits,
    );
  return {
    strategy: strategy.name,
    steadyTargets: sumOf(strategy.onDemand),
    cheapTargets: sumOf(strategy.preemptible),
    cost: spread('cost', 2),
    cheapShare: spread('cheapShare', 3),
    onTime: spread('onTime', 4),
    onTimeAfterLoss: spread('onTimeAfterLoss', 3),
    urgentOnTime: spread('urgentOnTime', 4),
    nonRepeatableCut: spread('nonRepeatableCut', 1),
    urgentCut: spread('urgentCut', 1),
    repeatedShare: spread('repeatedShare', 5),
    unfinished: spread('unfinished', 1),
  };
}

function conclude(measured: readonly Measured[]): string {
  const find = (name: string) => measured.find(({strategy}) => strategy.name === name)!;
  const policy = find('policy').runs;
  const harmfulCuts = policy.reduce((sum, run) => sum + run.nonRepeatableCut + run.urgentCut, 0);
  const cost = findMean(policy.map(run => run.cost));
  const costWithoutPreemptible = findMean(find('no cheap targets').runs.map(run => run.cost));
  const share = findMean(policy.map(run => run.cheapShare));
  const target = harmfulCuts === 0 ? 'meets its target' : 'misses its target';
  const change = ((1 - cost / costWithoutPreemptible) * 100).toFixed(0);
  const worst = Math.min(...policy.map(run => run.onTime));
  return (
    `The policy ${target}: ${harmfulCuts} interrupted non-idempotent or urgent requests (target 0) in ` +
    `${policy.length} runs. It costs ${change}% less than a fleet without preemptible targets, runs ` +
    `${(share * 100).toFixed(0)}% of the work on preemptible targets, and in its worst run ` +
    `${(worst * 100).toFixed(1)}% of the requests that can't wait start on time.`
  );
}

/** Cost, on-time starts and interrupted work when preemptible targets or domains are withdrawn. */
export const COST_BENCH: Bench = {
  description: 'cost, on-time starts and interrupted work when preemptible targets are withdrawn',
  run: ({seeds}) => {
    const measured = listStrategies().map(strategy => ({
      strategy,
      runs: seeds.map(seed => new PreemptibleFleet(new VirtualClock(), seed, strategy).run()),
    }));
    return {
      settings: {fleet: PREEMPTIBLE_FLEET, policy: DEFAULT_PREEMPTIBLE_SETTINGS},
      rows: measured.map(formatRow),
      conclusion: conclude(measured),
    };
  },
};
