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
  ORDER_FLEET,
  OrderingFigures,
  OrderingStrategy,
  PEAK_FACTOR,
  runOrdering,
} from './order-fleet.js';
import {findMean, formatSpread} from './summary.js';

/** Mean work of the measured pools, in targets. */
const MEAN_WORKS = [9, 400];

const PLANNED_USE = DEFAULT_AUTOSCALING_SETTINGS.plannedUse;

/** Utilisation above and below which the plain threshold orders, and the pause between orders. */
const HIGH_USE = 0.8;
const LOW_USE = 0.5;
const PAUSE_MS = 300_000;
const STEP_SHARE = 0.1;

function createFixed(name: string, targetsFor: (meanWork: number) => number): OrderingStrategy {
  return {
    name,
    start: meanWork => ({steady: Math.ceil(targetsFor(meanWork)), cheap: 0}),
    create: () => () => [],
  };
}

/** Adds a tenth above 80% utilisation and removes a tenth below 50%, steady targets only. */
const THRESHOLD: OrderingStrategy = {
  name: 'threshold',
  start: meanWork => ({steady: Math.ceil(meanWork / PLANNED_USE), cheap: 0}),
  create: () => {
    let lastMs = -Infinity;
    return (input, nowMs) => {
      if (nowMs - lastMs < PAUSE_MS) return [];
      const domains = input.targets.filter(({cheap}) => !cheap);
      const ready = domains.reduce((sum, domain) => sum + domain.ready, 0);
      const {onDemandOnly, standard, batch} = input.demand;
      const use = (onDemandOnly + standard + batch) / Math.max(1, ready);
      if (use <= HIGH_USE && use >= LOW_USE) return [];
      lastMs = nowMs;
      const total = domains.reduce((sum, domain) => sum + domain.desired, 0);
      const change = Math.max(1, Math.round(STEP_SHARE * total)) * (use > HIGH_USE ? 1 : -1);
      return spreadEvenly(input, Math.max(domains.length, total + change));
    };
  },
};

/** The same number of targets in each domain, but for the remainder; changed counts only. */
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

function createPolicy(name: string, settings: AutoscalingSettings): OrderingStrategy {
  return {
    name,
    start: meanWork => ({steady: Math.ceil(meanWork / PLANNED_USE), cheap: 0}),
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

/** A cheap price of 1 makes the policy order steady targets only. */
const STRATEGIES: readonly OrderingStrategy[] = [
  createFixed('fixed for the mean', meanWork => meanWork / PLANNED_USE),
  createFixed('fixed for the peak', meanWork => (meanWork * PEAK_FACTOR) / PLANNED_USE),
  THRESHOLD,
  createPolicy('policy, steady only', {...DEFAULT_AUTOSCALING_SETTINGS, preemptiblePrice: 1}),
  createPolicy('policy', DEFAULT_AUTOSCALING_SETTINGS),
];

interface Measured {
  readonly meanWork: number;
  readonly strategy: OrderingStrategy;
  readonly runs: readonly OrderingFigures[];
}

function formatRow({meanWork, strategy, runs}: Measured) {
  const spread = (key: keyof OrderingFigures, digits: number) =>
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
    const mean = (name: string, key: keyof OrderingFigures) =>
      findMean(find(name).map(run => run[key]));
    const describe = (name: string) =>
      `${name} costs ${mean(name, 'cost').toFixed(2)} with ` +
      `${(100 * mean(name, 'onTime')).toFixed(2)}% on time and ` +
      `${mean(name, 'ordersPerDay').toFixed(0)} orders a day`;
    const steady = 'policy, steady only';
    const isBetter =
      mean(steady, 'cost') < mean('threshold', 'cost') &&
      mean(steady, 'onTime') > mean('threshold', 'onTime');
    const verdict = isBetter
      ? 'with steady targets only the policy beats the threshold in cost and service'
      : 'with steady targets only the policy does not beat the threshold in both cost and service';
    const ordersDiffer = mean(steady, 'ordersPerDay') - mean('threshold', 'ordersPerDay');
    const orders = ordersDiffer > 0 ? 'but misses the fewest orders' : 'with no more orders';
    return `Work ${meanWork}: ${['fixed for the peak', 'threshold', steady, 'policy']
      .map(describe)
      .join('; ')}; ${verdict}, ${orders}.`;
  }).join(' ');
}

/** Cost and service of target orders over two days, after a day of learning. */
export const ORDERING_BENCH: Bench = {
  description: 'cost, service and number of target orders over the day',
  run: ({seeds}) => {
    const measured = MEAN_WORKS.flatMap(meanWork =>
      STRATEGIES.map(strategy => ({
        meanWork,
        strategy,
        runs: seeds.map(seed => runOrdering(strategy, meanWork, seed)),
      })),
    );
    return {
      settings: {fleet: ORDER_FLEET, policy: DEFAULT_AUTOSCALING_SETTINGS},
      rows: measured.map(formatRow),
      conclusion: conclude(measured),
    };
  },
};
