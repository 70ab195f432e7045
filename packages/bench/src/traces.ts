import {createSeededRandom, RandomSource, VirtualClock} from '@radishgw/core';
import {BLOCK_TOKENS} from './fake-engine.js';

export type WorkClass = 'urgent' | 'standard' | 'batch';

/** One request of a trace. */
export interface Arrival {
  readonly id: string;
  readonly atMs: number;
  readonly team: string;
  readonly workClass: WorkClass;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Ids of the prompt's full blocks; prompts of one family share the leading ones. */
  readonly blocks: readonly string[];
}

/** Size distribution of one class of work. Sizes are log-normal around the median. */
export interface ClassShape {
  readonly promptMedianTokens: number;
  readonly outputMedianTokens: number;
  /** Standard deviation of the logarithm of both sizes. */
  readonly sigma: number;
  /** Largest prompt. */
  readonly promptMaxTokens: number;
}

/** One team of a deployment. */
export interface TeamShape {
  readonly team: string;
  /** Share of the deployment's requests. */
  readonly share: number;
  /** Shares of the team's requests by class. */
  readonly classes: Readonly<Record<WorkClass, number>>;
  /** Number of prompt families with a shared prefix, such as one for each system prompt. */
  readonly prefixFamilies: number;
}

/** Shape of a deployment's load. */
export interface DeploymentShape {
  readonly targets: number;
  readonly teams: readonly TeamShape[];
  readonly classes: Readonly<Record<WorkClass, ClassShape>>;
  /** Number of leading blocks that the prompts of a family share. */
  readonly sharedBlocks: number;
  /** Largest factor between the prompt-to-output ratio and its mean, in either direction. */
  readonly ratioSwing: number;
  /** Mean time between changes of the ratio. */
  readonly swingPeriodMs: number;
}

const CLASSES: Readonly<Record<WorkClass, ClassShape>> = {
  urgent: {promptMedianTokens: 900, outputMedianTokens: 120, sigma: 0.5, promptMaxTokens: 4000},
  standard: {
    promptMedianTokens: 5000,
    outputMedianTokens: 300,
    sigma: 0.6,
    promptMaxTokens: 32_000,
  },
  batch: {promptMedianTokens: 24_000, outputMedianTokens: 500, sigma: 0.5, promptMaxTokens: 64_000},
};

/** Deployments of section 2.5 of the design: 13 model servers; five teams, a few of them large. */
export const DEPLOYMENTS = {
  huon: {
    targets: 13,
    teams: [
      createTeam('shop-floor', 0.4, 0.4, 0.58, 0.02, 12),
      createTeam('buying', 0.3, 0.1, 0.85, 0.05, 10),
      createTeam('web-shop', 0.18, 0.3, 0.7, 0, 8),
      createTeam('catalogue', 0.08, 0, 0.7, 0.3, 4),
      createTeam('accounts', 0.04, 0.1, 0.8, 0.1, 2),
    ],
    classes: CLASSES,
    sharedBlocks: 2,
    ratioSwing: 3,
    swingPeriodMs: 90_000,
  },
  cuentatras: {
    targets: 13,
    teams: [
      createTeam('box-office', 0.42, 0.5, 0.49, 0.01, 16),
      createTeam('organisers', 0.28, 0.2, 0.77, 0.03, 12),
      createTeam('widgets', 0.2, 0.6, 0.4, 0, 6),
      createTeam('settlement', 0.06, 0, 0.6, 0.4, 3),
      createTeam('support', 0.04, 0.3, 0.7, 0, 3),
    ],
    classes: CLASSES,
    sharedBlocks: 1,
    ratioSwing: 4,
    swingPeriodMs: 60_000,
  },
} as const satisfies Record<string, DeploymentShape>;

function createTeam(
  name: string,
  share: number,
  urgent: number,
  standard: number,
  batch: number,
  prefixFamilies: number,
): TeamShape {
  return {team: name, share, classes: {urgent, standard, batch}, prefixFamilies};
}

/** Options of {@link generateTrace}. */
export interface TraceOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly requestsPerSecond: number;
  /** Rate changes by team; teams without an entry keep their share. */
  readonly rates?: Readonly<Record<string, RateChange>>;
}

/** A factor on one team's rate. */
export interface RateChange {
  /** Upper bound of `factorAt`. */
  readonly maxFactor: number;
  /** Factor at a time of the trace, at least 0. */
  factorAt(atMs: number): number;
}

const CONSTANT_RATE: RateChange = {maxFactor: 1, factorAt: () => 1};

/**
 * Generates seeded arrivals in order of time. Each team is a Poisson process with its own random
 * source, so a change of one team's rate doesn't change the requests of the other teams.
 */
export function generateTrace(shape: DeploymentShape, options: TraceOptions): Arrival[] {
  const ratioAt = createRatioSwing(shape, options);
  const arrivals = shape.teams.flatMap((teamShape, index) =>
    generateTeam(
      shape,
      teamShape,
      options,
      ratioAt,
      createSeededRandom(options.seed * 1000 + index),
    ),
  );
  return arrivals.sort((a, b) => a.atMs - b.atMs || (a.id < b.id ? -1 : 1));
}

function generateTeam(
  shape: DeploymentShape,
  teamShape: TeamShape,
  options: TraceOptions,
  ratioAt: (atMs: number) => number,
  random: RandomSource,
): Arrival[] {
  const {durationMs, requestsPerSecond} = options;
  const {maxFactor, factorAt} = options.rates?.[teamShape.team] ?? CONSTANT_RATE;
  const meanGapMs = 1000 / (requestsPerSecond * teamShape.share * maxFactor);
  const arrivals: Arrival[] = [];
  let atMs = sampleExponential(random, meanGapMs);
  for (; atMs < durationMs; atMs += sampleExponential(random, meanGapMs)) {
    // Thinning: arrivals are generated at the highest rate, and the surplus is dropped.
    const kept = random.next() * maxFactor < factorAt(atMs);
    const arrival = sampleArrival(shape, teamShape, atMs, arrivals.length, ratioAt(atMs), random);
    if (kept) arrivals.push(arrival);
  }
  return arrivals;
}

function sampleArrival(
  shape: DeploymentShape,
  {team, classes, prefixFamilies}: TeamShape,
  atMs: number,
  index: number,
  ratio: number,
  random: RandomSource,
): Arrival {
  const workClass = sampleClass(classes, random);
  const size = shape.classes[workClass];
  const promptScale = size.promptMedianTokens * Math.sqrt(ratio);
  const outputScale = size.outputMedianTokens / Math.sqrt(ratio);
  const promptTokens = Math.round(
    Math.min(size.promptMaxTokens, Math.max(16, sampleLogNormal(random, promptScale, size.sigma))),
  );
  const outputTokens = Math.round(Math.max(4, sampleLogNormal(random, outputScale, size.sigma)));
  const id = `${team}-${index}`;
  // Squaring a uniform number makes a few families much more frequent than the others.
  const family = Math.floor(random.next() ** 2 * prefixFamilies);
  const blocks = Array.from({length: Math.floor(promptTokens / BLOCK_TOKENS)}, (_, block) =>
    block < shape.sharedBlocks ? `${team}/${family}/${block}` : `${id}/${block}`,
  );
  return {id, atMs, team, workClass, promptTokens, outputTokens, blocks};
}

/** Piecewise constant factor on the prompt-to-output ratio, log-uniform within the swing. */
function createRatioSwing(shape: DeploymentShape, options: TraceOptions): (atMs: number) => number {
  const random = createSeededRandom(options.seed * 1000 + 999);
  const segments: {endMs: number; ratio: number}[] = [];
  for (let endMs = 0; endMs < options.durationMs;) {
    endMs += shape.swingPeriodMs * (0.5 + random.next());
    segments.push({endMs, ratio: shape.ratioSwing ** (2 * random.next() - 1)});
  }
  return atMs => segments.find(segment => atMs < segment.endMs)?.ratio ?? 1;
}

function sampleClass(shares: Readonly<Record<WorkClass, number>>, random: RandomSource): WorkClass {
  const point = random.next();
  if (point < shares.urgent) return 'urgent';
  return point < shares.urgent + shares.batch ? 'batch' : 'standard';
}

function sampleExponential(random: RandomSource, mean: number): number {
  return -mean * Math.log(1 - random.next());
}

function sampleLogNormal(random: RandomSource, median: number, sigma: number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return median * Math.exp(sigma * radius * Math.cos(2 * Math.PI * random.next()));
}

/** Calls `onArrival` at the time of each arrival; keeps one pending timer at a time. */
export function replayTrace(
  clock: VirtualClock,
  arrivals: readonly Arrival[],
  onArrival: (arrival: Arrival) => void,
): void {
  let next = 0;
  const schedule = () => {
    if (next >= arrivals.length) return;
    const arrival = arrivals[next++];
    clock.setTimer(arrival.atMs - clock.nowMs(), () => {
      onArrival(arrival);
      schedule();
    });
  };
  schedule();
}
