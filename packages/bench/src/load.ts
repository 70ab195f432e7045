import {runServing} from './serving-sim.js';
import {Arrival, DeploymentShape, generateTrace} from './traces.js';

/** Offered rate of the calibration run, well above capacity. */
const OVERLOAD_REQUESTS_PER_SECOND = 45;
const WARM_UP_MS = 30_000;

/**
 * Measures the capacity in requests per second, with an overload of the same mix in FIFO order:
 * tokens served per second, divided by the mean tokens of a request of the trace.
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
    queueTimeoutMs: {urgent: durationMs, standard: durationMs, batch: durationMs},
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

/** Returns the queue weights: the tokens per second of each team of the trace. */
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
