import {RandomSource, TargetId} from '@radishgw/core';
import {
  estimateLoad,
  Exclusion,
  findExclusion,
  findFallbackProbe,
  RouteRequest,
} from './eligibility.js';
import {Pool, TargetState} from './pool.js';

/** A target that was considered. */
export interface Candidate {
  readonly target: TargetId;
  /** Estimated cost in prompt tokens; lower is better. */
  readonly score: number;
  /** Prompt tokens that the target probably has in its prefix cache. */
  readonly cachedTokens: number;
  readonly outstanding: number;
  readonly pendingTokens: number;
  /** Age of the load report in use; undefined if there is none. */
  readonly reportAgeMs: number | undefined;
}

/** Why a target was selected; returned by the operators' `/explain` endpoint. */
export interface RouteReason {
  readonly rule: 'probe' | 'prefix' | 'load' | 'order' | 'chance';
  readonly candidates: readonly Candidate[];
}

/** Outcome of {@link routeRequest}. */
export type RouteDecision =
  | {readonly type: 'target'; readonly target: TargetId; readonly reason: RouteReason}
  /** No target can take the request now; `excluded` counts the targets by reason. */
  | {readonly type: 'none'; readonly excluded: Readonly<Partial<Record<Exclusion, number>>>};

interface RoutingContext {
  readonly pool: Pool;
  readonly request: RouteRequest;
  readonly nowMs: number;
  readonly random: RandomSource;
  isEligible(target: TargetState): boolean;
}

interface Selection {
  readonly target: TargetState;
  readonly reason: RouteReason;
}

/** Selects one of the eligible targets; undefined if there is none. */
export type RoutingPolicy = (context: RoutingContext) => Selection | undefined;

/** Policies by name. `prefixOrLoad` is the default; the others serve as baselines in benchmarks. */
export const ROUTING_POLICIES = {
  /** Compares a few random targets and the best prefix holder by uncached tokens plus load. */
  prefixOrLoad: context =>
    selectBest(context, [...sampleForClass(context), ...findPrefixHolder(context)]),
  /** Compares all targets by the same score. */
  prefixOrLoadAll: context => selectBest(context, context.pool.order.filter(context.isEligible)),
  /** Compares a few random targets by load alone. */
  twoChoices: context =>
    selectBest({...context, request: {...context.request, blocks: []}}, sampleForClass(context)),
  /** Uses the best prefix holder at any load, or a few random targets if there is none. */
  prefixOnly: context => {
    const holder = findPrefixHolder(context);
    return selectBest(context, holder.length > 0 ? holder : sampleForClass(context));
  },
  /** Uses the target with the fewest outstanding requests from this host. */
  leastOutstanding: context => {
    let best: TargetState | undefined;
    for (const target of context.pool.order) {
      if (!context.isEligible(target)) continue;
      if (!best || target.localAttempts.size < best.localAttempts.size) best = target;
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

/**
 * Selects a target. The caller must send the attempt and call `recordDispatch` in the same event
 * loop turn.
 */
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
    createProbe(context, findFallbackProbe(pool, request, nowMs));
  if (pick) return {type: 'target', target: pick.target.id, reason: pick.reason};
  return {type: 'none', excluded: countExclusions(context)};
}

/**
 * Returns an excluded target whose probe is due if this request may act as the probe. Suitable
 * probes are idempotent and not urgent. Other requests are used only once the probe is overdue by
 * the maximum exclusion time.
 */
function findProbe(context: RoutingContext): Selection | undefined {
  const {pool, request, nowMs} = context;
  const overdueMs = pool.settings.health.maxExclusionMs;
  const isSuitableProbe = request.isIdempotent === true && request.workClass !== 'urgent';
  for (const target of pool.unhealthy) {
    const {excludedUntilMs = Infinity} = target.health;
    if (!isSuitableProbe && nowMs < excludedUntilMs + overdueMs) continue;
    if (findExclusion(pool, target, request, nowMs, true) === undefined) {
      return createProbe(context, target);
    }
  }
  return undefined;
}

function createProbe(
  context: RoutingContext,
  target: TargetState | undefined,
): Selection | undefined {
  return target && {target, reason: {rule: 'probe', candidates: [scoreTarget(context, target)]}};
}

/** Draws per choice before sampling falls back to a scan, which only a nearly full pool needs. */
const SAMPLE_TRIES = 4;

/** Samples up to `count` distinct eligible targets uniformly at random. */
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

function sampleForClass(context: RoutingContext): TargetState[] {
  return sampleTargets(context, context.pool.settings.choices[context.request.workClass]);
}

/** Returns the least loaded of the eligible targets that hold the longest prefix of the prompt. */
function findPrefixHolder(context: RoutingContext): TargetState[] {
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

function selectBest(
  context: RoutingContext,
  targets: readonly TargetState[],
): Selection | undefined {
  if (targets.length === 0) return undefined;
  const candidates = targets.map(target => scoreTarget(context, target));
  let best = 0;
  for (let i = 1; i < candidates.length; i++) {
    if (candidates[i].score < candidates[best].score) best = i;
  }
  const rule = candidates[best].cachedTokens > 0 ? 'prefix' : 'load';
  return {target: targets[best], reason: {rule, candidates}};
}

function scoreTarget({pool, request, nowMs}: RoutingContext, target: TargetState): Candidate {
  const {settings} = pool;
  const load = estimateLoad(pool, target, nowMs);
  const cachedBlocks = pool.hints.countCachedBlocks(target.id, request.blocks);
  const cachedTokens = Math.min(request.promptTokens, cachedBlocks * settings.blockTokens);
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
