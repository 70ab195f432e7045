import {
  createProfile,
  findHeadroom,
  forecastDemand,
  learnForecast,
  sumDemand,
} from './demand-forecast.js';
import {
  DailyProfile,
  DesiredCount,
  DomainTargets,
  MissingTargets,
  OrderingDecision,
  OrderingInput,
  OrderingSettings,
  OrderingState,
} from './ordering-types.js';
import {explain} from './reason.js';

/** Targets needed of both kinds. */
interface Need {
  readonly steady: number;
  readonly cheap: number;
}

/** State of a new holder of the fleet role; `profile` comes from the order journal. */
export function createOrderingState(
  nowMs: number,
  profile: DailyProfile = createProfile(),
): OrderingState {
  return {
    startedMs: nowMs,
    updatedMs: undefined,
    total: {level: 0, perMs: 0},
    steadyOnlyShare: 1,
    batchShare: 0,
    profile,
    forecasts: [],
    errorRatios: [],
    needs: [],
    lastIncreaseMs: -Infinity,
    missing: {},
    avoidUntilMs: {},
  };
}

/**
 * Decides how many targets of a pool are wanted in each failure domain, cheap and not. Pure; call
 * it every few seconds. Counts are absolute, so that a repeated order has no further effect.
 */
export function decideTargets(
  state: OrderingState,
  input: OrderingInput,
  settings: OrderingSettings,
  nowMs: number,
): OrderingDecision {
  if (input.demandAgeMs > settings.maxDemandAgeMs) {
    const figures = {demandAgeMs: input.demandAgeMs, maxDemandAgeMs: settings.maxDemandAgeMs};
    return {state, orders: [], reason: explain('hold.age', 'the demand figures are old', figures)};
  }
  const learned = watchArrivals(
    learnForecast(state, input, settings, nowMs),
    input.targets,
    settings,
    nowMs,
  );
  const forecast = forecastDemand(learned, input.timeOfDayMs, settings);
  const headroom = findHeadroom(learned, settings);
  const expected = Math.max(forecast, sumDemand(input)) * headroom + input.demand.backlog;
  const need = splitNeed(expected, learned, input, settings, nowMs);
  const held = recordNeed(learned, need, settings, nowMs);
  const wanted = chooseCounts(held, input, need, settings, nowMs);
  const orders = wanted.filter(order => order.desiredCount !== findDesired(input, order));
  const increase = orders.some(order => order.desiredCount > findDesired(input, order));
  const next = increase ? {...held, lastIncreaseMs: nowMs} : held;
  const figures = {
    demand: sumDemand(input),
    forecast,
    headroom,
    steadyNeed: need.steady,
    cheapNeed: need.cheap,
    steadyDesired: sumDesired(wanted, false),
    cheapDesired: sumDesired(wanted, true),
  };
  return {state: next, orders, reason: explainOrders(orders.length, increase, figures)};
}

function explainOrders(orders: number, increase: boolean, figures: Record<string, number>) {
  if (orders === 0) return explain('hold', 'the ordered targets fit the forecast', figures);
  if (increase) return explain('order.more', 'the forecast exceeds the ordered targets', figures);
  return explain('order.fewer', 'targets were surplus for the whole hold time', figures);
}

function keyOf({failureDomain, cheap}: {failureDomain: string; cheap: boolean}): string {
  return `${failureDomain}/${cheap ? 'cheap' : 'steady'}`;
}

function findDesired(input: OrderingInput, order: DesiredCount): number {
  const key = keyOf(order);
  return input.targets.find(targets => keyOf(targets) === key)?.desired ?? 0;
}

function sumDesired(counts: readonly DesiredCount[], cheap: boolean): number {
  return counts
    .filter(count => count.cheap === cheap)
    .reduce((sum, count) => sum + count.desiredCount, 0);
}

/**
 * Notes domains that have not delivered for longer than the timeout. Any arrival starts the time
 * again, since targets that fail and are replaced leave a large domain almost never complete.
 */
function watchArrivals(
  state: OrderingState,
  targets: readonly DomainTargets[],
  settings: OrderingSettings,
  nowMs: number,
): OrderingState {
  const missing: Record<string, MissingTargets> = {};
  const avoidUntilMs: Record<string, number> = {};
  for (const domain of targets) {
    const key = keyOf(domain);
    const avoidMs = state.avoidUntilMs[key] ?? -Infinity;
    if (avoidMs > nowMs) avoidUntilMs[key] = avoidMs;
    if (domain.ready >= domain.desired) continue;
    const before = state.missing[key];
    const isWaiting = before !== undefined && domain.ready <= before.ready;
    const entry = {sinceMs: isWaiting ? before.sinceMs : nowMs, ready: domain.ready};
    if (nowMs - entry.sinceMs < settings.arrivalTimeoutMs) missing[key] = entry;
    else avoidUntilMs[key] = nowMs + settings.arrivalTimeoutMs;
  }
  return {...state, missing, avoidUntilMs};
}

/** True when the domain can't be counted on for more targets than it has. */
function isAvoided(state: OrderingState, domain: DomainTargets, nowMs: number): boolean {
  return domain.unavailable || (state.avoidUntilMs[keyOf(domain)] ?? -Infinity) > nowMs;
}

/**
 * Splits the expected work into steady and cheap targets. Cheap targets are used as far as the
 * steady ones have room for the work that can't wait of the fullest cheap domain; headroom that is
 * kept for forecast errors counts as room, because both are rarely needed at the same moment.
 */
function splitNeed(
  expected: number,
  state: OrderingState,
  input: OrderingInput,
  settings: OrderingSettings,
  nowMs: number,
): Need {
  const {plannedUse} = settings;
  const total = expected / plannedUse;
  const steadyOnly = total * state.steadyOnlyShare;
  const usable = input.targets.filter(domain => domain.cheap && !isAvoided(state, domain, nowMs));
  const cheapMax = usable.reduce((sum, domain) => sum + domain.maxCount, 0);
  const {cheapAvailability} = settings;
  if (cheapMax === 0 || settings.cheapPrice >= cheapAvailability) {
    return {steady: coverLoss(total, steadyOnly, input, settings), cheap: 0};
  }
  const present = Math.min(
    total - steadyOnly,
    total * settings.maxCheapShare,
    cheapMax * cheapAvailability,
  );
  const batchPart = Math.min(1, state.batchShare / Math.max(1e-9, 1 - state.steadyOnlyShare));
  const largest = present / usable.length;
  const displaced = largest * plannedUse * (1 - batchPart) * (1 + settings.repeatedShare);
  const rest = total - present;
  const steady = Math.max(rest, (rest * plannedUse + displaced) / settings.emergencyUse);
  return {
    steady: coverLoss(steady, steadyOnly, input, settings),
    cheap: Math.min(cheapMax, present / cheapAvailability),
  };
}

/** Raises the steady count until the work that needs steady targets survives a domain's loss. */
function coverLoss(
  steady: number,
  steadyOnly: number,
  input: OrderingInput,
  settings: OrderingSettings,
): number {
  const domains = input.targets.filter(domain => !domain.cheap && !domain.unavailable).length;
  const needed = (steadyOnly * settings.plannedUse * settings.lossCoverage) / settings.emergencyUse;
  const covered = domains > 1 ? (needed * domains) / (domains - 1) : needed;
  return Math.max(steady, covered, settings.minPerDomain * domains);
}

/** Keeps the needs of the hold time, one entry for each twentieth of it. */
function recordNeed(
  state: OrderingState,
  need: Need,
  settings: OrderingSettings,
  nowMs: number,
): OrderingState {
  const gapMs = settings.releaseHoldMs / 20;
  const kept = state.needs.filter(entry => nowMs - entry.atMs <= settings.releaseHoldMs);
  const last = kept.at(-1);
  if (!last || nowMs - last.atMs >= gapMs) {
    return {...state, needs: [...kept, {atMs: nowMs, ...need}]};
  }
  const merged = {
    atMs: last.atMs,
    steady: Math.max(last.steady, need.steady),
    cheap: Math.max(last.cheap, need.cheap),
  };
  return {...state, needs: [...kept.slice(0, -1), merged]};
}

function chooseCounts(
  state: OrderingState,
  input: OrderingInput,
  need: Need,
  settings: OrderingSettings,
  nowMs: number,
): DesiredCount[] {
  const heldFull = nowMs - state.startedMs >= settings.releaseHoldMs;
  const choose = (cheap: boolean, needed: number, heldNeed: number) => {
    const domains = input.targets.filter(domain => domain.cheap === cheap);
    const desired = domains.reduce((sum, domain) => sum + countOn(state, domain, nowMs), 0);
    const goal = chooseTotal(
      desired,
      Math.ceil(needed - 1e-9),
      heldFull ? Math.ceil(heldNeed - 1e-9) : Infinity,
      nowMs - state.lastIncreaseMs,
      settings,
    );
    return spreadTargets(state, domains, goal, cheap ? 0 : settings.minPerDomain, nowMs).map(
      ([domain, desiredCount]): DesiredCount => ({
        pool: input.pool,
        failureDomain: domain.failureDomain,
        cheap,
        desiredCount,
      }),
    );
  };
  const heldSteady = state.needs.reduce((most, entry) => Math.max(most, entry.steady), 0);
  const heldCheap = state.needs.reduce((most, entry) => Math.max(most, entry.cheap), 0);
  return [...choose(false, need.steady, heldSteady), ...choose(true, need.cheap, heldCheap)];
}

/** Targets of a domain that the plan can count on: the ordered ones, or those that arrived. */
function countOn(state: OrderingState, domain: DomainTargets, nowMs: number): number {
  if (domain.unavailable) return 0;
  if (isAvoided(state, domain, nowMs)) return Math.min(domain.ready, domain.desired);
  return domain.desired;
}

/** Applies the gap between increases and the hold time and band of releases to the total. */
function chooseTotal(
  desired: number,
  needed: number,
  heldNeed: number,
  sinceIncreaseMs: number,
  settings: OrderingSettings,
): number {
  if (needed > desired) {
    const urgent = needed - desired > settings.urgentShare * desired;
    return urgent || sinceIncreaseMs >= settings.minIncreaseGapMs ? needed : desired;
  }
  const band = Math.max(settings.releaseBandTargets, settings.releaseBandShare * desired);
  return desired - heldNeed >= band ? Math.max(heldNeed, needed) : desired;
}

/** Moves the domains' counts to the total one by one, which keeps orders few and the spread even. */
function spreadTargets(
  state: OrderingState,
  domains: readonly DomainTargets[],
  goal: number,
  minimum: number,
  nowMs: number,
): Array<readonly [DomainTargets, number]> {
  const counts = domains.map(domain => ({
    domain,
    count: Math.min(domain.maxCount, Math.max(minimum, countOn(state, domain, nowMs))),
    open: !isAvoided(state, domain, nowMs),
  }));
  let total = counts.reduce((sum, {count, domain}) => sum + (domain.unavailable ? 0 : count), 0);
  while (total < goal) {
    const free = counts.filter(({domain, count, open}) => open && count < domain.maxCount);
    if (free.length === 0) break;
    free.reduce((least, entry) => (entry.count < least.count ? entry : least)).count++;
    total++;
  }
  while (total > goal) {
    const over = counts.filter(({domain, count}) => !domain.unavailable && count > minimum);
    if (over.length === 0) break;
    over.reduce((most, entry) => (entry.count > most.count ? entry : most)).count--;
    total--;
  }
  // An unavailable domain keeps its order: what comes back is given back under the usual rules.
  return counts.map(({domain, count}) => [domain, domain.unavailable ? domain.desired : count]);
}
