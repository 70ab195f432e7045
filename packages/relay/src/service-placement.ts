import {RandomSource, TargetId} from '@radishgw/core';
import {canTakeWork, estimateRequests, TargetState} from './target-state.js';

/**
 * Chooses the target of a plain service with the smallest part of its slots in use. Answers the
 * load of short calls on few slots: ties, the usual case, are broken at random so that hosts don't
 * send their calls to the same target.
 */
export function placeCall<Target extends TargetState>(
  targets: Iterable<Target>,
  tried: ReadonlySet<TargetId>,
  nowMs: number,
  random: RandomSource,
): Target | undefined {
  let best: Target | undefined;
  let bestLoad = Infinity;
  for (const target of targets) {
    if (tried.has(target.entry.id) || !canTakeWork(target, nowMs)) continue;
    const load =
      (estimateRequests(target, nowMs) + random.next()) / Math.max(1, target.entry.slots);
    if (load >= bestLoad) continue;
    best = target;
    bestLoad = load;
  }
  return best;
}
