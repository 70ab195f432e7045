import {
  Clock,
  EffectHandlers,
  Err,
  EventLog,
  hash32,
  HostId,
  Ok,
  Procedure,
  RandomSource,
  Result,
  SessionId,
  sleep,
  startTask,
  TeamId,
} from '@radishgw/core';
import {
  Authority,
  HostSession,
  Membership,
  Platform,
  ShardAssignment,
} from '@radishgw/coordination';
import {
  create,
  INNER_SERVICE,
  PushUsageRequest,
  PushUsageRequestSchema,
  PushUsageResponse,
  PushUsageResponseSchema,
} from '@radishgw/protocol';
import {
  CopyStore,
  UsageAmounts,
  UsageFreezer,
  UsageMeter,
  UsagePush,
  UsagePushAnswer,
  UsagePushError,
  UsageReporter,
  UsageSender,
} from '@radishgw/usage';
import {PeerClients} from '../inner/peer-clients.js';

/** Dependencies of {@link UsageService}. */
export interface UsageServiceDependencies {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly handlers: EffectHandlers;
  readonly session: HostSession;
  readonly membership: Membership;
  readonly clients: PeerClients;
  readonly shardCount: number;
  shardOf(teamId: TeamId): number;
  ownerOf: ShardAssignment['owner'];
}

const SESSION_POLL_MS = 50;
const PUSH_TIMEOUT_MS = 1000;
const HAND_OVER_TIMEOUT_MS = 5000;

interface QueuedUsage {
  readonly teamId: TeamId;
  readonly resource: string;
  readonly amounts: UsageAmounts;
}

/** Counts usage, stores copies of other hosts' usage, and freezes the windows of owned shards. */
export class UsageService {
  private readonly freezer: UsageFreezer;
  private readonly copies = new CopyStore();
  private meter: UsageMeter | undefined;
  private sender: UsageSender | undefined;
  /** Usage recorded before the first session of this process. */
  private queue: QueuedUsage[] = [];

  constructor(private readonly dependencies: UsageServiceDependencies) {
    this.freezer = new UsageFreezer(dependencies);
  }

  /** Records usage in the current window. */
  record(teamId: TeamId, resource: string, amounts: UsageAmounts): void {
    if (this.meter) this.meter.record(teamId, resource, amounts);
    else this.queue.push({teamId, resource, amounts});
  }

  /** Reports usage to the platform while this host holds the role `usage`. */
  runReporter(authority: Authority): Procedure<void> {
    return new UsageReporter(this.dependencies, authority, {
      shardCount: this.dependencies.shardCount,
    }).run();
  }

  addShard(shard: number, authority: Authority): void {
    this.freezer.addShard(shard, authority);
  }

  removeShard(shard: number): void {
    this.freezer.removeShard(shard);
  }

  /** Sends increments and freezes usage windows until cancelled. */
  *run(): Procedure<void> {
    const {session, clock, handlers, ownerOf, shardOf} = this.dependencies;
    const freezerTask = startTask(this.freezer.run(), handlers);
    try {
      while (session.check().err) yield* sleep(SESSION_POLL_MS);
      const {hostId} = session;
      const meter = new UsageMeter(clock, {hostId, sessionId: session.check().unwrap(), shardOf});
      for (const {teamId, resource, amounts} of this.queue) meter.record(teamId, resource, amounts);
      this.queue = [];
      this.meter = meter;
      this.sender = new UsageSender({push: (to, push) => this.push(to, push)}, meter, this.copies, {
        ownerOf,
        copyHost: () => this.selectCopyHost(),
        isSessionEnded: (id, sessionId) => this.isSessionOver(id, sessionId),
      });
      yield* this.sender.run();
    } finally {
      freezerTask.cancel();
    }
  }

  /** Hands over all increments on a planned stop, while {@link run} continues. */
  *handOver(): Procedure<void> {
    const {clock, membership, session} = this.dependencies;
    const others = membership.members().filter(member => member.hostId !== session.hostId);
    if (!this.sender || others.length === 0) return;
    const deadlineMs = clock.nowMs() + HAND_OVER_TIMEOUT_MS;
    yield* this.sender.handOver(() => clock.nowMs() > deadlineMs);
  }

  /** Accepts a push from another host or from this one. */
  receive(push: UsagePush): Result<UsagePushAnswer, UsagePushError> {
    return push.copy ? this.copies.accept(push) : this.freezer.accept(push);
  }

  private async push(
    to: HostId,
    push: UsagePush,
  ): Promise<Result<UsagePushAnswer, UsagePushError>> {
    const {session, clients} = this.dependencies;
    if (to === session.hostId) return this.receive(push);
    const request = create(PushUsageRequestSchema, {
      ...push,
      increments: push.increments.map(increment => ({...increment})),
    });
    const result = await clients.call(to, INNER_SERVICE.pushUsage, request, PUSH_TIMEOUT_MS);
    if (result.err) return Err({kind: 'unreachable'});
    if (!result.val.accepted) return Err({kind: 'notOwner'});
    const {acknowledgedSequence, frozenSequence} = result.val;
    return Ok({acknowledgedSequence, frozenSequence});
  }

  /**
   * Selects the host that keeps copies of this host's usage, in another failure domain if possible.
   * The choice is stable while that host is live.
   */
  private selectCopyHost(): HostId | undefined {
    const {membership, session} = this.dependencies;
    const members = membership.members();
    const own = members.find(member => member.hostId === session.hostId);
    const others = members
      .filter(member => member.hostId !== session.hostId && !member.leaving)
      .map(member => ({
        hostId: member.hostId,
        isInOtherDomain: member.failureDomain !== own?.failureDomain,
        score: hash32(`copy/${session.hostId}/${member.hostId}`),
      }))
      .sort((a, b) => Number(b.isInOtherDomain) - Number(a.isInOtherDomain) || b.score - a.score);
    return others[0]?.hostId;
  }

  private isSessionOver(hostId: HostId, sessionId: SessionId): boolean {
    const member = this.dependencies.membership.members().find(other => other.hostId === hostId);
    return member?.sessionId !== sessionId;
  }
}

/** Handles a usage push received over the inner protocol. */
export function handlePushUsage(usage: UsageService, request: PushUsageRequest): PushUsageResponse {
  const result = usage.receive(request as unknown as UsagePush);
  return create(
    PushUsageResponseSchema,
    result.ok ? {accepted: true, ...result.val} : {accepted: false},
  );
}
