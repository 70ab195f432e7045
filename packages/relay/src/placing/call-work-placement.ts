import {RandomSource, TargetId} from '@radishgw/core';
import {CallKinds} from './cost-model.js';
import {TargetSpeed} from './speed-model.js';
import {recordError, recordWorkLength, residualWork, WorkModel} from './work-model.js';
import {currentSlowdown, isAvailable, TargetState} from '../targets/target-state.js';

/**
 * Random share by which the expected time of a target is raised, so that hosts which know the same
 * don't all choose the same target.
 */
const MAX_RANDOM_SHARE = 0.1;

/** Least weight of a response that may have waited for a slot at the target. */
const QUEUED_WEIGHT = 0.05;

/** Weight of a response while the target reported a slowdown, which may have changed. */
const SLOWED_WEIGHT = 0.3;

/**
 * Number of hosts up to which each chooses by all that it expects: they hear of the targets often.
 * More hosts would all choose the target that was idle when they last heard of it.
 */
const FEW_HOSTS = 6;

/** Slowdown from which many hosts leave a target for the next one. */
const MIN_AVOIDED_SLOWDOWN = 1.2;

/** Context of the placement of a call. */
export interface CallPlacementContext {
  readonly work: WorkModel;
  /** Number of hosts that take requests, including this one. */
  readonly hostCount: number;
  readonly nowMs: number;
  readonly random: RandomSource;
}

/** What is expected of a call at a target; compared with the actual time. */
export interface CallExpectation {
  readonly kinds: CallKinds;
  /** Expected time of the work at the mean speed. */
  readonly costMs: number;
  readonly timeFactor: number;
  readonly waitMs: number;
  /** Expected time of the work at the target now. */
  readonly workMs: number;
  /** Probability that a slot was free. */
  readonly freeShare: number;
}

/** A target with what is expected of a call there. */
export interface CallPlacement<Target extends TargetState> {
  readonly target: Target;
  readonly expectation: CallExpectation;
}

/**
 * Chooses the target at which a call is expected to be completed first; undefined if there is none
 * or if nothing is known of the cost of calls.
 */
export function placeCallByWork<Target extends TargetState>(
  targets: readonly Target[],
  kinds: CallKinds,
  tried: ReadonlySet<TargetId>,
  context: CallPlacementContext,
): CallPlacement<Target> | undefined {
  const {work, nowMs, random} = context;
  const costMs = work.costs.expectedMs(kinds);
  if (costMs === undefined) return undefined;
  const keys = targets.map(target => work.keyOf(target));
  const speeds = work.speeds.speedsOf(keys, nowMs);
  const available: Candidate<Target>[] = [];
  targets.forEach((target, index) => {
    if (tried.has(target.entry.id) || !isAvailable(target, nowMs)) return;
    available.push({target, speed: speeds[index]});
  });
  const hasFewHosts = context.hostCount <= FEW_HOSTS;
  const compared = hasFewHosts ? available : orderBySpeed(available, random);
  let best: CallPlacement<Target> | undefined;
  let bestMs = Infinity;
  for (const {target, speed} of compared) {
    const expectation = estimateCall(target, speed, kinds, costMs, context);
    const totalMs = hasFewHosts
      ? expectation.waitMs + expectation.workMs * (1 + random.next() * MAX_RANDOM_SHARE)
      : knownDelayMs(target, speed, expectation, context);
    if (totalMs >= bestMs) continue;
    best = {target, expectation};
    bestMs = totalMs;
  }
  return best;
}

/**
 * Delay at a target that only this host knows of. Many hosts know the same of the speeds and of the
 * usual load: if they compared these, they would all choose the same target. The random order takes
 * the speeds into account.
 */
function knownDelayMs(
  target: TargetState,
  speed: TargetSpeed,
  {kinds, costMs}: CallExpectation,
  context: CallPlacementContext,
): number {
  const withoutUsual = {...speed, utilization: 0};
  const {waitMs, workMs} = estimateCall(target, withoutUsual, kinds, costMs, context);
  const isSlow = currentSlowdown(target, context.nowMs) >= MIN_AVOIDED_SLOWDOWN;
  return waitMs + (isSlow ? workMs : 0);
}

interface Candidate<Target extends TargetState> {
  readonly target: Target;
  readonly speed: TargetSpeed;
}

/** Targets in random order, in which fast ones tend to come first. */
function orderBySpeed<Target extends TargetState>(
  candidates: readonly Candidate<Target>[],
  random: RandomSource,
): Candidate<Target>[] {
  const ordered = candidates.map(candidate => {
    const order = -Math.log(1 - random.next()) * candidate.speed.timeFactor;
    return {candidate, order};
  });
  ordered.sort((a, b) => a.order - b.order);
  return ordered.map(({candidate}) => candidate);
}

/** Estimates the time of a call at a target. */
export function estimateCall(
  target: TargetState,
  {timeFactor, utilization}: TargetSpeed,
  kinds: CallKinds,
  costMs: number,
  {work, hostCount, nowMs}: Omit<CallPlacementContext, 'random'>,
): CallExpectation {
  const factor = timeFactor * currentSlowdown(target, nowMs);
  const residualMs = residualWork(work.ofService(target.entry.service));
  const others = {residualMs, utilization, timeFactor: factor, hostCount};
  const waitMs = work.backlog.waitMs(target, others, nowMs);
  const count = work.backlog.count(target, others, nowMs);
  const freeShare = Math.max(0, 1 - count / Math.max(1, target.entry.slots));
  return {kinds, costMs, timeFactor, waitMs, workMs: costMs * factor, freeShare};
}

/** Records that a call is sent; returns a function to call when it has ended. */
export function recordCallSent(
  work: WorkModel,
  target: TargetState,
  {costMs, workMs}: CallExpectation,
  nowMs: number,
): () => void {
  recordWorkLength(work.ofService(target.entry.service), costMs);
  work.speeds.recordWork(work.keyOf(target), workMs, nowMs);
  return work.backlog.add(target, workMs, nowMs);
}

/**
 * Learns from a complete, successful response. `expectation` is undefined if the call was placed by
 * slots. Times that include a wait for a slot count less, without the expected wait.
 */
export function recordCall(
  work: WorkModel,
  target: TargetState,
  kinds: CallKinds,
  expectation: CallExpectation | undefined,
  actualMs: number,
  nowMs: number,
): void {
  if (!expectation) {
    work.costs.record(kinds, actualMs, 1);
    recordWorkLength(work.ofService(target.entry.service), actualMs);
    return;
  }
  const {costMs, timeFactor, waitMs, workMs, freeShare} = expectation;
  recordError(work.ofService(target.entry.service), waitMs + workMs, actualMs);
  const slowdown = currentSlowdown(target, nowMs);
  const isSlowed = Math.abs(Math.log(Math.max(0.1, slowdown))) > 0.1;
  const weight = Math.max(QUEUED_WEIGHT, freeShare) * (isSlowed ? SLOWED_WEIGHT : 1);
  // The slowdown may have begun or ended during the call.
  const factor = timeFactor * Math.sqrt(Math.max(0.1, slowdown));
  const usedMs = Math.max(actualMs / 4, actualMs - waitMs, 0.1);
  const logRatio = Math.log((usedMs * timeFactor) / (costMs * factor));
  // A kind of unknown cost says little of the speed of its target.
  const confidence = work.costs.confidence(kinds);
  work.speeds.recordRatio(work.keyOf(target), logRatio, weight * confidence, nowMs);
  work.costs.record(kinds, usedMs / factor, weight);
}
