import {Clock, EventLog, HostId, RandomSource, Result, SessionId, TeamId} from '@radishgw/core';
import {Platform} from '@radishgw/coordination';

/** Length of an accounting window; windows start at multiples of it in wall time. */
export const WINDOW_MS = 60_000;

/** What control procedures of this package need from the outside. */
export interface UsageDependencies {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
}

/** What a team used. All are counts; none is negative. */
export interface UsageAmounts {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly calls: number;
}

/** What a team used of one model or route on one host in a part of a window. It never changes. */
export interface UsageIncrement extends UsageAmounts {
  readonly teamId: TeamId;
  readonly modelOrRoute: string;
  /** Wall time in milliseconds. */
  readonly windowStartMs: number;
  /** Number within the host session and shard: 1, 2, 3 and so on without gaps. */
  readonly sequence: number;
}

/** Increments of one host session and shard, in order and without gaps. */
export interface UsagePush {
  /** Host and session that served the requests, also when another host passes them on. */
  readonly hostId: HostId;
  readonly sessionId: SessionId;
  readonly shard: number;
  /** True if the receiver keeps a copy and doesn't own the shard. */
  readonly copy: boolean;
  readonly increments: readonly UsageIncrement[];
  /** All increments up to this sequence are in frozen windows. */
  readonly settledSequence: number;
}

/** Answer to a push. */
export interface UsagePushAnswer {
  /** The receiver holds all increments up to this sequence. */
  readonly acknowledgedSequence: number;
  /** All increments up to this sequence are in frozen windows; 0 from a receiver of copies. */
  readonly frozenSequence: number;
}

/** Why a push failed: the receiver doesn't own the shard, or its answer is missing. */
export interface UsagePushError {
  readonly kind: 'notOwner' | 'unreachable';
}

/** Pushes to other hosts, or to this one. Implementations never throw. */
export interface UsagePeers {
  push(to: HostId, push: UsagePush): Promise<Result<UsagePushAnswer, UsagePushError>>;
}

/** Start of the window that a wall time falls into, in milliseconds. */
export function windowStartOf(date: Date): number {
  return Math.floor(date.getTime() / WINDOW_MS) * WINDOW_MS;
}
