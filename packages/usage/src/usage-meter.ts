import {assertInvariant, Clock, HostId, SessionId, TeamId} from '@radishgw/core';
import {UsageAmounts, windowStartOf} from './types.js';
import {UsageStream} from './usage-stream.js';

/** Settings of a host's meter. */
export interface UsageMeterSettings {
  readonly hostId: HostId;
  /** Session in which the process started. The meter keeps it if the session is lost later. */
  readonly sessionId: SessionId;
  readonly shardOf: (teamId: TeamId) => number;
}

interface OpenIncrement {
  readonly teamId: TeamId;
  readonly modelOrRoute: string;
  readonly windowStartMs: number;
  promptTokens: number;
  outputTokens: number;
  calls: number;
}

/** Counts what teams use on this host, and cuts the counts into numbered increments. */
export class UsageMeter {
  private readonly open = new Map<string, OpenIncrement>();
  private readonly byShard = new Map<number, UsageStream>();

  constructor(
    private readonly clock: Clock,
    private readonly settings: UsageMeterSettings,
  ) {}

  /** Counts use at this moment. */
  record(teamId: TeamId, modelOrRoute: string, amounts: UsageAmounts): void {
    const {promptTokens, outputTokens, calls} = amounts;
    assertInvariant(
      promptTokens >= 0 && outputTokens >= 0 && calls >= 0,
      'usage.nonNegative',
      () => `team ${teamId}: ${JSON.stringify(amounts)}`,
    );
    const windowStartMs = windowStartOf(this.clock.now());
    const key = JSON.stringify([windowStartMs, teamId, modelOrRoute]);
    const counts = this.open.get(key);
    if (!counts) {
      this.open.set(key, {teamId, modelOrRoute, windowStartMs, promptTokens, outputTokens, calls});
      return;
    }
    counts.promptTokens += promptTokens;
    counts.outputTokens += outputTokens;
    counts.calls += calls;
  }

  /** Turns all open counts into increments. */
  cut(): void {
    for (const counts of this.open.values()) {
      const stream = this.streamOf(this.settings.shardOf(counts.teamId));
      stream.append({...counts, sequence: stream.lastSequence + 1});
    }
    this.open.clear();
  }

  /** Streams of this host, by shard. */
  streams(): UsageStream[] {
    return [...this.byShard.values()];
  }

  private streamOf(shard: number): UsageStream {
    const known = this.byShard.get(shard);
    if (known) return known;
    const stream = new UsageStream(this.settings.hostId, this.settings.sessionId, shard);
    this.byShard.set(shard, stream);
    return stream;
  }
}
