import {call, Err, HostId, Procedure, Result, sleep} from '@radishgw/core';
import {Authority, AuthorityError, Epoch} from './authority.js';
import {
  claim,
  HeldAuthority,
  HeldObject,
  release,
  settleHolder,
  toHeldObject,
  updateData,
} from './holder.js';
import {Member, Membership} from './membership.js';
import {PlatformObject, Revision} from './platform.js';
import {ControlDependencies, HostSession} from './session.js';

/** Hosts that a shard wants, by shard number; the first is the one that should own it. */
export type Placement = (
  members: readonly Member[],
  shardCount: number,
) => readonly (readonly HostId[])[];

/** The owner of a shard as the platform shows it. */
export interface ShardOwner {
  readonly hostId: HostId;
  readonly epoch: Epoch;
}

/** How a shard came to this host. */
export interface ShardClaim {
  /** Data of the object before the claim; undefined if it had none. */
  readonly previousData: unknown;
  /** The shard had no owner before. */
  readonly isNew: boolean;
  readonly placement: readonly HostId[];
}

/** Settings of the shard assignment. */
export interface ShardAssignmentSettings {
  readonly shardCount: number;
  readonly placement: Placement;
  /** Time between steps; 500 ms by default. */
  readonly stepMs?: number;
  /** Longest wait of one watch; 10 s by default. */
  readonly watchWaitMs?: number;
  /** Placement hosts of higher rank wait this long for each rank before they claim; 1 s by default. */
  readonly rankDelayMs?: number;
  /** Hands the shard's state over before the shard is given up. */
  readonly beforeRelease?: (shard: number, authority: Authority) => Procedure<void>;
  /**
   * Data of the shard's object, from the data that it has (undefined if the shard is new) and the
   * hosts that the shard wants. It is written at the claim and when the placement changes.
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
  /** Called when a shard was lost or given up; its authority has ended. */
  readonly onLost?: (shard: number, epoch: Epoch) => void;
}

const DEFAULT_STEP_MS = 500;
const DEFAULT_WATCH_WAIT_MS = 10_000;
const DEFAULT_RANK_DELAY_MS = 1000;
const RETRY_MS = 500;

/** Claims the shards that want this host and whose owner is gone, and gives up those that don't. */
export class ShardAssignment {
  private readonly owned = new Map<number, HeldAuthority>();
  /** Data and placement as last written for owned shards. */
  private readonly written = new Map<number, {data: unknown; placement: readonly HostId[]}>();
  private readonly objects = new Map<number, HeldObject>();
  private revision: Revision = 0;
  private loaded = false;
  private stopped = false;
  private wanted: readonly (readonly HostId[])[] = [];
  private wantedVersion = -1;
  /** When a shard was first seen without a living owner, for the delay by rank. */
  private readonly ownerlessSinceMs = new Map<number, number>();

  constructor(
    private readonly dependencies: ControlDependencies,
    private readonly session: HostSession,
    private readonly membership: Membership,
    private readonly settings: ShardAssignmentSettings,
  ) {
    session.onLost(() => this.dropLost());
  }

  /** The epoch of an owned shard, while this host may act as its owner. */
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

  /** Owner as last read; a hint, since the session may have lapsed. */
  owner(shard: number): ShardOwner | undefined {
    const record = this.objects.get(shard)?.record;
    return record?.hostId ? {hostId: record.hostId, epoch: record.epoch} : undefined;
  }

  /** Hosts that the shard wants, in order. */
  placementOf(shard: number): readonly HostId[] {
    return this.currentPlacement()[shard] ?? [];
  }

  /** Keeps the view of all shard objects; runs beside {@link run}. */
  *watch(): Procedure<void> {
    const {platform} = this.dependencies;
    while (!this.stopped) {
      if (!this.loaded) {
        const list = yield* call(() => platform.list('shards/'));
        if (list.ok) this.load(list.val.objects, list.val.revision);
      } else {
        const waitMs = this.settings.watchWaitMs ?? DEFAULT_WATCH_WAIT_MS;
        const result = yield* call(() => platform.watch('shards/', this.revision, waitMs));
        if (result.ok && !result.val.compacted) {
          for (const event of result.val.events) this.store(event);
          this.revision = Math.max(this.revision, result.val.revision);
          continue;
        }
        if (result.ok) this.loaded = false;
      }
      if (!this.loaded) yield* sleep(RETRY_MS);
      else yield* sleep(RETRY_MS * this.dependencies.random.next());
    }
  }

  /** Claims and gives up shards until `releaseAll()`. */
  *run(): Procedure<void> {
    while (!this.stopped) {
      this.dropLost();
      if (this.loaded && this.session.check().ok) yield* this.step();
      yield* sleep(this.settings.stepMs ?? DEFAULT_STEP_MS);
    }
  }

  /** Gives all shards up for good; part of a planned stop. */
  *releaseAll(): Procedure<void> {
    this.stopped = true;
    for (const shard of [...this.owned.keys()]) yield* this.giveUp(shard);
  }

  private *step(): Procedure<void> {
    const placement = this.currentPlacement();
    for (let shard = 0; shard < this.settings.shardCount && !this.stopped; shard++) {
      const rank = (placement[shard] ?? []).indexOf(this.session.hostId);
      if (this.owned.has(shard)) {
        if (rank < 0 && placement[shard]?.length > 0) yield* this.giveUp(shard);
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
    if (!(yield* settleHolder(this.membership, this.session, object)) || this.stopped) return;
    const placement = this.currentPlacement()[shard] ?? [];
    const previousData = object.record?.data;
    const data = this.settings.describeData?.(shard, previousData, placement);
    const held = yield* claim(this.dependencies, this.session, object, data);
    if (!held) return;
    if (this.stopped) return yield* release(this.dependencies, key, held, data);
    this.owned.set(shard, held);
    this.written.set(shard, {data, placement});
    this.ownerlessSinceMs.delete(shard);
    log.write('shardAcquired', {shard, epoch: held.epoch, hostId: this.session.hostId});
    const isNew = object.record === undefined;
    this.settings.onAcquired?.(shard, held, {previousData, isNew, placement});
  }

  private *updatePlacement(shard: number, placement: readonly HostId[]): Procedure<void> {
    const {describeData, onPlacement} = this.settings;
    const held = this.owned.get(shard);
    const written = this.written.get(shard);
    if (!held || !written || !describeData || placement.length === 0) return;
    if (placement.join() === written.placement.join()) return;
    const data = describeData(shard, written.data, placement);
    const key = `shards/${shard}`;
    if (!(yield* updateData(this.dependencies, this.session, key, held, data))) return;
    if (this.owned.get(shard) !== held) return;
    this.written.set(shard, {data, placement});
    onPlacement?.(shard, placement);
  }

  /** Whether the owner may be alive, by the membership's last reads; costs no call. */
  private mayBeOwned(object: HeldObject): boolean {
    const {record, revision} = object;
    if (!record?.sessionId || !record.hostId) return false;
    const own = this.session.check();
    if (own.ok && own.val === record.sessionId) return false;
    const verdict = this.membership.judge(record.hostId, record.sessionId, revision);
    return verdict === 'live' || verdict === 'unknown';
  }

  private *giveUp(shard: number): Procedure<void> {
    const held = this.owned.get(shard);
    if (!held) return;
    if (this.settings.beforeRelease && held.check().ok) {
      yield* this.settings.beforeRelease(shard, held);
    }
    if (this.owned.get(shard) !== held) return;
    held.revoke();
    this.owned.delete(shard);
    this.settings.onLost?.(shard, held.epoch);
    yield* release(this.dependencies, `shards/${shard}`, held, this.written.get(shard)?.data);
  }

  private dropLost(): void {
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
    if (this.wantedVersion !== this.membership.version) {
      this.wantedVersion = this.membership.version;
      const staying = this.membership.members().filter(member => !member.leaving);
      this.wanted = this.settings.placement(staying, this.settings.shardCount);
    }
    return this.wanted;
  }

  private load(objects: readonly PlatformObject[], revision: Revision): void {
    this.objects.clear();
    for (const object of objects) this.store(object);
    this.revision = revision;
    this.loaded = true;
  }

  private store(object: PlatformObject & {removed?: boolean}): void {
    const shard = Number(object.key.slice('shards/'.length));
    const known = this.objects.get(shard);
    if (known && known.revision >= object.revision) return;
    const held = object.removed ? undefined : toHeldObject(object);
    if (held) this.objects.set(shard, held);
    else this.objects.delete(shard);
  }
}
