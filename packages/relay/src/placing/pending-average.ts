import {EngineStage} from '../model.js';

/** Time constant of the moving average: about the time that a prompt spends at an engine. */
const TIME_CONSTANT_MS = 500;

/** Moving average of this host's pending prompt tokens by stage. */
export interface PendingAverage {
  readonly stages: Map<EngineStage, {tokens: number; updatedMs: number}>;
}

export function createPendingAverage(): PendingAverage {
  return {stages: new Map()};
}

/**
 * Adds the currently pending tokens to the average and returns it. In a large fleet a host has
 * nothing pending most of the time, so that a single sample says little about the other hosts.
 */
export function updatePendingAverage(
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
  const weight = 1 - Math.exp(-(nowMs - entry.updatedMs) / TIME_CONSTANT_MS);
  entry.tokens += weight * (tokens - entry.tokens);
  entry.updatedMs = nowMs;
  return entry.tokens;
}
