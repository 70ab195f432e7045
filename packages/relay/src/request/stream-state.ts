import {TargetId} from '@radishgw/core';
import {EngineRun} from './engine-run.js';
import {PooledTarget} from '../targets/target-pool.js';
import {AdmittedRequest, RelayDependencies} from './request-context.js';
import {releaseReserved, ReservedAttempt, ServeOutcome} from './serve-outcome.js';

/** Result of one run of a stream at an engine. */
export type RunResult =
  | {readonly type: 'done'; readonly outcome: ServeOutcome}
  /** The request was not sent, or the target states that it has not run it. */
  | {readonly type: 'notRun'; readonly isUnsent: boolean}
  /** The run failed or timed out. */
  | {readonly type: 'broken'; readonly hasLostConnection?: boolean}
  /** No run can be started. */
  | {readonly type: 'failed'; readonly outcome: ServeOutcome}
  /** The engine is silent, and the extra attempt for another one has been taken. */
  | {readonly type: 'silent'}
  /** The engine that was silent before has gone on, so that this run isn't needed. */
  | {readonly type: 'overtaken'};

/** State of a stream across all of its runs. */
export interface StreamState {
  readonly deps: RelayDependencies;
  readonly request: AdmittedRequest;
  readonly mayRepeat: boolean;
  readonly tried: Set<TargetId>;
  /** Engines at which a run has failed. */
  readonly failed: Set<TargetId>;
  /** Whether another engine can be asked to take over from a silent one; takes the extra attempt. */
  mayLeave(run: EngineRun): boolean;
  /** A run at a silent engine, kept until another engine has taken the request over. */
  standby: EngineRun | undefined;
  /** Extra attempt for the return to a silent engine, kept until an engine sends an event. */
  returnAttempt: ReservedAttempt | undefined;
  /** The engine whose run was ended last for one that has neither answered nor sent an event. */
  leftEngine: PooledTarget | undefined;
  lastEventId: string | undefined;
  /** Number of events received, over all runs. */
  eventCount: number;
  /** Whether the prompt has been prefilled once; another prefill is an extra attempt. */
  hasPrefilled: boolean;
  /** Whether the last prefill was left for another attempt, which has been taken. */
  hasPrefillAttempt: boolean;
  /** Whether the prompt has been placed at engines. */
  wasPlaced: boolean;
}

/** Gives the attempt for a return back: an engine goes on with the stream, or it has ended. */
export function releaseReturn(state: StreamState): void {
  const {deps, request, returnAttempt} = state;
  if (returnAttempt) releaseReserved(deps, request.service, returnAttempt);
  state.returnAttempt = undefined;
}
