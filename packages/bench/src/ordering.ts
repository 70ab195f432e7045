import {
  AutoscalingInput,
  AutoscalingSettings,
  createAutoscalingState,
  decideTargets,
  DEFAULT_AUTOSCALING_SETTINGS,
  DesiredCount,
} from '@radishgw/fleet';
import {Bench} from './bench.js';
import {
  AUTOSCALING_FLEET,
  AutoscalingFigures,
  AutoscalingStrategy,
  PEAK_FACTOR,
  runAutoscaling,
} from './autoscaling-fleet.js';
import {findMean, formatSpread} from './summary.js';

/** Mean work of the simulated pools, in targets. */
const MEAN_WORKS = [9, 400];

const PLANNED_USE = DEFAULT_AUTOSCALING_SETTINGS.plannedUse;

/** Utilisation limits of the threshold strategy, and the time between its orders. */
const HIGH_UTILISATION = 0.8;
const LOW_UTILISATION = 0.5;
const COOLDOWN_MS = 300_000;
const STEP_SHARE = 0.1;

function createFixed(name: string, targetsFor: (meanWork: number) => number): AutoscalingStrategy {
  return {
    name,
    start: meanWork => ({onDemand: Math.ceil(targetsFor(meanWork)), preemptible: 0}),
    create: () => () => [],
  };
}

/** Adds a tenth above 80% utilisation and removes a tenth below 50%; on-demand targets only. */
const THRESHOLD: AutoscalingStrategy = {
  name: 'threshold',
  start: meanWork => ({onDemand: Math.ceil(meanWork / PLANNED_USE), preemptible: 0}),
  create: () => {
    let lastMs = -Infinity;
    return (input, nowMs) => {
      if (nowMs - lastMs < COOLDOWN_MS) return [];
      const domains = input.targets.filter(({cheap}) => !cheap);
      const ready = domains.reduce((sum, domain) => sum + domain.ready, 0);
      const {onDemandOnly, standard, batch} = input.demand;
      const utilisation = (onDemandOnly + standard + batch) / Math.max(1, ready);
      if (utilisation <= HIGH_UTILISATION && utilisation >= LOW_UTILISATION) return [];
      lastMs = nowMs;
      const total = domains.reduce((sum, domain) => sum + domain.desired, 0);
      const change =
        Math.max(1, Math.round(STEP_SHARE * total)) * (utilisation > HIGH_UTILISATION ? 1 : -1);
      return spreadEvenly(input, Math.max(domains.length, total + change));
    };
  },
};

/** Spreads targets evenly over the failure domains and returns the changed counts only. */
function spreadEvenly(input: AutoscalingInput, total: number): DesiredCount[] {
  const domains = input.targets.filter(({cheap}) => !cheap);
  return domains
    .map((domain, index) => ({
      pool: input.pool,
      failureDomain: domain.failureDomain,
      cheap: false,
      desiredCount: Math.floor((total + index) / domains.length),
    }))
    .filter((order, index) => order.desiredCount !== domains[index].desired);
}

function createPolicy(name: string, settings: AutoscalingSettings): AutoscalingStrategy {
  return {
    name,
    start: meanWork => ({onDemand: Math.ceil(meanWork / PLANNED_USE), preemptible: 0}),
    create: () => {
      let state = createAutoscalingState(0);
      return (input, nowMs) => {
        const decision = decideTargets(state, input, settings, nowMs);
        state = decision.state;
        return decision.orders;
      };
    },
  };
}

/** With a preemptible price of 1 the policy orders on-demand targets only. */
const STRATEGIES: readonly AutoscalingStrategy[] = [
  createFixed('fixed for the mean', meanWork => meanWork / PLANNED_USE),
  createFixed('fixed for the peak', meanWork => (meanWork * PEAK_FACTOR) / PLANNED_USE),
  THRESHOLD,
  createPolicy('policy, steady only', {...DEFAULT_AUTOSCALING_SETTINGS, preemptiblePrice: 1}),
  createPolicy('policy', DEFAULT_AUTOSCALING_SETTINGS),
];

interface Measured {
  readonly meanWork: number;
  readonly strategy: AutoscalingStrategy;
  readonly runs: readonly AutoscalingFigures[];
}

function formatRow({meanWork, strategy, runs}: Measured) {
  const spread = (key: keyof AutoscalingFigures, digits: number) =>
    formatSpread(
      runs.map(run => run[key]),
      digits,
    );
  return {
    meanWork,
    strategy: strategy.name,
    cost: spread('cost', 3),
    onTime: spread('onTime', 4),
    worstHour: spread('worstHour', 3),
    afterLoss: spread('afterLoss', 3),
    ordersPerDay: spread('ordersPerDay', 1),
  };
}

function conclude(measured: readonly Measured[]): string {
  return MEAN_WORKS.map(meanWork => {
    const find = (name: string) =>
      measured.find(entry => entry.meanWork === meanWork && entry.strategy.name === name)!.runs;
    const mean = (name: string, key: keyof AutoscalingFigures) =>
      findMean(find(name).map(run => run[key]));
    const describe = (name: string) =>
      `${name} costs ${mean(name, 'cost').toFixed(2)} with ` +
      `${(100 * mean(name, 'onTime')).toFixed(2)}% on time and ` +
      `${mean(name, 'ordersPerDay').toFixed(0)} orders a day`;
    const onDemandPolicy = 'policy, steady only';
    const isBetter =
      mean(onDemandPolicy, 'cost') < mean('threshold', 'cost') &&
      mean(onDemandPolicy, 'onTime') > mean('threshold', 'onTime');
    const verdict = isBetter
      ? 'with on-demand targets only the policy beats the threshold in cost and service'
      : 'with on-demand targets only the policy does not beat the threshold in both cost and service';
    const ordersDiffer = mean(onDemandPolicy, 'ordersPerDay') - mean('threshold', 'ordersPerDay');
    const orders = ordersDiffer > 0 ? 'but with more orders' : 'with no more orders';
    return `Work ${meanWork}: ${['fixed for the peak', 'threshold', onDemandPolicy, 'policy']
      .map(describe)
      .join('; ')}; ${verdict}, ${orders}.`;
  }).join(' ');
}

/** Cost and service of autoscaling over two days, after one day in which the profile is learned. */
export const ORDERING_BENCH: Bench = {
  description: 'cost, service and number of target orders over the day',
  run: ({seeds}) => {
    const measured = MEAN_WORKS.flatMap(meanWork =>
      STRATEGIES.map(strategy => ({
        meanWork,
        strategy,
        runs: seeds.map(seed => runAutoscaling(strategy, meanWork, seed)),
      })),
    );
    return {
      settings: {fleet: AUTOSCALING_FLEET, policy: DEFAULT_AUTOSCALING_SETTINGS},
      rows: measured.map(formatRow),
      conclusion: conclude(measured),
    };
  },
};
