import {TargetId} from '@radishgw/core';
import {EngineStage} from '../model.js';
import {
  countTokens,
  EngineEstimates,
  EnginePlacement,
  PlacementContext,
  PlacementTimes,
  PromptWork,
  sharedPrefix,
  StagedPlacement,
  stageOf,
  stallPenaltyMs,
} from './engine-placement.js';
import {TargetSpeed} from './speed-model.js';
import {
  PrefillExpectation,
  recordError,
  recordWorkLength,
  residualWork,
  ServiceWork,
  WorkModel,
} from './work-model.js';
import {rankByKey} from '../rendezvous.js';
import {
  currentSlowdown,
  estimateCachedTokens,
  estimateRequests,
  isAvailable,
  loadWeight,
  TargetState,
} from '../targets/target-state.js';

/** Duration of a prefill or of a first step that doesn't depend on the prompt. */
const FIXED_MS = 8;

/**
 * Share of a prefix that is assumed to be cached at the first engines in its order. The first one
 * counts as certain: hosts that doubt it spread a prefix over several engines, each of which
 * prefills it again.
 */
const ASSUMED_CACHED_SHARES = [1, 0.5, 0];

/**
 * Number of engines that are considered besides those preferred for the prefix, chosen at random.
 * All hosts know the same of the engines, so that they would otherwise choose the same one.
 */
const OTHER_CANDIDATES = 4;

/** Speeds are rounded to steps of this logarithm, so that all hosts have the same order. */
const ORDER_SPEED_STEP = 0.5;

/** Highest utilization that is assumed of an engine; above it the queue has no steady length. */
const MAX_UTILIZATION = 0.9;

/** Share of other hosts' requests at an engine that is assumed to await prefill. */
const OTHERS_PENDING_SHARE = 0.5;

/**
 * Random part of the cost of an engine that isn't preferred for the prefix, so that hosts which
 * know the same don't all choose the same engine.
 */
const MAX_RANDOM_MS = 12;

/**
 * Share of its slots added to the load of a decode engine in a different failure domain. A domain
 * may have a single decode engine, which would otherwise take all prompts that its domain prefills.
 */
const REMOTE_DOMAIN_SHARE = 0.03;

/** Shorter expected times are too imprecise to learn a speed from. */
const MIN_LEARNED_MS = 25;

/** Expected time from which an observation has its full weight. */
const FULL_WEIGHT_MS = 100;

/** Weight of an observation made while the engine reported a slowdown, which may have changed. */
const SLOWED_WEIGHT = 0.3;

/** Weight of an observation made at an engine that had requests of other hosts. */
const BUSY_WEIGHT = 0.25;

/**
 * Ratio of the times with and without a cached prefix from which the actual time tells which of
 * them was the case.
 */
const MIN_CACHE_RATIO = 1.5;

/** Context of a placement by expected work. */
export interface WorkPlacementContext extends PlacementContext {
  readonly work: WorkModel;
  readonly service: ServiceWork;
}

interface Candidate extends PlacementTimes {
  readonly target: TargetState;
  readonly costMs: number;
  readonly newTokens: number;
  readonly expectation: PrefillExpectation;
}

/**
 * Chooses the engines for a prompt by the expected time until its first token. In contrast to
 * `placePrompt`, the speeds of the engines and the load that other hosts put on them are learned.
 */
export function placePromptByWork(
  all: Iterable<TargetState>,
  work: PromptWork,
  tried: ReadonlySet<TargetId>,
  context: WorkPlacementContext,
): EnginePlacement {
  const {estimates} = context;
  const byStage: Record<EngineStage, TargetState[]> = {prefill: [], decode: []};
  for (const target of all) {
    if (tried.has(target.entry.id) || !isAvailable(target, context.nowMs)) continue;
    byStage[stageOf(target)].push(target);
  }
  const direct = choosePrefill(byStage.decode, work, 'decode', context);
  if (!direct) return {type: 'none'};
  const staged = context.allowsStaging
    ? choosePrefill(byStage.prefill, work, 'prefill', context)
    : undefined;
  const decode = staged && chooseDecodeByWork(byStage.decode, staged.target, context);
  const transferMs = estimates.handoverMs + work.promptTokens / estimates.transferTokensPerMs;
  const stallMs = stallPenaltyMs(direct.newTokens, work.promptTokens, estimates);
  if (staged && decode && staged.costMs + transferMs < direct.costMs + stallMs) {
    const waitMs = staged.waitMs + transferMs;
    return {...staged, type: 'staged', prefill: staged.target, decode, waitMs};
  }
  return {...direct, type: 'direct', decode: direct.target};
}

function choosePrefill(
  targets: readonly TargetState[],
  work: PromptWork,
  stage: EngineStage,
  context: WorkPlacementContext,
): Candidate | undefined {
  const {estimates, nowMs, random} = context;
  const prefix = sharedPrefix(work.parts);
  const prefixTokens = countTokens(prefix);
  const tokensPerMs = usualTokensPerMs(stage, estimates);
  const speeds = speedsOf(targets, context);
  const preferred = prefixTokens > 0 ? orderForPrefix(targets, speeds, prefix) : [];
  const sampleStep = Math.max(1, Math.floor(targets.length / OTHER_CANDIDATES));
  const sampleStart = random.nextInt(sampleStep);
  let best: Candidate | undefined;
  targets.forEach((target, index) => {
    const speed = speeds[index];
    const rank = preferred.indexOf(target.entry.id);
    const sentTokens = estimateCachedTokens(target, prefix, nowMs);
    const isSampled = index % sampleStep === sampleStart;
    if (rank < 0 && sentTokens === 0 && !isSampled) return;
    const likelyTokens = likelyCachedTokens(target, rank, prefixTokens, context);
    const newTokens = work.promptTokens - Math.max(sentTokens, likelyTokens);
    const {knownMs, usualMs, prefillMs} = prefillTimes(target, speed, newTokens, stage, context);
    const waitMs = knownMs + usualMs + prefillMs;
    const copiedTokens = rank === 0 ? 0 : prefixTokens - Math.max(sentTokens, likelyTokens);
    const copyMs = Math.max(0, copiedTokens) * estimates.msPerCopiedToken;
    const randomMs = rank < 0 ? random.next() * MAX_RANDOM_MS : 0;
    const costMs = waitMs + copyMs + randomMs;
    if (best && costMs >= best.costMs) return;
    best = {
      target,
      waitMs,
      costMs,
      newTokens,
      queueMs: knownMs,
      uncalibratedMs: waitMs,
      expectation: {
        target,
        stage,
        totalMs: waitMs,
        promptTokens: work.promptTokens,
        prefixTokens,
        newTokens,
        tokensPerMs,
        timeFactor: speed.timeFactor,
        hadOwn: target.ownPromptTokens > 0,
        hadOthers: target.othersRequests * loadWeight(target, nowMs) >= 0.5,
      },
    };
  });
  return best;
}

/**
 * Tokens of a prefix that other hosts have probably sent to the engine; `rank` is its place in the
 * order of the prefix, or -1.
 */
export function likelyCachedTokens(
  {knownSinceMs}: TargetState,
  rank: number,
  prefixTokens: number,
  {estimates, nowMs}: Pick<WorkPlacementContext, 'estimates' | 'nowMs'>,
): number {
  const isWarm = nowMs - knownSinceMs > estimates.cacheWarmUpMs;
  return isWarm ? (ASSUMED_CACHED_SHARES[rank] ?? 0) * prefixTokens : 0;
}

function usualTokensPerMs(stage: EngineStage, estimates: EngineEstimates): number {
  return stage === 'prefill' ? estimates.prefillTokensPerMs : estimates.decodeTokensPerMs;
}

/** Expected times of a prefill. */
export interface PrefillTimes {
  /** Wait behind the prompts of this host and those that the engine has reported. */
  readonly knownMs: number;
  /** Usual wait behind the prompts of other hosts, as far as no report is fresh. */
  readonly usualMs: number;
  readonly prefillMs: number;
}

/** Estimates the times of a prompt with `newTokens` uncached tokens at an engine. */
export function prefillTimes(
  target: TargetState,
  speed: TargetSpeed,
  newTokens: number,
  stage: EngineStage,
  context: Pick<WorkPlacementContext, 'estimates' | 'nowMs' | 'hostCount' | 'service'>,
): PrefillTimes {
  const timeFactor = speed.timeFactor * currentSlowdown(target, context.nowMs);
  const msPerToken = timeFactor / usualTokensPerMs(stage, context.estimates);
  const {reportedMs, usualMs} = othersWait(target, speed, msPerToken, context);
  return {
    knownMs: target.ownPromptTokens * msPerToken + reportedMs,
    usualMs,
    prefillMs: FIXED_MS * timeFactor + newTokens * msPerToken,
  };
}

function speedsOf(
  targets: readonly TargetState[],
  {work, nowMs}: Pick<WorkPlacementContext, 'work' | 'nowMs'>,
): readonly TargetSpeed[] {
  return work.speeds.speedsOf(
    targets.map(target => work.keyOf(target)),
    nowMs,
  );
}

/**
 * The engines at which a prefix is preferably cached, the first one first. Fast engines come first
 * for more prefixes, as one that isn't cached yet takes long to prefill.
 */
export function orderForPrefix(
  targets: readonly TargetState[],
  speeds: readonly TargetSpeed[],
  prefix: PromptWork['parts'],
): readonly TargetId[] {
  const logs = speeds.map(({timeFactor}) => Math.log(timeFactor));
  const level = logs.reduce((sum, log) => sum + log, 0) / Math.max(1, logs.length);
  const weighted = targets.map((target, index) => {
    const steps = Math.round((logs[index] - level) / ORDER_SPEED_STEP);
    return {id: target.entry.id, weight: Math.exp(-steps * ORDER_SPEED_STEP)};
  });
  const key = prefix.map(part => part.id).join(',');
  return rankByKey(key, weighted).slice(0, ASSUMED_CACHED_SHARES.length);
}

/**
 * Expected wait behind the requests of other hosts: according to the target's own report while it
 * is fresh, and otherwise that of a queue at the target's usual utilization.
 */
function othersWait(
  target: TargetState,
  {utilization}: TargetSpeed,
  msPerToken: number,
  {hostCount, nowMs, service}: Pick<WorkPlacementContext, 'hostCount' | 'nowMs' | 'service'>,
): {readonly reportedMs: number; readonly usualMs: number} {
  const reportWeight = loadWeight(target, nowMs);
  const reportedTokens = target.othersRequests * OTHERS_PENDING_SHARE * service.meanWork;
  const othersShare = (hostCount - 1) / hostCount;
  const busyShare = Math.min(MAX_UTILIZATION, utilization * othersShare);
  const usualTokens = (residualWork(service) * busyShare) / (1 - busyShare);
  return {
    reportedMs: reportWeight * reportedTokens * msPerToken,
    usualMs: (1 - reportWeight) * usualTokens * msPerToken,
  };
}

/** The decode engine with the lowest expected load for its speed. */
export function chooseDecodeByWork(
  targets: readonly TargetState[],
  prefillEngine: TargetState,
  context: Pick<WorkPlacementContext, 'nowMs' | 'random' | 'work'>,
): TargetState | undefined {
  const {nowMs, random, work} = context;
  const keys = targets.map(target => streamKey(work, target));
  const speeds = work.speeds.speedsOf(keys, nowMs);
  let best: TargetState | undefined;
  let bestLoad = Infinity;
  targets.forEach((target, index) => {
    const {timeFactor, utilization} = speeds[index];
    const isSameDomain = target.entry.failureDomain === prefillEngine.entry.failureDomain;
    const requests = Math.max(estimateRequests(target, nowMs), utilization) + random.next();
    const load =
      (requests * timeFactor * currentSlowdown(target, nowMs)) / Math.max(1, target.entry.slots) +
      (isSameDomain ? 0 : REMOTE_DOMAIN_SHARE);
    if (load >= bestLoad) return;
    best = target;
    bestLoad = load;
  });
  return best;
}

/** Like `confirmDecode`, with the choice by expected work. */
export function confirmDecodeByWork(
  all: Iterable<TargetState>,
  placement: StagedPlacement,
  tried: ReadonlySet<TargetId>,
  context: Pick<WorkPlacementContext, 'nowMs' | 'random' | 'work'>,
): TargetState | undefined {
  const isUsable = (target: TargetState) =>
    !tried.has(target.entry.id) &&
    isAvailable(target, context.nowMs) &&
    stageOf(target) === 'decode';
  if (isUsable(placement.decode)) return placement.decode;
  return chooseDecodeByWork([...all].filter(isUsable), placement.prefill, context);
}

/** Time between two events of a stream from which its engine's speed is measured. */
const STEP_MS = 20;

/** Number of gaps between events from which a stream tells its engine's speed. */
const MIN_GAPS = 4;
const FULL_WEIGHT_GAPS = 32;

/** Longest time for which a stream counts as work; the report covers few seconds. */
const MAX_STREAM_MS = 8000;

/** Decoding has a speed and a load of its own. */
function streamKey(work: WorkModel, target: TargetState): string {
  return `${work.keyOf(target)} streams`;
}

/** Records that an engine has run a stream for `durationMs`. */
export function recordStreamWork(
  work: WorkModel,
  target: TargetState,
  durationMs: number,
  nowMs: number,
): void {
  const countedMs = Math.min(MAX_STREAM_MS, durationMs);
  work.speeds.recordWork(streamKey(work, target), countedMs, nowMs);
}

/** Learns from the time between the first and the last event of a stream. */
export function recordStream(
  work: WorkModel,
  target: TargetState,
  durationMs: number,
  gaps: number,
  nowMs: number,
): void {
  if (gaps < MIN_GAPS || durationMs <= 0) return;
  const logRatio = Math.log(durationMs / (gaps * STEP_MS));
  const weight = Math.min(1, gaps / FULL_WEIGHT_GAPS);
  work.speeds.recordRatio(streamKey(work, target), logRatio, weight, nowMs);
}

/** Records that a prompt is sent to the engine that prefills it. */
export function recordPrefillSent(
  work: WorkModel,
  {target, newTokens, tokensPerMs, timeFactor}: PrefillExpectation,
  nowMs: number,
): void {
  recordWorkLength(work.ofService(target.entry.service), newTokens);
  const workMs = (FIXED_MS + newTokens / tokensPerMs) * timeFactor;
  work.speeds.recordWork(work.keyOf(target), workMs, nowMs);
}

/**
 * Learns from the time that an engine has taken for a prefill. Whether the prefix was cached is
 * judged by which of the two explains the time better. Nothing is learned of the speed if the host
 * had other prompts at the engine, as the time would include their queue.
 */
export function recordPrefilled(
  work: WorkModel,
  expectation: PrefillExpectation,
  actualMs: number,
  nowMs: number,
): void {
  const {target, promptTokens, prefixTokens, tokensPerMs, timeFactor} = expectation;
  const service = work.ofService(target.entry.service);
  recordError(service, expectation.totalMs, actualMs);
  if (expectation.hadOwn) return;
  const slowdown = currentSlowdown(target, nowMs);
  // The slowdown may have begun or ended during the prefill.
  const observedMs = Math.max(1, actualMs) / Math.sqrt(Math.max(0.1, slowdown));
  const coldMs = FIXED_MS + promptTokens / tokensPerMs;
  const cachedMs = FIXED_MS + (promptTokens - prefixTokens) / tokensPerMs;
  let expectedMs = FIXED_MS + expectation.newTokens / tokensPerMs;
  if (coldMs / cachedMs >= MIN_CACHE_RATIO) {
    const isCached = observedMs < timeFactor * Math.sqrt(coldMs * cachedMs);
    expectedMs = isCached ? cachedMs : coldMs;
  }
  if (expectedMs < MIN_LEARNED_MS) return;
  const weight =
    Math.min(1, expectedMs / FULL_WEIGHT_MS) *
    (Math.abs(Math.log(slowdown)) > 0.1 ? SLOWED_WEIGHT : 1) *
    (expectation.hadOthers ? BUSY_WEIGHT : 1);
  const logRatio = Math.log(observedMs / expectedMs);
  work.speeds.recordRatio(work.keyOf(target), logRatio, weight, nowMs);
}
