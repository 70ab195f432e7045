import {QueueSettings} from '@radishgw/scheduling';
import {Bench, BenchRow} from './bench.js';
import {measureShares} from './fair-shares.js';
import {measureCapacity, measureWeights} from './load.js';
import {RequestRecord, runServing} from './serving-sim.js';
import {findMean, findQuantile, formatSpread} from './stats.js';
import {DEPLOYMENTS, generateTrace, RateChange} from './traces.js';

const END_MS = 180_000;
const RETURN_MS = 90_000;
const WARM_UP_MS = 10_000;
/** Load of all teams at their agreed rates, as a share of the measured capacity. */
const LOAD = 0.9;
const SHAPE = DEPLOYMENTS.huon;
const SHARE_TARGET = 0.95;

const DISCIPLINES: Readonly<Record<string, Partial<QueueSettings>>> = {
  'start-time, classes (chosen)': {},
  'start-time, classes, lead 60 s': {
    classLeadSeconds: {urgent: 10, standard: 60, batch: Infinity},
  },
  'start-time, classes, nothing owed': {lagThresholdSeconds: Infinity},
  'start-time, one class': {useClasses: false},
  'virtual clock, one class': {discipline: 'virtualClock', useClasses: false},
  'fifo, one class': {discipline: 'fifo', useClasses: false, overflow: 'newest'},
};

/** Rate changes, and the teams that stay within their rate. */
interface Scenario {
  readonly rates: Readonly<Record<string, RateChange>>;
  readonly teamsInRate: readonly string[];
}

const SCENARIOS: Readonly<Record<string, Scenario>> = {
  // One team at five times its rate all along; another one returns from idle at half time.
  offender: {
    rates: {buying: steady(5), 'web-shop': returning(1)},
    teamsInRate: ['shop-floor', 'web-shop', 'catalogue', 'accounts'],
  },
  // A team uses what an idle team leaves; then that team returns and wants more than its share.
  idleUse: {
    rates: {'shop-floor': steady(2), 'web-shop': returning(6)},
    teamsInRate: ['buying', 'catalogue', 'accounts'],
  },
};

function steady(factor: number): RateChange {
  return {maxFactor: factor, factorAt: () => factor};
}

function returning(factor: number): RateChange {
  return {maxFactor: factor, factorAt: atMs => (atMs < RETURN_MS ? 0 : factor)};
}

interface Figures {
  readonly worstShare: number;
  readonly worstTeam: string;
  readonly worstShareAfterReturn: number;
  readonly worstTeamAfterReturn: string;
  /** Over urgent and standard work. */
  readonly worstP95Ms: number;
  readonly worstBatchP95Ms: number;
  readonly wrongfulRefusals: number;
}

function measureRun(
  seed: number,
  requestsPerSecond: number,
  scenario: Scenario,
  queue: Partial<QueueSettings>,
): Figures {
  const trace = {seed, durationMs: END_MS, requestsPerSecond};
  const weights = measureWeights(generateTrace(SHAPE, trace), END_MS);
  const arrivals = generateTrace(SHAPE, {...trace, rates: scenario.rates});
  const {records} = runServing({seed, arrivals, endMs: END_MS, targets: 13, queue, weights});
  const whole = findWorst(records, weights, WARM_UP_MS);
  const after = findWorst(records, weights, RETURN_MS);
  const inRate = records.filter(record => scenario.teamsInRate.includes(record.arrival.team));
  const isBatch = ({arrival}: RequestRecord) => arrival.workClass === 'batch';
  const batch = inRate.filter(isBatch);
  const interactive = inRate.filter(record => !isBatch(record));
  return {
    worstShare: whole.share,
    worstTeam: whole.team,
    worstShareAfterReturn: after.share,
    worstTeamAfterReturn: after.team,
    worstP95Ms: Math.max(...scenario.teamsInRate.map(team => findP95(interactive, team))),
    worstBatchP95Ms: Math.max(...scenario.teamsInRate.map(team => findP95(batch, team))),
    wrongfulRefusals: inRate.filter(({outcome}) => REFUSALS.has(outcome)).length,
  };
}

const REFUSALS: ReadonlySet<string> = new Set(['refused', 'displaced', 'expired']);

function findWorst(
  records: readonly RequestRecord[],
  weights: Readonly<Record<string, number>>,
  fromMs: number,
) {
  let worst = {team: '', share: Infinity};
  for (const {team, servedTokens, dueTokens} of measureShares(records, weights, fromMs, END_MS)) {
    const share = dueTokens > 0 ? servedTokens / dueTokens : Infinity;
    if (share < worst.share) worst = {team, share};
  }
  return worst;
}

/** 95th percentile of the first-token time; a request without one counts with its wait so far. */
function findP95(records: readonly RequestRecord[], team: string): number {
  const waits = records
    .filter(({arrival}) => arrival.team === team && arrival.atMs >= WARM_UP_MS)
    .map(({arrival, firstTokenMs = END_MS}) => firstTokenMs - arrival.atMs);
  return findQuantile(waits, 0.95);
}

function mostFrequent(values: readonly string[]): string {
  const count = (value: string) => values.filter(other => other === value).length;
  return [...values].sort((a, b) => count(b) - count(a))[0];
}

/** Fair queueing against FIFO and Virtual Clock. */
export const FAIRNESS: Bench = {
  description: 'queue disciplines with a team at five times its rate and one returning from idle',
  run: ({seeds}) => {
    const rates = seeds.map(seed => LOAD * measureCapacity(SHAPE, seed, END_MS));
    const rows: BenchRow[] = [];
    const notes: string[] = [];
    for (const [scenarioName, scenario] of Object.entries(SCENARIOS)) {
      for (const [name, queue] of Object.entries(DISCIPLINES)) {
        const runs = seeds.map((seed, i) => measureRun(seed, rates[i], scenario, queue));
        const refusals = runs.map(run => run.wrongfulRefusals);
        rows.push({
          scenario: scenarioName,
          discipline: name,
          'worst share of due': formatSpread(
            runs.map(run => run.worstShare),
            3,
          ),
          'worst team': mostFrequent(runs.map(run => run.worstTeam)),
          'worst share after return': formatSpread(
            runs.map(run => run.worstShareAfterReturn),
            3,
          ),
          'worst team after return': mostFrequent(runs.map(run => run.worstTeamAfterReturn)),
          'p95 first token, worst team in rate, ms': formatSpread(
            runs.map(run => run.worstP95Ms),
            0,
          ),
          'p95 of batch work, ms': formatSpread(
            runs.map(run => run.worstBatchP95Ms),
            0,
          ),
          'wrongful refusals': formatSpread(refusals, 0),
        });
        if (queue !== DISCIPLINES['start-time, classes (chosen)']) continue;
        const shares = runs.map(run => run.worstShare);
        const isMet = Math.min(...shares) >= SHARE_TARGET && Math.max(...refusals) === 0;
        notes.push(
          `${scenarioName}: ${isMet ? 'target met' : 'TARGET MISSED'} with the chosen queue ` +
            `(worst share ${Math.min(...shares).toFixed(3)} in the worst seed, mean ` +
            `${findMean(shares).toFixed(3)}, at most ${Math.max(...refusals)} wrongful refusals)`,
        );
      }
    }
    return {
      settings: {
        endMs: END_MS,
        returnMs: RETURN_MS,
        requestsPerSecond: rates,
        targets: 13,
      },
      rows,
      conclusion: notes.join('; ') + '.',
    };
  },
};
