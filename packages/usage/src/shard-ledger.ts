import {assertInvariant, SessionId, TeamId} from '@radishgw/core';
import {UsageIncrement, UsagePush, UsagePushAnswer, WINDOW_MS} from './types.js';
import {UsageStream} from './usage-stream.js';

/**
 * Usage of a team for one model or route. If the usage arrived late, `windowStartMs` precedes the
 * window of the report.
 */
export interface UsageFigure {
  readonly teamId: TeamId;
  readonly modelOrRoute: string;
  readonly windowStartMs: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly calls: number;
}

/** High-water mark of a host session: all increments up to `sequence` are in frozen windows. */
export interface FrozenMark {
  readonly sequence: number;
  /** Window that last raised the mark. */
  readonly windowStartMs: number;
}

/** Marks by session, covering all windows up to the one that stores them. */
export type FrozenMarks = Readonly<Record<SessionId, FrozenMark>>;

/** Contents of a window of one shard, as they are to be frozen. */
export interface WindowContents {
  readonly figures: readonly UsageFigure[];
  readonly marks: FrozenMarks;
}

/**
 * Marks of sessions without new figures are dropped after this many windows. A session that is
 * still alive by then reports in its pushes which increments are in frozen windows.
 */
const MARK_RETENTION_WINDOWS = 60;

/** Returns the oldest window whose marks are retained; see {@link ShardLedger.accept}. */
function oldestMarkWindowMs(windowStartMs: number): number {
  return windowStartMs - MARK_RETENTION_WINDOWS * WINDOW_MS;
}

/** Increments received but not yet frozen by a shard owner, merged by host session and sequence. */
export class ShardLedger {
  private readonly streams = new Map<SessionId, UsageStream>();
  private marks: FrozenMarks = {};

  constructor(readonly shard: number) {}

  /**
   * Merges a push; duplicate increments count once. Increments that are so old that their mark may
   * have been dropped are not counted, since they may already be in a frozen window.
   */
  accept(push: UsagePush, nextWindowMs: number): UsagePushAnswer {
    const {hostId, sessionId, shard} = push;
    const stream = this.streams.get(sessionId) ?? new UsageStream(hostId, sessionId, shard);
    this.streams.set(sessionId, stream);
    const oldestMs = oldestMarkWindowMs(nextWindowMs);
    const expired = push.increments.findLast(({windowStartMs}) => windowStartMs < oldestMs);
    const frozenSequence = Math.max(this.marks[sessionId]?.sequence ?? 0, expired?.sequence ?? 0);
    stream.settle(frozenSequence);
    return {acknowledgedSequence: stream.merge(push), frozenSequence};
  }

  /** Applies the marks of the last frozen window and drops the increments that they cover. */
  applyFrozen(marks: FrozenMarks): void {
    for (const [sessionId, mark] of Object.entries(marks) as [SessionId, FrozenMark][]) {
      const previous = this.marks[sessionId]?.sequence ?? 0;
      assertInvariant(
        mark.sequence >= previous,
        'usage.marks',
        () =>
          `mark of ${sessionId} in shard ${this.shard} fell from ${previous} to ${mark.sequence}`,
      );
    }
    this.marks = marks;
    for (const [sessionId, stream] of this.streams) {
      stream.settle(marks[sessionId]?.sequence ?? 0);
      if (stream.isEmpty) this.streams.delete(sessionId);
    }
  }

  /**
   * Returns the contents of a window: all increments up to its end that aren't in a frozen window.
   * An increment is deferred while an earlier one in its stream belongs to a later window, so that
   * a single mark per session identifies the increments that are counted.
   */
  collect(windowStartMs: number): WindowContents {
    const figures = new Map<string, UsageFigure>();
    const marks: Record<SessionId, FrozenMark> = {};
    const oldestMs = oldestMarkWindowMs(windowStartMs);
    for (const [sessionId, mark] of Object.entries(this.marks) as [SessionId, FrozenMark][]) {
      if (mark.windowStartMs >= oldestMs) marks[sessionId] = mark;
    }
    for (const [sessionId, stream] of this.streams) {
      for (const increment of stream.incrementsAfter(this.marks[sessionId]?.sequence ?? 0)) {
        if (increment.windowStartMs > windowStartMs) break;
        addToFigure(figures, increment);
        marks[sessionId] = {sequence: increment.sequence, windowStartMs};
      }
    }
    const sorted = [...figures].sort(([a], [b]) => (a < b ? -1 : 1));
    return {figures: sorted.map(([, figure]) => figure), marks};
  }
}

function addToFigure(figures: Map<string, UsageFigure>, increment: UsageIncrement): void {
  const {teamId, modelOrRoute, windowStartMs, promptTokens, outputTokens, calls} = increment;
  const key = JSON.stringify([windowStartMs, teamId, modelOrRoute]);
  const sum = figures.get(key);
  figures.set(key, {
    teamId,
    modelOrRoute,
    windowStartMs,
    promptTokens: (sum?.promptTokens ?? 0) + promptTokens,
    outputTokens: (sum?.outputTokens ?? 0) + outputTokens,
    calls: (sum?.calls ?? 0) + calls,
  });
}
