import {RandomSource, TargetId} from '@radishgw/core';
import {hasRoom} from './eligibility.js';
import {Pool} from './pool.js';
import {RequestQueue} from './queue-state.js';
import {QueueReason, returnItem, takeNext} from './queue.js';
import {RouteReason, routeRequest, RoutingPolicyName} from './routing.js';
import {QueueItem} from './work.js';

/** What the router must know of an item beyond what the queue knows. */
export interface RoutingFacts {
  /** Ids of the prompt's full blocks, in order. */
  readonly blocks: readonly string[];
  readonly mayRunTwice: boolean;
  /** Targets that this request has already been sent to. */
  readonly tried?: ReadonlySet<TargetId>;
}

/** An item and the target that it goes to. */
export interface Dispatch {
  readonly item: QueueItem;
  readonly isLong: boolean;
  readonly target: TargetId;
  /** For the operator's `explain` command. */
  readonly reason: {readonly queue: QueueReason; readonly route: RouteReason};
}

/**
 * Takes the next item for which some target has room and chooses its target. Call it after each
 * arrival, end of an attempt, load report and target change, until it gives undefined. The caller
 * records the dispatch with `recordDispatch` before the next call.
 */
export function scheduleNext(
  queue: RequestQueue,
  pool: Pool,
  factsOf: (item: QueueItem) => RoutingFacts,
  nowMs: number,
  random: RandomSource,
  policy?: RoutingPolicyName,
): Dispatch | undefined {
  const taken = takeNext(queue, nowMs, (workClass, isLong, isOwed) =>
    hasRoom(pool, {workClass, isLong, isOwed}, nowMs),
  );
  if (!taken) return undefined;
  const {item, isLong, isOwed} = taken;
  const {workClass, promptTokens} = item;
  const request = {workClass, promptTokens, isLong, isOwed, ...factsOf(item)};
  const decision = routeRequest(pool, request, nowMs, random, policy);
  if (decision.type === 'none') {
    returnItem(queue, item.id);
    return undefined;
  }
  const reason = {queue: taken.reason, route: decision.reason};
  return {item, isLong, target: decision.target, reason};
}
