import {EngineStage} from '../model.js';

/** Weight of a new observation; the average covers about the last thirty requests of a kind. */
const SMOOTHING_FACTOR = 0.06;

/** Ratios are clamped to these bounds: those outside come from failures rather than from load. */
const MIN_FACTOR = 0.2;
const MAX_FACTOR = 5;

/** Shorter estimates are too imprecise to calibrate with. */
const MIN_ESTIMATE_MS = 20;

/**
 * Ratio of actual to estimated wait. It is tracked separately by stage, since engine speeds differ
 * from the estimates, and by urgency, since engines admit urgent requests first.
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

/** Factor that corrects the wait estimates of a stage and urgency. */
export function waitFactor(state: WaitCalibration, stage: EngineStage, urgency: number): number {
  return state.factors.get(toKey(stage, urgency)) ?? 1;
}

/** Records the actual wait of a prompt; `estimateMs` is its estimate before calibration. */
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
  state.factors.set(key, old + SMOOTHING_FACTOR * (ratio - old));
}
