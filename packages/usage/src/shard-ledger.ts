import {assertInvariant, SessionId, TeamId} from '@radishgw/core';
import {UsageIncrement, UsagePush, UsagePushAnswer, WINDOW_MS} from './types.js';
import {UsageStream} from './usage-stream.js';

/** Figures of a team for one model or route; `windowStartMs` is earlier than the report's if late. */
export interface UsageFigure {
  readonly teamId: TeamId;
  readonly modelOrRoute: string;
  readonly windowStartMs: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly calls: number;
}

/** How far the increments of a host session are in frozen windows. */
export interface FrozenMark {
  readonly sequence: number;
  /** Window in which the mark was last raised. */
  readonly windowStartMs: number;
}

/** Marks by session, complete for all windows up to the one that carries them. */
export type FrozenMarks = Readonly<Record<SessionId, FrozenMark>>;

/** Contents of a window of one shard, ready to be frozen. */
export interface WindowContents {
  readonly figures: readonly UsageFigure[];
  readonly marks: FrozenMarks;
}

/**
 * Marks of sessions without new figures are dropped after this many windows. A session that is
 * still alive then tells by itself what is settled.
 */
const MARK_KEPT_WINDOWS = 60;

/** Windows before this one are too old for marks; see {@link ShardLedger.accept}. */
function oldestWindow(windowStartMs: number): number {
  return windowStartMs - MARK_KEPT_WINDOWS * WINDOW_MS;
}

/** What a shard owner has received and not yet frozen, merged by host session and sequence. */
export class ShardLedger {
  private readonly streams = new Map<SessionId, UsageStream>();
  private marks: FrozenMarks = {};

  constructor(readonly shard: number) {}

  /**
   * Takes in a push; a repeated increment counts once. Increments so old that the mark which counts
   * them may have been dropped are not counted, since they may be in a frozen window.
   */
  accept(push: UsagePush, nextWindowMs: number): UsagePushAnswer {
    const {hostId, sessionId, shard} = push;
    const stream = this.streams.get(sessionId) ?? new UsageStream(hostId, sessionId, shard);
    this.streams.set(sessionId, stream);
    const oldestMs = oldestWindow(nextWindowMs);
    const expired = push.increments.findLast(({windowStartMs}) => windowStartMs < oldestMs);
    const frozenSequence = Math.max(this.marks[sessionId]?.sequence ?? 0, expired?.sequence ?? 0);
    stream.settle(frozenSequence);
    return {acknowledgedSequence: stream.merge(push), frozenSequence};
  }

  /** Takes over the marks of the last frozen window; increments that it counts are dropped. */
  applyFrozen(marks: FrozenMarks): void {
    for (const [sessionId, mark] of Object.entries(marks) as [SessionId, FrozenMark][]) {
      const known = this.marks[sessionId]?.sequence ?? 0;
      assertInvariant(
        mark.sequence >= known,
        'usage.marks',
        () => `mark of ${sessionId} in shard ${this.shard} fell from ${known} to ${mark.sequence}`,
      );
    }
    this.marks = marks;
    for (const [sessionId, stream] of this.streams) {
      stream.settle(marks[sessionId]?.sequence ?? 0);
      if (stream.isEmpty) this.streams.delete(sessionId);
    }
  }

  /**
   * Contents of a window: all increments up to its end that no frozen window counts. An increment
   * is held back while one before it in its stream belongs to a later window, so that one mark for
   * each session says what is counted.
   */
  collect(windowStartMs: number): WindowContents {
    const figures = new Map<string, UsageFigure>();
    const marks: Record<SessionId, FrozenMark> = {};
    const oldestMs = oldestWindow(windowStartMs);
    for (const [sessionId, mark] of Object.entries(this.marks) as [SessionId, FrozenMark][]) {
      if (mark.windowStartMs >= oldestMs) marks[sessionId] = mark;
    }
    for (const [sessionId, stream] of this.streams) {
      for (const increment of stream.after(this.marks[sessionId]?.sequence ?? 0)) {
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
