import {FailureDomain} from '@radishgw/core';
import {
  DomainLoad,
  PreemptibleDecision,
  PreemptibleDomainState,
  PreemptibleLimit,
  PreemptibleSettings,
  PreemptibleState,
  RunningWork,
  WithdrawalAction,
  WithdrawalDecision,
  WithdrawalNotice,
  WithdrawalPlan,
  WorkTraits,
} from './preemptible-types.js';
import {createReason, DecisionReason} from './reason.js';

/** Margin between the end of a request or a transfer and the withdrawal. */
const NOTICE_MARGIN_MS = 500;

/** Growth of the work that the limits allow between two decisions, as a share of the work. */
const ARRIVAL_MARGIN = 0.25;

/**
 * Initial state, also used after a takeover. No domain is suspended, and each limit starts at the
 * work that already runs on the domain's preemptible targets.
 */
export function createPreemptibleState(): PreemptibleState {
  return {updatedMs: undefined, domains: []};
}

/** Whether work may run on preemptible targets: it can be retried and isn't urgent. */
export function isPreemptible(work: WorkTraits): boolean {
  return work.repeatable && work.workClass !== 'urgent';
}

/** A failure domain with its stored state and the limit that follows from that state alone. */
interface DomainPlan {
  readonly load: DomainLoad;
  readonly domainState: PreemptibleDomainState;
  readonly suspended: boolean;
  readonly workLimit: number;
}

/**
 * Limits the work on the preemptible targets of each failure domain, and sets how much on-demand
 * capacity batch work leaves free for work displaced by the loss of all preemptible targets of one
 * domain.
 *
 * Standard work is spread evenly over the domains to keep the worst loss small. It is not held back
 * for lack of spare capacity: on on-demand targets it would occupy the same capacity all the time,
 * and in a queue it would certainly wait. The shortfall is reported instead.
 */
export function decidePreemptibleLimits(
  state: PreemptibleState,
  loads: readonly DomainLoad[],
  settings: PreemptibleSettings,
  nowMs: number,
): PreemptibleDecision {
  const plans = planDomains(state, loads, settings, nowMs);
  const standard = loads.reduce(
    (sum, load) => sum + load.preemptibleStandardWork + load.onDemandMovableWork,
    0,
  );
  const expected = spreadEvenly(plans, standard);
  const allowed = spreadEvenly(plans, standard * (1 + ARRIVAL_MARGIN));
  const needs = plans.map(({workLimit}, index) => {
    const batch = Math.max(0, workLimit - expected[index]);
    return (expected[index] + batch * settings.batchReserveShare) * (1 + settings.recomputedShare);
  });
  const reserves = distributeReserve(loads, needs);
  const onPreemptible = expected.reduce((sum, work) => sum + work, 0);
  const roomShort = findCapacityShortfall(
    loads,
    needs,
    Math.max(0, standard - onPreemptible),
    settings,
  );
  const limits = plans.map(({load, suspended, workLimit}, index): PreemptibleLimit => ({
    failureDomain: load.failureDomain,
    standardWorkLimit: allowed[index],
    workLimit,
    reservedRoom: reserves[index],
    suspended,
  }));
  const domains = plans.map(({domainState, workLimit}) => ({...domainState, workLimit}));
  const reason = describeLimits(limits, roomShort);
  return {state: {updatedMs: nowMs, domains}, limits, roomShort, reason};
}

/** Applies suspensions, the ramp-up and the maximum share of preemptible capacity. */
function planDomains(
  state: PreemptibleState,
  loads: readonly DomainLoad[],
  settings: PreemptibleSettings,
  nowMs: number,
): DomainPlan[] {
  const elapsedMs = nowMs - (state.updatedMs ?? nowMs);
  const previous = new Map(state.domains.map(domain => [domain.failureDomain, domain]));
  const plans = loads.map(load => {
    const currentWork = load.preemptibleStandardWork + load.preemptibleBatchWork;
    const domainState =
      previous.get(load.failureDomain) ?? createDomainState(load.failureDomain, currentWork);
    const suspended = nowMs < domainState.suspendedUntilMs;
    const usable = suspended ? 0 : load.preemptibleCapacity * settings.emergencyUse;
    const ramp = (elapsedMs / 60_000) * settings.rampPerMinute * load.preemptibleCapacity;
    return {
      load,
      domainState,
      suspended,
      workLimit: Math.min(usable, domainState.workLimit + ramp),
    };
  });
  const scale = scaleToMaxShare(loads, plans, settings);
  return plans.map(plan => ({...plan, workLimit: plan.workLimit * scale}));
}

/** Assigns `work` to the domains as evenly as their limits allow. */
function spreadEvenly(plans: readonly DomainPlan[], work: number): number[] {
  let left = work;
  let level = 0;
  const limits = plans.map(({workLimit}) => workLimit).sort((a, b) => a - b);
  limits.forEach((limit, index) => {
    const open = limits.length - index;
    const step = Math.min(limit - level, left / open);
    level += step;
    left -= step * open;
  });
  return plans.map(({workLimit}) => Math.min(workLimit, level));
}

/**
 * Amount by which the work displaced by the worst domain loss exceeds the spare on-demand capacity
 * of the other domains.
 * @param remaining standard work that could run on preemptible targets but stays on on-demand ones
 */
function findCapacityShortfall(
  loads: readonly DomainLoad[],
  needs: readonly number[],
  remaining: number,
  settings: PreemptibleSettings,
): number {
  const spareCapacities = loads.map(load => {
    const fixed = load.onDemandWork - load.onDemandMovableWork;
    return Math.max(0, load.onDemandCapacity * settings.emergencyUse - fixed);
  });
  const total = spareCapacities.reduce((sum, spare) => sum + spare, 0);
  return needs.reduce((worst, need, lost) => {
    if (need <= 0) return worst;
    return Math.max(worst, need - Math.max(0, total - spareCapacities[lost] - remaining));
  }, 0);
}

function createDomainState(failureDomain: FailureDomain, workLimit = 0): PreemptibleDomainState {
  return {
    failureDomain,
    withdrawals: [],
    suspendedUntilMs: -Infinity,
    lastSuspendMs: -Infinity,
    suspensions: 0,
    workLimit,
  };
}

function scaleToMaxShare(
  loads: readonly DomainLoad[],
  wanted: ReadonlyArray<{readonly workLimit: number}>,
  settings: PreemptibleSettings,
): number {
  const preemptible = wanted.reduce((sum, domain) => sum + domain.workLimit, 0);
  const onDemand =
    loads.reduce((sum, load) => sum + load.onDemandCapacity, 0) * settings.plannedUse;
  const allowed =
    settings.maxPreemptibleShare >= 1
      ? Infinity
      : (onDemand * settings.maxPreemptibleShare) / (1 - settings.maxPreemptibleShare);
  return preemptible > allowed ? allowed / preemptible : 1;
}

/**
 * Distributes the reserve for the worst loss over on-demand targets. Work displaced by the loss of
 * a domain must fit into the other domains, so each domain reserves a part of the largest need of
 * the others, in proportion to its on-demand capacity.
 */
function distributeReserve(loads: readonly DomainLoad[], needs: readonly number[]): number[] {
  const onDemand = loads.map(load => load.onDemandCapacity);
  const totalOnDemand = onDemand.reduce((sum, capacity) => sum + capacity, 0);
  return loads.map((_, index) => {
    let reserve = 0;
    needs.forEach((need, lost) => {
      const elsewhere = totalOnDemand - onDemand[lost];
      if (lost === index || elsewhere <= 0) return;
      reserve = Math.max(reserve, (need * onDemand[index]) / elsewhere);
    });
    return Math.min(reserve, onDemand[index]);
  });
}

function describeLimits(limits: readonly PreemptibleLimit[], roomShort: number): DecisionReason {
  const suspended = limits.filter(limit => limit.suspended).length;
  const figures = {
    roomShort,
    standardWorkLimit: limits.reduce((sum, limit) => sum + limit.standardWorkLimit, 0),
    workLimit: limits.reduce((sum, limit) => sum + limit.workLimit, 0),
    reservedRoom: limits.reduce((sum, limit) => sum + limit.reservedRoom, 0),
    suspendedDomains: suspended,
  };
  if (suspended > 0) {
    return createReason(
      'limit.suspended',
      'failure domains with recent withdrawals receive no work',
      figures,
    );
  }
  if (roomShort > 0) {
    return createReason(
      'limit.roomShort',
      'on-demand targets lack spare capacity for the worst domain loss',
      figures,
    );
  }
  return createReason(
    'limit.room',
    'on-demand targets have spare capacity for the worst domain loss',
    figures,
  );
}

/**
 * Records a withdrawal notice. A domain is suspended when a large share of its preemptible targets
 * is withdrawn within the window, because the remaining ones usually follow.
 */
export function applyWithdrawal(
  state: PreemptibleState,
  notice: WithdrawalNotice,
  settings: PreemptibleSettings,
  nowMs: number,
): WithdrawalDecision {
  const known = state.domains.find(domain => domain.failureDomain === notice.failureDomain);
  const domainState = known ?? createDomainState(notice.failureDomain);
  const withdrawals = [
    ...domainState.withdrawals.filter(({atMs}) => nowMs - atMs <= settings.noticeWindowMs),
    {atMs: nowMs, targets: notice.targetIds.length},
  ];
  const withdrawn = withdrawals.reduce((sum, {targets}) => sum + targets, 0);
  // Targets of earlier notices in the window are no longer counted as ready.
  const present = notice.domainTargets + withdrawn - notice.targetIds.length;
  // A single withdrawn target never suspends its domain, even a domain with very few targets.
  const suspend = withdrawn > 1 && withdrawn >= settings.suspendShare * present;
  const next = suspend
    ? suspendDomain({...domainState, withdrawals}, settings, nowMs)
    : {...domainState, withdrawals};
  const others = state.domains.filter(domain => domain !== known);
  const reason = suspend
    ? createReason(
        'suspend.domain',
        `${notice.failureDomain} receives no new work on preemptible targets`,
        {
          withdrawn,
          present,
          suspendMs: next.suspendedUntilMs - nowMs,
        },
      )
    : createReason('withdraw.targets', 'only the withdrawn targets are excluded', {
        withdrawn,
        present,
      });
  return {state: {...state, domains: [...others, next]}, reason};
}

function suspendDomain(
  domainState: PreemptibleDomainState,
  settings: PreemptibleSettings,
  nowMs: number,
): PreemptibleDomainState {
  // Further notices of the same withdrawal do not extend the suspension.
  if (nowMs < domainState.suspendedUntilMs) return domainState;
  const backoffExpired = nowMs - domainState.lastSuspendMs > settings.backoffResetMs;
  const suspensions = backoffExpired ? 1 : domainState.suspensions + 1;
  const suspendMs = Math.min(settings.maxSuspendMs, settings.suspendMs * 2 ** (suspensions - 1));
  return {
    ...domainState,
    suspensions,
    lastSuspendMs: nowMs,
    suspendedUntilMs: nowMs + suspendMs,
    workLimit: 0,
  };
}

/**
 * Decides how to handle each request on targets that are being withdrawn.
 * @param room free capacity on other targets, in engines; assigned to urgent, then standard work
 */
export function planWithdrawal(
  noticeMs: number,
  running: readonly RunningWork[],
  room: number,
): WithdrawalPlan {
  const usableMs = noticeMs - NOTICE_MARGIN_MS;
  const counts: Record<WithdrawalAction, number> = {
    finish: 0,
    transfer: 0,
    restart: 0,
    wait: 0,
    leave: 0,
  };
  let remainingRoom = room;
  const steps = [...running].sort(comparePriority).map(work => {
    const action = chooseAction(work, usableMs, remainingRoom);
    if (action === 'transfer' || action === 'restart') remainingRoom -= work.work;
    counts[action]++;
    return {workId: work.workId, action};
  });
  return {
    steps,
    reason: createReason('withdraw.plan', 'urgent and standard work moves first', {
      noticeMs,
      room,
      ...counts,
    }),
  };
}

const CLASS_PRIORITY: Record<WorkTraits['workClass'], number> = {urgent: 0, standard: 1, batch: 2};

function comparePriority(a: RunningWork, b: RunningWork): number {
  return CLASS_PRIORITY[a.workClass] - CLASS_PRIORITY[b.workClass] || a.remainingMs - b.remainingMs;
}

function chooseAction(work: RunningWork, usableMs: number, room: number): WithdrawalAction {
  if (work.remainingMs <= usableMs) return 'finish';
  // Non-repeatable work is found here only if its class was changed while it ran.
  if (!work.repeatable) return 'leave';
  const fits = work.work <= room;
  if (!fits && work.workClass !== 'urgent') return 'wait';
  return work.transferMs <= usableMs ? 'transfer' : 'restart';
}
