import {EngineStage} from './model.js';

/** Time over which pending work is averaged: the time that a prompt spends at an engine. */
const AVERAGE_MS = 500;

/** Prompt tokens that this host has sent to the engines of a stage, averaged over time. */
export interface PendingAverage {
  readonly stages: Map<EngineStage, {tokens: number; updatedMs: number}>;
}

export function createPendingAverage(): PendingAverage {
  return {stages: new Map()};
}

/**
 * Takes in the tokens that are pending now and gives their average. With many hosts each of them has
 * nothing pending at most moments, so that a single moment says little about the others.
 */
export function averagePending(
  state: PendingAverage,
  stage: EngineStage,
  tokens: number,
  nowMs: number,
): number {
  const entry = state.stages.get(stage);
  if (!entry) {
    state.stages.set(stage, {tokens, updatedMs: nowMs});
    return tokens;
  }
  const weight = 1 - Math.exp(-(nowMs - entry.updatedMs) / AVERAGE_MS);
  entry.tokens += weight * (tokens - entry.tokens);
  entry.updatedMs = nowMs;
  return entry.tokens;
}
