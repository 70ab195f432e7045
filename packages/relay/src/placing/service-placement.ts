import {RandomSource, TargetId} from '@radishgw/core';
import {isAvailable, estimateRequests, TargetState} from '../targets/target-state.js';

/**
 * Chooses the target with the lowest slot utilization, for services without engines. With short
 * requests on few slots most targets tie; ties are broken at random so that the hosts don't all
 * choose the same target.
 */
export function placeRequest<Target extends TargetState>(
  targets: Iterable<Target>,
  tried: ReadonlySet<TargetId>,
  nowMs: number,
  random: RandomSource,
): Target | undefined {
  let best: Target | undefined;
  let bestLoad = Infinity;
  for (const target of targets) {
    if (tried.has(target.entry.id) || !isAvailable(target, nowMs)) continue;
    const load =
      (estimateRequests(target, nowMs) + random.next()) / Math.max(1, target.entry.slots);
    if (load >= bestLoad) continue;
    best = target;
    bestLoad = load;
  }
  return best;
}
