import {TargetId} from '@radishgw/core';
import {EngineStage, PromptPart} from './model.js';
import {averagePending, PendingAverage} from './pending-average.js';
import {rankByKey} from './rendezvous.js';
import {
  canTakeWork,
  estimateCachedTokens,
  estimateRequests,
  loadWeight,
  TargetState,
} from './target-state.js';
import {WaitCalibration, waitFactor} from './wait-calibration.js';

/** Estimates used to compare engines. Only their ratios matter for the choice. */
export interface EngineEstimates {
  /** Prompt tokens that a prefill engine reads in a millisecond. */
  readonly prefillTokensPerMs: number;
  /** The same for a decode engine, which reads between the tokens of other requests. */
  readonly decodeTokensPerMs: number;
  /** Prompt tokens moved between engines in a millisecond. */
  readonly transferTokensPerMs: number;
  /** Cost of the additional call and of the transfer's setup. */
  readonly handoverMs: number;
  /** Prompt tokens assumed for a request of another host. */
  readonly othersPromptTokens: number;
  /** Delay that one more running request causes. */
  readonly msPerRequest: number;
  /**
   * Cost of a shared token at an engine that isn't its holder: the engine keeps a copy that takes
   * the place of other parts.
   */
  readonly msPerCopiedToken: number;
  /** What it is worth to keep reading away from decode engines, for each prompt ... */
  readonly pauseMs: number;
  /** ... and for each of its tokens: a long prompt stops the tokens of all others for a second. */
  readonly pauseMsPerToken: number;
  /** Requests by which a decode engine in another failure domain must be less loaded. */
  readonly farRequests: number;
  /** An engine that has been known for less holds no shared parts yet. */
  readonly warmUpMs: number;
}

/** From the engines' published speeds: 61 tokens in a millisecond, half of it beside decoding. */
export const DEFAULT_ENGINE_ESTIMATES: EngineEstimates = {
  prefillTokensPerMs: 60,
  decodeTokensPerMs: 30,
  transferTokensPerMs: 1200,
  handoverMs: 8,
  othersPromptTokens: 3000,
  msPerRequest: 0.5,
  msPerCopiedToken: 0.006,
  pauseMs: 300,
  pauseMsPerToken: 0.15,
  farRequests: 16,
  warmUpMs: 6000,
};

/** Requests of other hosts that wait or run have half of their prompts still to be read. */
const OTHERS_UNREAD_SHARE = 0.5;

/** What is known of the engines of one stage together. */
interface StageLoad {
  /** Prompt tokens of other hosts that an engine probably has still to read. */
  readonly othersTokens: number;
}

/** A prompt to be placed. */
export interface PromptWork {
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  /** 0 is admitted first. */
  readonly urgency: number;
}

/** What a placement depends on beside the prompt and the engines. */
export interface PlacementContext {
  /** Hosts that take requests, this one included. */
  readonly hosts: number;
  readonly nowMs: number;
  /** Whether a prefill engine may read the prompt. */
  readonly mayStage: boolean;
  readonly calibration: WaitCalibration;
  /** Updated by each placement. */
  readonly pending: PendingAverage;
  readonly estimates: EngineEstimates;
}

/** Where a prompt is read and where its output is made. */
export type EnginePlacement =
  | ({readonly type: 'direct'; readonly decode: TargetState} & PlacementTimes)
  | ({
      readonly type: 'staged';
      readonly prefill: TargetState;
      readonly decode: TargetState;
    } & PlacementTimes)
  | {readonly type: 'none'};

/** Estimates that a placement rests on. */
export interface PlacementTimes {
  /** Until the prompt is read and its memory is at the decode engine. */
  readonly waitMs: number;
  /** Part of it that other requests cause. */
  readonly queueMs: number;
  /** Time at the reading engine before calibration, to be compared with what is measured. */
  readonly rawReadMs: number;
}

/** Parts that other requests may share: all but the last, which belongs to the request. */
export function sharedParts(parts: readonly PromptPart[]): readonly PromptPart[] {
  return parts.slice(0, -1);
}

function stageOf(target: TargetState): EngineStage {
  return target.entry.stage ?? 'decode';
}

/**
 * Reported loads come with answers, so they are old just when answers are slow. Hosts have like
 * traffic: what this host has sent to a stage stands for what each of the others has.
 */
function estimateStageLoad(
  targets: readonly TargetState[],
  stage: EngineStage,
  {hosts, pending, nowMs}: PlacementContext,
): StageLoad {
  const nowTokens = targets.reduce((sum, target) => sum + target.ownPromptTokens, 0);
  const ownTokens = averagePending(pending, stage, nowTokens, nowMs);
  return {othersTokens: ((hosts - 1) * ownTokens) / Math.max(1, targets.length)};
}

/** Estimated time at a reading engine. */
interface ReadTimes {
  readonly totalMs: number;
  readonly queueMs: number;
}

/** Time until an engine has read a prompt of which it holds `cachedTokens`, before calibration. */
function estimateRead(
  target: TargetState,
  work: PromptWork,
  cachedTokens: number,
  context: PlacementContext,
  load: StageLoad,
): ReadTimes {
  const {estimates, nowMs} = context;
  const reported = target.othersRequests * loadWeight(target, nowMs) * OTHERS_UNREAD_SHARE;
  const othersTokens = Math.max(reported * estimates.othersPromptTokens, load.othersTokens);
  const tokensPerMs =
    stageOf(target) === 'prefill' ? estimates.prefillTokensPerMs : estimates.decodeTokensPerMs;
  const queueMs =
    (target.ownPromptTokens + othersTokens) / tokensPerMs +
    estimateRequests(target, nowMs) * estimates.msPerRequest;
  return {queueMs, totalMs: queueMs + (work.promptTokens - cachedTokens) / tokensPerMs};
}

interface Reader extends PlacementTimes {
  readonly target: TargetState;
  /** Wait and the cost of what the choice displaces. */
  readonly costMs: number;
}

/**
 * The engine of one stage at which a prompt is best read. All hosts rank the holder of the shared
 * parts alike; another engine is chosen if it is ready sooner by more than a copy of them costs.
 */
function chooseReader(
  targets: readonly TargetState[],
  work: PromptWork,
  stage: EngineStage,
  context: PlacementContext,
): Reader | undefined {
  const {estimates, nowMs} = context;
  const shared = sharedParts(work.parts);
  const sharedTokens = countTokens(shared);
  const holder = findHolder(targets, shared);
  const load = estimateStageLoad(targets, stage, context);
  const factor = waitFactor(context.calibration, stage, work.urgency);
  let best: Reader | undefined;
  for (const target of targets) {
    const isHolder = target.entry.id === holder;
    const known = estimateCachedTokens(target, shared, nowMs);
    // Another host has probably sent the shared parts to their holder before.
    const isWarm = isHolder && nowMs - target.knownSinceMs > estimates.warmUpMs;
    const cached = isWarm ? sharedTokens : known;
    const read = estimateRead(target, work, cached, context, load);
    const waitMs = read.totalMs * factor;
    const copyMs = isHolder ? 0 : (sharedTokens - known) * estimates.msPerCopiedToken;
    const costMs = waitMs + copyMs;
    if (best && costMs >= best.costMs) continue;
    const queueMs = read.queueMs * factor;
    best = {target, waitMs, costMs, queueMs, rawReadMs: read.totalMs};
  }
  return best;
}

/** The least loaded decode engine, if possible in the failure domain where the prompt is read. */
function chooseDecode(
  targets: readonly TargetState[],
  near: TargetState,
  context: PlacementContext,
): TargetState | undefined {
  let best: TargetState | undefined;
  let bestLoad = Infinity;
  for (const target of targets) {
    const isNear = target.entry.failureDomain === near.entry.failureDomain;
    const load =
      estimateRequests(target, context.nowMs) + (isNear ? 0 : context.estimates.farRequests);
    if (load >= bestLoad) continue;
    best = target;
    bestLoad = load;
  }
  return best;
}

/**
 * Places a prompt. A prefill engine reads it and hands it over, so that decode engines make tokens
 * without pauses. Answers streams whose pauses are bounded: a decode engine that reads prompts holds
 * up the tokens of all its requests, so it reads one only if the prefill engines are far behind.
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
    if (tried.has(target.entry.id) || !canTakeWork(target, context.nowMs)) continue;
    byStage[stageOf(target)].push(target);
  }
  const direct = chooseReader(byStage.decode, work, 'decode', context);
  if (!direct) return {type: 'none'};
  const reader = context.mayStage
    ? chooseReader(byStage.prefill, work, 'prefill', context)
    : undefined;
  const decode = reader && chooseDecode(byStage.decode, reader.target, context);
  const moveMs = estimates.handoverMs + work.promptTokens / estimates.transferTokensPerMs;
  const pauseMs = estimates.pauseMs + work.promptTokens * estimates.pauseMsPerToken;
  if (reader && decode && reader.costMs + moveMs < direct.costMs + pauseMs) {
    const waitMs = reader.waitMs + moveMs;
    return {...reader, type: 'staged', prefill: reader.target, decode, waitMs};
  }
  return {...direct, type: 'direct', decode: direct.target};
}

function countTokens(parts: readonly PromptPart[]): number {
  return parts.reduce((sum, part) => sum + part.tokens, 0);
}

/** The engine that keeps a prompt's shared parts; undefined if it has none. */
function findHolder(
  targets: readonly TargetState[],
  shared: readonly PromptPart[],
): TargetId | undefined {
  if (shared.length === 0) return undefined;
  const key = shared.map(part => part.id).join(',');
  return rankByKey(
    key,
    targets.map(target => ({id: target.entry.id, weight: 1})),
  )[0];
}
