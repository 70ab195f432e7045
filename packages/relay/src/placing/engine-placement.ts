import {RandomSource, TargetId} from '@radishgw/core';
import {EngineStage, PromptPart} from '../model.js';
import {updatePendingAverage, PendingAverage} from './pending-average.js';
import {rankByKey} from '../rendezvous.js';
import {
  isAvailable,
  estimateCachedTokens,
  estimateRequests,
  loadWeight,
  TargetState,
} from '../targets/target-state.js';
import {WaitCalibration, waitFactor} from './wait-calibration.js';
import {PrefillExpectation} from './work-model.js';

/** Cost estimates used to compare engines. Only their ratios affect the choice. */
export interface EngineEstimates {
  /** Prefill throughput of a prefill engine. */
  readonly prefillTokensPerMs: number;
  /** Prefill throughput of a decode engine, which interleaves prefill with decoding. */
  readonly decodeTokensPerMs: number;
  /** Throughput of the cache transfer between engines, in prompt tokens. */
  readonly transferTokensPerMs: number;
  /** Fixed cost of a staged request: the additional call and the setup of the transfer. */
  readonly handoverMs: number;
  /** Assumed prompt length of a request from another host. */
  readonly othersPromptTokens: number;
  /** Delay that requests in progress cause at an engine whose slots they all take. */
  readonly fullEngineMs: number;
  /**
   * Cost of caching one token of a shared prefix at an engine other than its affinity engine, where
   * the copy evicts other cached parts.
   */
  readonly msPerCopiedToken: number;
  /** Penalty per prompt for prefilling at a decode engine, which stalls its other streams. */
  readonly decodeStallMs: number;
  /** Additional penalty per token: a long prompt stalls all other streams for a second. */
  readonly decodeStallMsPerToken: number;
  /**
   * Tokens that a decode engine prefills between two steps of its streams. A prompt without more of
   * them delays the streams by one step.
   */
  readonly decodeChunkTokens: number;
  /** Share of its slots added to the load of a decode engine in a different failure domain. */
  readonly remoteDomainShare: number;
  /** Time after an engine appeared during which its cache is assumed to hold no shared prefixes. */
  readonly cacheWarmUpMs: number;
}

/** Engines have a published throughput of 61 tokens per ms, and half of that while decoding. */
export const DEFAULT_ENGINE_ESTIMATES: EngineEstimates = {
  prefillTokensPerMs: 60,
  decodeTokensPerMs: 30,
  transferTokensPerMs: 1200,
  handoverMs: 8,
  othersPromptTokens: 3000,
  fullEngineMs: 32,
  msPerCopiedToken: 0.006,
  decodeStallMs: 300,
  decodeStallMsPerToken: 0.15,
  decodeChunkTokens: 512,
  remoteDomainShare: 0.25,
  cacheWarmUpMs: 6000,
};

/** Share of the prompt tokens of other hosts' requests that is assumed to await prefill. */
const OTHERS_PENDING_SHARE = 0.5;

/** Aggregate load of the engines of one stage. */
interface StageLoad {
  /** Estimated prompt tokens of other hosts that await prefill at each engine. */
  readonly othersTokens: number;
}

/** A prompt to be placed. */
export interface PromptWork {
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  /** 0 is the most urgent. */
  readonly urgency: number;
}

/** Inputs of a placement other than the prompt and the engines. */
export interface PlacementContext {
  /** Number of hosts that take requests, including this one. */
  readonly hostCount: number;
  readonly nowMs: number;
  /** Whether the prompt may be prefilled at a prefill engine. */
  readonly allowsStaging: boolean;
  readonly calibration: WaitCalibration;
  /** Updated by each placement. */
  readonly pending: PendingAverage;
  readonly estimates: EngineEstimates;
  readonly random: RandomSource;
}

/** Engines at which a prompt is prefilled and decoded. */
export type EnginePlacement =
  | ({readonly type: 'direct'; readonly decode: TargetState} & PlacementTimes)
  | StagedPlacement
  | {readonly type: 'none'};

/** A prompt that is prefilled at one engine and decoded at another. */
export interface StagedPlacement extends PlacementTimes {
  readonly type: 'staged';
  readonly prefill: TargetState;
  readonly decode: TargetState;
}

/** Estimated times of a placement. */
export interface PlacementTimes {
  /** Time until the prompt is prefilled and its cache has reached the decode engine. */
  readonly waitMs: number;
  /** Part of `waitMs` that is caused by other requests. */
  readonly queueMs: number;
  /** Estimated prefill time before calibration; compared with the measured time. */
  readonly uncalibratedMs: number;
  /** Tokens of the prompt that aren't cached at the engine that prefills it. */
  readonly newTokens: number;
  /** What is expected of the prefill; only for placements by expected work. */
  readonly expectation?: PrefillExpectation;
}

/** The parts that other requests may share: all but the last, which is specific to the request. */
export function sharedPrefix(parts: readonly PromptPart[]): readonly PromptPart[] {
  return parts.slice(0, -1);
}

/** The stage that an engine serves; one that names none prefills and decodes. */
export function stageOf(target: TargetState): EngineStage {
  return target.entry.stage ?? 'decode';
}

/**
 * Estimates the load that other hosts put on a stage from this host's own pending tokens, assuming
 * that traffic is spread evenly over the hosts. Loads reported by targets arrive with answers, so
 * that they are outdated exactly when answers are slow.
 */
function estimateStageLoad(
  targets: readonly TargetState[],
  stage: EngineStage,
  {hostCount, pending, nowMs}: PlacementContext,
): StageLoad {
  const pendingTokens = targets.reduce((sum, target) => sum + target.ownPromptTokens, 0);
  const ownTokens = updatePendingAverage(pending, stage, pendingTokens, nowMs);
  return {othersTokens: ((hostCount - 1) * ownTokens) / Math.max(1, targets.length)};
}

/** Estimated prefill time at an engine. */
interface PrefillTimes {
  readonly totalMs: number;
  readonly queueMs: number;
}

/**
 * Estimates the time until an engine has prefilled a prompt of which `cachedTokens` are cached
 * there, before calibration.
 */
function estimatePrefill(
  target: TargetState,
  work: PromptWork,
  cachedTokens: number,
  context: PlacementContext,
  load: StageLoad,
): PrefillTimes {
  const {estimates, nowMs} = context;
  const reported = target.othersRequests * loadWeight(target, nowMs) * OTHERS_PENDING_SHARE;
  const othersTokens = Math.max(reported * estimates.othersPromptTokens, load.othersTokens);
  const tokensPerMs =
    stageOf(target) === 'prefill' ? estimates.prefillTokensPerMs : estimates.decodeTokensPerMs;
  const queueMs =
    (target.ownPromptTokens + othersTokens) / tokensPerMs +
    estimateUtilization(target, context) * estimates.fullEngineMs;
  return {queueMs, totalMs: queueMs + (work.promptTokens - cachedTokens) / tokensPerMs};
}

/**
 * Estimated share of an engine's slots that are taken, plus up to one request. In a large fleet a
 * host knows of no load at most engines; the random part keeps the hosts from all choosing the same.
 */
function estimateUtilization(
  target: TargetState,
  {nowMs, random}: Pick<PlacementContext, 'nowMs' | 'random'>,
): number {
  return (estimateRequests(target, nowMs) + random.next()) / target.entry.slots;
}

interface PrefillCandidate extends PlacementTimes {
  readonly target: TargetState;
  /** Estimated wait plus the cost of evicting other cached parts. */
  readonly costMs: number;
}

/**
 * Chooses the engine of one stage at which to prefill a prompt. All hosts agree on the affinity
 * engine of the shared prefix; another engine is chosen only if its wait is shorter by more than
 * the cost of a second cached copy of the prefix.
 */
function choosePrefillEngine(
  targets: readonly TargetState[],
  work: PromptWork,
  stage: EngineStage,
  context: PlacementContext,
): PrefillCandidate | undefined {
  const {estimates, nowMs} = context;
  const prefix = sharedPrefix(work.parts);
  const prefixTokens = countTokens(prefix);
  const affinityId = findAffinityEngine(targets, prefix);
  const load = estimateStageLoad(targets, stage, context);
  const factor = waitFactor(context.calibration, stage, work.urgency);
  let best: PrefillCandidate | undefined;
  for (const target of targets) {
    const hasAffinity = target.entry.id === affinityId;
    const sentTokens = estimateCachedTokens(target, prefix, nowMs);
    // Another host has probably sent the prefix to its affinity engine before.
    const isCacheWarm = hasAffinity && nowMs - target.knownSinceMs > estimates.cacheWarmUpMs;
    const cachedTokens = isCacheWarm ? prefixTokens : sentTokens;
    const prefill = estimatePrefill(target, work, cachedTokens, context, load);
    const waitMs = prefill.totalMs * factor;
    const duplicationMs = hasAffinity
      ? 0
      : (prefixTokens - sentTokens) * estimates.msPerCopiedToken;
    const costMs = waitMs + duplicationMs;
    if (best && costMs >= best.costMs) continue;
    const queueMs = prefill.queueMs * factor;
    const newTokens = work.promptTokens - cachedTokens;
    best = {target, waitMs, costMs, queueMs, newTokens, uncalibratedMs: prefill.totalMs};
  }
  return best;
}

/** The least loaded decode engine; prefers the failure domain of the engine that prefills. */
function chooseDecode(
  targets: readonly TargetState[],
  prefillEngine: TargetState,
  context: Pick<PlacementContext, 'nowMs' | 'estimates' | 'random'>,
): TargetState | undefined {
  let best: TargetState | undefined;
  let bestLoad = Infinity;
  for (const target of targets) {
    const isSameDomain = target.entry.failureDomain === prefillEngine.entry.failureDomain;
    const load =
      estimateUtilization(target, context) +
      (isSameDomain ? 0 : context.estimates.remoteDomainShare);
    if (load >= bestLoad) continue;
    best = target;
    bestLoad = load;
  }
  return best;
}

/**
 * Chooses the engines for a prompt. By default a prefill engine processes the prompt and transfers
 * its cache to a decode engine. Routes bound the gaps between the tokens of a stream, and
 * prefilling at a decode engine stalls all of its streams; it is done only if the prefill engines
 * have a long backlog.
 */
export function placePrompt(
  all: Iterable<TargetState>,
  work: PromptWork,
  tried: ReadonlySet<TargetId>,
  context: PlacementContext,
): EnginePlacement {
  const {estimates} = context;
  const byStage: Record<EngineStage, TargetState[]> = {prefill: [], decode: []};
  for (const target of all) {
    if (tried.has(target.entry.id) || !isAvailable(target, context.nowMs)) continue;
    byStage[stageOf(target)].push(target);
  }
  const direct = choosePrefillEngine(byStage.decode, work, 'decode', context);
  if (!direct) return {type: 'none'};
  const staged = context.allowsStaging
    ? choosePrefillEngine(byStage.prefill, work, 'prefill', context)
    : undefined;
  const decode = staged && chooseDecode(byStage.decode, staged.target, context);
  const transferMs = estimates.handoverMs + work.promptTokens / estimates.transferTokensPerMs;
  const stallMs = stallPenaltyMs(direct.newTokens, work.promptTokens, estimates);
  if (staged && decode && staged.costMs + transferMs < direct.costMs + stallMs) {
    const waitMs = staged.waitMs + transferMs;
    return {...staged, type: 'staged', prefill: staged.target, decode, waitMs};
  }
  return {...direct, type: 'direct', decode: direct.target};
}

/** Penalty for the streams of the decode engine that prefills a prompt itself. */
export function stallPenaltyMs(
  newTokens: number,
  promptTokens: number,
  estimates: EngineEstimates,
): number {
  if (newTokens <= estimates.decodeChunkTokens) return newTokens / estimates.decodeTokensPerMs;
  return estimates.decodeStallMs + promptTokens * estimates.decodeStallMsPerToken;
}

/**
 * Returns the decode engine of a staged placement if it may still be called, otherwise the best of
 * the others that haven't been tried; undefined if there is none. The placement may be outdated by
 * the time the prompt has been prefilled.
 */
export function confirmDecode(
  all: Iterable<TargetState>,
  placement: StagedPlacement,
  tried: ReadonlySet<TargetId>,
  context: Pick<PlacementContext, 'nowMs' | 'estimates' | 'random'>,
): TargetState | undefined {
  const {nowMs} = context;
  const isUsable = (target: TargetState) =>
    !tried.has(target.entry.id) && isAvailable(target, nowMs) && stageOf(target) === 'decode';
  if (isUsable(placement.decode)) return placement.decode;
  return chooseDecode([...all].filter(isUsable), placement.prefill, context);
}

export function countTokens(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, part) => sum + part.tokens, 0);
}

/**
 * The engine that is preferred for a shared prefix, by rendezvous hashing; undefined for an empty
 * prefix.
 */
function findAffinityEngine(
  targets: readonly TargetState[],
  prefix: readonly PromptPart[],
): TargetId | undefined {
  if (prefix.length === 0) return undefined;
  const key = prefix.map(part => part.id).join(',');
  return rankByKey(
    key,
    targets.map(target => ({id: target.entry.id, weight: 1})),
  )[0];
}
