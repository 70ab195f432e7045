import {TargetConfig, Team, WorkClass} from '@radishgw/config';
import {Procedure, RequestId} from '@radishgw/core';

/** Tokens charged to a team for one request. */
export interface Charge {
  /** Replaces the estimate with the actual cost; called once. */
  settle(actualTokens: number): void;
}

/** Enforces the rate limit and burst; throws a refusal when the team has exceeded them. */
export interface RequestLimiter {
  acquire(team: Team, costTokens: number, deadlineMs: number): Procedure<Charge>;
}

/** Properties of a request by which a target is selected. */
export interface DispatchRequest {
  readonly requestId: RequestId;
  readonly pool: string;
  readonly team: Team | undefined;
  readonly workClass: WorkClass;
  readonly costTokens: number;
  readonly promptTokens: number;
  /** Ids of the prompt's full blocks, for prefix affinity; empty for service calls. */
  readonly blocks: readonly string[];
  /** Whether the request may be run more than once. */
  readonly repeatable: boolean;
  readonly deadlineMs: number;
  /** Targets that have failed this request. */
  readonly excluded: ReadonlySet<string>;
}

/** How an attempt at a target ended. */
export type AttemptOutcome = 'succeeded' | 'failed' | 'cancelled';

/** Kind of a failed attempt, from which the target's health is assessed. */
export type FailureKind = 'unreachable' | 'silent' | 'failed';

/** A slot on a target, reserved for one attempt. */
export interface Dispatch {
  readonly target: TargetConfig;
  /** Updates the attempt's remaining cost as output tokens arrive. */
  reportProgress(outputTokens: number): void;
  /** Ends the attempt; `failure` is used only with the outcome `failed`. */
  release(outcome: AttemptOutcome, failure?: FailureKind): void;
}

/** Queues a request and selects its target; throws a refusal if none is available in time. */
export interface Dispatcher {
  acquire(request: DispatchRequest): Procedure<Dispatch>;
  /** Takes a retry from the budget; false if a request with `attempts` attempts has none left. */
  allowRetry(request: DispatchRequest, attempts: number): boolean;
}
