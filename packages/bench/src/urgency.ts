import {PoolSettings, QueueSettings} from '@radishgw/scheduling';
import {Bench, BenchRow} from './bench.js';
import {measureCapacity, measureWeights} from './load.js';
import {isGood, RequestRecord, runServing, ServingOptions} from './serving-sim.js';
import {findMean, findQuantile, formatSpread} from './stats.js';
import {Arrival, DEPLOYMENTS, DeploymentShape, generateTrace} from './traces.js';

const END_MS = 180_000;
const WARM_UP_MS = 10_000;
const LONG_TOKENS = 8000;
const FIRST_TOKEN_TARGET = 1.25;
const GOODPUT_TARGET = 0.95;

/** Each team sends much urgent work and, as overnight summaries, many long prompts. */
const SHAPE: DeploymentShape = {
  ...DEPLOYMENTS.cuentatras,
  teams: DEPLOYMENTS.cuentatras.teams.map(team => ({
    ...team,
    classes: {urgent: 0.45, standard: 0.4, batch: 0.15},
  })),
};
const LOAD = 0.9;

interface Variant {
  readonly queue?: Partial<QueueSettings>;
  readonly pool?: Partial<PoolSettings>;
  readonly hosts?: number;
  readonly withoutLong?: boolean;
  /** Share of the capacity; {@link LOAD} by default. */
  readonly load?: number;
}

const CHOSEN = 'classes, reserve, long cap, calm targets (chosen)';
const NO_LONG = 'no long work present';
const NO_LONG_3_HOSTS = 'no long work present, 3 hosts';
const UNPROTECTED = 'fifo, no reserve, no cap';

const NO_LIMITS: Partial<PoolSettings> = {
  urgentReservedSlots: 0,
  maxLongPrefills: Infinity,
  maxPendingTokensForLong: Infinity,
  shortOnlyShare: 0,
};

const UNPROTECTED_VARIANT: Variant = {
  queue: {discipline: 'fifo', useClasses: false, overflow: 'newest'},
  pool: NO_LIMITS,
};

const VARIANTS: Readonly<Record<string, Variant>> = {
  [NO_LONG]: {withoutLong: true},
  [CHOSEN]: {},
  'chosen, 3 hosts': {hosts: 3},
  [NO_LONG_3_HOSTS]: {hosts: 3, withoutLong: true},
  'chosen, no calm targets': {pool: {shortOnlyShare: 0}},
  'chosen, calm share 1/4': {pool: {shortOnlyShare: 0.25}},
  'chosen, 3 hosts, long cap 2': {hosts: 3, pool: {maxLongPrefills: 2}},
  'chosen, nothing owed': {queue: {lagThresholdSeconds: Infinity}},
  'chosen, long cap 2': {pool: {maxLongPrefills: 2}},
  'chosen, 8 choices for urgent work': {pool: {choices: {urgent: 8, standard: 2, batch: 2}}},
  'chosen, 2 choices for urgent work': {pool: {choices: {urgent: 2, standard: 2, batch: 2}}},
  'chosen, no reserve': {pool: {urgentReservedSlots: 0}},
  'classes only': {pool: NO_LIMITS},
  [UNPROTECTED]: UNPROTECTED_VARIANT,
  'chosen, 110% load': {load: 1.1},
  'fifo, no reserve, no cap, 110% load': {...UNPROTECTED_VARIANT, load: 1.1},
};

interface Figures {
  readonly urgentP95Ms: number;
  readonly urgentGood: number;
  readonly goodRequests: number;
  readonly tokensPerSecond: number;
  readonly batchP95Seconds: number;
}

function measureRun(seed: number, capacity: number, variant: Variant): Figures {
  const requestsPerSecond = capacity * (variant.load ?? LOAD);
  const trace = generateTrace(SHAPE, {seed, durationMs: END_MS, requestsPerSecond});
  const isShort = ({workClass, promptTokens}: Arrival) =>
    workClass !== 'batch' && promptTokens < LONG_TOKENS;
  const {queue, pool, hosts} = variant;
  const options: ServingOptions = {
    seed,
    arrivals: variant.withoutLong ? trace.filter(isShort) : trace,
    endMs: END_MS,
    targets: SHAPE.targets,
    weights: measureWeights(trace, END_MS),
    queue,
    pool,
    hosts,
  };
  const records = runServing(options).records.filter(({arrival}) => arrival.atMs >= WARM_UP_MS);
  const urgent = records.filter(({arrival}) => arrival.workClass === 'urgent');
  const batch = records.filter(({arrival}) => arrival.workClass === 'batch');
  const finished = records.filter(({outcome}) => outcome === 'finished');
  const tokens = finished.reduce(
    (sum, {arrival, generated}) => sum + arrival.promptTokens + generated,
    0,
  );
  return {
    urgentP95Ms: findQuantile(urgent.map(findWait), 0.95),
    urgentGood: urgent.filter(isGood).length / urgent.length,
    goodRequests: records.filter(isGood).length / records.length,
    tokensPerSecond: (tokens * 1000) / (END_MS - WARM_UP_MS),
    batchP95Seconds: findQuantile(batch.map(findWait), 0.95) / 1000,
  };
}

/** First-token time; a request without one counts with its wait so far. */
function findWait({arrival, firstTokenMs = END_MS}: RequestRecord): number {
  return firstTokenMs - arrival.atMs;
}

/** Urgent work among long prompts. */
export const URGENCY: Bench = {
  description: 'short urgent requests among long prompts and overnight summaries at 90% load',
  run: ({seeds}) => {
    const capacities = seeds.map(seed => measureCapacity(SHAPE, seed, END_MS));
    const runs = new Map(
      Object.entries(VARIANTS).map(([name, variant]) => [
        name,
        seeds.map((seed, i) => measureRun(seed, capacities[i], variant)),
      ]),
    );
    const rows: BenchRow[] = [...runs].map(([name, figures]) => ({
      variant: name,
      'relative to no long work': formatSpread(findRatios(name, runs), 2),
      'urgent p95 first token, ms': formatSpread(
        figures.map(run => run.urgentP95Ms),
        0,
      ),
      'urgent requests in bounds': formatSpread(
        figures.map(run => run.urgentGood),
        3,
      ),
      'all requests in bounds': formatSpread(
        figures.map(run => run.goodRequests),
        3,
      ),
      'tokens of finished requests per s': formatSpread(
        figures.map(run => run.tokensPerSecond),
        0,
      ),
      'batch p95 first token, s': formatSpread(
        figures.map(run => run.batchP95Seconds),
        1,
      ),
    }));
    return {
      settings: {
        endMs: END_MS,
        capacityRequestsPerSecond: capacities,
        load: LOAD,
        targets: SHAPE.targets,
      },
      rows,
      conclusion: conclude(runs),
    };
  },
};

/** First-token time relative to the run with as many hosts and no long work, by seed. */
function findRatios(name: string, runs: ReadonlyMap<string, readonly Figures[]>): number[] {
  const base = runs.get((VARIANTS[name].hosts ?? 1) > 1 ? NO_LONG_3_HOSTS : NO_LONG)!;
  return runs.get(name)!.map((run, i) => run.urgentP95Ms / base[i].urgentP95Ms);
}

function conclude(runs: ReadonlyMap<string, readonly Figures[]>): string {
  const chosen = runs.get(CHOSEN)!;
  const ratios = findRatios(CHOSEN, runs);
  const unprotected = runs.get(UNPROTECTED)!;
  const goodput = chosen.map((run, i) => run.goodRequests / unprotected[i].goodRequests);
  const tokens = chosen.map((run, i) => run.tokensPerSecond / unprotected[i].tokensPerSecond);
  const isWaitMet = Math.max(...ratios) <= FIRST_TOKEN_TARGET;
  const isGoodputMet = Math.min(...goodput) >= GOODPUT_TARGET;
  return (
    `p95 first token of urgent work is ${findMean(ratios).toFixed(2)} times its value without long ` +
    `work (${Math.max(...ratios).toFixed(2)} in the worst seed): ` +
    `${isWaitMet ? 'target met' : 'TARGET MISSED'} (at most ${FIRST_TOKEN_TARGET}). ` +
    `Requests in bounds are ${findMean(goodput).toFixed(3)} of those without any protection ` +
    `(${Math.min(...goodput).toFixed(3)} in the worst seed): ` +
    `${isGoodputMet ? 'target met' : 'TARGET MISSED'} (at least ${GOODPUT_TARGET}); tokens of ` +
    `finished requests are ${findMean(tokens).toFixed(3)} (${Math.min(...tokens).toFixed(3)}).`
  );
}
