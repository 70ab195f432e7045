import {Clock, EventLog, HostId, RandomSource, Result, SessionId, TeamId} from '@radishgw/core';
import {Platform} from '@radishgw/coordination';

/** Duration of a metering window. Windows are aligned to multiples of it in wall time. */
export const WINDOW_MS = 60_000;

/** External dependencies of the control procedures in this package. */
export interface UsageDependencies {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
}

/** Amounts that a team used: non-negative counts. */
export interface UsageAmounts {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly calls: number;
}

/** Immutable usage of a team for one model or route on one host during a part of a window. */
export interface UsageIncrement extends UsageAmounts {
  readonly teamId: TeamId;
  readonly modelOrRoute: string;
  /** Wall time in milliseconds. */
  readonly windowStartMs: number;
  /** Sequence number within the host session and shard, starting at 1 without gaps. */
  readonly sequence: number;
}

/** Increments of one host session and shard, in sequence and without gaps. */
export interface UsagePush {
  /** Host and session that served the requests, even if another host forwards the increments. */
  readonly hostId: HostId;
  readonly sessionId: SessionId;
  readonly shard: number;
  /** True if the receiver stores a copy rather than owning the shard. */
  readonly copy: boolean;
  readonly increments: readonly UsageIncrement[];
  /** All increments up to this sequence are in frozen windows. */
  readonly settledSequence: number;
}

/** Response to a push. */
export interface UsagePushAnswer {
  /** The receiver has all increments up to this sequence. */
  readonly acknowledgedSequence: number;
  /** All increments up to this sequence are in frozen windows; 0 if the receiver stores copies. */
  readonly frozenSequence: number;
}

/** Why a push failed: the receiver doesn't own the shard, or it didn't respond. */
export interface UsagePushError {
  readonly kind: 'notOwner' | 'unreachable';
}

/** Transport for pushes to other hosts or to this one. Implementations never throw. */
export interface UsagePeers {
  push(to: HostId, push: UsagePush): Promise<Result<UsagePushAnswer, UsagePushError>>;
}

/** Returns the start of the window that contains a wall time, in milliseconds. */
export function windowStartOf(date: Date): number {
  return Math.floor(date.getTime() / WINDOW_MS) * WINDOW_MS;
}
