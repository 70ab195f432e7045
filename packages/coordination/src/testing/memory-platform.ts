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

/** Faults of one client's path to the platform. They can be changed while calls are on the way. */
export interface PlatformFaults {
  /** Bounds of the one-way latency, for the request and again for the answer. */
  latencyMs: readonly [min: number, max: number];
  /**
   * - `refused`: calls fail at once and have no effect (`unavailable`).
   * - `silent`: requests and answers are dropped; calls end by timeout (`outcomeUnknown`).
   */
  outage: 'none' | 'refused' | 'silent';
  /** Probability that the answer to a call that took effect is lost. */
  lostAnswerProbability: number;
  /** Probability that a request is lost before it takes effect, seen as `outcomeUnknown`. */
  lostRequestProbability: number;
  /** Probability that a request takes `slowRequestMs` longer, so that it may arrive after its timeout. */
  slowRequestProbability: number;
  slowRequestMs: number;
  /** Age of the state that `get`, `list` and `watch` show. */
  readLagMs: number;
  /** Age of the list that `listHosts` shows. */
  hostListLagMs: number;
  /** The caller gives up after this time with `outcomeUnknown`; a watch gets its wait on top. */
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

/** What a {@link MemoryPlatform} needs. */
export interface MemoryPlatformOptions {
  readonly store: MemoryStore;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Name recorded with orders and reports. */
  readonly client?: string;
  readonly faults?: Partial<PlatformFaults>;
  /** Weight store's rate, shared in order of the reservations. */
  readonly weightBytesPerSecond?: number;
}

const DEFAULT_WEIGHT_BYTES_PER_SECOND = 1e9;

type Answer<T> = Result<T, PlatformError>;

/** One client of an in-memory platform, with faults on its path. Several clients share a store. */
export class MemoryPlatform implements Platform {
  /** Faults in force; fields may be assigned at any time. */
  readonly faults: PlatformFaults;
  private readonly client: string;
  private weightsBusyUntilMs = 0;

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
      const startMs = Math.max(nowMs, this.weightsBusyUntilMs);
      this.weightsBusyUntilMs = startMs + (request.bytes / bytesPerSecond) * 1000;
      return Ok({startDelayMs: startMs - nowMs, bytesPerSecond});
    });
  }

  private exchange<T>(operation: string, apply: () => Answer<T>): Promise<Answer<T>> {
    return this.exchangeAsync(operation, 0, answer => {
      answer(apply());
      return undefined;
    });
  }

  /** Carries a request to the store and its answer back, with the faults of the path. */
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
      let stopWaiting: (() => void) | undefined;
      const timer = clock.setTimer(this.faults.callTimeoutMs + extraWaitMs, () => {
        stopWaiting?.();
        resolve(Err({kind: 'outcomeUnknown', detail: `no answer to ${operation} in time`}));
      });
      const receive = (result: Answer<T>) => {
        if (this.faults.outage !== 'none') return;
        timer.cancel();
        resolve(result);
      };
      clock.setTimer(this.drawRequestMs(), () => {
        if (this.faults.outage !== 'none') return;
        if (this.happens(this.faults.lostRequestProbability)) return;
        store.countCall(operation);
        stopWaiting = apply(result => {
          if (this.happens(this.faults.lostAnswerProbability)) return;
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

  private drawRequestMs(): number {
    const slow = this.happens(this.faults.slowRequestProbability);
    return this.drawLatencyMs() + (slow ? this.faults.slowRequestMs : 0);
  }

  private drawLatencyMs(): number {
    const [min, max] = this.faults.latencyMs;
    return max > min ? min + this.options.random.next() * (max - min) : min;
  }

  private happens(probability: number): boolean {
    return probability > 0 && this.options.random.next() < probability;
  }
}
