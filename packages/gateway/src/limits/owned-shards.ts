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

/** What owning shards needs. */
export interface OwnedShardsServices {
  readonly clock: Clock;
  readonly settings: LimitSettings;
  findLimit(teamId: TeamId): TeamLimit | undefined;
  /** Until when this host may act as owner of a shard, on its own clock; undefined if it may not. */
  authorityUntilMs(shard: number): number | undefined;
}

interface HeldConfirmation {
  readonly request: ConfirmReserveRequest;
  answer(response: ConfirmReserveResponse): void;
}

interface PendingHandOver {
  readonly request: HandOverShardsRequest;
  readonly receivedMs: number;
}

/** Data in a shard's object: hosts that may hold reserves of its teams. */
export interface ShardData {
  readonly holders: readonly HostId[];
}

/** Time that a shard without a former owner counts as having refilled: long enough to be full. */
const FULL_REFILL_MS = 1e12;

function readHolders(data: unknown): readonly HostId[] {
  const holders = (data as Partial<ShardData> | undefined)?.holders;
  return Array.isArray(holders) ? holders : [];
}

/** The owner side of the limits at one host: one state for each shard that it owns. */
export class OwnedShards {
  private readonly owners = new Map<number, OwnerState>();
  private timer: Timer | undefined;
  private readonly handOvers = new Map<number, PendingHandOver>();
  /** The latest confirmation of each host for each shard, until it is answered. */
  private readonly held = new Map<number, Map<HostId, HeldConfirmation>>();

  constructor(private readonly services: OwnedShardsServices) {}

  /** Data for a shard's object at a claim or a change of placement. */
  describeData(shard: number, previous: unknown, placement: readonly HostId[]): ShardData {
    const owner = this.owners.get(shard);
    const former = owner ? [...owner.holders.keys()] : readHolders(previous);
    return {holders: [...new Set([...former, ...placement])].sort()};
  }

  /** Starts the ownership of a shard that was claimed. */
  acquire(shard: number, epoch: Epoch, claim: ShardClaim): void {
    const {clock, settings, authorityUntilMs} = this.services;
    const nowMs = clock.nowMs();
    const owner = createOwner({
      shard,
      epoch,
      settings,
      findLimit: teamId => this.services.findLimit(teamId),
      nowMs,
      authorityUntilMs: authorityUntilMs(shard) ?? nowMs,
      unownedMs: 0,
      formerHolders: readHolders(claim.previousData),
      placement: claim.placement,
      handOver: claim.isNew ? describeFullShard(shard, epoch) : this.takeHandOver(shard, epoch),
    });
    this.owners.set(shard, owner);
  }

  lose(shard: number): void {
    this.owners.delete(shard);
    for (const {request, answer} of this.held.get(shard)?.values() ?? []) {
      answer(describeNoOwner(request));
    }
    this.held.delete(shard);
  }

  changePlacement(shard: number, placement: readonly HostId[]): void {
    const owner = this.owners.get(shard);
    if (owner) setPlacement(owner, placement);
  }

  /** Ends the ownership on a planned stop and gives the state for the successor. */
  handOver(
    shard: number,
    from: Pick<HandOverShardsRequest, 'hostId' | 'sessionId'>,
  ): HandOverShardsRequest | undefined {
    const owner = this.findOwner(shard);
    return owner && handOverOwnership(owner, from, this.services.clock.nowMs());
  }

  /** Keeps the state that a stopping owner hands over until this host has claimed the shard. */
  keepHandOver(request: HandOverShardsRequest): void {
    const known = this.handOvers.get(request.shard);
    if (known && known.request.epoch >= request.epoch) return;
    this.handOvers.set(request.shard, {request, receivedMs: this.services.clock.nowMs()});
  }

  acquireGrant(request: AcquireGrantRequest): AcquireGrantResponse {
    const owner = this.findOwner(request.shard);
    if (!owner) return NOT_OWNER;
    const result = handleAcquire(owner, request, this.services.clock.nowMs());
    this.reply(request.shard, result.replies);
    return result.response;
  }

  /** The response may come later: confirmations are held open. */
  confirmReserve(request: ConfirmReserveRequest): Promise<ConfirmReserveResponse> {
    const owner = this.findOwner(request.shard);
    if (!owner) return Promise.resolve(describeNoOwner(request));
    return new Promise(resolve => {
      const held = this.held.get(request.shard) ?? new Map<HostId, HeldConfirmation>();
      this.held.set(request.shard, held);
      const earlier = held.get(request.hostId);
      earlier?.answer(describeNoOwner(earlier.request));
      held.set(request.hostId, {request, answer: resolve});
      this.reply(request.shard, handleConfirm(owner, request, this.services.clock.nowMs()));
      this.scheduleWake();
    });
  }

  private scheduleWake(): void {
    let wakeMs = Infinity;
    for (const owner of this.owners.values()) wakeMs = Math.min(wakeMs, nextOwnerTimerMs(owner));
    this.timer?.cancel();
    this.timer = undefined;
    if (wakeMs === Infinity) return;
    const {clock} = this.services;
    this.timer = clock.setTimer(Math.max(1, wakeMs - clock.nowMs()), () => this.expire());
  }

  private expire(): void {
    for (const shard of [...this.owners.keys()]) {
      const owner = this.findOwner(shard);
      if (owner) this.reply(shard, processOwnerTimers(owner, this.services.clock.nowMs()));
    }
    this.scheduleWake();
  }

  private findOwner(shard: number): OwnerState | undefined {
    const owner = this.owners.get(shard);
    const untilMs = owner && this.services.authorityUntilMs(shard);
    if (!owner || untilMs === undefined) return undefined;
    extendAuthority(owner, untilMs);
    return owner;
  }

  private takeHandOver(shard: number, epoch: Epoch): HandOverShardsRequest | undefined {
    const pending = this.handOvers.get(shard);
    this.handOvers.delete(shard);
    if (!pending || pending.request.epoch !== epoch - 1) return undefined;
    const ageMs = pending.request.ageMs + this.services.clock.nowMs() - pending.receivedMs;
    return {...pending.request, ageMs};
  }

  private reply(shard: number, replies: readonly ConfirmReply[]): void {
    for (const {hostId, requestSequence, response} of replies) {
      const confirmation = this.held.get(shard)?.get(hostId);
      if (confirmation?.request.sequence !== requestSequence) continue;
      this.held.get(shard)?.delete(hostId);
      confirmation.answer(response);
    }
  }
}

const NOT_OWNER: AcquireGrantResponse = {
  outcome: 'notOwner',
  grantedTokens: 0,
  timeToLiveMs: 0,
  retryAfterMs: 0,
  epoch: 0,
  stamp: 0,
};

function describeNoOwner(request: ConfirmReserveRequest): ConfirmReserveResponse {
  return {
    accepted: false,
    epoch: 0,
    validMs: 0,
    sequence: request.sequence,
    wantAll: false,
    changes: [],
  };
}

/** A shard that never had an owner has admitted nothing, so its buckets are full. */
function describeFullShard(shard: number, epoch: Epoch): HandOverShardsRequest {
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
