import {IncomingMessage, ServerResponse} from 'node:http';
import {Team, WorkClass} from '@radishgw/config';
import {GuardedRequest, RequestId, TargetId} from '@radishgw/core';

/** Why a request is aborted before its response is complete. */
export type AbortReason = 'closed' | 'deadline' | 'shutdown';

/** State of a caller's request while it is being served. */
export interface RequestContext {
  readonly requestId: RequestId;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Counts what is held for the request. */
  readonly guarded: GuardedRequest;
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedMs: number;
  /** Monotonic time after which the request is aborted, in milliseconds. */
  readonly deadlineMs: number;
  /** Aborted with an {@link AbortReason}. */
  readonly signal: AbortSignal;
  /** Whether the request continues after the caller has disconnected, to store its response. */
  continuesAfterDisconnect: boolean;
  /** Whether the request may have reached a target that has not reported it as not run. */
  mayHaveRun: boolean;
  /** Team whose key came with the request; undefined on open routes. */
  team?: Team;
  workClass: WorkClass;
  /** Model or route, for metrics, logs and usage records. */
  resource: string;
  targetId?: TargetId;
  attempts: number;
  firstByteMs?: number;
}
