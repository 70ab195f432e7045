import {
  createHandlers,
  createSeededRandom,
  FailureDomain,
  HostId,
  PoolId,
  Procedure,
  RandomSource,
  SILENT_LOG,
  sleep,
  startTask,
  TargetId,
  Task,
  toId,
  VirtualClock,
} from '@radishgw/core';
import {EngineOrders, EngineSpec, TargetOrders} from '@radishgw/fleet';
import {
  Authority,
  DEFAULT_LEASE_TIMES,
  HostSession,
  Membership,
  Platform,
  PlatformAnswer,
  RoleLease,
  TargetOrder,
} from '@radishgw/coordination';
import {MemoryPlatform, MemoryStore} from '@radishgw/coordination/testing';
import {CheckedHost} from './authority-checker.js';
import {dropWrites, hideAttemptIds, Mechanism} from './mutations.js';
import {EnginePathFaults, RecordingEngine, SimulatedEngineControl} from './recording-engine.js';
import {createProcessPlatform, SimulatedProcess} from './simulated-process.js';

/** The soak uses the production values for orders. */
export const SEND_TIMEOUT_MS = 3000;
export const WIRE_MARGIN_MS = 500;

/** Objects that all hosts of a run share. */
export interface AuthorityRunContext {
  readonly clock: VirtualClock;
  readonly store: MemoryStore;
  readonly engines: ReadonlyMap<TargetId, RecordingEngine>;
  /** Mechanisms that are disabled in this run. */
  readonly disabledMechanisms: ReadonlySet<Mechanism>;
  /** Called with each error of a control procedure. */
  readonly onError: (error: unknown) => void;
  readonly trace: (line: string) => void;
}

/** One process of a host, with its session, membership, role `fleet` and orders. */
export class AuthorityHost implements CheckedHost {
  readonly process: SimulatedProcess;
  readonly path: MemoryPlatform;
  readonly engineFaults: EnginePathFaults = {
    isPartitioned: false,
    delayedProbability: 0,
    pauseInConnectProbability: 0,
    pauseInSendProbability: 0,
    lostAnswerProbability: 0,
  };
  /** The last authority check before each target order, by order id and fencing number. */
  readonly targetOrderChecks = new Map<string, {readonly atMs: number; readonly pauses: number}>();
  readonly session: HostSession;
  readonly role: RoleLease;
  readonly counts = {acquired: 0, sessionsLost: 0, ordersDone: 0, targetOrdersDone: 0};
  private readonly random: RandomSource;
  private readonly platform: Platform;
  private readonly membership: Membership;
  private readonly handlers;
  private readonly tasks: Task<unknown>[] = [];

  constructor(
    private readonly context: AuthorityRunContext,
    readonly name: string,
    hostId: string,
    seed: number,
    rate: number,
  ) {
    this.random = createSeededRandom(seed);
    this.process = new SimulatedProcess(context.clock, rate);
    const {store, clock} = context;
    this.path = new MemoryPlatform({store, clock, random: this.random, client: name});
    this.path.faults.latencyMs = [1, 5];
    this.platform = this.applyMutations(createProcessPlatform(this.process, this.path));
    const dependencies = this.dependencies();
    this.handlers = createHandlers(this.process);
    this.session = new HostSession(dependencies, {
      hostId: toId<HostId>(hostId),
      failureDomain: toId<FailureDomain>(`domain-${hostId}`),
      callerAddress: '',
      innerAddress: '',
      operatorAddress: '',
    });
    this.session.onLost(() => {
      this.counts.sessionsLost++;
      context.trace(`${name} lost its session`);
    });
    this.membership = new Membership(dependencies, {times: DEFAULT_LEASE_TIMES});
    this.role = new RoleLease(dependencies, this.handlers, this.session, this.membership, {
      role: 'fleet',
      work: authority => this.work(authority),
    });
  }

  start(): void {
    this.run(this.session.run());
    this.run(this.membership.run());
    this.run(this.role.run());
  }

  /** Stops as planned: gives the role up and ends the session. */
  stop(): void {
    this.session.beginLeave();
    this.run(this.releaseAndEndSession());
  }

  kill(): void {
    this.process.kill();
    for (const task of this.tasks) task.cancel();
  }

  heldEpoch(): number | undefined {
    if (!this.process.isAlive) return undefined;
    const checked = this.role.authority?.check();
    return checked?.ok ? checked.val : undefined;
  }

  private *releaseAndEndSession(): Procedure<void> {
    yield* this.role.release();
    yield* this.session.end();
  }

  private applyMutations(platform: Platform): Platform {
    const {disabledMechanisms} = this.context;
    let mutatedPlatform: Platform = {
      ...platform,
      orderTargets: order => this.orderTargetsWithPause(order),
    };
    if (disabledMechanisms.has('journalBeforeSend'))
      mutatedPlatform = dropWrites(mutatedPlatform, 'orders/');
    if (disabledMechanisms.has('ownAttemptRecognition'))
      mutatedPlatform = hideAttemptIds(mutatedPlatform);
    return mutatedPlatform;
  }

  /**
   * Sends a target order right after the caller's authority check, but may pause the process before
   * the request leaves.
   */
  private orderTargetsWithPause(order: TargetOrder): PlatformAnswer<void> {
    const {process} = this;
    const key = `${order.orderId}/${order.fencingNumber}`;
    this.targetOrderChecks.set(key, {atMs: this.context.clock.nowMs(), pauses: process.pauses});
    if (this.random.next() >= this.engineFaults.pauseInSendProbability) {
      return process.deliverResult(this.path.orderTargets(order));
    }
    process.pause(this.random.next() * 15_000);
    return new Promise(resolve => {
      process.deliver(() => resolve(process.deliverResult(this.path.orderTargets(order))));
    });
  }

  private dependencies() {
    return {platform: this.platform, clock: this.process, random: this.random, log: SILENT_LOG};
  }

  private run<T>(procedure: Procedure<T>): Task<T> {
    const task = startTask(procedure, this.handlers);
    task.done.catch(error => this.context.onError(error));
    this.tasks.push(task as Task<unknown>);
    return task;
  }

  /** Work of the role's holder: keeps sending changed orders to each engine and to the platform. */
  private *work(authority: Authority): Procedure<void> {
    this.counts.acquired++;
    this.context.trace(`${this.name} acquired epoch ${authority.epoch}`);
    const times = {sendTimeoutMs: SEND_TIMEOUT_MS, wireMarginMs: WIRE_MARGIN_MS, retryMs: 300};
    const quarantineTimes = this.context.disabledMechanisms.has('quarantine')
      ? {...times, sendTimeoutMs: 0, wireMarginMs: 0}
      : times;
    const control = new SimulatedEngineControl({
      simulationClock: this.context.clock,
      random: this.random,
      process: this.process,
      sender: this.name,
      engines: this.context.engines,
      sendTimeoutMs: SEND_TIMEOUT_MS,
      wireMarginMs: WIRE_MARGIN_MS,
      faults: this.engineFaults,
      checkBeforeSend: !this.context.disabledMechanisms.has('sameTurnCheck'),
    });
    const engineOrders = new EngineOrders(this.dependencies(), authority, control, {
      checksFencing: targetId => this.context.engines.get(targetId)!.checksFencing,
      times: quarantineTimes,
    });
    const targetOrders = new TargetOrders(this.dependencies(), authority, quarantineTimes);
    const children = [...this.context.engines.keys()].map(targetId =>
      this.run(this.orderEngine(engineOrders, targetId)),
    );
    children.push(this.run(this.orderTargets(targetOrders)));
    try {
      for (;;) yield* sleep(60_000);
    } finally {
      for (const child of children) child.cancel();
    }
  }

  private *orderEngine(orders: EngineOrders, targetId: TargetId): Procedure<void> {
    for (;;) {
      const spec: EngineSpec = {
        role: (['prefill', 'decode', 'both'] as const)[this.random.nextInt(3)],
        modelVersions: [`m@${this.random.nextInt(5)}`],
        adapters: [],
        drain: false,
      };
      const result = yield* orders.reconcile(targetId, spec);
      if (result.ok) this.counts.ordersDone++;
      yield* sleep(200 + this.random.next() * 2000);
    }
  }

  private *orderTargets(orders: TargetOrders): Procedure<void> {
    for (;;) {
      const result = yield* orders.reconcile({
        pool: toId<PoolId>('pool'),
        failureDomain: toId<FailureDomain>('domain-a'),
        cheap: false,
        desiredCount: this.random.nextInt(20),
      });
      if (result.ok) this.counts.targetOrdersDone++;
      yield* sleep(500 + this.random.next() * 3000);
    }
  }
}
