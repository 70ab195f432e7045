import {runServing} from './serving-sim.js';
import {Arrival, DeploymentShape, generateTrace} from './traces.js';

/** Offered rate of the calibration run, as a factor on a first guess; well above capacity. */
const OVERLOAD_REQUESTS_PER_SECOND = 45;
const WARM_UP_MS = 30_000;

/**
 * Requests per second that the engines finish when overloaded with the same mix in order of
 * arrival: tokens served per second, divided by the mean tokens of a request of the trace.
 */
export function measureCapacity(shape: DeploymentShape, seed: number, durationMs: number): number {
  const requestsPerSecond = OVERLOAD_REQUESTS_PER_SECOND;
  const arrivals = generateTrace(shape, {seed, durationMs, requestsPerSecond});
  const {records} = runServing({
    seed,
    arrivals,
    endMs: durationMs,
    targets: shape.targets,
    queue: {discipline: 'fifo', useClasses: false, overflow: 'newest'},
    pool: {
      urgentReservedSlots: 0,
      maxLongPrefills: Infinity,
      maxPendingTokensForLong: Infinity,
      shortOnlyShare: 0,
    },
    patienceMs: {urgent: durationMs, standard: durationMs, batch: durationMs},
  });
  let served = 0;
  let offered = 0;
  for (const {arrival, firstTokenMs, generated} of records) {
    offered += arrival.promptTokens + arrival.outputTokens;
    if (firstTokenMs !== undefined && firstTokenMs >= WARM_UP_MS) {
      served += arrival.promptTokens + generated;
    }
  }
  const tokensPerSecond = (served * 1000) / (durationMs - WARM_UP_MS);
  return (tokensPerSecond * records.length) / offered;
}

/** Weights for the queue: tokens per second of each team of the trace. */
export function measureWeights(
  arrivals: readonly Arrival[],
  durationMs: number,
): Record<string, number> {
  const weights: Record<string, number> = {};
  for (const {team, promptTokens, outputTokens} of arrivals) {
    weights[team] = (weights[team] ?? 0) + ((promptTokens + outputTokens) * 1000) / durationMs;
  }
  return weights;
}
