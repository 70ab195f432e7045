import {assertInvariant, Clock, HostId, SessionId, TeamId} from '@radishgw/core';
import {UsageAmounts, windowStartOf} from './types.js';
import {UsageStream} from './usage-stream.js';

/** Settings of {@link UsageMeter}. */
export interface UsageMeterSettings {
  readonly hostId: HostId;
  /** Session in which the process started. The meter keeps it even if the session is lost later. */
  readonly sessionId: SessionId;
  readonly shardOf: (teamId: TeamId) => number;
}

interface PendingCounts {
  readonly teamId: TeamId;
  readonly modelOrRoute: string;
  readonly windowStartMs: number;
  promptTokens: number;
  outputTokens: number;
  calls: number;
}

/** Meters the usage of teams on this host and flushes the counts as numbered increments. */
export class UsageMeter {
  private readonly pendingCounts = new Map<string, PendingCounts>();
  private readonly streamsByShard = new Map<number, UsageStream>();

  constructor(
    private readonly clock: Clock,
    private readonly settings: UsageMeterSettings,
  ) {}

  /** Adds usage to the current window. */
  record(teamId: TeamId, modelOrRoute: string, amounts: UsageAmounts): void {
    const {promptTokens, outputTokens, calls} = amounts;
    assertInvariant(
      promptTokens >= 0 && outputTokens >= 0 && calls >= 0,
      'usage.nonNegative',
      () => `team ${teamId}: ${JSON.stringify(amounts)}`,
    );
    const windowStartMs = windowStartOf(this.clock.now());
    const key = JSON.stringify([windowStartMs, teamId, modelOrRoute]);
    const counts = this.pendingCounts.get(key);
    if (!counts) {
      this.pendingCounts.set(key, {
        teamId,
        modelOrRoute,
        windowStartMs,
        promptTokens,
        outputTokens,
        calls,
      });
      return;
    }
    counts.promptTokens += promptTokens;
    counts.outputTokens += outputTokens;
    counts.calls += calls;
  }

  /** Turns all pending counts into increments. */
  flush(): void {
    for (const counts of this.pendingCounts.values()) {
      const stream = this.getOrCreateStream(this.settings.shardOf(counts.teamId));
      stream.append({...counts, sequence: stream.lastSequence + 1});
    }
    this.pendingCounts.clear();
  }

  /** Returns this host's streams, one per shard. */
  listStreams(): UsageStream[] {
    return [...this.streamsByShard.values()];
  }

  private getOrCreateStream(shard: number): UsageStream {
    const known = this.streamsByShard.get(shard);
    if (known) return known;
    const stream = new UsageStream(this.settings.hostId, this.settings.sessionId, shard);
    this.streamsByShard.set(shard, stream);
    return stream;
  }
}
