import {RandomSource, TargetId} from '@radishgw/core';
import {
  estimateLoad,
  Exclusion,
  findExclusion,
  findLastResort,
  Pool,
  RouteRequest,
  TargetState,
} from './pool.js';

/** A target that was considered. */
export interface Candidate {
  readonly target: TargetId;
  /** Lower is better; in prompt tokens. */
  readonly score: number;
  /** Prompt tokens that the target probably holds. */
  readonly cachedTokens: number;
  readonly outstanding: number;
  readonly pendingTokens: number;
  /** Age of the load report in use; undefined without one. */
  readonly reportAgeMs: number | undefined;
}

/** Why a target was chosen. */
export interface RouteReason {
  readonly rule: 'probe' | 'prefix' | 'load' | 'order' | 'chance';
  readonly candidates: readonly Candidate[];
}

/** Outcome of {@link routeRequest}. */
export type RouteDecision =
  | {readonly type: 'target'; readonly target: TargetId; readonly reason: RouteReason}
  /** No target can take the work now; `excluded` counts the targets by cause. */
  | {readonly type: 'none'; readonly excluded: Readonly<Partial<Record<Exclusion, number>>>};

interface RoutingContext {
  readonly pool: Pool;
  readonly request: RouteRequest;
  readonly nowMs: number;
  readonly random: RandomSource;
  isEligible(target: TargetState): boolean;
}

interface Pick {
  readonly target: TargetState;
  readonly reason: RouteReason;
}

/** A rule that picks one of the eligible targets; undefined if there is none. */
export type RoutingPolicy = (context: RoutingContext) => Pick | undefined;

/** Policies by name; `prefixOrLoad` is the one in use, the others are kept for comparison. */
export const ROUTING_POLICIES = {
  /** A few random targets and the best prefix holder, by uncached tokens plus load. */
  prefixOrLoad: context => pickBest(context, [...sampleChoices(context), ...findHolder(context)]),
  /** The same score over all targets. */
  prefixOrLoadAll: context => pickBest(context, context.pool.order.filter(context.isEligible)),
  /** A few random targets, by load alone. */
  twoChoices: context =>
    pickBest({...context, request: {...context.request, blocks: []}}, sampleChoices(context)),
  /** The best prefix holder whatever its load, or a few random targets if nobody holds the prefix. */
  prefixOnly: context => {
    const holder = findHolder(context);
    return pickBest(context, holder.length > 0 ? holder : sampleChoices(context));
  },
  /** The target with the fewest requests of this host. */
  leastOutstanding: context => {
    let best: TargetState | undefined;
    for (const target of context.pool.order) {
      if (!context.isEligible(target)) continue;
      if (!best || target.own.size < best.own.size) best = target;
    }
    return best && {target: best, reason: {rule: 'load', candidates: []}};
  },
  random: context => {
    const [target] = sampleTargets(context, 1);
    return target && {target, reason: {rule: 'chance', candidates: []}};
  },
  roundRobin: ({pool, isEligible}) => {
    for (let i = 0; i < pool.order.length; i++) {
      const target = pool.order[pool.nextIndex++ % pool.order.length];
      if (isEligible(target)) return {target, reason: {rule: 'order', candidates: []}};
    }
    return undefined;
  },
} as const satisfies Record<string, RoutingPolicy>;

export type RoutingPolicyName = keyof typeof ROUTING_POLICIES;

/** Chooses a target. The caller sends the attempt and calls `recordDispatch` in the same turn. */
export function routeRequest(
  pool: Pool,
  request: RouteRequest,
  nowMs: number,
  random: RandomSource,
  policy: RoutingPolicyName = 'prefixOrLoad',
): RouteDecision {
  const isEligible = (target: TargetState) =>
    findExclusion(pool, target, request, nowMs) === undefined;
  const context: RoutingContext = {pool, request, nowMs, random, isEligible};
  const pick =
    findProbe(context) ??
    ROUTING_POLICIES[policy](context) ??
    asProbe(context, findLastResort(pool, request, nowMs));
  if (pick) return {type: 'target', target: pick.target.id, reason: pick.reason};
  return {type: 'none', excluded: countExclusions(context)};
}

/**
 * A failed target whose probe is due, if this request may serve as its probe: one that isn't
 * urgent and may run twice. Other work is used only when no such request came for a long time.
 */
function findProbe(context: RoutingContext): Pick | undefined {
  const {pool, request, nowMs} = context;
  const overdueMs = pool.settings.health.maxExclusionMs;
  const isGoodProbe = request.mayRunTwice === true && request.workClass !== 'urgent';
  for (const target of pool.unhealthy) {
    const {excludedUntilMs = Infinity} = target.health;
    if (!isGoodProbe && nowMs < excludedUntilMs + overdueMs) continue;
    if (findExclusion(pool, target, request, nowMs, true) === undefined) {
      return asProbe(context, target);
    }
  }
  return undefined;
}

function asProbe(context: RoutingContext, target: TargetState | undefined): Pick | undefined {
  return target && {target, reason: {rule: 'probe', candidates: [score(context, target)]}};
}

/** Tries for each choice before a sample gives up and scans all targets; only a nearly full pool needs the scan. */
const SAMPLE_TRIES = 4;

/** Up to `count` different eligible targets, uniformly at random. */
function sampleTargets(context: RoutingContext, count: number): TargetState[] {
  const {order} = context.pool;
  const found: TargetState[] = [];
  for (let i = 0; i < count * SAMPLE_TRIES && found.length < count && order.length > count; i++) {
    const target = order[context.random.nextInt(order.length)];
    if (!found.includes(target) && context.isEligible(target)) found.push(target);
  }
  if (found.length === count) return found;
  const rest = order.filter(target => !found.includes(target) && context.isEligible(target));
  while (found.length < count && rest.length > 0) {
    found.push(...rest.splice(context.random.nextInt(rest.length), 1));
  }
  return found;
}

function sampleChoices(context: RoutingContext): TargetState[] {
  return sampleTargets(context, context.pool.settings.choices[context.request.workClass]);
}

/** The least loaded of the eligible targets that hold the longest part of the prompt. */
function findHolder(context: RoutingContext): TargetState[] {
  const {pool, request, nowMs} = context;
  const accept = (id: TargetId) => {
    const target = pool.targets.get(id);
    return target !== undefined && context.isEligible(target);
  };
  let best: TargetState | undefined;
  let bestOutstanding = Infinity;
  for (const id of pool.hints.findBestHolders(request.blocks, accept)) {
    const target = pool.targets.get(id)!;
    const {outstanding} = estimateLoad(pool, target, nowMs);
    if (outstanding >= bestOutstanding) continue;
    best = target;
    bestOutstanding = outstanding;
  }
  return best ? [best] : [];
}

function pickBest(context: RoutingContext, targets: readonly TargetState[]): Pick | undefined {
  if (targets.length === 0) return undefined;
  const candidates = targets.map(target => score(context, target));
  let best = 0;
  for (let i = 1; i < candidates.length; i++) {
    if (candidates[i].score < candidates[best].score) best = i;
  }
  const rule = candidates[best].cachedTokens > 0 ? 'prefix' : 'load';
  return {target: targets[best], reason: {rule, candidates}};
}

function score({pool, request, nowMs}: RoutingContext, target: TargetState): Candidate {
  const {settings} = pool;
  const load = estimateLoad(pool, target, nowMs);
  const hits = pool.hints.countHits(target.id, request.blocks);
  const cachedTokens = Math.min(request.promptTokens, hits * settings.blockTokens);
  return {
    target: target.id,
    score:
      request.promptTokens -
      cachedTokens +
      load.pendingTokens +
      load.outstanding * settings.tokensPerOutstanding +
      target.health.failureRate * settings.failurePenaltyTokens,
    cachedTokens,
    outstanding: load.outstanding,
    pendingTokens: load.pendingTokens,
    reportAgeMs: load.reportAgeMs,
  };
}

function countExclusions({
  pool,
  request,
  nowMs,
}: RoutingContext): Partial<Record<Exclusion, number>> {
  const counts: Partial<Record<Exclusion, number>> = {};
  for (const target of pool.order) {
    const cause = findExclusion(pool, target, request, nowMs);
    if (cause) counts[cause] = (counts[cause] ?? 0) + 1;
  }
  return counts;
}
