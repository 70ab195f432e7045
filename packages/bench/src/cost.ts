import {FailureDomain, PoolId, toId, VirtualClock} from '@radishgw/core';
import {
  createAutoscalingState,
  decideTargets,
  DEFAULT_AUTOSCALING_SETTINGS,
  DEFAULT_PREEMPTIBLE_SETTINGS,
  DomainTargets,
} from '@radishgw/fleet';
import {Bench} from './bench.js';
import {CheapFleet} from './cheap-fleet.js';
import {CHEAP_FLEET, CheapFigures, CheapStrategy} from './cheap-settings.js';
import {findMean, formatSpread} from './summary.js';

const MAX_PER_DOMAIN = 20;

/** Targets by failure domain that the ordering policy settles on for the mean work of the bench. */
function sizeFleet(): Pick<CheapStrategy, 'steady' | 'cheap'> {
  const {failureDomains, work, classShares, nonRepeatableShare} = CHEAP_FLEET;
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
    preemptibleAvailability: CHEAP_FLEET.expectedAvailability,
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
  const countsOf = (cheap: boolean) =>
    targets.filter(entry => entry.cheap === cheap).map(entry => entry.desired);
  return {steady: countsOf(false), cheap: countsOf(true)};
}

function listStrategies(): CheapStrategy[] {
  const {steady, cheap} = sizeFleet();
  const {work, failureDomains} = CHEAP_FLEET;
  const perDomain = Math.ceil(work / DEFAULT_PREEMPTIBLE_SETTINGS.plannedUse / failureDomains);
  const steadyOnly = steady.map(() => perDomain);
  // One steady target less than the policy orders: the reserve for a withdrawn domain is missing.
  const lean = steady.map((count, domain) => (domain === 0 ? count - 1 : count));
  const none = steady.map(() => 0);
  return [
    {name: 'no cheap targets', steady: steadyOnly, cheap: none, hasRules: false},
    {name: 'no rule, same targets', steady, cheap, hasRules: false},
    {name: 'no rule, one steady less', steady: lean, cheap, hasRules: false},
    {name: 'policy, one steady less', steady: lean, cheap, hasRules: true},
    {name: 'policy', steady, cheap, hasRules: true},
  ];
}

interface Measured {
  readonly strategy: CheapStrategy;
  readonly runs: readonly CheapFigures[];
}

function sumOf(counts: readonly number[]): number {
  return counts.reduce((sum, count) => sum + count, 0);
}

function formatRow({strategy, runs}: Measured) {
  const spread = (key: keyof CheapFigures, digits: number) =>
    formatSpread(
      runs.map(run => run[key]),
      digits,
    );
  return {
    strategy: strategy.name,
    steadyTargets: sumOf(strategy.steady),
    cheapTargets: sumOf(strategy.cheap),
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
  const harm = policy.reduce((sum, run) => sum + run.nonRepeatableCut + run.urgentCut, 0);
  const cost = findMean(policy.map(run => run.cost));
  const without = findMean(find('no cheap targets').runs.map(run => run.cost));
  const share = findMean(policy.map(run => run.cheapShare));
  const target = harm === 0 ? 'meets its target' : 'misses its target';
  const change = ((1 - cost / without) * 100).toFixed(0);
  const worst = Math.min(...policy.map(run => run.onTime));
  return (
    `The policy ${target} of no harm: ${harm} non-idempotent or urgent requests cut off in ` +
    `${policy.length} runs. It pays ${change}% less than a fleet without cheap targets, runs ` +
    `${(share * 100).toFixed(0)}% of the work on cheap targets, and in its worst run ` +
    `${(worst * 100).toFixed(1)}% of the requests that can't wait start on time.`
  );
}

/** Cost, service and harm with cheap targets that are withdrawn singly and by whole domains. */
export const COST_BENCH: Bench = {
  description: 'cost, service and harm with cheap targets that are withdrawn',
  run: ({seeds}) => {
    const measured = listStrategies().map(strategy => ({
      strategy,
      runs: seeds.map(seed => new CheapFleet(new VirtualClock(), seed, strategy).run()),
    }));
    return {
      settings: {fleet: CHEAP_FLEET, policy: DEFAULT_PREEMPTIBLE_SETTINGS},
      rows: measured.map(formatRow),
      conclusion: conclude(measured),
    };
  },
};
