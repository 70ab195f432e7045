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

/** Settings of the reporter. */
export interface UsageReporterSettings {
  readonly shardCount: number;
  /** Longest time in which a report of an earlier holder may still arrive; 3.5 s by default. */
  readonly quarantineMs?: number;
  /** Time between looks for new windows; 5 s by default. */
  readonly stepMs?: number;
  /** Reported windows are removed after this many; 60 by default. */
  readonly keptWindows?: number;
}

interface ShardProgress {
  cursorMs: number;
  revision: Revision;
}

const DEFAULT_QUARANTINE_MS = 3500;
const DEFAULT_STEP_MS = 5000;
const DEFAULT_KEPT_WINDOWS = 60;

/** Reports frozen windows: the work of the holder of the role `usage`. */
export class UsageReporter {
  private readonly progress = new Map<number, ShardProgress>();

  constructor(
    private readonly dependencies: UsageDependencies,
    private readonly authority: Authority,
    private readonly settings: UsageReporterSettings,
  ) {}

  /** Reports windows as they are frozen, until the authority ends. */
  *run(): Procedure<void> {
    yield* sleep(this.settings.quarantineMs ?? DEFAULT_QUARANTINE_MS);
    while (this.authority.check().ok) {
      for (let shard = 0; shard < this.settings.shardCount; shard++) yield* this.reportShard(shard);
      yield* sleep(this.settings.stepMs ?? DEFAULT_STEP_MS);
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
      if (!(yield* this.report(shard, windowStartMs, read.val))) return;
      if (!(yield* this.advance(shard, progress, windowStartMs))) return;
    }
  }

  private *report(
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

  private *advance(
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
    const kept = this.settings.keptWindows ?? DEFAULT_KEPT_WINDOWS;
    const old = windowKey(windowStartMs - kept * WINDOW_MS, shard);
    // A window that stays behind does no harm: the cursor is past it.
    yield* call(() => platform.remove(old));
    return true;
  }

  private *readProgress(shard: number): Procedure<ShardProgress | undefined> {
    const known = this.progress.get(shard);
    if (known) return known;
    const {platform} = this.dependencies;
    const read = yield* readValue<ReportedCursor>(platform, cursorKey(shard));
    if (read.err || !read.val) return undefined;
    const {object, value} = read.val;
    const progress = {cursorMs: value.windowStartMs, revision: object.revision};
    this.progress.set(shard, progress);
    return progress;
  }
}
