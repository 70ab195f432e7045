import {
  createHandlers,
  createSeededRandom,
  EffectHandlers,
  Err,
  FailureDomain,
  hash32,
  HostId,
  Procedure,
  RandomSource,
  Result,
  SILENT_LOG,
  sleep,
  startTask,
  Task,
  TeamId,
  toId,
  VirtualClock,
} from '@radishgw/core';
import {
  DEFAULT_LEASE_TIMES,
  HostSession,
  Member,
  Membership,
  Platform,
  PlatformAnswer,
  RoleLease,
  ShardAssignment,
  UsageReport,
} from '@radishgw/coordination';
import {MemoryPlatform, MemoryStore} from '@radishgw/coordination/testing';
import {
  CopyStore,
  FrozenWindow,
  UsageFreezer,
  UsageMeter,
  UsagePush,
  UsagePushAnswer,
  UsagePushError,
  UsageReporter,
  UsageSender,
  windowStartOf,
} from '@radishgw/usage';
import {Mechanism} from './mutations.js';
import {createProcessPlatform, SimulatedProcess} from './simulated-process.js';
import {UsageChecker, UsageSource} from './usage-checker.js';

export const SHARD_COUNT = 3;
const TEAM_COUNT = 6;
const PUSH_TIMEOUT_MS = 1000;
const HAND_OVER_TIMEOUT_MS = 20_000;

type PushAnswer = Result<UsagePushAnswer, UsagePushError>;

/** Objects that all hosts of a run share. */
export interface UsageRunContext {
  readonly clock: VirtualClock;
  readonly store: MemoryStore;
  readonly checker: UsageChecker;
  readonly hosts: () => readonly UsageHost[];
  readonly disabledMechanisms: ReadonlySet<Mechanism>;
  readonly onError: (error: unknown) => void;
  readonly trace: (line: string) => void;
}

/** Places each shard on three members by rendezvous hashing. */
function placeShards(members: readonly Member[], shardCount: number): HostId[][] {
  return Array.from({length: shardCount}, (_, shard) =>
    members
      .map(({hostId}) => ({hostId, score: hash32(`${shard}/${hostId}`)}))
      .sort((a, b) => b.score - a.score)
      .slice(0, 3)
      .map(({hostId}) => hostId),
  );
}

/** One process of a host, with its session, shards, metering, freezing and role `usage`. */
export class UsageHost implements UsageSource {
  readonly process: SimulatedProcess;
  readonly path: MemoryPlatform;
  readonly peerFaults = {isPartitioned: false, lostProbability: 0, lateProbability: 0};
  readonly reportChecks = new Map<string, {readonly atMs: number; readonly pauses: number}>();
  readonly session: HostSession;
  readonly counts = {acquired: 0, pushes: 0};
  pauseInSendProbability = 0;
  killedAtMs: number | undefined;
  stoppedWithoutHandOver = false;
  private isStopping = false;
  private isServing = true;
  private readonly random: RandomSource;
  private readonly platform: Platform;
  private readonly handlers: EffectHandlers;
  private readonly membership: Membership;
  private readonly shards: ShardAssignment;
  private readonly role: RoleLease;
  private readonly freezer: UsageFreezer;
  private readonly copies = new CopyStore();
  private readonly tasks: Task<unknown>[] = [];

  constructor(
    private readonly context: UsageRunContext,
    readonly name: string,
    readonly hostId: HostId,
    seed: number,
  ) {
    this.random = createSeededRandom(seed);
    const rate = 0.97 + 0.06 * this.random.next();
    this.process = new SimulatedProcess(context.clock, rate, 4000 * this.random.next() - 2000);
    const {store, clock} = context;
    this.path = new MemoryPlatform({store, clock, random: this.random, client: name});
    this.path.faults.latencyMs = [1, 5];
    const processPlatform: Platform = {
      ...createProcessPlatform(this.process, this.path),
      reportUsage: report => this.reportUsage(report),
    };
    this.platform = context.disabledMechanisms.has('freezeBeforeReport')
      ? {...processPlatform, put: (...args) => this.reportBeforeFreezing(processPlatform, ...args)}
      : processPlatform;
    this.handlers = createHandlers(this.process);
    const dependencies = this.dependencies();
    this.session = new HostSession(dependencies, {
      hostId,
      failureDomain: toId<FailureDomain>(`domain-${hostId}`),
      callerAddress: '',
      innerAddress: '',
      operatorAddress: '',
    });
    this.membership = new Membership(dependencies, {times: DEFAULT_LEASE_TIMES});
    this.freezer = new UsageFreezer(dependencies);
    this.shards = new ShardAssignment(dependencies, this.session, this.membership, {
      shardCount: SHARD_COUNT,
      placement: placeShards,
      onAcquired: (shard, authority) => this.freezer.addShard(shard, authority),
      onLost: shard => this.freezer.removeShard(shard),
    });
    this.role = new RoleLease(dependencies, this.handlers, this.session, this.membership, {
      role: 'usage',
      work: authority => {
        this.counts.acquired++;
        context.trace(`${name} acquired epoch ${authority.epoch}`);
        const takeoverDelayMs = context.disabledMechanisms.has('quarantine') ? 0 : undefined;
        // Without freezing, the shard owners report; see reportBeforeFreezing.
        const shardCount = context.disabledMechanisms.has('freezeBeforeReport') ? 0 : SHARD_COUNT;
        const settings = {shardCount, takeoverDelayMs};
        return new UsageReporter(this.dependencies(), authority, settings).run();
      },
    });
  }

  start(): void {
    this.run(this.session.run());
    this.run(this.membership.run());
    this.run(this.shards.watch());
    this.run(this.shards.run());
    this.run(this.role.run());
    this.run(this.freezer.run());
    this.run(this.serve());
  }

  kill(): void {
    if (!this.process.isAlive) return;
    this.killedAtMs = this.context.clock.nowMs();
    this.endProcess();
  }

  /** Stops as planned: hands the increments over, releases shards and role and ends the session. */
  stop(onStopped: () => void): void {
    this.isStopping = true;
    this.session.beginLeave();
    this.onStopped = onStopped;
  }

  /** Stops serving requests; all other work continues. */
  pauseServing(): void {
    this.isServing = false;
  }

  heldEpoch(): number | undefined {
    if (!this.process.isAlive) return undefined;
    const checked = this.role.authority?.check();
    return checked?.ok ? checked.val : undefined;
  }

  private onStopped: () => void = () => undefined;

  private endProcess(): void {
    this.process.kill();
    for (const task of this.tasks) task.cancel();
  }

  /** Serves requests and sends increments until {@link stop}, then stops as planned. */
  private *serve(): Procedure<void> {
    while (this.session.check().err) yield* sleep(100);
    const sessionId = this.session.check().unwrap();
    const {hostId} = this;
    const shardOf = (teamId: TeamId) => hash32(teamId) % SHARD_COUNT;
    const meter = new UsageMeter(this.process, {hostId, sessionId, shardOf});
    const sender = new UsageSender({push: (to, push) => this.push(to, push)}, meter, this.copies, {
      ownerOf: shard => this.shards.owner(shard),
      copyHost: () => this.pickCopyHost(),
      isSessionEnded: (host, session) => this.isSessionEnded(host, session),
    });
    const sending = this.run(sender.run());
    while (!this.isStopping) {
      if (this.isServing) this.recordCall(meter);
      yield* sleep(50 + this.random.next() * 400);
    }
    const deadlineMs = this.process.nowMs() + HAND_OVER_TIMEOUT_MS;
    const handedOver = yield* sender.handOver(() => this.process.nowMs() > deadlineMs);
    // Stopping now loses usage that no other host holds, so the checks treat it as a kill.
    if (!handedOver) {
      this.killedAtMs = this.context.clock.nowMs();
      this.stoppedWithoutHandOver = true;
      this.context.trace(`${this.name} stopped without handing its increments over`);
    }
    sending.cancel();
    yield* this.shards.releaseAll();
    yield* this.role.release();
    yield* this.session.end();
    // endProcess cancels this procedure too, so it must run after the procedure has returned.
    this.context.clock.setTimer(0, () => {
      this.endProcess();
      this.onStopped();
    });
  }

  private recordCall(meter: UsageMeter): void {
    const teamId = toId<TeamId>(`team-${this.random.nextInt(TEAM_COUNT)}`);
    const outputTokens = 1 + this.random.nextInt(100);
    const windowStartMs = windowStartOf(this.process.now());
    const atMs = this.context.clock.nowMs();
    this.context.checker.record(this.name, teamId, windowStartMs, {atMs, outputTokens});
    meter.record(teamId, this.name, {promptTokens: 10, outputTokens, calls: 1});
  }

  private pickCopyHost(): HostId | undefined {
    const others = this.membership
      .members()
      .filter(({hostId, leaving}) => hostId !== this.hostId && !leaving)
      .map(({hostId}) => ({hostId, score: hash32(`${this.hostId}/${hostId}`)}))
      .sort((a, b) => b.score - a.score);
    return others[0]?.hostId;
  }

  private isSessionEnded(hostId: HostId, sessionId: string): boolean {
    const member = this.membership.members().find(other => other.hostId === hostId);
    return member?.sessionId !== sessionId;
  }

  private push(to: HostId, push: UsagePush): Promise<PushAnswer> {
    const {clock, disabledMechanisms} = this.context;
    this.counts.pushes++;
    return new Promise(resolve => {
      const timeout = this.process.setTimer(PUSH_TIMEOUT_MS, () =>
        resolve(Err({kind: 'unreachable'})),
      );
      const isLost = () =>
        this.peerFaults.isPartitioned || this.random.next() < this.peerFaults.lostProbability;
      // A push later than the timeout arrives after the sender has sent its increments again.
      const lateMs =
        this.random.next() < this.peerFaults.lateProbability ? 3000 * this.random.next() : 0;
      const isLate = lateMs > PUSH_TIMEOUT_MS;
      const sent = isLate && disabledMechanisms.has('sequenceCheck') ? this.renumber(push) : push;
      clock.setTimer(1 + this.random.next() * 4 + lateMs, () => {
        const receiver = this.context
          .hosts()
          .find(
            host => host.hostId === to && host.process.isAlive && !host.peerFaults.isPartitioned,
          );
        if (!receiver || isLost()) return;
        receiver.process.deliver(() => {
          const answer = receiver.receive(sent);
          if (isLost()) return;
          clock.setTimer(1 + this.random.next() * 4, () =>
            this.process.deliver(() => {
              timeout.cancel();
              resolve(answer);
            }),
          );
        });
      });
    });
  }

  private receive(push: UsagePush): PushAnswer {
    return push.copy ? this.copies.accept(push) : this.freezer.accept(push);
  }

  /** Renumbers a late push so that its increments appear to be new. */
  private renumber(push: UsagePush): UsagePush {
    const sessionId = `${push.sessionId}/${this.counts.pushes}` as UsagePush['sessionId'];
    const increments = push.increments.map((increment, index) => ({
      ...increment,
      sequence: index + 1,
    }));
    return {...push, sessionId, increments, settledSequence: 0};
  }

  /** Reports a window before it is frozen, to show which failures freezing first prevents. */
  private reportBeforeFreezing(platform: Platform, ...args: Parameters<Platform['put']>) {
    const [key, value] = args;
    const match = /^usage\/(\d+\/\d+)$/.exec(key);
    if (match) {
      const {report} = JSON.parse(value) as FrozenWindow;
      void this.reportUsage({windowId: match[1], body: report, fencingNumber: 0});
    }
    return platform.put(...args);
  }

  private reportUsage(report: UsageReport): PlatformAnswer<void> {
    const {process} = this;
    const key = `${report.windowId}/${report.fencingNumber}`;
    this.reportChecks.set(key, {atMs: this.context.clock.nowMs(), pauses: process.pauses});
    if (this.random.next() >= this.pauseInSendProbability) {
      return process.deliverResult(this.path.reportUsage(report));
    }
    process.pause(this.random.next() * 15_000);
    return new Promise(resolve => {
      process.deliver(() => resolve(process.deliverResult(this.path.reportUsage(report))));
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
}
