import {Bench, BenchRow} from './bench.js';
import {BrownOut} from './fake-engine.js';
import {measureCapacity, measureWeights} from './load.js';
import {isGood, runServing, ServingOptions} from './serving-sim.js';
import {findQuantile, formatSpread} from './stats.js';
import {DEPLOYMENTS, generateTrace} from './traces.js';

const END_MS = 150_000;
const WARM_UP_MS = 10_000;
const BROWN_OUT_MS = 40_000;
const RECOVERY_MS = 90_000;
const SHAPE = DEPLOYMENTS.cuentatras;
/** Share of the measured capacity, so that two thirds of the targets can nearly carry the load. */
const LOAD = 0.6;
/** A third of the targets fails half of the requests at the first token and is half as fast. */
const BROWN_OUT = {failShare: 0.5, slowdown: 2, affectedShare: 1 / 3};
/** For comparison: a fault that leaves too little for repeating all that fails. */
const SEVERE = {failShare: 0.9, slowdown: 1, affectedShare: 0.8};
/** Share of the requests that may run only once, such as calls with effects. */
const ONCE_SHARE = 0.2;
const ATTEMPTS_TARGET = 1.1;

interface Variant extends Partial<ServingOptions> {
  readonly fault?: typeof BROWN_OUT;
}

const VARIANTS: Readonly<Record<string, Variant>> = {
  'no retries': {retries: 'none'},
  'always, up to 3 attempts': {retries: 'always'},
  'budget (chosen)': {retries: 'budget'},
  'budget and hedging': {retries: 'budget', hedging: true},
  'budget, random routing': {retries: 'budget', policy: 'random'},
  'always, random routing': {retries: 'always', policy: 'random'},
  'severe fault, budget': {retries: 'budget', fault: SEVERE},
  'severe fault, always': {retries: 'always', fault: SEVERE},
};

const JUDGED: ReadonlySet<string> = new Set(['budget (chosen)', 'budget and hedging']);

interface Figures {
  readonly attempts: number;
  readonly attemptsInBrownOut: number;
  readonly failed: number;
  readonly failedInBrownOut: number;
  readonly good: number;
  readonly p95Ms: number;
  readonly hedges: number;
  readonly repeatedOnce: number;
}

function measureRun(
  seed: number,
  requestsPerSecond: number,
  {fault = BROWN_OUT, ...variant}: Variant,
): Figures {
  const arrivals = generateTrace(SHAPE, {seed, durationMs: END_MS, requestsPerSecond});
  const {records} = runServing({
    seed,
    arrivals,
    weights: measureWeights(arrivals, END_MS),
    endMs: END_MS,
    targets: SHAPE.targets,
    hosts: 3,
    onceShare: ONCE_SHARE,
    prepare: (clock, engines) => {
      const affected = engines.slice(0, Math.round(engines.length * fault.affectedShare));
      const set = (brownOut: BrownOut) => () =>
        affected.forEach(engine => engine.setBrownOut(brownOut));
      clock.setTimer(BROWN_OUT_MS, set(fault));
      clock.setTimer(RECOVERY_MS, set({failShare: 0, slowdown: 1}));
    },
    ...variant,
  });
  const sent = records.filter(({attempts}) => attempts > 0);
  const during = sent.filter(
    ({arrival}) => arrival.atMs >= BROWN_OUT_MS && arrival.atMs < RECOVERY_MS,
  );
  const countAttempts = (list: typeof sent) =>
    list.reduce((sum, {attempts}) => sum + attempts, 0) / list.length;
  const countFailed = (list: typeof sent) =>
    list.filter(({outcome}) => outcome === 'failed').length / list.length;
  const waits = during.flatMap(({arrival, firstTokenMs}) =>
    firstTokenMs === undefined ? [] : [firstTokenMs - arrival.atMs],
  );
  const measured = records.filter(
    ({arrival}) => arrival.atMs >= WARM_UP_MS && arrival.atMs < END_MS - 20_000,
  );
  return {
    attempts: countAttempts(sent),
    attemptsInBrownOut: countAttempts(during),
    failed: countFailed(sent),
    failedInBrownOut: countFailed(during),
    good: measured.filter(isGood).length / measured.length,
    p95Ms: findQuantile(waits, 0.95),
    hedges: sent.reduce((sum, {hedges}) => sum + hedges, 0) / sent.length,
    repeatedOnce: sent.filter(({isIdempotent, attempts}) => !isIdempotent && attempts > 1).length,
  };
}

/** Retry budget and hedging in a brown-out. */
export const RETRIES: Bench = {
  description: 'retries and hedging while a third of the targets fails half of its requests',
  run: ({seeds}) => {
    const rates = seeds.map(seed => LOAD * measureCapacity(SHAPE, seed, END_MS));
    const rows: BenchRow[] = [];
    const notes: string[] = [];
    for (const [name, variant] of Object.entries(VARIANTS)) {
      const runs = seeds.map((seed, i) => measureRun(seed, rates[i], variant));
      rows.push({
        variant: name,
        'attempts per request': formatSpread(
          runs.map(run => run.attempts),
          3,
        ),
        'in the brown-out': formatSpread(
          runs.map(run => run.attemptsInBrownOut),
          3,
        ),
        'failed requests': formatSpread(
          runs.map(run => run.failed),
          4,
        ),
        'failed in the brown-out': formatSpread(
          runs.map(run => run.failedInBrownOut),
          4,
        ),
        goodput: formatSpread(
          runs.map(run => run.good),
          3,
        ),
        'p95 first token in the brown-out, ms': formatSpread(
          runs.map(run => run.p95Ms),
          0,
        ),
        'hedges per request': formatSpread(
          runs.map(run => run.hedges),
          4,
        ),
        'repeated once-only work': runs.reduce((sum, run) => sum + run.repeatedOnce, 0),
      });
      if (!JUDGED.has(name)) continue;
      // The stricter of both figures: over the whole run the budget has more to share out.
      const worst = Math.max(...runs.map(run => run.attemptsInBrownOut));
      const repeated = runs.reduce((sum, run) => sum + run.repeatedOnce, 0);
      const isMet = worst <= ATTEMPTS_TARGET && repeated === 0;
      notes.push(
        `${name}: ${isMet ? 'target met' : 'TARGET MISSED'} (at most ${worst.toFixed(3)} attempts ` +
          `for each request during the brown-out, ${repeated} repetitions of work that may run only once)`,
      );
    }
    return {
      settings: {
        endMs: END_MS,
        requestsPerSecond: rates,
        brownOut: BROWN_OUT,
        brownOutMs: BROWN_OUT_MS,
        recoveryMs: RECOVERY_MS,
        onceShare: ONCE_SHARE,
        hosts: 3,
        targets: SHAPE.targets,
      },
      rows,
      conclusion: notes.join('; ') + '.',
    };
  },
};
