import {hash32, TargetId} from '@radishgw/core';
import {PromptPart} from '../model.js';

/**
 * Share of the latency objective for which a prompt may occupy an engine of mean speed. Longer ones
 * would let a prompt behind them miss its objective.
 */
const MAX_SHORT_OBJECTIVE_SHARE = 0.5;

/** Weight of a new prompt in the mean work of its lane. */
const SMOOTHING_FACTOR = 0.03;

/** Bounds of the share of the engines that prefill long prompts: each lane keeps some. */
const MIN_LONG_SHARE = 0.25;
const MAX_LONG_SHARE = 0.75;

/** With fewer engines, a lane would have too few to spread its prompts over. */
const MIN_ENGINES = 8;

const HASH_RANGE = 2 ** 32;

/** Groups of engines that prefill prompts of similar length. */
export type PromptLane = 'short' | 'long';

/** Mean tokens to prefill per prompt, by lane; 0 for a prompt of the other one. */
export interface LaneWork {
  shortTokens: number;
  longTokens: number;
}

export function createLaneWork(): LaneWork {
  return {shortTokens: 0, longTokens: 0};
}

/**
 * The lane of a prompt. The load it answers: prompts of very different length from many hosts, which
 * don't know that a long one of another host occupies an engine for a second or more. All prompts
 * with the same long prefix have the same lane, so that the prefix is cached in one lane only.
 */
export function findLane(
  prefix: readonly PromptPart[],
  promptTokens: number,
  objectiveMs: number,
  tokensPerMs: number,
): PromptLane {
  const maxTokens = objectiveMs * MAX_SHORT_OBJECTIVE_SHARE * tokensPerMs;
  const prefixTokens = prefix.reduce((sum, part) => sum + part.tokens, 0);
  return Math.max(prefixTokens, promptTokens - prefixTokens) > maxTokens ? 'long' : 'short';
}

/** Records the tokens of a prompt that have to be prefilled. */
export function recordLaneWork(work: LaneWork, lane: PromptLane, newTokens: number): void {
  const isLong = lane === 'long';
  work.longTokens += SMOOTHING_FACTOR * ((isLong ? newTokens : 0) - work.longTokens);
  work.shortTokens += SMOOTHING_FACTOR * ((isLong ? 0 : newTokens) - work.shortTokens);
}

/** Share of the engines for long prompts, by the share of the work that they are. */
export function longShare({shortTokens, longTokens}: LaneWork): number {
  const total = shortTokens + longTokens;
  if (total <= 0 || longTokens <= 0) return longTokens > 0 ? MAX_LONG_SHARE : MIN_LONG_SHARE;
  return Math.min(MAX_LONG_SHARE, Math.max(MIN_LONG_SHARE, longTokens / total));
}

/**
 * Whether an engine is in a lane. Engines are in the long one by a hash of their id, so that hosts
 * with slightly different shares agree on nearly all engines.
 */
export function isInLane(id: TargetId, lane: PromptLane, share: number): boolean {
  const isLong = hash32(`lane/${id}`) < share * HASH_RANGE;
  return isLong === (lane === 'long');
}

/** The engines of a lane; all of them if there are few, or none in that lane. */
export function selectLane<Target extends {readonly entry: {readonly id: TargetId}}>(
  targets: readonly Target[],
  lane: PromptLane,
  work: LaneWork,
): readonly Target[] {
  if (targets.length < MIN_ENGINES) return targets;
  const share = longShare(work);
  const selected = targets.filter(({entry}) => isInLane(entry.id, lane, share));
  return selected.length > 0 ? selected : targets;
}
