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
import {CheckedHost} from './authority-checks.js';
import {forgetWrites, hideAttempts, Mechanism} from './mutations.js';
import {EnginePathFaults, RecordingEngine, SimulatedEngineControl} from './recording-engine.js';
import {gatePlatform, SimulatedProcess} from './simulated-process.js';

/** Times of orders in the soak: those of the product. */
export const SEND_TIMEOUT_MS = 3000;
export const WIRE_MARGIN_MS = 500;

/** What the hosts of a run share. */
export interface AuthorityWorld {
  readonly clock: VirtualClock;
  readonly store: MemoryStore;
  readonly engines: ReadonlyMap<TargetId, RecordingEngine>;
  /** Mechanisms that this run leaves out. */
  readonly without: ReadonlySet<Mechanism>;
  /** Takes an error of a control procedure. */
  readonly onError: (error: unknown) => void;
  readonly trace: (line: string) => void;
}

/** One process of a host: session, membership, role `fleet` and its orders. */
export class AuthorityHost implements CheckedHost {
  readonly process: SimulatedProcess;
  readonly path: MemoryPlatform;
  readonly engineFaults: EnginePathFaults = {
    partitioned: false,
    heldUpProbability: 0,
    pauseInConnectProbability: 0,
    pauseInSendProbability: 0,
    lostAnswerProbability: 0,
  };
  /** The last check before each target order, by order id and fencing number. */
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
    private readonly world: AuthorityWorld,
    readonly name: string,
    hostId: string,
    seed: number,
    rate: number,
  ) {
    this.random = createSeededRandom(seed);
    this.process = new SimulatedProcess(world.clock, rate);
    const {store, clock} = world;
    this.path = new MemoryPlatform({store, clock, random: this.random, client: name});
    this.path.faults.latencyMs = [1, 5];
    this.platform = this.limitPlatform(gatePlatform(this.process, this.path));
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
      world.trace(`${name} lost its session`);
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

  /** Leaves as a planned stop does. */
  stop(): void {
    this.session.beginLeave();
    this.run(this.stopInOrder());
  }

  kill(): void {
    this.process.kill();
    for (const task of this.tasks) task.cancel();
  }

  believedEpoch(): number | undefined {
    if (!this.process.isAlive) return undefined;
    const checked = this.role.authority?.check();
    return checked?.ok ? checked.val : undefined;
  }

  private *stopInOrder(): Procedure<void> {
    yield* this.role.release();
    yield* this.session.end();
  }

  private limitPlatform(platform: Platform): Platform {
    const {without} = this.world;
    let limited: Platform = {...platform, orderTargets: order => this.orderTargetsLate(order)};
    if (without.has('journalBeforeSend')) limited = forgetWrites(limited, 'orders/');
    if (without.has('ownAttemptRecognition')) limited = hideAttempts(limited);
    return limited;
  }

  /** The caller's check was just made; the process may be paused before the bytes leave. */
  private orderTargetsLate(order: TargetOrder): PlatformAnswer<void> {
    const {process} = this;
    const key = `${order.orderId}/${order.fencingNumber}`;
    this.targetOrderChecks.set(key, {atMs: this.world.clock.nowMs(), pauses: process.pauses});
    if (this.random.next() >= this.engineFaults.pauseInSendProbability) {
      return process.gate(this.path.orderTargets(order));
    }
    process.pause(this.random.next() * 15_000);
    return new Promise(resolve => {
      process.deliver(() => resolve(process.gate(this.path.orderTargets(order))));
    });
  }

  private dependencies() {
    return {platform: this.platform, clock: this.process, random: this.random, log: SILENT_LOG};
  }

  private run<T>(procedure: Procedure<T>): Task<T> {
    const task = startTask(procedure, this.handlers);
    task.done.catch(error => this.world.onError(error));
    this.tasks.push(task as Task<unknown>);
    return task;
  }

  /** The holder's work: each engine and each pool gets orders that change again and again. */
  private *work(authority: Authority): Procedure<void> {
    this.counts.acquired++;
    this.world.trace(`${this.name} acquired epoch ${authority.epoch}`);
    const times = {sendTimeoutMs: SEND_TIMEOUT_MS, wireMarginMs: WIRE_MARGIN_MS, retryMs: 300};
    const quarantine = this.world.without.has('quarantine')
      ? {...times, sendTimeoutMs: 0, wireMarginMs: 0}
      : times;
    const control = new SimulatedEngineControl({
      world: this.world.clock,
      random: this.random,
      process: this.process,
      sender: this.name,
      engines: this.world.engines,
      sendTimeoutMs: SEND_TIMEOUT_MS,
      wireMarginMs: WIRE_MARGIN_MS,
      faults: this.engineFaults,
      checkBeforeSend: !this.world.without.has('sameTurnCheck'),
    });
    const engineOrders = new EngineOrders(this.dependencies(), authority, control, {
      checksFencing: targetId => this.world.engines.get(targetId)!.checksFencing,
      times: quarantine,
    });
    const targetOrders = new TargetOrders(this.dependencies(), authority, quarantine);
    const children = [...this.world.engines.keys()].map(targetId =>
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
