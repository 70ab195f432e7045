import {call, Err, HostId, Procedure, Result, sleep} from '@radishgw/core';
import {Authority, AuthorityError, Epoch} from './authority.js';
import {
  claim,
  ensureHolderInactive,
  HolderAuthority,
  HolderObject,
  release,
  toHolderObject,
  updateData,
} from './holder.js';
import {Member, Membership} from './membership.js';
import {PlatformObject, Revision} from './platform.js';
import {ControlDependencies, HostSession} from './session.js';

/** Preferred hosts of each shard, by shard number; the first should own the shard. */
export type Placement = (
  members: readonly Member[],
  shardCount: number,
) => readonly (readonly HostId[])[];

/** The owner of a shard, as stored on the platform. */
export interface ShardOwner {
  readonly hostId: HostId;
  readonly epoch: Epoch;
}

/** Circumstances under which this host claimed a shard. */
export interface ShardClaim {
  /** Data of the shard's object before the claim; undefined if it had none. */
  readonly previousData: unknown;
  /** Whether the shard's object did not exist before the claim. */
  readonly isNew: boolean;
  readonly placement: readonly HostId[];
}

/** Settings of {@link ShardAssignment}. */
export interface ShardAssignmentSettings {
  readonly shardCount: number;
  readonly placement: Placement;
  /** Time between passes over the shards; 500 ms by default. */
  readonly stepMs?: number;
  /** Longest wait of one watch; 10 s by default. */
  readonly watchWaitMs?: number;
  /** Delay before a claim, times the host's index in the placement; 1 s by default. */
  readonly rankDelayMs?: number;
  /** Hands over the shard's state before the shard is released. */
  readonly beforeRelease?: (shard: number, authority: Authority) => Procedure<void>;
  /**
   * Returns the data to store in the shard's object, from its present data (undefined if the shard
   * is new) and its placement. The data is written on a claim and when the placement changes.
   */
  readonly describeData?: (
    shard: number,
    previous: unknown,
    placement: readonly HostId[],
  ) => unknown;
  /** Called after a shard was claimed. */
  readonly onAcquired?: (shard: number, authority: Authority, claim: ShardClaim) => void;
  /** Called after the object of an owned shard was updated for a new placement. */
  readonly onPlacement?: (shard: number, placement: readonly HostId[]) => void;
  /** Called after a shard was lost or released; its authority has ended. */
  readonly onLost?: (shard: number, epoch: Epoch) => void;
}

const DEFAULT_STEP_MS = 500;
const DEFAULT_WATCH_WAIT_MS = 10_000;
const DEFAULT_RANK_DELAY_MS = 1000;
const RETRY_DELAY_MS = 500;

/** Claims shards placed on this host whose owner is gone, and releases those placed elsewhere. */
export class ShardAssignment {
  private readonly owned = new Map<number, HolderAuthority>();
  /** Data and placement last written for each owned shard. */
  private readonly lastWritten = new Map<number, {data: unknown; placement: readonly HostId[]}>();
  private readonly objects = new Map<number, HolderObject>();
  private revision: Revision = 0;
  private loaded = false;
  private stopped = false;
  private cachedPlacement: readonly (readonly HostId[])[] = [];
  private cachedPlacementVersion = -1;
  /** When each shard was first observed without a live owner; the rank delay counts from it. */
  private readonly ownerlessSinceMs = new Map<number, number>();

  constructor(
    private readonly dependencies: ControlDependencies,
    private readonly session: HostSession,
    private readonly membership: Membership,
    private readonly settings: ShardAssignmentSettings,
  ) {
    session.onLost(() => this.dropLostShards());
  }

  /** Returns the epoch of an owned shard while this host may act as its owner. */
  check(shard: number): Result<Epoch, AuthorityError> {
    const held = this.owned.get(shard);
    if (held) return held.check();
    return Err({kind: 'ended', detail: `shard ${shard} is not owned`});
  }

  authority(shard: number): Authority | undefined {
    return this.owned.get(shard);
  }

  ownedShards(): number[] {
    return [...this.owned.keys()].filter(shard => this.check(shard).ok).sort((a, b) => a - b);
  }

  /** Owner as last read. It is only a hint, since the owner's session may have lapsed. */
  owner(shard: number): ShardOwner | undefined {
    const record = this.objects.get(shard)?.record;
    return record?.hostId ? {hostId: record.hostId, epoch: record.epoch} : undefined;
  }

  /** Preferred hosts of the shard, in order. */
  placementOf(shard: number): readonly HostId[] {
    return this.currentPlacement()[shard] ?? [];
  }

  /** Keeps the view of all shard objects up to date; runs concurrently with {@link run}. */
  *watch(): Procedure<void> {
    const {platform} = this.dependencies;
    while (!this.stopped) {
      if (!this.loaded) {
        const list = yield* call(() => platform.list('shards/'));
        if (list.ok) this.applyList(list.val.objects, list.val.revision);
      } else {
        const waitMs = this.settings.watchWaitMs ?? DEFAULT_WATCH_WAIT_MS;
        const result = yield* call(() => platform.watch('shards/', this.revision, waitMs));
        if (result.ok && !result.val.compacted) {
          for (const event of result.val.events) this.applyObject(event);
          this.revision = Math.max(this.revision, result.val.revision);
          continue;
        }
        if (result.ok) this.loaded = false;
      }
      if (!this.loaded) yield* sleep(RETRY_DELAY_MS);
      else yield* sleep(RETRY_DELAY_MS * this.dependencies.random.next());
    }
  }

  /** Claims and releases shards until `releaseAll()`. */
  *run(): Procedure<void> {
    while (!this.stopped) {
      this.dropLostShards();
      if (this.loaded && this.session.check().ok) yield* this.step();
      yield* sleep(this.settings.stepMs ?? DEFAULT_STEP_MS);
    }
  }

  /** Releases all shards and stops claiming; part of a planned stop. */
  *releaseAll(): Procedure<void> {
    this.stopped = true;
    for (const shard of [...this.owned.keys()]) yield* this.releaseShard(shard);
  }

  private *step(): Procedure<void> {
    const placement = this.currentPlacement();
    for (let shard = 0; shard < this.settings.shardCount && !this.stopped; shard++) {
      const rank = (placement[shard] ?? []).indexOf(this.session.hostId);
      if (this.owned.has(shard)) {
        if (rank < 0 && placement[shard]?.length > 0) yield* this.releaseShard(shard);
        else yield* this.updatePlacement(shard, placement[shard] ?? []);
      } else if (rank >= 0 && !this.session.isLeaving) {
        yield* this.tryClaim(shard, rank);
      }
    }
  }

  private *tryClaim(shard: number, rank: number): Procedure<void> {
    const {clock, log} = this.dependencies;
    const key = `shards/${shard}`;
    const object = this.objects.get(shard) ?? {key, revision: 0, record: undefined};
    if (this.mayBeOwned(object)) {
      this.ownerlessSinceMs.delete(shard);
      return;
    }
    const sinceMs = this.ownerlessSinceMs.get(shard) ?? clock.nowMs();
    this.ownerlessSinceMs.set(shard, sinceMs);
    const delayMs = rank * (this.settings.rankDelayMs ?? DEFAULT_RANK_DELAY_MS);
    if (clock.nowMs() - sinceMs < delayMs) return;
    if (!(yield* ensureHolderInactive(this.membership, this.session, object)) || this.stopped)
      return;
    const placement = this.currentPlacement()[shard] ?? [];
    const previousData = object.record?.data;
    const data = this.settings.describeData?.(shard, previousData, placement);
    const held = yield* claim(this.dependencies, this.session, object, data);
    if (!held) return;
    if (this.stopped) return yield* release(this.dependencies, key, held, data);
    this.owned.set(shard, held);
    this.lastWritten.set(shard, {data, placement});
    this.ownerlessSinceMs.delete(shard);
    log.write('shardAcquired', {shard, epoch: held.epoch, hostId: this.session.hostId});
    const isNew = object.record === undefined;
    this.settings.onAcquired?.(shard, held, {previousData, isNew, placement});
  }

  private *updatePlacement(shard: number, placement: readonly HostId[]): Procedure<void> {
    const {describeData, onPlacement} = this.settings;
    const held = this.owned.get(shard);
    const written = this.lastWritten.get(shard);
    if (!held || !written || !describeData || placement.length === 0) return;
    if (placement.join() === written.placement.join()) return;
    const data = describeData(shard, written.data, placement);
    const key = `shards/${shard}`;
    if (!(yield* updateData(this.dependencies, this.session, key, held, data))) return;
    if (this.owned.get(shard) !== held) return;
    this.lastWritten.set(shard, {data, placement});
    onPlacement?.(shard, placement);
  }

  /** Whether the owner may be alive, by the membership's last reads; makes no platform call. */
  private mayBeOwned(object: HolderObject): boolean {
    const {record, revision} = object;
    if (!record?.sessionId || !record.hostId) return false;
    const own = this.session.check();
    if (own.ok && own.val === record.sessionId) return false;
    const status = this.membership.sessionStatus(record.hostId, record.sessionId, revision);
    return status === 'live' || status === 'unknown';
  }

  private *releaseShard(shard: number): Procedure<void> {
    const held = this.owned.get(shard);
    if (!held) return;
    if (this.settings.beforeRelease && held.check().ok) {
      yield* this.settings.beforeRelease(shard, held);
    }
    if (this.owned.get(shard) !== held) return;
    held.revoke();
    this.owned.delete(shard);
    this.settings.onLost?.(shard, held.epoch);
    yield* release(this.dependencies, `shards/${shard}`, held, this.lastWritten.get(shard)?.data);
  }

  private dropLostShards(): void {
    for (const [shard, held] of this.owned) {
      const checked = held.check();
      if (checked.ok) continue;
      held.revoke();
      this.owned.delete(shard);
      const reason = checked.val.detail;
      this.dependencies.log.write('shardLost', {shard, epoch: held.epoch, reason});
      this.settings.onLost?.(shard, held.epoch);
    }
  }

  private currentPlacement(): readonly (readonly HostId[])[] {
    if (this.cachedPlacementVersion !== this.membership.version) {
      this.cachedPlacementVersion = this.membership.version;
      const staying = this.membership.members().filter(member => !member.leaving);
      this.cachedPlacement = this.settings.placement(staying, this.settings.shardCount);
    }
    return this.cachedPlacement;
  }

  private applyList(objects: readonly PlatformObject[], revision: Revision): void {
    this.objects.clear();
    for (const object of objects) this.applyObject(object);
    this.revision = revision;
    this.loaded = true;
  }

  private applyObject(object: PlatformObject & {removed?: boolean}): void {
    const shard = Number(object.key.slice('shards/'.length));
    const known = this.objects.get(shard);
    if (known && known.revision >= object.revision) return;
    const parsed = object.removed ? undefined : toHolderObject(object);
    if (parsed) this.objects.set(shard, parsed);
    else this.objects.delete(shard);
  }
}
