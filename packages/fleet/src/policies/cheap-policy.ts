import {FailureDomain} from '@radishgw/core';
import {
  CheapDecision,
  CheapDomainState,
  CheapLimit,
  CheapSettings,
  CheapState,
  DomainLoad,
  RunningWork,
  WithdrawalAction,
  WithdrawalNotice,
  WithdrawalPlan,
  WorkTraits,
} from './cheap-types.js';
import {explain} from './reason.js';

/** Time between the end of a request and the withdrawal that is kept as a margin. */
const NOTICE_MARGIN_MS = 500;

/**
 * State before the first decision and after a takeover. No domain is suspended, and each limit
 * starts at the work that is already on the domain's cheap targets.
 */
export function createCheapState(): CheapState {
  return {updatedMs: undefined, domains: []};
}

/** True for work that may run on cheap targets: it may run again and it isn't urgent. */
export function mayRunOnCheap(work: WorkTraits): boolean {
  return work.repeatable && work.workClass !== 'urgent';
}

/**
 * Sets how much work may run on the cheap targets of each failure domain and how much steady
 * capacity is kept free, so that the loss of all cheap targets of any one domain finds room on
 * steady targets of the other domains.
 */
export function decideCheapLimits(
  state: CheapState,
  loads: readonly DomainLoad[],
  settings: CheapSettings,
  nowMs: number,
): CheapDecision {
  const elapsedMs = nowMs - (state.updatedMs ?? nowMs);
  const previous = new Map(state.domains.map(domain => [domain.failureDomain, domain]));
  const totalRoom = loads.reduce((sum, load) => sum + findRoom(load, settings), 0);
  const wanted = loads.map(load => {
    const present = load.cheapStandardWork + load.cheapBatchWork;
    const memory =
      previous.get(load.failureDomain) ?? createDomainState(load.failureDomain, present);
    const suspended = nowMs < memory.suspendedUntilMs;
    const roomElsewhere = totalRoom - findRoom(load, settings);
    const planned = suspended ? 0 : load.cheapCapacity * settings.plannedUse;
    const rise = (elapsedMs / 60_000) * settings.risePerMinute * load.cheapCapacity;
    const workLimit = Math.min(planned, memory.workLimit + rise);
    const standard = Math.min(workLimit, roomElsewhere / (1 + settings.repeatedShare));
    return {load, memory, suspended, workLimit, standard};
  });
  const scale = scaleToShare(loads, wanted, settings);
  const shares = wanted.map(domain => ({
    ...domain,
    workLimit: domain.workLimit * scale,
    standard: domain.standard * scale,
  }));
  const reserves = placeReserve(shares, settings);
  const limits = shares.map(({load, suspended, workLimit, standard}, index): CheapLimit => ({
    failureDomain: load.failureDomain,
    standardWorkLimit: standard,
    workLimit,
    reservedRoom: reserves[index],
    suspended,
  }));
  const domains = shares.map(({memory, workLimit}) => ({...memory, workLimit}));
  return {state: {updatedMs: nowMs, domains}, limits, reason: explainLimits(limits, totalRoom)};
}

/** Steady capacity that displaced work can use now. */
function findRoom(load: DomainLoad, settings: CheapSettings): number {
  return Math.max(0, load.steadyCapacity * settings.emergencyUse - load.steadyWork);
}

function createDomainState(failureDomain: FailureDomain, workLimit = 0): CheapDomainState {
  return {
    failureDomain,
    withdrawals: [],
    suspendedUntilMs: -Infinity,
    lastSuspendMs: -Infinity,
    suspensions: 0,
    workLimit,
  };
}

function scaleToShare(
  loads: readonly DomainLoad[],
  wanted: ReadonlyArray<{readonly workLimit: number}>,
  settings: CheapSettings,
): number {
  const cheap = wanted.reduce((sum, domain) => sum + domain.workLimit, 0);
  const steady = loads.reduce((sum, load) => sum + load.steadyCapacity, 0) * settings.plannedUse;
  const allowed =
    settings.maxCheapShare >= 1
      ? Infinity
      : (steady * settings.maxCheapShare) / (1 - settings.maxCheapShare);
  return cheap > allowed ? allowed / cheap : 1;
}

/**
 * Spreads the room for the worst loss over steady targets. Each domain's loss must find its room
 * outside that domain, so each domain holds its part by steady capacity of the largest need of
 * the others.
 */
function placeReserve(
  domains: ReadonlyArray<{
    readonly load: DomainLoad;
    readonly standard: number;
    readonly workLimit: number;
  }>,
  settings: CheapSettings,
): number[] {
  const needs = domains.map(({load, standard, workLimit}) => {
    const onCheap = Math.min(standard, load.cheapStandardWork);
    const batch = Math.min(Math.max(0, workLimit - onCheap), load.cheapBatchWork);
    return (onCheap + batch * settings.batchRoomShare) * (1 + settings.repeatedShare);
  });
  const steady = domains.map(({load}) => load.steadyCapacity);
  const totalSteady = steady.reduce((sum, capacity) => sum + capacity, 0);
  return domains.map((_, index) => {
    let reserve = 0;
    needs.forEach((need, lost) => {
      const elsewhere = totalSteady - steady[lost];
      if (lost === index || elsewhere <= 0) return;
      reserve = Math.max(reserve, (need * steady[index]) / elsewhere);
    });
    return Math.min(reserve, steady[index]);
  });
}

function explainLimits(limits: readonly CheapLimit[], totalRoom: number) {
  const suspended = limits.filter(limit => limit.suspended).length;
  const figures = {
    totalRoom,
    standardWorkLimit: limits.reduce((sum, limit) => sum + limit.standardWorkLimit, 0),
    workLimit: limits.reduce((sum, limit) => sum + limit.workLimit, 0),
    reservedRoom: limits.reduce((sum, limit) => sum + limit.reservedRoom, 0),
    suspendedDomains: suspended,
  };
  if (suspended > 0) {
    return explain(
      'limit.suspended',
      'failure domains with recent withdrawals get no work',
      figures,
    );
  }
  return explain('limit.room', 'limited by the room that is free outside each domain', figures);
}

/**
 * Takes a notice into account. A domain is suspended when a large part of its cheap targets is
 * withdrawn within the window, because the rest usually follows.
 */
export function applyWithdrawal(
  state: CheapState,
  notice: WithdrawalNotice,
  settings: CheapSettings,
  nowMs: number,
): CheapDecision {
  const known = state.domains.find(domain => domain.failureDomain === notice.failureDomain);
  const memory = known ?? createDomainState(notice.failureDomain);
  const withdrawals = [
    ...memory.withdrawals.filter(({atMs}) => nowMs - atMs <= settings.noticeWindowMs),
    {atMs: nowMs, targets: notice.targetIds.length},
  ];
  const withdrawn = withdrawals.reduce((sum, {targets}) => sum + targets, 0);
  // Earlier notices of the window have already left the count of ready targets.
  const present = notice.domainTargets + withdrawn - notice.targetIds.length;
  const suspend = withdrawn >= settings.suspendShare * Math.max(1, present);
  const next = suspend
    ? suspendDomain({...memory, withdrawals}, settings, nowMs)
    : {...memory, withdrawals};
  const others = state.domains.filter(domain => domain !== known);
  const reason = suspend
    ? explain('suspend.domain', `${notice.failureDomain} gets no new work on cheap targets`, {
        withdrawn,
        present,
        suspendMs: next.suspendedUntilMs - nowMs,
      })
    : explain('withdraw.targets', 'only the withdrawn targets are left out', {withdrawn, present});
  return {state: {...state, domains: [...others, next]}, limits: [], reason};
}

function suspendDomain(
  memory: CheapDomainState,
  settings: CheapSettings,
  nowMs: number,
): CheapDomainState {
  // Further notices of the same withdrawal extend nothing.
  if (nowMs < memory.suspendedUntilMs) return memory;
  const forgotten = nowMs - memory.lastSuspendMs > settings.forgetMs;
  const suspensions = forgotten ? 1 : memory.suspensions + 1;
  const suspendMs = Math.min(settings.maxSuspendMs, settings.suspendMs * 2 ** (suspensions - 1));
  return {
    ...memory,
    suspensions,
    lastSuspendMs: nowMs,
    suspendedUntilMs: nowMs + suspendMs,
    workLimit: 0,
  };
}

/**
 * Decides what becomes of each request on targets that are being withdrawn.
 * @param room free capacity on other targets, in engines; work that can't wait gets it first
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
  let left = room;
  const steps = [...running].sort(compareUrgency).map(work => {
    const action = chooseAction(work, usableMs, left);
    if (action === 'transfer' || action === 'restart') left -= work.work;
    counts[action]++;
    return {workId: work.workId, action};
  });
  return {
    steps,
    reason: explain('withdraw.plan', 'work that cannot wait moves first', {
      noticeMs,
      room,
      ...counts,
    }),
  };
}

const CLASS_ORDER: Record<WorkTraits['workClass'], number> = {urgent: 0, standard: 1, batch: 2};

function compareUrgency(a: RunningWork, b: RunningWork): number {
  return CLASS_ORDER[a.workClass] - CLASS_ORDER[b.workClass] || a.remainingMs - b.remainingMs;
}

function chooseAction(work: RunningWork, usableMs: number, room: number): WithdrawalAction {
  if (work.remainingMs <= usableMs) return 'finish';
  // Work that may not run again is here only when its class was changed while it ran.
  if (!work.repeatable) return 'leave';
  const fits = work.work <= room;
  if (!fits && work.workClass !== 'urgent') return 'wait';
  return work.transferMs <= usableMs ? 'transfer' : 'restart';
}
