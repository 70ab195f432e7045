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

/** Settings of the freezer. */
export interface UsageFreezerSettings {
  /** Time after a window's end before it is frozen, for pushes under way; 10 s by default. */
  readonly graceMs?: number;
  /** Time between looks at the owned shards; 2 s by default. */
  readonly stepMs?: number;
}

interface OwnedShard {
  readonly authority: Authority;
  readonly ledger: ShardLedger;
  /** Next window to freeze; undefined until the frozen windows are read. */
  nextWindowMs: number | undefined;
  /** Last window whose marks the ledger has. */
  lastFrozenMs: number | undefined;
}

const DEFAULT_GRACE_MS = 10_000;
const DEFAULT_STEP_MS = 2000;

/**
 * Freezes the windows of owned shards, one after another. Each window is created only if it is
 * absent, on top of the marks of the window before it, so an owner that has lost the shard without
 * knowing it can't make an increment count twice.
 */
export class UsageFreezer {
  private readonly shards = new Map<number, OwnedShard>();

  constructor(
    private readonly dependencies: UsageDependencies,
    private readonly settings: UsageFreezerSettings = {},
  ) {}

  /** Call when a shard was acquired. */
  addShard(shard: number, authority: Authority): void {
    const ledger = new ShardLedger(shard);
    this.shards.set(shard, {authority, ledger, nextWindowMs: undefined, lastFrozenMs: undefined});
  }

  /** Call when a shard was lost or given up. */
  removeShard(shard: number): void {
    this.shards.delete(shard);
  }

  /** Takes in a push to the owner of a shard. */
  accept(push: UsagePush): Result<UsagePushAnswer, UsagePushError> {
    const owned = this.shards.get(push.shard);
    if (!owned || owned.authority.check().err) return Err({kind: 'notOwner'});
    // Before the marks are known, what is already frozen can't be told from what isn't.
    if (owned.nextWindowMs === undefined) return Err({kind: 'notOwner'});
    return Ok(owned.ledger.accept(push, owned.nextWindowMs));
  }

  /** Freezes windows as they end. */
  *run(): Procedure<never> {
    for (;;) {
      for (const [shard, owned] of [...this.shards]) {
        if (this.shards.get(shard) === owned) yield* this.step(shard, owned);
      }
      yield* sleep(this.settings.stepMs ?? DEFAULT_STEP_MS);
    }
  }

  private *step(shard: number, owned: OwnedShard): Procedure<void> {
    if (owned.nextWindowMs === undefined && !(yield* this.load(shard, owned))) return;
    while (this.isDue(owned) && owned.authority.check().ok) {
      if (!(yield* this.freeze(shard, owned))) return;
    }
  }

  private isDue(owned: OwnedShard): boolean {
    const graceMs = this.settings.graceMs ?? DEFAULT_GRACE_MS;
    const nowMs = this.dependencies.clock.now().getTime();
    return owned.nextWindowMs !== undefined && nowMs >= owned.nextWindowMs + WINDOW_MS + graceMs;
  }

  /** Reads the frozen windows after the last one known, or from the cursor on. */
  private *load(shard: number, owned: OwnedShard): Procedure<boolean> {
    const {platform} = this.dependencies;
    if (owned.lastFrozenMs === undefined && !(yield* this.loadFirst(shard, owned))) return false;
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

  /** Reads the window at the cursor for its marks. */
  private *loadFirst(shard: number, owned: OwnedShard): Procedure<boolean> {
    const {platform, clock} = this.dependencies;
    const cursor = yield* readOrCreateCursor(this.dependencies, shard, windowStartOf(clock.now()));
    if (!cursor) return false;
    const {windowStartMs, reported} = cursor.value;
    const read = yield* readValue<FrozenWindow>(platform, windowKey(windowStartMs, shard));
    // A reported window exists; a read that lags behind must not pass for the start of the chain.
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
    // Another owner's window stands, or the outcome is unknown: read what stands before going on.
    owned.nextWindowMs = undefined;
    return false;
  }
}
