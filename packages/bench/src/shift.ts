import {DEFAULT_ROLE_SETTINGS} from '@radishgw/fleet';
import {Bench, BenchRow} from './bench.js';
import {DAY_SETTINGS, runDay} from './shift-day.js';
import {
  BASELINES,
  createPolicyStrategy,
  FIRST_TOKEN_TARGET_MS,
  MINUTES_SETTINGS,
  runMinutes,
  ShiftScenario,
  TOKEN_GAP_TARGET_MS,
} from './shift-minutes.js';
import {findMean, formatSpread} from './summary.js';

const DAY_ENGINE_COUNTS = [13, 130];

/** Goodput required by section 2.5 of the design, as a share of the requests. */
const GOODPUT_TARGET = 0.95;

interface Part {
  readonly name: string;
  readonly strategy: string;
  readonly goodputs: readonly number[];
  readonly row: BenchRow;
}

function measureMinutes(scenario: ShiftScenario, seeds: readonly number[]): Part[] {
  return [...BASELINES, createPolicyStrategy(DEFAULT_ROLE_SETTINGS)].map(strategy => {
    const runs = seeds.map(seed => runMinutes(strategy, scenario, seed));
    const goodputs = runs.map(run => run.goodput);
    const name = `minutes, ${scenario}`;
    const row = {
      part: name,
      strategy: strategy.name,
      goodput: formatSpread(goodputs, 3),
      p95FirstTokenMs: formatSpread(
        runs.map(run => run.p95FirstTokenMs),
        0,
      ),
      p95GapMs: formatSpread(
        runs.map(run => run.p95GapMs),
        1,
      ),
      roleChanges: formatSpread(
        runs.map(run => run.changes),
        1,
      ),
      oscillations: formatSpread(
        runs.map(run => run.oscillations),
        1,
      ),
    };
    return {name, strategy: strategy.name, goodputs, row};
  });
}

function measureDay(engines: number, seeds: readonly number[]): Part[] {
  return [...BASELINES, createPolicyStrategy(DEFAULT_ROLE_SETTINGS)].map(strategy => {
    const runs = seeds.map(seed => runDay(strategy, engines, seed));
    const goodputs = runs.map(run => run.goodput);
    const name = `day, ${engines} engines`;
    const row = {
      part: name,
      strategy: strategy.name,
      goodput: formatSpread(goodputs, 3),
      worstHour: formatSpread(
        runs.map(run => run.worstHour),
        3,
      ),
      roleChanges: formatSpread(
        runs.map(run => run.changes),
        1,
      ),
      oscillations: formatSpread(
        runs.map(run => run.oscillations),
        1,
      ),
    };
    return {name, strategy: strategy.name, goodputs, row};
  });
}

function conclude(parts: readonly Part[]): string {
  const sentences = [...new Set(parts.map(part => part.name))].map(name => {
    const ofPart = parts.filter(part => part.name === name);
    const policy = ofPart.find(part => part.strategy === 'policy')!;
    const goodput = findMean(policy.goodputs);
    const best = ofPart
      .filter(part => part !== policy)
      .reduce((a, b) => (findMean(b.goodputs) > findMean(a.goodputs) ? b : a));
    const target = goodput >= GOODPUT_TARGET ? 'meets' : 'misses';
    const beats = goodput >= findMean(best.goodputs) ? 'above' : 'below';
    return (
      `${name}: goodput ${goodput.toFixed(3)} ${target} ${GOODPUT_TARGET} and is ${beats} ` +
      `the best baseline (${best.strategy}, ${findMean(best.goodputs).toFixed(3)})`
    );
  });
  return sentences.join('; ') + '.';
}

/** Goodput of the role policy and three baselines while the prefill share of the work changes. */
export const SHIFT_BENCH: Bench = {
  description: 'goodput and role changes while the prefill share of the work changes by half',
  run: ({seeds}) => {
    const parts = [
      ...measureMinutes('step', seeds),
      ...measureMinutes('swing', seeds),
      ...DAY_ENGINE_COUNTS.flatMap(engines => measureDay(engines, seeds)),
    ];
    return {
      settings: {
        firstTokenTargetMs: FIRST_TOKEN_TARGET_MS,
        tokenGapTargetMs: TOKEN_GAP_TARGET_MS,
        minutes: MINUTES_SETTINGS,
        day: DAY_SETTINGS,
        policy: DEFAULT_ROLE_SETTINGS,
      },
      rows: parts.map(part => part.row),
      conclusion: conclude(parts),
    };
  },
};
