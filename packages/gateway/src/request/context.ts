import {IncomingMessage, ServerResponse} from 'node:http';
import {Team, WorkClass} from '@radishgw/config';
import {RequestId, TargetId} from '@radishgw/core';

/** Why a request is given up before it is answered. */
export type AbortReason = 'closed' | 'deadline' | 'shutdown';

/** A caller's request while it is being served. */
export interface RequestContext {
  readonly requestId: RequestId;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedMs: number;
  /** Monotonic time after which the caller has no use for an answer, in milliseconds. */
  readonly deadlineMs: number;
  /** Aborted with an {@link AbortReason}. */
  readonly signal: AbortSignal;
  /** Set while the work goes on after the caller has disconnected, to store its answer. */
  continuesAfterDisconnect: boolean;
  /** Whether a byte of the request may have reached a target that didn't say that it didn't run it. */
  mayHaveRun: boolean;
  /** Team whose key came with the request; undefined on open routes. */
  team?: Team;
  workClass: WorkClass;
  /** Model or route, for metrics and records. */
  resource: string;
  targetId?: TargetId;
  attempts: number;
  firstByteMs?: number;
}
