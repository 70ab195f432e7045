import {createReason, DecisionReason} from './reason.js';
import {EngineRole} from '../engine-control.js';
import {
  EngineLoad,
  PoolLoad,
  RoleChange,
  RoleDecision,
  RoleSettings,
  RoleState,
} from './role-types.js';
import {clamp, smooth, updateTrend} from './smoothing.js';

const HOUR_MS = 3_600_000;

/** Time constant of the variance from which the number of mixed-role engines is derived. */
const SHARE_VARIANCE_TAU_MS = 300_000;

/** Cap on the backlog as a share of the pool. Without it, one burst would change every role. */
const MAX_BACKLOG_SHARE = 0.25;

/** Work of the pool, in engines. */
interface PoolWork {
  readonly prefill: number;
  readonly decode: number;
}

/** Number of engines by role, without those that are leaving. */
interface RoleCounts {
  readonly prefill: number;
  readonly both: number;
  readonly decode: number;
}

/** Planned change of the prefill/decode split and of the number of mixed-role engines. */
interface SplitPlan {
  /** Engines by which the prefill side should grow; a mixed-role engine counts half. */
  readonly shift: number;
  readonly mixedWanted: number;
  readonly reason: DecisionReason;
}

/**
 * Initial state of a new holder of the `fleet` role.
 * @param changeAgesMs ages of the role changes of the last hour, from the order journal, so that
 *     the hourly limit also holds across a takeover
 */
export function createRoleState(nowMs: number, changeAgesMs: readonly number[] = []): RoleState {
  return {
    startedMs: nowMs,
    updatedMs: undefined,
    prefill: {level: 0, perMs: 0},
    decode: {level: 0, perMs: 0},
    shareVariance: 0,
    changesMs: changeAgesMs.map(ageMs => nowMs - ageMs).sort((a, b) => a - b),
    lastDirection: 0,
  };
}

/** Maximum number of role changes in any hour for a pool of `engineCount` engines. */
export function maxRoleChangesPerHour(settings: RoleSettings, engineCount: number): number {
  const share = Math.floor(settings.maxChangesPerHourShare * engineCount);
  return Math.max(settings.maxChangesPerHour, share);
}

/**
 * Decides which engines of a pool change their role. A pure function, to be called every few
 * seconds. Ordered roles count as in force, so a change not yet reported isn't ordered twice.
 */
export function decideRoles(
  state: RoleState,
  load: PoolLoad,
  settings: RoleSettings,
  nowMs: number,
): RoleDecision {
  const engines = load.engines.filter(engine => !engine.leaving);
  const fresh = engines.filter(engine => engine.reportAgeMs <= settings.maxReportAgeMs);
  if (engines.length === 0 || fresh.length < settings.minReportShare * engines.length) {
    return hold(state, 'hold.reports', 'too few engines have a recent load report', {
      engines: engines.length,
      freshReports: fresh.length,
    });
  }
  const demand = aggregateDemand(load, fresh, engines.length, settings);
  const updated = updateDemand(state, demand, settings, nowMs);
  const counts = countRoles(engines);
  const plan = planSplit(updated, counts, settings, nowMs);
  const limit = limitChanges(updated, engines, settings, nowMs);
  if (plan.shift === 0 && counts.both <= plan.mixedWanted) {
    return {state: updated, changes: [], reason: plan.reason};
  }
  if (limit.allowed === 0) return {state: updated, changes: [], reason: limit.reason};
  const changes = chooseEngines(engines, counts, plan, limit.allowed, settings);
  if (changes.length === 0) {
    return hold(updated, 'hold.dwell', 'all candidate engines changed their role recently', {
      minDwellMs: settings.minDwellMs,
    });
  }
  return {state: recordChanges(updated, changes, plan.shift, nowMs), changes, reason: plan.reason};
}

function hold(
  state: RoleState,
  rule: string,
  text: string,
  figures: Record<string, number>,
): RoleDecision {
  return {state, changes: [], reason: createReason(rule, text, figures)};
}

/** Adds up recent reports and scales the sum to the whole pool. */
function aggregateDemand(
  load: PoolLoad,
  fresh: readonly EngineLoad[],
  engineCount: number,
  settings: RoleSettings,
): PoolWork {
  let prefill = 0;
  let backlogMs = load.waitingPrefillMs ?? 0;
  let decode = 0;
  let waiting = load.waitingDecode ?? 0;
  for (const engine of fresh) {
    prefill += engine.prefillWork;
    backlogMs += engine.prefillBacklogMs;
    decode += engine.decodeWork;
    waiting += engine.decodeBacklog;
  }
  const scale = engineCount / fresh.length;
  const maxBacklog = MAX_BACKLOG_SHARE * engineCount;
  return {
    prefill: scale * prefill + Math.min(maxBacklog, (scale * backlogMs) / settings.backlogDrainMs),
    decode: scale * decode + Math.min(maxBacklog, scale * waiting),
  };
}

function updateDemand(
  state: RoleState,
  demand: PoolWork,
  settings: RoleSettings,
  nowMs: number,
): RoleState {
  const changesMs = state.changesMs.filter(atMs => nowMs - atMs < HOUR_MS);
  if (state.updatedMs === undefined) {
    const prefill = {level: demand.prefill, perMs: 0};
    const decode = {level: demand.decode, perMs: 0};
    return {...state, updatedMs: nowMs, prefill, decode, changesMs};
  }
  const elapsedMs = nowMs - state.updatedMs;
  const {levelTauMs, trendTauMs} = settings;
  const deviation =
    shareOf(demand.prefill, demand.decode) - shareOf(state.prefill.level, state.decode.level);
  return {
    ...state,
    updatedMs: nowMs,
    prefill: updateTrend(state.prefill, demand.prefill, elapsedMs, levelTauMs, trendTauMs),
    decode: updateTrend(state.decode, demand.decode, elapsedMs, levelTauMs, trendTauMs),
    shareVariance: smooth(state.shareVariance, deviation ** 2, elapsedMs, SHARE_VARIANCE_TAU_MS),
    changesMs,
  };
}

function shareOf(prefill: number, decode: number): number {
  return prefill / Math.max(1e-9, prefill + decode);
}

function countRoles(engines: readonly EngineLoad[]): RoleCounts {
  const counts = {prefill: 0, both: 0, decode: 0};
  for (const engine of engines) counts[engine.role]++;
  return counts;
}

/** Work that exceeds the planned capacity, in engines. */
function findShortage(
  prefill: number,
  both: number,
  decode: number,
  demand: PoolWork,
  settings: RoleSettings,
): number {
  const prefillShort = Math.max(0, demand.prefill / settings.plannedPrefillUse - prefill);
  const decodeShort = Math.max(0, demand.decode / settings.plannedDecodeUse - decode);
  return Math.max(0, prefillShort + decodeShort - settings.mixedEfficiency * both);
}

/** The split that the forecast demand requires, compared with the current one. */
interface SplitComparison {
  readonly demand: PoolWork;
  /** Wanted and current engines on the prefill side; a mixed-role engine counts half. */
  readonly wanted: number;
  readonly present: number;
  /** Difference between wanted and current engines, rounded to half an engine. */
  readonly shift: number;
  readonly mixedWanted: number;
}

function compareSplit(
  state: RoleState,
  counts: RoleCounts,
  settings: RoleSettings,
): SplitComparison {
  const total = counts.prefill + counts.both + counts.decode;
  const demand: PoolWork = {
    prefill: Math.max(0, state.prefill.level + state.prefill.perMs * settings.leadTimeMs),
    decode: Math.max(0, state.decode.level + state.decode.perMs * settings.leadTimeMs),
  };
  const wanted =
    total *
    shareOf(demand.prefill / settings.plannedPrefillUse, demand.decode / settings.plannedDecodeUse);
  const present = counts.prefill + counts.both / 2;
  const spread = Math.sqrt(state.shareVariance) * total * settings.mixedDeviations;
  const minMixed = Math.min(total, settings.minMixed);
  const maxMixed = Math.max(minMixed, Math.floor(settings.maxMixedShare * total));
  const mixedWanted = clamp(Math.ceil(2 * spread), minMixed, maxMixed);
  return {demand, wanted, present, shift: Math.round(2 * (wanted - present)) / 2, mixedWanted};
}

/** Compares the benefit of moving to the wanted split with the cost of the changes. */
function planSplit(
  state: RoleState,
  counts: RoleCounts,
  settings: RoleSettings,
  nowMs: number,
): SplitPlan {
  const total = counts.prefill + counts.both + counts.decode;
  const {demand, wanted, present, shift, mixedWanted} = compareSplit(state, counts, settings);
  // Mixed-role engines absorb a deviation of half their number in either direction.
  const deadband = Math.max(
    settings.deadbandEngines,
    settings.deadbandShare * total,
    counts.both / 2,
  );
  const sinceChangeMs = nowMs - (state.changesMs.at(-1) ?? -Infinity);
  const isReversal =
    Math.sign(shift) === -state.lastDirection && sinceChangeMs < settings.reversalHoldMs;
  const needed = isReversal ? 2 * deadband : deadband;
  const {both} = counts;
  const before = findShortage(counts.prefill, both, counts.decode, demand, settings);
  const after = findShortage(present + shift, 0, total - present - shift, demand, settings);
  const changesThisHour = state.changesMs.length;
  // The cost rises as the hourly budget is used up, which saves changes for worse shortages.
  const budgetLeft = 1 - changesThisHour / maxRoleChangesPerHour(settings, total);
  const price = settings.changeCostMs / Math.max(0.1, budgetLeft);
  const figures = {
    prefillDemand: demand.prefill,
    decodeDemand: demand.decode,
    wantedPrefill: wanted,
    presentPrefill: present,
    shift,
    deadband: needed,
    shortage: before,
    changesThisHour,
  };
  const keepSplit = (rule: string, text: string): SplitPlan => ({
    shift: 0,
    mixedWanted: Math.max(mixedWanted, both),
    reason: createReason(rule, text, figures),
  });
  if (nowMs - state.startedMs < settings.warmUpMs) {
    return keepSplit('hold.warmUp', 'the demand has not been observed for long enough');
  }
  if (sinceChangeMs < settings.settleMs) {
    return keepSplit('hold.settle', 'reports do not show the last change yet');
  }
  if (Math.abs(shift) < needed) {
    if (both - mixedWanted >= Math.max(2, 2 * deadband) && before > 0) {
      const text = 'more engines have both roles than the variance of the split requires';
      return {shift: 0, mixedWanted, reason: createReason('change.unmix', text, figures)};
    }
    const rule = isReversal ? 'hold.reversal' : 'hold.deadband';
    return keepSplit(rule, 'the split is close enough to the demand');
  }
  if ((before - after) * settings.minDwellMs <= Math.abs(shift) * price) {
    return keepSplit('hold.cost', 'the change would cost more than the shortage it relieves');
  }
  const text = `the ${shift > 0 ? 'prefill' : 'decode'} side is short of engines`;
  return {shift, mixedWanted, reason: createReason('change.split', text, figures)};
}

/** Number of engines that may change now under the hourly and the concurrency limit. */
function limitChanges(
  state: RoleState,
  engines: readonly EngineLoad[],
  settings: RoleSettings,
  nowMs: number,
): {readonly allowed: number; readonly reason: DecisionReason} {
  const bound = maxRoleChangesPerHour(settings, engines.length);
  const recent = state.changesMs.filter(atMs => nowMs - atMs < HOUR_MS).length;
  const concurrent = Math.max(1, Math.floor(settings.maxConcurrentShare * engines.length));
  const changing = engines.filter(engine => engine.changing).length;
  const allowed = Math.max(0, Math.min(bound - recent, concurrent - changing));
  const text =
    recent >= bound
      ? 'the limit on role changes per hour is reached'
      : 'the limit on concurrent role changes is reached';
  const rule = recent >= bound ? 'hold.hourly' : 'hold.concurrent';
  return {allowed, reason: createReason(rule, text, {recent, bound, changing, concurrent})};
}

/** A role change and the distance by which it moves the split, in engines. */
interface RoleStep {
  readonly from: EngineRole;
  readonly to: EngineRole;
  readonly size: number;
}

/** Steps in order of preference for the current number of mixed-role engines. */
function listSteps(shift: number, left: number, both: number, mixedWanted: number): RoleStep[] {
  const gaining: EngineRole = shift > 0 ? 'prefill' : 'decode';
  const losing: EngineRole = shift > 0 ? 'decode' : 'prefill';
  const unmix: RoleStep = {from: 'both', to: gaining, size: 0.5};
  const mix: RoleStep = {from: losing, to: 'both', size: 0.5};
  const swap: RoleStep = {from: losing, to: gaining, size: 1};
  if (both > mixedWanted) return [unmix, swap, mix];
  if (left < 1) return [mix, unmix];
  return both < mixedWanted ? [mix, swap, unmix] : [swap, mix, unmix];
}

/** Selects engines: those with the least work in the failure domains with most engines first. */
function chooseEngines(
  engines: readonly EngineLoad[],
  counts: RoleCounts,
  plan: SplitPlan,
  allowed: number,
  settings: RoleSettings,
): RoleChange[] {
  const candidates = engines.filter(
    engine => !engine.changing && engine.roleAgeMs >= settings.minDwellMs,
  );
  const present = {...counts};
  const queues: Record<EngineRole, EngineLoad[]> = {
    prefill: rankByCost(candidates, 'prefill'),
    both: rankByCost(candidates, 'both'),
    decode: rankByCost(candidates, 'decode'),
  };
  const changes: RoleChange[] = [];
  const change = (from: EngineRole, to: EngineRole): boolean => {
    const next = {...present};
    next[from]--;
    next[to]++;
    // Each kind of work needs at least one engine that can do it.
    if (next.prefill + next.both < 1 || next.decode + next.both < 1) return false;
    const engine = queues[from].pop();
    if (!engine) return false;
    Object.assign(present, next);
    changes.push({targetId: engine.targetId, from, to});
    return true;
  };
  if (plan.shift === 0) {
    // Alternating sides moves the split by at most half an engine.
    const sides: readonly EngineRole[] = ['decode', 'prefill'];
    for (let i = 0; i < counts.both - plan.mixedWanted && i < allowed; i++) {
      if (!change('both', sides[i % 2])) break;
    }
    return changes;
  }
  let remainingShift = Math.abs(plan.shift);
  while (remainingShift > 0 && changes.length < allowed) {
    const steps = listSteps(plan.shift, remainingShift, present.both, plan.mixedWanted);
    const done = steps.find(({from, to, size}) => size <= remainingShift && change(from, to));
    if (!done) break;
    remainingShift -= done.size;
  }
  return changes;
}

/** Engines of a role, ordered so that the best one to change is last. */
function rankByCost(candidates: readonly EngineLoad[], role: EngineRole): EngineLoad[] {
  const work = ({prefillWork, decodeWork, decodeBacklog}: EngineLoad) =>
    prefillWork + decodeWork + decodeBacklog;
  const ofRole = candidates.filter(engine => engine.role === role);
  ofRole.sort((a, b) => work(b) - work(a));
  // Ranking within each domain takes engines from the domain with most engines first.
  const taken = new Map<string, number>();
  const ranked = ofRole.map(engine => {
    const rank = (taken.get(engine.failureDomain) ?? 0) + 1;
    taken.set(engine.failureDomain, rank);
    return {engine, rank};
  });
  return ranked
    .sort((a, b) => a.rank - b.rank || work(b.engine) - work(a.engine))
    .map(({engine}) => engine);
}

function recordChanges(
  state: RoleState,
  changes: readonly RoleChange[],
  shift: number,
  nowMs: number,
): RoleState {
  const direction = shift === 0 ? state.lastDirection : shift > 0 ? 1 : -1;
  const changesMs = [...state.changesMs, ...changes.map(() => nowMs)];
  return {...state, changesMs, lastDirection: direction};
}
