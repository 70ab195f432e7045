import {Clock, HostId, TeamId, Timer} from '@radishgw/core';
import {
  AcquireGrantRequest,
  AcquireGrantResponse,
  ConfirmReply,
  ConfirmReserveRequest,
  ConfirmReserveResponse,
  createOwner,
  extendAuthority,
  handleAcquire,
  handleConfirm,
  handOverOwnership,
  HandOverShardsRequest,
  LimitSettings,
  nextOwnerTimerMs,
  OwnerState,
  processOwnerTimers,
  setPlacement,
  TeamLimit,
} from '@radishgw/limits';
import {Epoch, ShardClaim} from '@radishgw/coordination';

/** Dependencies of {@link OwnedShards}. */
export interface OwnedShardsDependencies {
  readonly clock: Clock;
  readonly settings: LimitSettings;
  findLimit(teamId: TeamId): TeamLimit | undefined;
  /** Expiry of this host's authority over a shard, on its own clock; undefined if it has none. */
  authorityUntilMs(shard: number): number | undefined;
}

interface PendingConfirmation {
  readonly request: ConfirmReserveRequest;
  respond(response: ConfirmReserveResponse): void;
}

interface PendingHandOver {
  readonly request: HandOverShardsRequest;
  readonly receivedMs: number;
}

/** Data stored in a shard's object: hosts that may hold reserves of its teams. */
export interface ShardData {
  readonly holders: readonly HostId[];
}

/** Refill time assumed for a shard that never had an owner, long enough to fill every bucket. */
const FULL_REFILL_MS = 1e12;

function readHolders(data: unknown): readonly HostId[] {
  const holders = (data as Partial<ShardData> | undefined)?.holders;
  return Array.isArray(holders) ? holders : [];
}

/** Owner side of rate limiting at one host, with one state per owned shard. */
export class OwnedShards {
  private readonly owners = new Map<number, OwnerState>();
  private timer: Timer | undefined;
  private readonly pendingHandOvers = new Map<number, PendingHandOver>();
  /** The latest unanswered confirmation of each host, by shard. */
  private readonly pendingConfirmations = new Map<number, Map<HostId, PendingConfirmation>>();

  constructor(private readonly dependencies: OwnedShardsDependencies) {}

  /** Returns the data to store in a shard's object on a claim or a change of placement. */
  describeData(shard: number, previous: unknown, placement: readonly HostId[]): ShardData {
    const owner = this.owners.get(shard);
    const formerHolders = owner ? [...owner.holders.keys()] : readHolders(previous);
    return {holders: [...new Set([...formerHolders, ...placement])].sort()};
  }

  /** Creates the owner state of a claimed shard. */
  addShard(shard: number, epoch: Epoch, claim: ShardClaim): void {
    const {clock, settings, authorityUntilMs} = this.dependencies;
    const nowMs = clock.nowMs();
    const owner = createOwner({
      shard,
      epoch,
      settings,
      findLimit: teamId => this.dependencies.findLimit(teamId),
      nowMs,
      authorityUntilMs: authorityUntilMs(shard) ?? nowMs,
      unownedMs: 0,
      formerHolders: readHolders(claim.previousData),
      placement: claim.placement,
      handOver: claim.isNew
        ? createFullShardState(shard, epoch)
        : this.consumeHandOver(shard, epoch),
    });
    this.owners.set(shard, owner);
  }

  removeShard(shard: number): void {
    this.owners.delete(shard);
    for (const {request, respond} of this.pendingConfirmations.get(shard)?.values() ?? []) {
      respond(createNotOwnerResponse(request));
    }
    this.pendingConfirmations.delete(shard);
  }

  changePlacement(shard: number, placement: readonly HostId[]): void {
    const owner = this.owners.get(shard);
    if (owner) setPlacement(owner, placement);
  }

  /** Ends ownership of a shard on a planned stop and returns the state for the next owner. */
  handOver(
    shard: number,
    sender: Pick<HandOverShardsRequest, 'hostId' | 'sessionId'>,
  ): HandOverShardsRequest | undefined {
    const owner = this.findOwner(shard);
    return owner && handOverOwnership(owner, sender, this.dependencies.clock.nowMs());
  }

  /** Stores the state that a stopping owner hands over until this host claims the shard. */
  storeHandOver(request: HandOverShardsRequest): void {
    const existing = this.pendingHandOvers.get(request.shard);
    if (existing && existing.request.epoch >= request.epoch) return;
    this.pendingHandOvers.set(request.shard, {
      request,
      receivedMs: this.dependencies.clock.nowMs(),
    });
  }

  acquireGrant(request: AcquireGrantRequest): AcquireGrantResponse {
    const owner = this.findOwner(request.shard);
    if (!owner) return NOT_OWNER_RESPONSE;
    const result = handleAcquire(owner, request, this.dependencies.clock.nowMs());
    this.respond(request.shard, result.replies);
    return result.response;
  }

  /** Handles a confirmation. The response may be delayed until the owner has something to send. */
  confirmReserve(request: ConfirmReserveRequest): Promise<ConfirmReserveResponse> {
    const owner = this.findOwner(request.shard);
    if (!owner) return Promise.resolve(createNotOwnerResponse(request));
    return new Promise(resolve => {
      const pendingOfShard =
        this.pendingConfirmations.get(request.shard) ?? new Map<HostId, PendingConfirmation>();
      this.pendingConfirmations.set(request.shard, pendingOfShard);
      const earlier = pendingOfShard.get(request.hostId);
      earlier?.respond(createNotOwnerResponse(earlier.request));
      pendingOfShard.set(request.hostId, {request, respond: resolve});
      this.respond(request.shard, handleConfirm(owner, request, this.dependencies.clock.nowMs()));
      this.scheduleTimer();
    });
  }

  private scheduleTimer(): void {
    let dueMs = Infinity;
    for (const owner of this.owners.values()) dueMs = Math.min(dueMs, nextOwnerTimerMs(owner));
    this.timer?.cancel();
    this.timer = undefined;
    if (dueMs === Infinity) return;
    const {clock} = this.dependencies;
    this.timer = clock.setTimer(Math.max(1, dueMs - clock.nowMs()), () => this.processTimers());
  }

  private processTimers(): void {
    for (const shard of [...this.owners.keys()]) {
      const owner = this.findOwner(shard);
      if (owner) this.respond(shard, processOwnerTimers(owner, this.dependencies.clock.nowMs()));
    }
    this.scheduleTimer();
  }

  private findOwner(shard: number): OwnerState | undefined {
    const owner = this.owners.get(shard);
    const untilMs = owner && this.dependencies.authorityUntilMs(shard);
    if (!owner || untilMs === undefined) return undefined;
    extendAuthority(owner, untilMs);
    return owner;
  }

  private consumeHandOver(shard: number, epoch: Epoch): HandOverShardsRequest | undefined {
    const pending = this.pendingHandOvers.get(shard);
    this.pendingHandOvers.delete(shard);
    if (!pending || pending.request.epoch !== epoch - 1) return undefined;
    const ageMs = pending.request.ageMs + this.dependencies.clock.nowMs() - pending.receivedMs;
    return {...pending.request, ageMs};
  }

  private respond(shard: number, replies: readonly ConfirmReply[]): void {
    for (const {hostId, requestSequence, response} of replies) {
      const confirmation = this.pendingConfirmations.get(shard)?.get(hostId);
      if (confirmation?.request.sequence !== requestSequence) continue;
      this.pendingConfirmations.get(shard)?.delete(hostId);
      confirmation.respond(response);
    }
  }
}

const NOT_OWNER_RESPONSE: AcquireGrantResponse = {
  outcome: 'notOwner',
  grantedTokens: 0,
  timeToLiveMs: 0,
  retryAfterMs: 0,
  epoch: 0,
  stamp: 0,
};

function createNotOwnerResponse(request: ConfirmReserveRequest): ConfirmReserveResponse {
  return {
    accepted: false,
    epoch: 0,
    validMs: 0,
    sequence: request.sequence,
    wantAll: false,
    changes: [],
  };
}

/**
 * Creates the state of a shard that never had an owner. Nothing was admitted, so all buckets are
 * full.
 */
function createFullShardState(shard: number, epoch: Epoch): HandOverShardsRequest {
  return {
    hostId: '' as HostId,
    sessionId: '' as HandOverShardsRequest['sessionId'],
    shard,
    epoch: epoch - 1,
    buckets: [],
    holders: [],
    runningMs: FULL_REFILL_MS,
    ageMs: 0,
  };
}
