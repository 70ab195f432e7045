import {EngineStage} from './model.js';

/** Weight of the newest observation: about thirty requests of a kind fill the memory. */
const SMOOTHING = 0.06;

/** Observations outside of these bounds come from failures rather than from load. */
const MIN_FACTOR = 0.2;
const MAX_FACTOR = 5;

/** An estimate below this says nothing about speed. */
const MIN_ESTIMATE_MS = 20;

/**
 * How long prompts really wait, relative to the estimates. It is kept apart for stages, whose
 * speeds differ from what is assumed, and for urgencies, since engines admit urgent work first.
 */
export interface WaitCalibration {
  readonly factors: Map<string, number>;
}

export function createWaitCalibration(): WaitCalibration {
  return {factors: new Map()};
}

function toKey(stage: EngineStage, urgency: number): string {
  return `${stage}/${urgency}`;
}

/** Factor by which estimates of a stage are multiplied. */
export function waitFactor(state: WaitCalibration, stage: EngineStage, urgency: number): number {
  return state.factors.get(toKey(stage, urgency)) ?? 1;
}

/** Takes in how long a prompt waited for which `estimateMs` was expected before calibration. */
export function recordWait(
  state: WaitCalibration,
  stage: EngineStage,
  urgency: number,
  estimateMs: number,
  actualMs: number,
): void {
  if (estimateMs < MIN_ESTIMATE_MS) return;
  const ratio = Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, actualMs / estimateMs));
  const key = toKey(stage, urgency);
  const old = state.factors.get(key) ?? 1;
  state.factors.set(key, old + SMOOTHING * (ratio - old));
}
