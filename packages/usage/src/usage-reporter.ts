import {assertInvariant, call, Procedure, sleep} from '@radishgw/core';
import {Authority, putSettled, Revision} from '@radishgw/coordination';
import {
  cursorKey,
  FrozenWindow,
  ReportedCursor,
  readValue,
  StoredValue,
  windowKey,
} from './frozen-window.js';
import {UsageDependencies, WINDOW_MS} from './types.js';

/** Settings of {@link UsageReporter}. */
export interface UsageReporterSettings {
  readonly shardCount: number;
  /**
   * Delay before the first report: the longest time in which a report of the previous holder may
   * still arrive; 3.5 s by default.
   */
  readonly takeoverDelayMs?: number;
  /** Interval between checks for new windows; 5 s by default. */
  readonly pollIntervalMs?: number;
  /** Number of reported windows that are retained; 60 by default. */
  readonly retainedWindows?: number;
}

interface ShardProgress {
  cursorMs: number;
  revision: Revision;
}

const DEFAULT_TAKEOVER_DELAY_MS = 3500;
const DEFAULT_POLL_INTERVAL_MS = 5000;
const DEFAULT_RETAINED_WINDOWS = 60;

/** Reports frozen windows; run by the holder of the role `usage`. */
export class UsageReporter {
  private readonly progress = new Map<number, ShardProgress>();

  constructor(
    private readonly dependencies: UsageDependencies,
    private readonly authority: Authority,
    private readonly settings: UsageReporterSettings,
  ) {}

  /** Reports windows as they are frozen, until the authority is lost. */
  *run(): Procedure<void> {
    yield* sleep(this.settings.takeoverDelayMs ?? DEFAULT_TAKEOVER_DELAY_MS);
    while (this.authority.check().ok) {
      for (let shard = 0; shard < this.settings.shardCount; shard++) yield* this.reportShard(shard);
      yield* sleep(this.settings.pollIntervalMs ?? DEFAULT_POLL_INTERVAL_MS);
    }
  }

  private *reportShard(shard: number): Procedure<void> {
    const {platform} = this.dependencies;
    for (;;) {
      const progress = yield* this.readProgress(shard);
      if (!progress) return;
      const windowStartMs = progress.cursorMs + WINDOW_MS;
      const read = yield* readValue<FrozenWindow>(platform, windowKey(windowStartMs, shard));
      if (read.err || !read.val) return;
      if (!(yield* this.reportWindow(shard, windowStartMs, read.val))) return;
      if (!(yield* this.advanceCursor(shard, progress, windowStartMs))) return;
    }
  }

  private *reportWindow(
    shard: number,
    windowStartMs: number,
    {value}: StoredValue<FrozenWindow>,
  ): Procedure<boolean> {
    const {platform, log} = this.dependencies;
    assertInvariant(
      value.windowStartMs === windowStartMs && value.shard === shard,
      'usage.windowKey',
      () => `${windowKey(windowStartMs, shard)} holds ${value.windowStartMs}/${value.shard}`,
    );
    const windowId = `${windowStartMs}/${shard}`;
    const checked = this.authority.check();
    if (checked.err) return false;
    const report = {windowId, body: value.report, fencingNumber: checked.val};
    const answer = yield* call(() => platform.reportUsage(report));
    if (answer.ok) log.write('usageReported', {windowId});
    else log.write('usageReportFailed', {windowId, error: answer.val.kind});
    return answer.ok;
  }

  private *advanceCursor(
    shard: number,
    progress: ShardProgress,
    windowStartMs: number,
  ): Procedure<boolean> {
    const {platform, random} = this.dependencies;
    const body: ReportedCursor = {windowStartMs, reported: true};
    const answer = yield* putSettled(this.dependencies, {
      key: cursorKey(shard),
      body,
      attemptId: `${this.authority.sessionId}.${random.nextHex(4)}`,
      ifRevision: progress.revision,
      giveUpAfterMs: 5000,
    });
    if (answer.err) {
      this.progress.delete(shard);
      return false;
    }
    this.progress.set(shard, {cursorMs: windowStartMs, revision: answer.val.revision});
    const retained = this.settings.retainedWindows ?? DEFAULT_RETAINED_WINDOWS;
    const expiredKey = windowKey(windowStartMs - retained * WINDOW_MS, shard);
    // If the removal fails, the remaining window is harmless, since the cursor is past it.
    yield* call(() => platform.remove(expiredKey));
    return true;
  }

  private *readProgress(shard: number): Procedure<ShardProgress | undefined> {
    const cached = this.progress.get(shard);
    if (cached) return cached;
    const {platform} = this.dependencies;
    const read = yield* readValue<ReportedCursor>(platform, cursorKey(shard));
    if (read.err || !read.val) return undefined;
    const {object, value} = read.val;
    const progress = {cursorMs: value.windowStartMs, revision: object.revision};
    this.progress.set(shard, progress);
    return progress;
  }
}
