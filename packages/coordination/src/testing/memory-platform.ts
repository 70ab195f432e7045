import {Clock, Err, Ok, RandomSource, Result} from '@radishgw/core';
import {
  ListedHost,
  ObjectList,
  Platform,
  PlatformAnswer,
  PlatformError,
  PlatformObject,
  Revision,
  TargetOrder,
  UpdateCondition,
  UsageReport,
  WatchResult,
  WeightTransferRequest,
  WeightTransferReservation,
} from '../platform.js';
import {MemoryStore} from './memory-store.js';

/** Faults on one client's path to the platform. They can be changed while calls are in flight. */
export interface PlatformFaults {
  /** Bounds of the one-way latency, drawn separately for the request and the response. */
  latencyMs: readonly [min: number, max: number];
  /**
   * - `refused`: calls fail immediately with `unavailable` and have no effect.
   * - `silent`: requests and responses are dropped; calls time out with `outcomeUnknown`.
   */
  outage: 'none' | 'refused' | 'silent';
  /** Probability that the response to a call that took effect is lost. */
  lostAnswerProbability: number;
  /** Probability that a request is lost before it takes effect; reported as `outcomeUnknown`. */
  lostRequestProbability: number;
  /** Probability that a request takes `slowRequestMs` longer; it may arrive after its timeout. */
  slowRequestProbability: number;
  slowRequestMs: number;
  /** Staleness of the state that `get`, `list` and `watch` return. */
  readLagMs: number;
  /** Staleness of the list that `listHosts` returns. */
  hostListLagMs: number;
  /** Time after which a call fails with `outcomeUnknown`; for a watch, its wait is added. */
  callTimeoutMs: number;
}

const NO_FAULTS: PlatformFaults = {
  latencyMs: [0, 0],
  outage: 'none',
  lostAnswerProbability: 0,
  lostRequestProbability: 0,
  slowRequestProbability: 0,
  slowRequestMs: 0,
  readLagMs: 0,
  hostListLagMs: 0,
  callTimeoutMs: 1000,
};

/** Options of {@link MemoryPlatform}. */
export interface MemoryPlatformOptions {
  readonly store: MemoryStore;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Name recorded with orders and reports. */
  readonly client?: string;
  readonly faults?: Partial<PlatformFaults>;
  /** Transfer rate of the weight store; reservations use it one after the other. */
  readonly weightBytesPerSecond?: number;
}

const DEFAULT_WEIGHT_BYTES_PER_SECOND = 1e9;

type Answer<T> = Result<T, PlatformError>;

/** One client of an in-memory platform, with injected faults. Several clients can share a store. */
export class MemoryPlatform implements Platform {
  /** Active faults; fields may be assigned at any time. */
  readonly faults: PlatformFaults;
  private readonly client: string;
  private weightRateReservedUntilMs = 0;

  constructor(private readonly options: MemoryPlatformOptions) {
    this.faults = {...NO_FAULTS, ...options.faults};
    this.client = options.client ?? 'client';
  }

  get(key: string): PlatformAnswer<PlatformObject> {
    return this.exchange('get', () => {
      const object = this.options.store.read(key, this.faults.readLagMs);
      return object ? Ok(object) : Err({kind: 'notFound'});
    });
  }

  list(prefix: string): PlatformAnswer<ObjectList> {
    return this.exchange('list', () =>
      Ok(this.options.store.readAll(prefix, this.faults.readLagMs)),
    );
  }

  put(key: string, value: string, condition?: UpdateCondition): PlatformAnswer<Revision> {
    return this.exchange('put', () => this.options.store.write(key, value, condition));
  }

  remove(key: string, condition?: UpdateCondition): PlatformAnswer<Revision> {
    return this.exchange('remove', () => this.options.store.delete(key, condition));
  }

  watch(prefix: string, afterRevision: Revision, waitMs: number): PlatformAnswer<WatchResult> {
    return this.exchangeAsync('watch', waitMs, answer =>
      this.awaitChange(prefix, afterRevision, waitMs, answer),
    );
  }

  listHosts(): PlatformAnswer<readonly ListedHost[]> {
    return this.exchange('listHosts', () =>
      Ok(this.options.store.listedHosts(this.faults.hostListLagMs)),
    );
  }

  orderTargets(order: TargetOrder): PlatformAnswer<void> {
    return this.exchange('orderTargets', () => {
      const {store, clock} = this.options;
      store.targetOrders.push({atMs: clock.nowMs(), client: this.client, body: order});
      return Ok(undefined);
    });
  }

  reportUsage(report: UsageReport): PlatformAnswer<void> {
    return this.exchange('reportUsage', () => {
      const {store, clock} = this.options;
      store.usageReports.push({atMs: clock.nowMs(), client: this.client, body: report});
      return Ok(undefined);
    });
  }

  reserveWeightTransfer(request: WeightTransferRequest): PlatformAnswer<WeightTransferReservation> {
    return this.exchange('reserveWeightTransfer', () => {
      const bytesPerSecond = this.options.weightBytesPerSecond ?? DEFAULT_WEIGHT_BYTES_PER_SECOND;
      const nowMs = this.options.clock.nowMs();
      const startMs = Math.max(nowMs, this.weightRateReservedUntilMs);
      this.weightRateReservedUntilMs = startMs + (request.bytes / bytesPerSecond) * 1000;
      return Ok({startDelayMs: startMs - nowMs, bytesPerSecond});
    });
  }

  private exchange<T>(operation: string, apply: () => Answer<T>): Promise<Answer<T>> {
    return this.exchangeAsync(operation, 0, answer => {
      answer(apply());
      return undefined;
    });
  }

  /** Delivers a request to the store and returns its response, subject to the active faults. */
  private exchangeAsync<T>(
    operation: string,
    extraWaitMs: number,
    apply: (answer: (result: Answer<T>) => void) => (() => void) | undefined,
  ): Promise<Answer<T>> {
    const {clock, store} = this.options;
    return new Promise(resolve => {
      if (this.faults.outage === 'refused') {
        resolve(Err({kind: 'unavailable', detail: 'connection refused'}));
        return;
      }
      let cancelWatch: (() => void) | undefined;
      const timer = clock.setTimer(this.faults.callTimeoutMs + extraWaitMs, () => {
        cancelWatch?.();
        resolve(Err({kind: 'outcomeUnknown', detail: `no answer to ${operation} in time`}));
      });
      const receive = (result: Answer<T>) => {
        if (this.faults.outage !== 'none') return;
        timer.cancel();
        resolve(result);
      };
      clock.setTimer(this.drawRequestLatencyMs(), () => {
        if (this.faults.outage !== 'none') return;
        if (this.drawBoolean(this.faults.lostRequestProbability)) return;
        store.countCall(operation);
        cancelWatch = apply(result => {
          if (this.drawBoolean(this.faults.lostAnswerProbability)) return;
          clock.setTimer(this.drawLatencyMs(), () => receive(result));
        });
      });
    });
  }

  private awaitChange(
    prefix: string,
    afterRevision: Revision,
    waitMs: number,
    answer: (result: Answer<WatchResult>) => void,
  ): () => void {
    const {store, clock} = this.options;
    const read = () => store.changesAfter(prefix, afterRevision, this.faults.readLagMs);
    let finished = false;
    const finish = (result: WatchResult) => {
      if (finished) return;
      finished = true;
      unsubscribe();
      timer.cancel();
      answer(Ok(result));
    };
    const check = () => {
      const result = read();
      if (result.events.length > 0 || result.compacted) finish(result);
    };
    const unsubscribe = store.subscribe(key => {
      if (!key.startsWith(prefix)) return;
      if (this.faults.readLagMs === 0) check();
      else clock.setTimer(this.faults.readLagMs, check);
    });
    const timer = clock.setTimer(waitMs, () => finish(read()));
    check();
    return () => {
      finished = true;
      unsubscribe();
      timer.cancel();
    };
  }

  private drawRequestLatencyMs(): number {
    const slow = this.drawBoolean(this.faults.slowRequestProbability);
    return this.drawLatencyMs() + (slow ? this.faults.slowRequestMs : 0);
  }

  private drawLatencyMs(): number {
    const [min, max] = this.faults.latencyMs;
    return max > min ? min + this.options.random.next() * (max - min) : min;
  }

  private drawBoolean(probability: number): boolean {
    return probability > 0 && this.options.random.next() < probability;
  }
}
