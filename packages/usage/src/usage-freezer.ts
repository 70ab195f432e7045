import {Err, Ok, Procedure, Result, sleep} from '@radishgw/core';
import {Authority, putSettled} from '@radishgw/coordination';
import {
  FrozenWindow,
  readOrCreateCursor,
  readValue,
  UsageReportBody,
  windowKey,
} from './frozen-window.js';
import {ShardLedger} from './shard-ledger.js';
import {
  UsageDependencies,
  UsagePush,
  UsagePushAnswer,
  UsagePushError,
  windowStartOf,
  WINDOW_MS,
} from './types.js';

/** Settings of {@link UsageFreezer}. */
export interface UsageFreezerSettings {
  /** Delay after a window's end before it is frozen, for pushes in flight; 10 s by default. */
  readonly graceMs?: number;
  /** Interval between checks of the owned shards; 2 s by default. */
  readonly pollIntervalMs?: number;
}

interface OwnedShard {
  readonly authority: Authority;
  readonly ledger: ShardLedger;
  /** Next window to freeze; undefined until the frozen windows have been read. */
  nextWindowMs: number | undefined;
  /** Last window whose marks were applied to the ledger. */
  lastFrozenMs: number | undefined;
}

const DEFAULT_GRACE_MS = 10_000;
const DEFAULT_POLL_INTERVAL_MS = 2000;

/**
 * Freezes the windows of owned shards in sequence. Each window is created only if it doesn't exist,
 * and continues from the marks of the preceding window, so an owner that doesn't know yet that it
 * has lost the shard can't count an increment twice.
 */
export class UsageFreezer {
  private readonly shards = new Map<number, OwnedShard>();

  constructor(
    private readonly dependencies: UsageDependencies,
    private readonly settings: UsageFreezerSettings = {},
  ) {}

  /** Must be called when a shard was acquired. */
  addShard(shard: number, authority: Authority): void {
    const ledger = new ShardLedger(shard);
    this.shards.set(shard, {authority, ledger, nextWindowMs: undefined, lastFrozenMs: undefined});
  }

  /** Must be called when a shard was lost or released. */
  removeShard(shard: number): void {
    this.shards.delete(shard);
  }

  /** Merges a push to the owner of a shard. */
  accept(push: UsagePush): Result<UsagePushAnswer, UsagePushError> {
    const owned = this.shards.get(push.shard);
    if (!owned || owned.authority.check().err) return Err({kind: 'notOwner'});
    // Until the marks are loaded, frozen increments can't be distinguished from new ones.
    if (owned.nextWindowMs === undefined) return Err({kind: 'notOwner'});
    return Ok(owned.ledger.accept(push, owned.nextWindowMs));
  }

  /** Freezes windows as they end, until cancelled. */
  *run(): Procedure<never> {
    for (;;) {
      for (const [shard, owned] of [...this.shards]) {
        if (this.shards.get(shard) === owned) yield* this.freezeEndedWindows(shard, owned);
      }
      yield* sleep(this.settings.pollIntervalMs ?? DEFAULT_POLL_INTERVAL_MS);
    }
  }

  private *freezeEndedWindows(shard: number, owned: OwnedShard): Procedure<void> {
    if (owned.nextWindowMs === undefined && !(yield* this.loadFrozenWindows(shard, owned))) return;
    while (this.isDue(owned) && owned.authority.check().ok) {
      if (!(yield* this.freeze(shard, owned))) return;
    }
  }

  private isDue(owned: OwnedShard): boolean {
    const graceMs = this.settings.graceMs ?? DEFAULT_GRACE_MS;
    const nowMs = this.dependencies.clock.now().getTime();
    return owned.nextWindowMs !== undefined && nowMs >= owned.nextWindowMs + WINDOW_MS + graceMs;
  }

  /** Reads the frozen windows after the last known one, or after the cursor if none is known. */
  private *loadFrozenWindows(shard: number, owned: OwnedShard): Procedure<boolean> {
    const {platform} = this.dependencies;
    if (owned.lastFrozenMs === undefined && !(yield* this.loadCursor(shard, owned))) return false;
    for (;;) {
      const windowMs = owned.lastFrozenMs! + WINDOW_MS;
      const read = yield* readValue<FrozenWindow>(platform, windowKey(windowMs, shard));
      if (read.err) return false;
      if (!read.val) {
        owned.nextWindowMs = windowMs;
        return true;
      }
      owned.ledger.applyFrozen(read.val.value.marks);
      owned.lastFrozenMs = windowMs;
    }
  }

  /** Reads the marks of the window at the cursor. */
  private *loadCursor(shard: number, owned: OwnedShard): Procedure<boolean> {
    const {platform, clock} = this.dependencies;
    const cursor = yield* readOrCreateCursor(this.dependencies, shard, windowStartOf(clock.now()));
    if (!cursor) return false;
    const {windowStartMs, reported} = cursor.value;
    const read = yield* readValue<FrozenWindow>(platform, windowKey(windowStartMs, shard));
    // A reported window exists, so a stale read must not be taken for the start of the sequence.
    if (read.err || (!read.val && reported)) return false;
    if (read.val) owned.ledger.applyFrozen(read.val.value.marks);
    owned.lastFrozenMs = windowStartMs;
    return true;
  }

  private *freeze(shard: number, owned: OwnedShard): Procedure<boolean> {
    const windowStartMs = owned.nextWindowMs!;
    const {figures, marks} = owned.ledger.collect(windowStartMs);
    const body: UsageReportBody = {windowStartMs, shard, figures};
    const {epoch, sessionId} = owned.authority;
    const report = JSON.stringify(body);
    const frozen: FrozenWindow = {windowStartMs, shard, epoch, marks, report};
    const answer = yield* putSettled(this.dependencies, {
      key: windowKey(windowStartMs, shard),
      body: frozen,
      attemptId: `${sessionId}.${this.dependencies.random.nextHex(4)}`,
      ifRevision: 0,
      giveUpAfterMs: 5000,
    });
    if (answer.ok) {
      owned.ledger.applyFrozen(marks);
      owned.lastFrozenMs = windowStartMs;
      owned.nextWindowMs = windowStartMs + WINDOW_MS;
      this.dependencies.log.write('usageFrozen', {shard, windowStartMs, figures: figures.length});
      return true;
    }
    // Another owner froze the window, or the outcome is unknown: reload before continuing.
    owned.nextWindowMs = undefined;
    return false;
  }
}
