import {RoutingPolicyName, ROUTING_POLICIES} from '@radishgw/scheduling';
import {Bench, BenchRow} from './bench.js';
import {FakeEngineOptions} from './fake-engine.js';
import {measureCapacity, measureWeights} from './load.js';
import {meetsLatencyBounds, runServing, ServingOptions} from './serving-sim.js';
import {findMean, findQuantile, formatSpread} from './stats.js';
import {DEPLOYMENTS, generateTrace} from './traces.js';

const END_MS = 90_000;
const WARM_UP_MS = 10_000;
const HOSTS = 6;
const SHAPE = DEPLOYMENTS.huon;
/** Share of the capacity. At 90%, queueing hides the differences between routing policies. */
const LOAD = 0.8;
const CRASH_MS = 30_000;
const RESTART_MS = 60_000;
/** Time after which hosts detect an unresponsive engine: the request path's progress timeout. */
const CRASH_DETECTION_MS = 2000;

interface Condition {
  readonly engine: Partial<FakeEngineOptions>;
  readonly crash?: boolean;
}

const CONDITIONS: Readonly<Record<string, Condition>> = {
  'reports 0.5 s old': {engine: {reportIntervalMs: 500, reportLagMs: 250, cacheEventLagMs: 500}},
  'reports 2 s old': {engine: {reportIntervalMs: 1000, reportLagMs: 1500, cacheEventLagMs: 2000}},
  'reports 5 s old, 20% of cache events lost': {
    engine: {
      reportIntervalMs: 2000,
      reportLagMs: 4000,
      cacheEventLagMs: 5000,
      cacheEventLoss: 0.2,
    },
  },
  'silent crash, reports 2 s old': {
    engine: {reportIntervalMs: 1000, reportLagMs: 1500, cacheEventLagMs: 2000},
    crash: true,
  },
};

interface Figures {
  readonly goodput: number;
  readonly failed: number;
  readonly p95Ms: number;
  readonly cachedShare: number;
}

function measureRun(
  seed: number,
  requestsPerSecond: number,
  policy: RoutingPolicyName,
  condition: Condition,
): Figures {
  const arrivals = generateTrace(SHAPE, {seed, durationMs: END_MS, requestsPerSecond});
  const options: ServingOptions = {
    seed,
    arrivals,
    weights: measureWeights(arrivals, END_MS),
    endMs: END_MS,
    targets: SHAPE.targets,
    hosts: HOSTS,
    engine: condition.engine,
    policy,
    crashDetectionMs: condition.crash ? CRASH_DETECTION_MS : 0,
    injectFaults: (clock, engines) => {
      if (!condition.crash) return;
      clock.setTimer(CRASH_MS, () => engines[0].crash());
      clock.setTimer(RESTART_MS, () => engines[0].restart());
    },
  };
  const sim = runServing(options);
  const records = sim.records.filter(
    // Requests of the last 20 s may not have time to finish.
    ({arrival}) => arrival.atMs >= WARM_UP_MS && arrival.atMs < END_MS - 20_000,
  );
  const firstTokenTimesMs = records.map(
    ({arrival, firstTokenMs = END_MS}) => firstTokenMs - arrival.atMs,
  );
  let cachedTokens = 0;
  let computedTokens = 0;
  for (const {totals} of sim.engines) {
    cachedTokens += totals.cachedTokens;
    computedTokens += totals.prefilledTokens;
  }
  return {
    goodput: records.filter(meetsLatencyBounds).length / records.length,
    failed: records.filter(({outcome}) => outcome === 'failed').length / records.length,
    p95Ms: findQuantile(firstTokenTimesMs, 0.95),
    cachedShare: cachedTokens / (cachedTokens + computedTokens),
  };
}

/** Routing policies under lagging reports, lossy cache events and a crash. */
export const ROUTING: Bench = {
  description: 'routing policies with 6 hosts, lagging reports, lost cache events and a crash',
  run: ({seeds}) => {
    const rates = seeds.map(seed => LOAD * measureCapacity(SHAPE, seed, END_MS));
    const rows: BenchRow[] = [];
    const notes: string[] = [];
    for (const [conditionName, condition] of Object.entries(CONDITIONS)) {
      const means = new Map<string, number>();
      for (const policy of Object.keys(ROUTING_POLICIES) as RoutingPolicyName[]) {
        const runs = seeds.map((seed, i) => measureRun(seed, rates[i], policy, condition));
        means.set(policy, findMean(runs.map(run => run.goodput)));
        rows.push({
          condition: conditionName,
          policy: policy === 'prefixOrLoad' ? 'prefixOrLoad (chosen)' : policy,
          goodput: formatSpread(
            runs.map(run => run.goodput),
            3,
          ),
          'failed requests': formatSpread(
            runs.map(run => run.failed),
            4,
          ),
          'p95 first token, ms': formatSpread(
            runs.map(run => run.p95Ms),
            0,
          ),
          'cached prompt tokens': formatSpread(
            runs.map(run => run.cachedShare),
            3,
          ),
        });
      }
      const [best] = [...means].sort((a, b) => b[1] - a[1]);
      notes.push(
        `${conditionName}: prefixOrLoad ${means.get('prefixOrLoad')!.toFixed(3)}, ` +
          `best ${best[0]} ${best[1].toFixed(3)}`,
      );
    }
    return {
      settings: {
        endMs: END_MS,
        hosts: HOSTS,
        requestsPerSecond: rates,
        targets: SHAPE.targets,
        crashMs: CRASH_MS,
        restartMs: RESTART_MS,
        crashNoticeMs: CRASH_DETECTION_MS,
      },
      rows,
      conclusion: `Mean goodput: ${notes.join('; ')}.`,
    };
  },
};
