import {
  computeHeadroom,
  createProfile,
  forecastDemand,
  sumDemand,
  updateForecast,
} from './demand-forecast.js';
import {
  AutoscalingDecision,
  AutoscalingInput,
  AutoscalingSettings,
  AutoscalingState,
  DailyProfile,
  DesiredCount,
  DomainTargets,
  UndeliveredTargets,
} from './autoscaling-types.js';
import {createReason} from './reason.js';

/** Maximum change of a domain's count in one step of the spread, as a share of the count. */
const SPREAD_STEP_SHARE = 0.05;

/** Number of on-demand and preemptible targets needed. */
interface CapacityNeed {
  readonly onDemand: number;
  readonly preemptible: number;
}

/** Initial state of a new holder of the `fleet` role; `profile` comes from the order journal. */
export function createAutoscalingState(
  nowMs: number,
  profile: DailyProfile = createProfile(),
): AutoscalingState {
  return {
    startedMs: nowMs,
    updatedMs: undefined,
    total: {level: 0, perMs: 0},
    onDemandOnlyShare: 1,
    batchShare: 0,
    profile,
    forecasts: [],
    errorRatios: [],
    needs: [],
    lastScaleUpMs: -Infinity,
    undelivered: {},
    excludeUntilMs: {},
  };
}

/**
 * Decides how many on-demand and preemptible targets a pool needs in each failure domain. A pure
 * function, to be called every few seconds. Counts are absolute, so a repeated order has no effect.
 */
export function decideTargets(
  state: AutoscalingState,
  input: AutoscalingInput,
  settings: AutoscalingSettings,
  nowMs: number,
): AutoscalingDecision {
  if (input.demandAgeMs > settings.maxDemandAgeMs) {
    const figures = {demandAgeMs: input.demandAgeMs, maxDemandAgeMs: settings.maxDemandAgeMs};
    return {
      state,
      orders: [],
      reason: createReason('hold.age', 'the demand figures are too old', figures),
    };
  }
  const updated = trackDeliveries(
    updateForecast(state, input, settings, nowMs),
    input.targets,
    settings,
    nowMs,
  );
  const forecast = forecastDemand(updated, input.timeOfDayMs, settings);
  const headroom = computeHeadroom(updated, settings);
  const expected = Math.max(forecast, sumDemand(input)) * headroom + input.demand.backlog;
  const need = splitCapacity(expected, updated, input, settings, nowMs);
  const recorded = recordNeed(updated, need, settings, nowMs);
  const wanted = chooseDesiredCounts(recorded, input, need, settings, nowMs);
  const orders = wanted.filter(order => order.desiredCount !== findDesired(input, order));
  const scaleUp = orders.some(order => order.desiredCount > findDesired(input, order));
  const next = scaleUp ? {...recorded, lastScaleUpMs: nowMs} : recorded;
  const figures = {
    demand: sumDemand(input),
    forecast,
    headroom,
    steadyNeed: need.onDemand,
    cheapNeed: need.preemptible,
    steadyDesired: sumDesired(wanted, false),
    cheapDesired: sumDesired(wanted, true),
  };
  return {state: next, orders, reason: describeOrders(orders.length, scaleUp, figures)};
}

function describeOrders(orders: number, scaleUp: boolean, figures: Record<string, number>) {
  if (orders === 0) return createReason('hold', 'the ordered targets match the forecast', figures);
  if (scaleUp) return createReason('order.more', 'the forecast exceeds ordered targets', figures);
  return createReason(
    'order.fewer',
    'targets were surplus for the whole scale-down hold time',
    figures,
  );
}

function domainKey({failureDomain, cheap}: {failureDomain: string; cheap: boolean}): string {
  return `${failureDomain}/${cheap ? 'cheap' : 'steady'}`;
}

function findDesired(input: AutoscalingInput, order: DesiredCount): number {
  const key = domainKey(order);
  return input.targets.find(targets => domainKey(targets) === key)?.desired ?? 0;
}

function sumDesired(counts: readonly DesiredCount[], preemptible: boolean): number {
  return counts
    .filter(count => count.cheap === preemptible)
    .reduce((sum, count) => sum + count.desiredCount, 0);
}

/**
 * Excludes domains that have not delivered any target within the timeout. Each delivery restarts
 * the timeout, since a large domain is almost never complete while failed targets are replaced.
 */
function trackDeliveries(
  state: AutoscalingState,
  targets: readonly DomainTargets[],
  settings: AutoscalingSettings,
  nowMs: number,
): AutoscalingState {
  const undelivered: Record<string, UndeliveredTargets> = {};
  const excludeUntilMs: Record<string, number> = {};
  for (const domain of targets) {
    const key = domainKey(domain);
    const excludeMs = state.excludeUntilMs[key] ?? -Infinity;
    if (excludeMs > nowMs) excludeUntilMs[key] = excludeMs;
    if (domain.ready >= domain.desired) continue;
    const before = state.undelivered[key];
    const isWaiting = before !== undefined && domain.ready <= before.ready;
    const entry = {sinceMs: isWaiting ? before.sinceMs : nowMs, ready: domain.ready};
    if (nowMs - entry.sinceMs < settings.deliveryTimeoutMs) undelivered[key] = entry;
    else excludeUntilMs[key] = nowMs + settings.deliveryTimeoutMs;
  }
  return {...state, undelivered, excludeUntilMs};
}

/** Whether the domain is not expected to deliver more targets than it has. */
function isExcluded(state: AutoscalingState, domain: DomainTargets, nowMs: number): boolean {
  return domain.unavailable || (state.excludeUntilMs[domainKey(domain)] ?? -Infinity) > nowMs;
}

/**
 * Splits the expected work into on-demand and preemptible targets. On-demand targets must have
 * spare capacity for the standard work of the largest preemptible domain. Headroom for forecast
 * errors counts as spare capacity, because both are rarely needed at the same time.
 */
function splitCapacity(
  expected: number,
  state: AutoscalingState,
  input: AutoscalingInput,
  settings: AutoscalingSettings,
  nowMs: number,
): CapacityNeed {
  const {plannedUse} = settings;
  const total = expected / plannedUse;
  const onDemandOnly = total * state.onDemandOnlyShare;
  const usable = input.targets.filter(domain => domain.cheap && !isExcluded(state, domain, nowMs));
  const maxPreemptible = usable.reduce((sum, domain) => sum + domain.maxCount, 0);
  const {preemptibleAvailability} = settings;
  if (maxPreemptible === 0 || settings.preemptiblePrice >= preemptibleAvailability) {
    return {onDemand: coverDomainLoss(total, onDemandOnly, input, settings), preemptible: 0};
  }
  const preemptible = Math.min(
    total - onDemandOnly,
    total * settings.maxPreemptibleShare,
    maxPreemptible * preemptibleAvailability,
  );
  const batchShare = Math.min(1, state.batchShare / Math.max(1e-9, 1 - state.onDemandOnlyShare));
  const largest = ((1 + SPREAD_STEP_SHARE) * preemptible) / usable.length;
  const displaced = largest * plannedUse * (1 - batchShare) * (1 + settings.recomputedShare);
  const remainder = total - preemptible;
  const onDemand = Math.max(
    remainder,
    (remainder * plannedUse + displaced) / settings.emergencyUse,
  );
  return {
    onDemand: coverDomainLoss(onDemand, onDemandOnly, input, settings),
    preemptible: Math.min(maxPreemptible, preemptible / preemptibleAvailability),
  };
}

/** Raises the on-demand count so that on-demand-only work still fits after a domain is lost. */
function coverDomainLoss(
  onDemand: number,
  onDemandOnly: number,
  input: AutoscalingInput,
  settings: AutoscalingSettings,
): number {
  const domains = input.targets.filter(domain => !domain.cheap && !domain.unavailable).length;
  const needed =
    (onDemandOnly * settings.plannedUse * settings.lossCoverage) / settings.emergencyUse;
  const largestShare = (1 + SPREAD_STEP_SHARE) / domains;
  const covered = largestShare < 1 ? needed / (1 - largestShare) : needed;
  return Math.max(onDemand, covered, settings.minPerDomain * domains);
}

/** Records the needs over the scale-down hold time, one entry for each twentieth of it. */
function recordNeed(
  state: AutoscalingState,
  need: CapacityNeed,
  settings: AutoscalingSettings,
  nowMs: number,
): AutoscalingState {
  const gapMs = settings.scaleDownHoldMs / 20;
  const kept = state.needs.filter(entry => nowMs - entry.atMs <= settings.scaleDownHoldMs);
  const last = kept.at(-1);
  if (!last || nowMs - last.atMs >= gapMs) {
    return {...state, needs: [...kept, {atMs: nowMs, ...need}]};
  }
  const merged = {
    atMs: last.atMs,
    onDemand: Math.max(last.onDemand, need.onDemand),
    preemptible: Math.max(last.preemptible, need.preemptible),
  };
  return {...state, needs: [...kept.slice(0, -1), merged]};
}

function chooseDesiredCounts(
  state: AutoscalingState,
  input: AutoscalingInput,
  need: CapacityNeed,
  settings: AutoscalingSettings,
  nowMs: number,
): DesiredCount[] {
  const holdElapsed = nowMs - state.startedMs >= settings.scaleDownHoldMs;
  const choose = (preemptible: boolean, needed: number, peakNeed: number) => {
    const domains = input.targets.filter(domain => domain.cheap === preemptible);
    const desired = domains.reduce((sum, domain) => sum + reliableCount(state, domain, nowMs), 0);
    const goal = applyHysteresis(
      desired,
      Math.ceil(needed - 1e-9),
      holdElapsed ? Math.ceil(peakNeed - 1e-9) : Infinity,
      nowMs - state.lastScaleUpMs,
      settings,
    );
    return spreadTargets(state, domains, goal, preemptible ? 0 : settings.minPerDomain, nowMs).map(
      ([domain, desiredCount]): DesiredCount => ({
        pool: input.pool,
        failureDomain: domain.failureDomain,
        cheap: preemptible,
        desiredCount,
      }),
    );
  };
  const peakOnDemand = state.needs.reduce((most, entry) => Math.max(most, entry.onDemand), 0);
  const peakPreemptible = state.needs.reduce((most, entry) => Math.max(most, entry.preemptible), 0);
  return [
    ...choose(false, need.onDemand, peakOnDemand),
    ...choose(true, need.preemptible, peakPreemptible),
  ];
}

/** Targets of a domain to plan with: the ordered ones, or the ready ones if it is excluded. */
function reliableCount(state: AutoscalingState, domain: DomainTargets, nowMs: number): number {
  if (domain.unavailable) return 0;
  if (isExcluded(state, domain, nowMs)) return Math.min(domain.ready, domain.desired);
  return domain.desired;
}

/** Applies the scale-up cool-down and the scale-down hysteresis to the total. */
function applyHysteresis(
  desired: number,
  needed: number,
  peakNeed: number,
  sinceScaleUpMs: number,
  settings: AutoscalingSettings,
): number {
  if (needed > desired) {
    const urgent = needed - desired > settings.urgentShare * desired;
    if (!urgent && sinceScaleUpMs < settings.scaleUpCooldownMs) return desired;
    // The surplus spares a growing pool further orders; rounding down gives a small pool none.
    return needed + Math.floor(settings.scaleUpSurplusShare * needed);
  }
  const band = Math.max(settings.scaleDownBandTargets, settings.scaleDownBandShare * desired);
  return desired - peakNeed >= band ? Math.max(peakNeed, needed) : desired;
}

/**
 * Adjusts the domains' counts towards a total of `goal`. Each step changes the smallest or largest
 * domain by at most a twentieth, so that a small change needs one order and the spread stays nearly
 * even.
 */
function spreadTargets(
  state: AutoscalingState,
  domains: readonly DomainTargets[],
  goal: number,
  minimum: number,
  nowMs: number,
): Array<readonly [DomainTargets, number]> {
  const counts = domains.map(domain => ({
    domain,
    count: Math.min(domain.maxCount, Math.max(minimum, reliableCount(state, domain, nowMs))),
    open: !isExcluded(state, domain, nowMs),
  }));
  let total = counts.reduce((sum, {count, domain}) => sum + (domain.unavailable ? 0 : count), 0);
  while (total < goal) {
    const growable = counts.filter(({domain, count, open}) => open && count < domain.maxCount);
    if (growable.length === 0) break;
    const smallest = growable.reduce((a, b) => (b.count < a.count ? b : a));
    const step = Math.min(
      goal - total,
      smallest.domain.maxCount - smallest.count,
      spreadStep(smallest.count),
    );
    smallest.count += step;
    total += step;
  }
  while (total > goal) {
    const reducible = counts.filter(({domain, count}) => !domain.unavailable && count > minimum);
    if (reducible.length === 0) break;
    const largest = reducible.reduce((a, b) => (b.count > a.count ? b : a));
    const step = Math.min(total - goal, largest.count - minimum, spreadStep(largest.count));
    largest.count -= step;
    total -= step;
  }
  // An unavailable domain keeps its order; targets that return are scaled down by the usual rules.
  return counts.map(({domain, count}) => [domain, domain.unavailable ? domain.desired : count]);
}

function spreadStep(count: number): number {
  return Math.max(1, Math.floor(SPREAD_STEP_SHARE * count));
}
