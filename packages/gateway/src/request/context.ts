import {IncomingMessage, ServerResponse} from 'node:http';
import {Team, WorkClass} from '@radishgw/config';
import {RequestId, TargetId} from '@radishgw/core';

/** A caller's request while it is being served. */
export interface RequestContext {
  readonly requestId: RequestId;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedMs: number;
  /** Monotonic time after which the caller has no use for an answer, in milliseconds. */
  readonly deadlineMs: number;
  /** Aborted when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal;
  /** Team whose key came with the request; undefined on open routes. */
  team?: Team;
  workClass: WorkClass;
  /** Model or route, for metrics and records. */
  resource: string;
  targetId?: TargetId;
  attempts: number;
  firstByteMs?: number;
}
