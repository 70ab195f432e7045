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
import {isPreemptible} from '@radishgw/fleet';
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

/** Dependencies of {@link PoolDispatcher}. */
export interface DispatcherDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly config: ConfigStore;
  readonly decisions: DecisionLog;
  /** Whether the platform lists the target as leaving. */
  isLeaving(targetId: string): boolean;
}

interface PendingRequest {
  readonly request: DispatchRequest;
  resolve(dispatch: Dispatch): void;
  refuse(refusal: Refusal): void;
}

interface PoolState {
  readonly pool: Pool;
  readonly queue: RequestQueue;
  readonly retryBudget: RetryBudget;
  readonly pendingRequests: Map<RequestId, PendingRequest>;
  readonly targets: Map<TargetId, TargetConfig>;
  readonly cheapTargets: Set<TargetId>;
  timer: Timer | undefined;
}

/** Initial retry budget, for a host that has not yet earned retries by serving requests. */
const INITIAL_RETRIES = 5;
/** Longest time between dispatch passes, so that targets whose exclusion has expired are used. */
const RECHECK_INTERVAL_MS = 250;
/** Requests skipped per pass; bounds its work when many requests wait for the same target. */
const MAX_SKIPPED_REQUESTS = 32;
const ANONYMOUS_TEAM = toId<TeamId>('open');

const HEALTH_OUTCOMES: Readonly<Record<FailureKind, HealthOutcome>> = {
  unreachable: 'unreachable',
  silent: 'timeout',
  failed: 'failed',
};

/** Queues requests by team and work class and dispatches each to a target of its pool. */
export class PoolDispatcher implements Dispatcher {
  private readonly pools = new Map<string, PoolState>();

  constructor(private readonly dependencies: DispatcherDependencies) {}

  *acquire(request: DispatchRequest): Procedure<Dispatch> {
    const state = this.getOrCreatePool(request.pool);
    if (request.excluded.size === 0) recordFirstAttempt(state.retryBudget);
    let dispatch: Dispatch | undefined;
    let isDelivered = false;
    const dispatched = new Promise<Dispatch>((resolve, reject) => {
      const pending: PendingRequest = {
        request,
        resolve: assigned => {
          dispatch = assigned;
          resolve(assigned);
        },
        refuse: reject,
      };
      this.enqueue(state, pending);
    });
    dispatched.catch(() => undefined);
    try {
      const result = yield* call(() => dispatched);
      isDelivered = true;
      return result;
    } finally {
      // The request was cancelled; a slot that was just assigned must be released.
      if (!isDelivered) {
        state.pendingRequests.delete(request.requestId);
        cancelItem(state.queue, request.requestId);
        dispatch?.release('cancelled');
      }
    }
  }

  allowRetry(request: DispatchRequest, attempts: number): boolean {
    const state = this.getOrCreatePool(request.pool);
    const {clock, random, decisions} = this.dependencies;
    const decision = decideRetry(
      state.retryBudget,
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

  /** Applies changes of the configured targets. */
  applyConfig(): void {
    for (const [name, state] of this.pools) this.syncTargets(name, state);
    for (const state of this.pools.values()) this.dispatchQueued(state);
  }

  /** Records a target's load report. */
  recordLoadReport(poolName: string, targetId: TargetId, report: LoadReport): void {
    const state = this.pools.get(poolName);
    if (!state) return;
    recordReport(state.pool, targetId, report);
    this.dispatchQueued(state);
  }

  /** Returns the number of queued requests by pool. */
  countQueued(): Record<string, number> {
    return Object.fromEntries(
      [...this.pools].map(([name, state]) => [name, state.pendingRequests.size]),
    );
  }

  private getOrCreatePool(name: string): PoolState {
    let state = this.pools.get(name);
    if (!state) {
      state = {
        pool: createPool(),
        queue: createQueue(),
        retryBudget: createRetryBudget(),
        pendingRequests: new Map(),
        targets: new Map(),
        cheapTargets: new Set(),
        timer: undefined,
      };
      state.retryBudget.balance = INITIAL_RETRIES;
      this.pools.set(name, state);
      this.syncTargets(name, state);
    }
    return state;
  }

  private syncTargets(name: string, state: PoolState): void {
    const configured = new Map<TargetId, TargetConfig>();
    for (const target of this.dependencies.config.getTargets(name)) {
      configured.set(toId<TargetId>(target.targetId), target);
    }
    for (const targetId of state.targets.keys()) {
      if (!configured.has(targetId)) removeTarget(state.pool, targetId);
    }
    state.targets.clear();
    state.cheapTargets.clear();
    for (const [targetId, target] of configured) {
      state.targets.set(targetId, target);
      if (target.cheap) state.cheapTargets.add(targetId);
      setTarget(state.pool, targetId, target.slots);
      const leaving = this.dependencies.isLeaving(targetId);
      const status = target.state === 'draining' ? 'draining' : leaving ? 'leaving' : 'serving';
      setTargetStatus(state.pool, targetId, status);
    }
  }

  private enqueue(state: PoolState, pending: PendingRequest): void {
    const {request} = pending;
    const nowMs = this.dependencies.clock.nowMs();
    if (!this.hasCandidate(state, request)) {
      pending.refuse(new Refusal('noCapacity', `pool "${request.pool}" has no target left`));
      return;
    }
    const team = request.team?.teamId ?? ANONYMOUS_TEAM;
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
      pending.refuse(new Refusal('noCapacity', `not queued: ${decision.reason}`));
      return;
    }
    state.pendingRequests.set(request.requestId, pending);
    if (decision.evicted) {
      this.refusePending(state, decision.evicted.id, 'noCapacity', 'the queue is full');
    }
    this.dispatchQueued(state);
  }

  /**
   * Targets that failed the request, and cheap ones, which may be reclaimed, unless the request is
   * preemptible.
   */
  private findExcludedTargets(state: PoolState, request: DispatchRequest): ReadonlySet<TargetId> {
    const excluded = request.excluded as ReadonlySet<TargetId>;
    const {workClass, repeatable} = request;
    if (state.cheapTargets.size === 0 || isPreemptible({workClass, repeatable})) return excluded;
    return new Set([...excluded, ...state.cheapTargets]);
  }

  private hasCandidate(state: PoolState, request: DispatchRequest): boolean {
    const excluded = this.findExcludedTargets(state, request);
    for (const [targetId, target] of state.pool.targets) {
      if (target.status === 'serving' && !excluded.has(targetId)) return true;
    }
    return false;
  }

  /** Dispatches queued requests, refuses expired ones and sets the next timer. */
  private dispatchQueued(state: PoolState): void {
    const {clock, random} = this.dependencies;
    const nowMs = clock.nowMs();
    for (const item of expireItems(state.queue, nowMs)) {
      this.refusePending(state, item.id, 'deadlineExceeded', 'no target had room in time');
    }
    const skipped: QueueItem[] = [];
    for (;;) {
      let selected: QueueItem | undefined;
      const describeItem = (item: QueueItem) => {
        selected = item;
        return this.describeRequest(state, item);
      };
      const scheduled = scheduleNext(state.queue, state.pool, describeItem, nowMs, random);
      if (scheduled) {
        this.dispatchItem(state, scheduled);
        continue;
      }
      if (!selected || skipped.length >= MAX_SKIPPED_REQUESTS) break;
      // No permitted target has a free slot; the request must not block those queued behind it.
      cancelItem(state.queue, selected.id);
      skipped.push(selected);
    }
    for (const item of skipped) enqueue(state.queue, item, nowMs);
    state.timer?.cancel();
    state.timer = undefined;
    if (state.pendingRequests.size > 0) {
      const dueMs = Math.min(nextDeadlineMs(state.queue) ?? Infinity, nowMs + RECHECK_INTERVAL_MS);
      state.timer = clock.setTimer(Math.max(0, dueMs - nowMs), () => this.dispatchQueued(state));
    }
  }

  private describeRequest(state: PoolState, item: QueueItem) {
    const request = state.pendingRequests.get(item.id)?.request;
    return {
      blocks: request?.blocks ?? [],
      isIdempotent: request?.repeatable ?? false,
      tried: request && this.findExcludedTargets(state, request),
    };
  }

  private dispatchItem(state: PoolState, scheduled: ScheduledDispatch): void {
    const {clock, random, decisions} = this.dependencies;
    const {item, target: targetId, reason} = scheduled;
    const pending = state.pendingRequests.get(item.id);
    const target = state.targets.get(targetId);
    if (!pending || !target) {
      settleItem(state.queue, item.id, {promptTokens: 0, outputTokens: 0});
      return;
    }
    state.pendingRequests.delete(item.id);
    const attemptId = toId<AttemptId>(random.nextHex(8));
    recordDispatch(
      state.pool,
      targetId,
      {
        id: attemptId,
        workClass: item.workClass,
        promptTokens: item.promptTokens,
        isLong: scheduled.isLong,
        blocks: pending.request.blocks,
      },
      clock.nowMs(),
    );
    decisions.add({
      kind: 'dispatch',
      subject: [item.id, item.team, targetId],
      decision: `send to ${targetId}`,
      reason,
    });
    pending.resolve(this.createDispatch(state, item, target, attemptId));
  }

  private createDispatch(
    state: PoolState,
    item: QueueItem,
    target: TargetConfig,
    attemptId: AttemptId,
  ): Dispatch {
    const targetId = toId<TargetId>(target.targetId);
    const {clock} = this.dependencies;
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
        const wasExecuted = outcome === 'succeeded' || outputTokens > 0;
        settleItem(state.queue, item.id, {
          promptTokens: wasExecuted ? item.promptTokens : 0,
          outputTokens,
        });
        this.dispatchQueued(state);
      },
    };
  }

  private refusePending(
    state: PoolState,
    id: RequestId,
    name: 'noCapacity' | 'deadlineExceeded',
    message: string,
  ): void {
    const pending = state.pendingRequests.get(id);
    state.pendingRequests.delete(id);
    pending?.refuse(new Refusal(name, message));
  }
}
