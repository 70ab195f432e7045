import {ConfigStore, TargetConfig} from '@radishgw/config';
import {
  AttemptId,
  call,
  Clock,
  Procedure,
  RandomSource,
  RequestId,
  TargetId,
  TeamId,
  Timer,
  toId,
} from '@radishgw/core';
import {mayRunOnCheap} from '@radishgw/fleet';
import {
  AttemptOutcome as HealthOutcome,
  cancelItem,
  createPool,
  createQueue,
  createRetryBudget,
  decideRetry,
  Dispatch as ScheduledDispatch,
  enqueue,
  expireItems,
  LoadReport,
  nextDeadlineMs,
  Pool,
  QueueItem,
  recordDispatch,
  recordEnd,
  recordFirstAttempt,
  recordFirstToken,
  recordProgress,
  recordReport,
  removeTarget,
  RequestQueue,
  RetryBudget,
  scheduleNext,
  settleItem,
  setTarget,
  setTargetStatus,
  setTeamWeight,
} from '@radishgw/scheduling';
import {DecisionLog} from '../operator/decision-log.js';
import {
  AttemptOutcome,
  Dispatch,
  Dispatcher,
  DispatchRequest,
  FailureKind,
} from '../request/ports.js';
import {Refusal} from '../request/refusal.js';

/** What the dispatcher needs. */
export interface DispatcherServices {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly config: ConfigStore;
  readonly decisions: DecisionLog;
  /** Targets that the platform lists as leaving. */
  isLeaving(targetId: string): boolean;
}

interface Waiter {
  readonly request: DispatchRequest;
  grant(dispatch: Dispatch): void;
  refuse(refusal: Refusal): void;
}

interface PoolState {
  readonly pool: Pool;
  readonly queue: RequestQueue;
  readonly budget: RetryBudget;
  readonly waiters: Map<RequestId, Waiter>;
  readonly targets: Map<TargetId, TargetConfig>;
  readonly cheapTargets: Set<TargetId>;
  timer: Timer | undefined;
}

/** Retries that a host may make before it has served enough requests to earn them. */
const INITIAL_RETRIES = 5;
/** Waiting work is looked at again at least this often, for exclusions that end with time. */
const RECHECK_MS = 250;
/** Requests that are looked past in one step; bounds the work when many wait for one target. */
const MAX_PARKED = 32;
const OPEN_TEAM = toId<TeamId>('open');

const HEALTH_OUTCOMES: Readonly<Record<FailureKind, HealthOutcome>> = {
  unreachable: 'unreachable',
  silent: 'timeout',
  failed: 'failed',
};

/** Queues requests by team and class and sends each to a target of its pool. */
export class PoolDispatcher implements Dispatcher {
  private readonly pools = new Map<string, PoolState>();

  constructor(private readonly services: DispatcherServices) {}

  *acquire(request: DispatchRequest): Procedure<Dispatch> {
    const state = this.openPool(request.pool);
    if (request.excluded.size === 0) recordFirstAttempt(state.budget);
    let dispatch: Dispatch | undefined;
    let taken = false;
    const granted = new Promise<Dispatch>((resolve, reject) => {
      const waiter: Waiter = {
        request,
        grant: given => {
          dispatch = given;
          resolve(given);
        },
        refuse: reject,
      };
      this.enqueue(state, waiter);
    });
    granted.catch(() => undefined);
    try {
      const result = yield* call(() => granted);
      taken = true;
      return result;
    } finally {
      // The caller has gone: a place that was just given must not stay taken.
      if (!taken) {
        state.waiters.delete(request.requestId);
        cancelItem(state.queue, request.requestId);
        dispatch?.release('cancelled');
      }
    }
  }

  allowRetry(request: DispatchRequest, attempts: number): boolean {
    const state = this.openPool(request.pool);
    const {clock, random, decisions} = this.services;
    const decision = decideRetry(
      state.budget,
      {
        isIdempotent: request.repeatable,
        attempts,
        deadlineMs: request.deadlineMs,
        hasPartialResponse: false,
      },
      clock.nowMs(),
      random,
    );
    decisions.add({
      kind: 'dispatch',
      subject: [request.requestId, ...(request.team ? [request.team.teamId] : [])],
      decision: decision.type,
      reason: decision,
    });
    return decision.type === 'retry';
  }

  /** Takes over changes of targets and of teams' weights. */
  applyConfig(): void {
    for (const [name, state] of this.pools) this.syncTargets(name, state);
    for (const state of this.pools.values()) this.pump(state);
  }

  /** Takes a target's load report. */
  takeReport(poolName: string, targetId: TargetId, report: LoadReport): void {
    const state = this.pools.get(poolName);
    if (!state) return;
    recordReport(state.pool, targetId, report);
    this.pump(state);
  }

  /** Requests that wait, by pool. */
  countQueued(): Record<string, number> {
    return Object.fromEntries([...this.pools].map(([name, state]) => [name, state.waiters.size]));
  }

  private openPool(name: string): PoolState {
    let state = this.pools.get(name);
    if (!state) {
      state = {
        pool: createPool(),
        queue: createQueue(),
        budget: createRetryBudget(),
        waiters: new Map(),
        targets: new Map(),
        cheapTargets: new Set(),
        timer: undefined,
      };
      state.budget.balance = INITIAL_RETRIES;
      this.pools.set(name, state);
      this.syncTargets(name, state);
    }
    return state;
  }

  private syncTargets(name: string, state: PoolState): void {
    const wanted = new Map<TargetId, TargetConfig>();
    for (const target of this.services.config.getTargets(name)) {
      wanted.set(toId<TargetId>(target.targetId), target);
    }
    for (const targetId of state.targets.keys()) {
      if (!wanted.has(targetId)) removeTarget(state.pool, targetId);
    }
    state.targets.clear();
    state.cheapTargets.clear();
    for (const [targetId, target] of wanted) {
      state.targets.set(targetId, target);
      if (target.cheap) state.cheapTargets.add(targetId);
      setTarget(state.pool, targetId, target.slots);
      const leaving = this.services.isLeaving(targetId);
      const status = target.state === 'draining' ? 'draining' : leaving ? 'leaving' : 'serving';
      setTargetStatus(state.pool, targetId, status);
    }
  }

  private enqueue(state: PoolState, waiter: Waiter): void {
    const {request} = waiter;
    const nowMs = this.services.clock.nowMs();
    if (!this.hasCandidate(state, request)) {
      waiter.refuse(new Refusal('noCapacity', `pool "${request.pool}" has no target left`));
      return;
    }
    const team = request.team?.teamId ?? OPEN_TEAM;
    if (request.team) {
      setTeamWeight(state.queue, team, request.team.parameters.tokensPerSecond);
    }
    const item: QueueItem = {
      id: request.requestId,
      team,
      workClass: request.workClass,
      promptTokens: request.promptTokens || request.costTokens,
      maxOutputTokens: Math.max(0, request.costTokens - request.promptTokens),
      deadlineMs: request.deadlineMs,
    };
    const decision = enqueue(state.queue, item, nowMs);
    if (decision.type === 'refused') {
      waiter.refuse(new Refusal('noCapacity', `not queued: ${decision.reason}`));
      return;
    }
    state.waiters.set(request.requestId, waiter);
    if (decision.evicted) {
      this.refuseWaiter(state, decision.evicted.id, 'noCapacity', 'the queue is full');
    }
    this.pump(state);
  }

  /** Targets that failed the request, and cheap ones if it must not be lost with its target. */
  private listForbidden(state: PoolState, request: DispatchRequest): ReadonlySet<TargetId> {
    const excluded = request.excluded as ReadonlySet<TargetId>;
    const {workClass, repeatable} = request;
    if (state.cheapTargets.size === 0 || mayRunOnCheap({workClass, repeatable})) return excluded;
    return new Set([...excluded, ...state.cheapTargets]);
  }

  private hasCandidate(state: PoolState, request: DispatchRequest): boolean {
    const forbidden = this.listForbidden(state, request);
    for (const [targetId, target] of state.pool.targets) {
      if (target.status === 'serving' && !forbidden.has(targetId)) return true;
    }
    return false;
  }

  /** Sends all that can be sent now, refuses what is too late and sets the next timer. */
  private pump(state: PoolState): void {
    const {clock, random} = this.services;
    const nowMs = clock.nowMs();
    for (const item of expireItems(state.queue, nowMs)) {
      this.refuseWaiter(state, item.id, 'deadlineExceeded', 'no target had room in time');
    }
    const parked: QueueItem[] = [];
    for (;;) {
      let taken: QueueItem | undefined;
      const describe = (item: QueueItem) => {
        taken = item;
        return this.describeFacts(state, item);
      };
      const scheduled = scheduleNext(state.queue, state.pool, describe, nowMs, random);
      if (scheduled) {
        this.grant(state, scheduled);
        continue;
      }
      if (!taken || parked.length >= MAX_PARKED) break;
      // There is room, but not where this request may go: it must not block those behind it.
      cancelItem(state.queue, taken.id);
      parked.push(taken);
    }
    for (const item of parked) enqueue(state.queue, item, nowMs);
    state.timer?.cancel();
    state.timer = undefined;
    if (state.waiters.size > 0) {
      const dueMs = Math.min(nextDeadlineMs(state.queue) ?? Infinity, nowMs + RECHECK_MS);
      state.timer = clock.setTimer(Math.max(0, dueMs - nowMs), () => this.pump(state));
    }
  }

  private describeFacts(state: PoolState, item: QueueItem) {
    const request = state.waiters.get(item.id)?.request;
    return {
      blocks: request?.blocks ?? [],
      isIdempotent: request?.repeatable ?? false,
      tried: request && this.listForbidden(state, request),
    };
  }

  private grant(state: PoolState, scheduled: ScheduledDispatch): void {
    const {clock, random, decisions} = this.services;
    const {item, target: targetId, reason} = scheduled;
    const waiter = state.waiters.get(item.id);
    const target = state.targets.get(targetId);
    if (!waiter || !target) {
      settleItem(state.queue, item.id, {promptTokens: 0, outputTokens: 0});
      return;
    }
    state.waiters.delete(item.id);
    const attemptId = toId<AttemptId>(random.nextHex(8));
    recordDispatch(
      state.pool,
      targetId,
      {
        id: attemptId,
        workClass: item.workClass,
        promptTokens: item.promptTokens,
        isLong: scheduled.isLong,
        blocks: waiter.request.blocks,
      },
      clock.nowMs(),
    );
    decisions.add({
      kind: 'dispatch',
      subject: [item.id, item.team, targetId],
      decision: `send to ${targetId}`,
      reason,
    });
    waiter.grant(this.createDispatch(state, item, target, attemptId));
  }

  private createDispatch(
    state: PoolState,
    item: QueueItem,
    target: TargetConfig,
    attemptId: AttemptId,
  ): Dispatch {
    const targetId = toId<TargetId>(target.targetId);
    const {clock} = this.services;
    let outputTokens = 0;
    let released = false;
    return {
      target,
      reportProgress: tokens => {
        if (outputTokens === 0) recordFirstToken(state.pool, targetId, attemptId, clock.nowMs());
        outputTokens = tokens;
        recordProgress(state.queue, item.id, tokens);
      },
      release: (outcome: AttemptOutcome, failure: FailureKind = 'failed') => {
        if (released) return;
        released = true;
        const health =
          outcome === 'succeeded'
            ? 'finished'
            : outcome === 'cancelled'
              ? 'cancelled'
              : HEALTH_OUTCOMES[failure];
        recordEnd(state.pool, targetId, attemptId, health, clock.nowMs());
        const ran = outcome === 'succeeded' || outputTokens > 0;
        settleItem(state.queue, item.id, {
          promptTokens: ran ? item.promptTokens : 0,
          outputTokens,
        });
        this.pump(state);
      },
    };
  }

  private refuseWaiter(
    state: PoolState,
    id: RequestId,
    name: 'noCapacity' | 'deadlineExceeded',
    message: string,
  ): void {
    const waiter = state.waiters.get(id);
    state.waiters.delete(id);
    waiter?.refuse(new Refusal(name, message));
  }
}
