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

/** What counting and reporting usage needs. */
export interface UsageServices {
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
const HAND_OVER_GIVE_UP_MS = 5000;

interface EarlyUse {
  readonly teamId: TeamId;
  readonly resource: string;
  readonly amounts: UsageAmounts;
}

/** Counts usage, keeps copies for other hosts, and freezes the windows of owned shards. */
export class UsageService {
  private readonly freezer: UsageFreezer;
  private readonly copies = new CopyStore();
  private meter: UsageMeter | undefined;
  private sender: UsageSender | undefined;
  /** Use before the first session of this process. */
  private early: EarlyUse[] = [];

  constructor(private readonly services: UsageServices) {
    this.freezer = new UsageFreezer(services);
  }

  /** Counts use at this moment. */
  record(teamId: TeamId, resource: string, amounts: UsageAmounts): void {
    if (this.meter) this.meter.record(teamId, resource, amounts);
    else this.early.push({teamId, resource, amounts});
  }

  /** Work of the holder of the role `usage`. */
  report(authority: Authority): Procedure<void> {
    return new UsageReporter(this.services, authority, {
      shardCount: this.services.shardCount,
    }).run();
  }

  addShard(shard: number, authority: Authority): void {
    this.freezer.addShard(shard, authority);
  }

  removeShard(shard: number): void {
    this.freezer.removeShard(shard);
  }

  /** Sends increments and freezes windows until cancelled. */
  *run(): Procedure<void> {
    const {session, clock, handlers, ownerOf, shardOf} = this.services;
    const freezing = startTask(this.freezer.run(), handlers);
    try {
      while (session.check().err) yield* sleep(SESSION_POLL_MS);
      const {hostId} = session;
      const meter = new UsageMeter(clock, {hostId, sessionId: session.check().unwrap(), shardOf});
      for (const {teamId, resource, amounts} of this.early) meter.record(teamId, resource, amounts);
      this.early = [];
      this.meter = meter;
      this.sender = new UsageSender({push: (to, push) => this.push(to, push)}, meter, this.copies, {
        ownerOf,
        copyHost: () => this.pickCopyHost(),
        isSessionEnded: (id, sessionId) => this.isSessionOver(id, sessionId),
      });
      yield* this.sender.run();
    } finally {
      freezing.cancel();
    }
  }

  /** Hands all increments over; part of a planned stop, while {@link run} goes on. */
  *handOver(): Procedure<void> {
    const {clock, membership, session} = this.services;
    const others = membership.members().filter(member => member.hostId !== session.hostId);
    if (!this.sender || others.length === 0) return;
    const deadlineMs = clock.nowMs() + HAND_OVER_GIVE_UP_MS;
    yield* this.sender.handOver(() => clock.nowMs() > deadlineMs);
  }

  /** Takes a push of another host, or of this one. */
  receive(push: UsagePush): Result<UsagePushAnswer, UsagePushError> {
    return push.copy ? this.copies.accept(push) : this.freezer.accept(push);
  }

  private async push(
    to: HostId,
    push: UsagePush,
  ): Promise<Result<UsagePushAnswer, UsagePushError>> {
    const {session, clients} = this.services;
    if (to === session.hostId) return this.receive(push);
    const request = create(PushUsageRequestSchema, {
      ...push,
      increments: push.increments.map(increment => ({...increment})),
    });
    const answer = await clients.call(to, INNER_SERVICE.pushUsage, request, PUSH_TIMEOUT_MS);
    if (answer.err) return Err({kind: 'unreachable'});
    if (!answer.val.accepted) return Err({kind: 'notOwner'});
    const {acknowledgedSequence, frozenSequence} = answer.val;
    return Ok({acknowledgedSequence, frozenSequence});
  }

  /** A host in another failure domain if there is one, always the same while it lives. */
  private pickCopyHost(): HostId | undefined {
    const {membership, session} = this.services;
    const members = membership.members();
    const own = members.find(member => member.hostId === session.hostId);
    const others = members
      .filter(member => member.hostId !== session.hostId && !member.leaving)
      .map(member => ({
        hostId: member.hostId,
        isElsewhere: member.failureDomain !== own?.failureDomain,
        score: hash32(`copy/${session.hostId}/${member.hostId}`),
      }))
      .sort((a, b) => Number(b.isElsewhere) - Number(a.isElsewhere) || b.score - a.score);
    return others[0]?.hostId;
  }

  private isSessionOver(hostId: HostId, sessionId: SessionId): boolean {
    const member = this.services.membership.members().find(other => other.hostId === hostId);
    return member?.sessionId !== sessionId;
  }
}

/** Answers a push that came by the inner protocol. */
export function answerPush(usage: UsageService, request: PushUsageRequest): PushUsageResponse {
  const answer = usage.receive(request as unknown as UsagePush);
  return create(
    PushUsageResponseSchema,
    answer.ok ? {accepted: true, ...answer.val} : {accepted: false},
  );
}
