import {RandomSource, TargetId} from '@radishgw/core';
import {hasCapacity} from './eligibility.js';
import {Pool} from './pool.js';
import {RequestQueue} from './queue-state.js';
import {dequeue, QueueReason, requeueItem} from './queue.js';
import {RouteReason, routeRequest, RoutingPolicyName} from './routing.js';
import {QueueItem} from './work.js';

/** Properties of an item that routing needs in addition to those in the queue. */
export interface RoutingInfo {
  /** Ids of the prompt's full blocks, in order. */
  readonly blocks: readonly string[];
  readonly isIdempotent: boolean;
  /** Targets to which this request has already been sent. */
  readonly tried?: ReadonlySet<TargetId>;
}

/** An item and the target to which to send it. */
export interface Dispatch {
  readonly item: QueueItem;
  readonly isLong: boolean;
  readonly target: TargetId;
  /** Shown by the operator's `explain` command. */
  readonly reason: {readonly queue: QueueReason; readonly route: RouteReason};
}

/**
 * Dequeues the next item for which a target has capacity and selects its target. Must be called
 * after each arrival, end of an attempt, load report and target change, until it returns undefined.
 * The caller must record the dispatch with `recordDispatch` before the next call.
 */
export function scheduleNext(
  queue: RequestQueue,
  pool: Pool,
  getRoutingInfo: (item: QueueItem) => RoutingInfo,
  nowMs: number,
  random: RandomSource,
  policy?: RoutingPolicyName,
): Dispatch | undefined {
  const taken = dequeue(queue, nowMs, (workClass, isLong, isLagging) =>
    hasCapacity(pool, {workClass, isLong, isLagging: isLagging}, nowMs),
  );
  if (!taken) return undefined;
  const {item, isLong, isLagging} = taken;
  const {workClass, promptTokens} = item;
  const request = {workClass, promptTokens, isLong, isLagging, ...getRoutingInfo(item)};
  const decision = routeRequest(pool, request, nowMs, random, policy);
  if (decision.type === 'none') {
    requeueItem(queue, item.id);
    return undefined;
  }
  const reason = {queue: taken.reason, route: decision.reason};
  return {item, isLong, target: decision.target, reason};
}
