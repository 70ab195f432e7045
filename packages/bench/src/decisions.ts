import {AttemptId, createSeededRandom, RequestId, TargetId, TeamId, toId} from '@radishgw/core';
import {
  createPool,
  createQueue,
  createRetryBudget,
  decideRetry,
  enqueue,
  recordDispatch,
  recordEnd,
  recordFirstAttempt,
  recordReport,
  routeRequest,
  scheduleNext,
  setTarget,
  settleItem,
} from '@radishgw/scheduling';
import {Bench, BenchRow} from './bench.js';
import {findMean, findQuantile, formatSpread} from './stats.js';

/** Teams that wait at a time and targets of the pool: today, one host in two years, all of it. */
const SIZES = [
  {name: 'today', teams: 5, targets: 13},
  {name: 'one host in two years', teams: 160, targets: 460},
  {name: 'whole system in two years', teams: 39_000, targets: 12_000},
] as const;

const WARM_UP = 200;
const BLOCKS = Array.from({length: 4}, (_, i) => `prompt/${i}`);

interface Timing {
  readonly meanUs: number;
  readonly p99Us: number;
}

/** Calls `action` repeatedly for a bounded time and gives its wall-clock time. */
function measureCalls(action: (index: number) => void): Timing {
  for (let i = 0; i < WARM_UP; i++) action(i);
  const samples: number[] = [];
  const endMs = performance.now() + 250;
  for (let i = WARM_UP; performance.now() < endMs && samples.length < 20_000; i++) {
    const startMs = performance.now();
    action(i);
    samples.push((performance.now() - startMs) * 1000);
  }
  return {meanUs: findMean(samples), p99Us: findQuantile(samples, 0.99)};
}

function makeSystem(seed: number, teams: number, targets: number, isSaturated: boolean) {
  const pool = createPool();
  for (let i = 0; i < targets; i++) setTarget(pool, toId<TargetId>(`target-${i}`), 32);
  for (const {id} of pool.order) {
    const outstanding = isSaturated ? 32 : 10;
    recordReport(pool, id, {sampledAtMs: 0, outstanding, pendingPrefillTokens: 2000});
  }
  const queue = createQueue({maxItems: teams + 10});
  for (let i = 0; i < teams; i++) enqueue(queue, makeItem(`team-${i}`, `waiting-${i}`), 0);
  return {pool, queue, random: createSeededRandom(seed)};
}

function makeItem(team: string, id: string) {
  return {
    id: toId<RequestId>(id),
    team: toId<TeamId>(team),
    workClass: 'standard' as const,
    promptTokens: 6000,
    maxOutputTokens: 400,
    deadlineMs: Infinity,
  };
}

/** One request from its arrival to its end, all teams having one waiting item throughout. */
function measureRequest(seed: number, teams: number, targets: number): Timing {
  const {pool, queue, random} = makeSystem(seed, teams, targets, false);
  const facts = {blocks: BLOCKS, isIdempotent: true};
  return measureCalls(index => {
    const next = scheduleNext(queue, pool, () => facts, 1, random)!;
    const {item, isLong, target} = next;
    const id = toId<AttemptId>(item.id);
    recordDispatch(pool, target, {...item, id, isLong, blocks: BLOCKS}, 1);
    recordEnd(pool, target, id, 'finished', 1);
    settleItem(queue, item.id, {promptTokens: 6000, outputTokens: 300});
    enqueue(queue, makeItem(item.team, `request-${index}`), 1);
  });
}

function measureRoute(seed: number, targets: number): Timing {
  const {pool, random} = makeSystem(seed, 0, targets, false);
  const request = {...makeItem('team', 'id'), isLong: false, blocks: BLOCKS};
  return measureCalls(() => routeRequest(pool, request, 1, random));
}

/** The worst case for the router: it must look at each target to find that none has room. */
function measureFull(seed: number, teams: number, targets: number): Timing {
  const {pool, queue, random} = makeSystem(seed, teams, targets, true);
  const facts = {blocks: BLOCKS, isIdempotent: true};
  return measureCalls(() => scheduleNext(queue, pool, () => facts, 1, random));
}

function measureRetry(seed: number): Timing {
  const random = createSeededRandom(seed);
  const budget = createRetryBudget();
  const request = {isIdempotent: true, attempts: 1, deadlineMs: 1e9, hasPartialResponse: false};
  return measureCalls(() => {
    recordFirstAttempt(budget);
    decideRetry(budget, request, 0, random);
  });
}

/** Wall-clock time of the decisions; differs between machines. */
export const DECISIONS: Bench = {
  description: 'microseconds per decision at three sizes',
  run: ({seeds}) => {
    const rows: BenchRow[] = [];
    const notes: string[] = [];
    for (const {name, teams, targets} of SIZES) {
      const cases: Readonly<Record<string, (seed: number) => Timing>> = {
        'request: enqueue, take, route, settle': seed => measureRequest(seed, teams, targets),
        route: seed => measureRoute(seed, targets),
        'no target has room': seed => measureFull(seed, teams, targets),
        retry: measureRetry,
      };
      for (const [decision, measure] of Object.entries(cases)) {
        const timings = seeds.map(measure);
        rows.push({
          size: `${name}: ${teams} waiting teams, ${targets} targets`,
          decision,
          'mean, us': formatSpread(
            timings.map(({meanUs}) => meanUs),
            1,
          ),
          'p99, us': formatSpread(
            timings.map(({p99Us}) => p99Us),
            1,
          ),
        });
        if (decision.startsWith('request')) {
          notes.push(`${name} ${findMean(timings.map(({meanUs}) => meanUs)).toFixed(1)} us`);
        }
      }
    }
    return {
      settings: {sizes: SIZES},
      rows,
      conclusion: `Mean time of all decisions for one request: ${notes.join(', ')}.`,
    };
  },
};
