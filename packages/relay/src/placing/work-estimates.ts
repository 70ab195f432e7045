import {TargetId} from '@radishgw/core';
import {estimateCall} from './call-work-placement.js';
import {CallKinds} from './cost-model.js';
import {countTokens, DEFAULT_ENGINE_ESTIMATES, sharedPrefix, stageOf} from './engine-placement.js';
import {likelyCachedTokens, orderForPrefix, prefillTimes} from './engine-work-placement.js';
import {TargetSpeed} from './speed-model.js';
import {WorkModel} from './work-model.js';
import {EngineStage, PromptPart, ServiceName} from '../model.js';
import {estimateCachedTokens, TargetState} from '../targets/target-state.js';

/** Number of responses before which the error of a service isn't known. */
const MIN_ERROR_COUNT = 20;

/** Work of a request: a prompt at an engine, or a call at a plain target. */
export type RequestWork =
  | {
      readonly type: 'prompt';
      readonly parts: readonly PromptPart[];
      readonly promptTokens: number;
    }
  | {readonly type: 'call'; readonly kinds: CallKinds};

/** Inputs of an estimate besides the target and the request. */
export interface EstimateContext {
  readonly model: WorkModel;
  /** The targets of the service that may be used. */
  readonly targets: readonly TargetState[];
  /** Number of hosts that take requests, including this one. */
  readonly hostCount: number;
  readonly nowMs: number;
}

/** Expected times in ms: until the target begins with the request, and for its work. */
export interface CompletionEstimate {
  readonly waitMs: number;
  readonly workMs: number;
}

/**
 * Estimates when a target would have completed a request that is sent to it now: the prefill of a
 * prompt, or a call. Undefined if no call of the service has been answered yet, or if the target
 * isn't one of `context.targets`. Times of the network and of the transfer between engines aren't
 * included. What is the same for all targets is computed once for each context.
 */
export function estimateCompletion(
  target: TargetState,
  work: RequestWork,
  context: EstimateContext,
): CompletionEstimate | undefined {
  const {model, hostCount, nowMs} = context;
  const group = findGroup(target, context);
  const speed = group.speeds[group.targets.indexOf(target)];
  if (!speed) return undefined;
  if (work.type === 'call') {
    const costMs = model.costs.expectedMs(work.kinds);
    if (costMs === undefined) return undefined;
    return estimateCall(target, speed, work.kinds, costMs, {work: model, hostCount, nowMs});
  }
  const estimates = DEFAULT_ENGINE_ESTIMATES;
  const prefix = sharedPrefix(work.parts);
  const prefixTokens = countTokens(prefix);
  const rank = prefixTokens > 0 ? findOrder(group, prefix).indexOf(target.entry.id) : -1;
  const cachedTokens = Math.max(
    estimateCachedTokens(target, prefix, nowMs),
    likelyCachedTokens(target, rank, prefixTokens, {estimates, nowMs}),
  );
  const newTokens = work.promptTokens - cachedTokens;
  const service = model.ofService(target.entry.service);
  const {knownMs, usualMs, prefillMs} = prefillTimes(target, speed, newTokens, stageOf(target), {
    estimates,
    nowMs,
    hostCount,
    service,
  });
  return {waitMs: knownMs + usualMs, workMs: prefillMs};
}

/** Whether the targets of a service are chosen by expected work; otherwise by used slots. */
export function isPlacedByWork(model: WorkModel, service: ServiceName): boolean {
  return model.isPlacedByWork(service);
}

/**
 * Mean absolute difference between expected and actual time of the recent requests of a service, in
 * ms; Infinity until enough responses are known for the estimates to be relied upon.
 */
export function estimateErrorMs(model: WorkModel, service: ServiceName): number {
  const {errorMs, errorCount} = model.ofService(service);
  return errorCount >= MIN_ERROR_COUNT ? errorMs : Infinity;
}

/** Targets of one stage, whose speeds are compared. */
interface Group {
  readonly targets: readonly TargetState[];
  readonly speeds: readonly TargetSpeed[];
  /** Orders of the engines by prefix. */
  readonly orders: Map<string, readonly TargetId[]>;
}

const groupsByContext = new WeakMap<EstimateContext, Map<EngineStage, Group>>();

function findGroup(target: TargetState, context: EstimateContext): Group {
  let groups = groupsByContext.get(context);
  if (!groups) groupsByContext.set(context, (groups = new Map()));
  const stage = stageOf(target);
  let group = groups.get(stage);
  if (!group) {
    const {model, nowMs} = context;
    const targets = context.targets.filter(other => stageOf(other) === stage);
    const keys = targets.map(other => model.keyOf(other));
    group = {targets, speeds: model.speeds.speedsOf(keys, nowMs), orders: new Map()};
    groups.set(stage, group);
  }
  return group;
}

function findOrder(
  {targets, speeds, orders}: Group,
  prefix: readonly PromptPart[],
): readonly TargetId[] {
  const key = prefix.map(part => part.id).join(',');
  let order = orders.get(key);
  if (!order) orders.set(key, (order = orderForPrefix(targets, speeds, prefix)));
  return order;
}
