import {TargetConfig, Team, WorkClass} from '@radishgw/config';
import {Procedure, RequestId} from '@radishgw/core';

/** Tokens charged to a team for one request. */
export interface Charge {
  /** Replaces the estimate by the actual cost; called once. */
  settle(actualTokens: number): void;
}

/** Enforces rate and burst; throws a refusal when the team has exceeded them. */
export interface RequestLimiter {
  acquire(team: Team, costTokens: number, deadlineMs: number): Procedure<Charge>;
}

/** What is known of a request when a target is chosen. */
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

/** What a failed attempt says of the target's health. */
export type FailureKind = 'unreachable' | 'silent' | 'failed';

/** A place at a target, held for one attempt. */
export interface Dispatch {
  readonly target: TargetConfig;
  /** Corrects the cost as tokens come out. */
  reportProgress(outputTokens: number): void;
  /** Ends the attempt; `failure` counts only with the outcome `failed`. */
  release(outcome: AttemptOutcome, failure?: FailureKind): void;
}

/** Queues a request and chooses its target; throws a refusal when there is none in time. */
export interface Dispatcher {
  acquire(request: DispatchRequest): Procedure<Dispatch>;
  /** Takes one retry from the budget; false if there is none after `attempts` attempts. */
  allowRetry(request: DispatchRequest, attempts: number): boolean;
}
