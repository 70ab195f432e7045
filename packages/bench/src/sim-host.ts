import {
  AttemptId,
  RandomSource,
  RequestId,
  TargetId,
  TeamId,
  toId,
  VirtualClock,
} from '@radishgw/core';
import {
  AttemptOutcome,
  CLASS_RANK,
  createLatencyWindow,
  createPool,
  createQueue,
  createRetryBudget,
  decideHedge,
  decideRetry,
  enqueue,
  expireItems,
  LatencyWindow,
  Pool,
  QueueItem,
  recordCacheEvent,
  recordDispatch,
  recordEnd,
  recordFirstAttempt,
  recordFirstToken,
  recordLatency,
  recordProgress,
  recordReport,
  RequestQueue,
  RetryBudget,
  routeRequest,
  scheduleNext,
  settleItem,
  setTarget,
  setTeamWeight,
} from '@radishgw/scheduling';
import {EngineFailure, FakeEngine} from './fake-engine.js';
import {RequestRecord, ServingOptions} from './serving-types.js';

interface OpenAttempt {
  readonly id: AttemptId;
  readonly target: TargetId;
  readonly sentAtMs: number;
}

interface OpenRequest {
  readonly record: RequestRecord;
  readonly item: QueueItem;
  readonly isLong: boolean;
  readonly tried: Set<TargetId>;
  readonly open: Map<AttemptId, OpenAttempt>;
  winner: AttemptId | undefined;
  isOver: boolean;
}

const DEFAULT_PATIENCE_MS = {urgent: 30_000, standard: 30_000, batch: 3_600_000};
/** Bound on the time of a whole request; only used to refuse late retries. */
const REQUEST_DEADLINE_MS = 60_000;
/** Cap of the announced output relative to the actual one, which the host doesn't know. */
const OUTPUT_HEADROOM = 2;

/** Outcomes by failure, when a crash resets the connections. */
const NOTICED: Readonly<Record<EngineFailure, AttemptOutcome>> = {
  crashed: 'failed',
  refused: 'unreachable',
  cancelled: 'cancelled',
  brownOut: 'failed',
};
/** Outcomes by failure, when a crashed engine falls silent. */
const SILENT: Readonly<Record<EngineFailure, AttemptOutcome>> = {
  ...NOTICED,
  crashed: 'timeout',
  refused: 'timeout',
};

/** One entry host: the scheduling package, driven as the request path drives it. */
export class SimHost {
  readonly queue: RequestQueue;
  readonly pool: Pool;
  private readonly budget: RetryBudget = createRetryBudget();
  private readonly latency: LatencyWindow = createLatencyWindow(1000);
  private readonly records = new Map<RequestId, RequestRecord>();

  constructor(
    private readonly name: string,
    private readonly clock: VirtualClock,
    private readonly engines: ReadonlyMap<TargetId, FakeEngine>,
    private readonly random: RandomSource,
    private readonly options: ServingOptions,
  ) {
    this.queue = createQueue(options.queue);
    this.pool = createPool(options.pool);
    for (const [team, weight] of Object.entries(options.weights ?? {})) {
      setTeamWeight(this.queue, toId<TeamId>(team), weight);
    }
    for (const [id, engine] of engines) this.addTarget(id, engine);
  }

  private addTarget(id: TargetId, engine: FakeEngine): void {
    setTarget(this.pool, id, engine.options.slots);
    engine.subscribe({
      onReport: ({sampledAtMs, running, waiting, pendingPrefillTokens}) => {
        const outstanding = running + waiting;
        recordReport(this.pool, id, {sampledAtMs, outstanding, pendingPrefillTokens});
        this.dispatchAll();
      },
      onCacheEvent: event => recordCacheEvent(this.pool, id, event),
    });
  }

  accept(record: RequestRecord): void {
    const {arrival} = record;
    const patienceMs = (this.options.patienceMs ?? DEFAULT_PATIENCE_MS)[arrival.workClass];
    const nowMs = this.clock.nowMs();
    const item: QueueItem = {
      id: toId<RequestId>(arrival.id),
      team: toId<TeamId>(arrival.team),
      workClass: arrival.workClass,
      promptTokens: arrival.promptTokens,
      maxOutputTokens: arrival.outputTokens * OUTPUT_HEADROOM,
      deadlineMs: nowMs + patienceMs,
    };
    this.records.set(item.id, record);
    const decision = enqueue(this.queue, item, nowMs);
    if (decision.type === 'refused') record.outcome = 'refused';
    else if (decision.evicted) this.records.get(decision.evicted.id)!.outcome = 'displaced';
    this.dispatchAll();
  }

  /** Called each second, in place of a timer at the next deadline. */
  expire(): void {
    for (const item of expireItems(this.queue, this.clock.nowMs())) {
      this.records.get(item.id)!.outcome = 'expired';
    }
  }

  private dispatchAll(): void {
    const facts = (item: QueueItem) => {
      const {arrival, isIdempotent} = this.records.get(item.id)!;
      return {blocks: arrival.blocks, isIdempotent};
    };
    for (;;) {
      const {policy} = this.options;
      const nowMs = this.clock.nowMs();
      const next = scheduleNext(this.queue, this.pool, facts, nowMs, this.random, policy);
      if (!next) return;
      const request: OpenRequest = {
        record: this.records.get(next.item.id)!,
        item: next.item,
        isLong: next.isLong,
        tried: new Set(),
        open: new Map(),
        winner: undefined,
        isOver: false,
      };
      request.record.dispatchedMs = nowMs;
      recordFirstAttempt(this.budget);
      this.send(request, next.target);
      if (this.options.hedging) this.planHedge(request);
    }
  }

  private send(request: OpenRequest, target: TargetId): void {
    const {record, item, isLong} = request;
    const {promptTokens, outputTokens, blocks} = record.arrival;
    const nowMs = this.clock.nowMs();
    const id = toId<AttemptId>(`${this.name}/${item.id}/${record.attempts++}`);
    const attempt = {id, workClass: item.workClass, promptTokens, isLong, blocks};
    recordDispatch(this.pool, target, attempt, nowMs);
    request.tried.add(target);
    request.open.set(id, {id, target, sentAtMs: nowMs});
    const priority = CLASS_RANK[item.workClass];
    this.engines.get(target)!.submit(
      {id, priority, promptTokens, outputTokens, blocks},
      {
        onToken: generated => this.receiveToken(request, id, target, generated),
        onFinish: () => this.finish(request, id, target),
        onFail: failure => this.noticeFailure(request, id, target, failure),
      },
    );
  }

  private receiveToken(request: OpenRequest, id: AttemptId, target: TargetId, count: number): void {
    const nowMs = this.clock.nowMs();
    const {record, item} = request;
    if (count === 1) recordFirstToken(this.pool, target, id, nowMs);
    if (request.winner === undefined) {
      request.winner = id;
      record.firstTokenMs = nowMs;
      recordLatency(this.latency, nowMs - request.open.get(id)!.sentAtMs);
      for (const other of [...request.open.values()]) {
        if (other.id !== id) this.engines.get(other.target)!.cancel(other.id);
      }
    }
    if (request.winner !== id) return;
    record.generated = count;
    record.lastTokenMs = nowMs;
    if (count % 16 === 0) recordProgress(this.queue, item.id, count);
  }

  private finish(request: OpenRequest, id: AttemptId, target: TargetId): void {
    request.open.delete(id);
    recordEnd(this.pool, target, id, 'finished', this.clock.nowMs());
    if (request.winner === id) this.end(request, 'finished');
    this.dispatchAll();
  }

  private noticeFailure(
    request: OpenRequest,
    id: AttemptId,
    target: TargetId,
    failure: EngineFailure,
  ): void {
    const {crashNoticeMs = 0} = this.options;
    const isCrash = failure === 'crashed' || failure === 'refused';
    if (!isCrash || crashNoticeMs === 0) return this.fail(request, id, target, failure);
    this.clock.setTimer(crashNoticeMs, () => this.fail(request, id, target, failure));
  }

  private fail(
    request: OpenRequest,
    id: AttemptId,
    target: TargetId,
    failure: EngineFailure,
  ): void {
    const outcome = (this.options.crashNoticeMs ?? 0) > 0 ? SILENT[failure] : NOTICED[failure];
    request.open.delete(id);
    recordEnd(this.pool, target, id, outcome, this.clock.nowMs());
    // The queue waits while a hedge of the same request is still running.
    if (!request.isOver && request.open.size === 0 && failure !== 'cancelled') {
      this.retryOrFail(request);
    } else if (request.winner === id) {
      this.end(request, 'failed');
    }
    this.dispatchAll();
  }

  private retryOrFail(request: OpenRequest): void {
    const {retries = 'budget'} = this.options;
    const {record} = request;
    const nowMs = this.clock.nowMs();
    const {isIdempotent, attempts} = record;
    const hasPartialResponse = record.generated > 0;
    if (retries === 'always') {
      const allowed = isIdempotent && !hasPartialResponse && attempts < 3;
      if (!allowed || !this.sendElsewhere(request)) this.end(request, 'failed');
      return;
    }
    const deadlineMs = record.arrival.atMs + REQUEST_DEADLINE_MS;
    const facts = {isIdempotent, attempts, deadlineMs, hasPartialResponse};
    const decision =
      retries === 'budget' ? decideRetry(this.budget, facts, nowMs, this.random) : undefined;
    if (decision?.type !== 'retry') return this.end(request, 'failed');
    this.clock.setTimer(decision.delayMs, () => {
      if (!this.sendElsewhere(request)) this.end(request, 'failed');
    });
  }

  /** Sends a further attempt to a target that wasn't tried; false if none has room. */
  private sendElsewhere(request: OpenRequest): boolean {
    const {item, isLong, tried, record} = request;
    const {blocks} = record.arrival;
    const {workClass, promptTokens} = item;
    const route = {workClass, promptTokens, isLong, blocks, tried, isIdempotent: true};
    const {policy} = this.options;
    const decision = routeRequest(this.pool, route, this.clock.nowMs(), this.random, policy);
    if (decision.type === 'none') return false;
    this.send(request, decision.target);
    return true;
  }

  private planHedge(request: OpenRequest): void {
    const {hedgeAfterMs} = this.latency;
    this.clock.setTimer(hedgeAfterMs, () => {
      const {record, open} = request;
      const [first] = open.values();
      if (request.isOver || !first) return;
      const facts = {
        isIdempotent: record.isIdempotent,
        attempts: record.attempts,
        deadlineMs: record.arrival.atMs + REQUEST_DEADLINE_MS,
        hasPartialResponse: false,
        sentAtMs: first.sentAtMs,
        hasBegun: request.winner !== undefined,
      };
      const decision = decideHedge(this.budget, facts, hedgeAfterMs, this.clock.nowMs());
      if (decision.type !== 'hedge') return;
      if (this.sendElsewhere(request)) record.hedges++;
      // A hedge that found no target was not an attempt.
      else this.budget.balance += 1;
    });
  }

  private end(request: OpenRequest, outcome: 'finished' | 'failed'): void {
    request.isOver = true;
    request.record.outcome = outcome;
    const {promptTokens} = request.item;
    settleItem(this.queue, request.item.id, {
      promptTokens: request.record.generated > 0 ? promptTokens : 0,
      outputTokens: request.record.generated,
    });
  }
}
