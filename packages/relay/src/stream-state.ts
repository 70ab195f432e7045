import {TargetId} from '@radishgw/core';
import {AdmittedRequest, RelayDependencies} from './request-context.js';
import {ServeOutcome} from './serve-outcome.js';

/** How one run of a stream ended. */
export type RunResult =
  | {readonly type: 'done'; readonly outcome: ServeOutcome}
  /** Nothing was sent, or the target states that it has not run the request. */
  | {readonly type: 'notRun'; readonly isUnsent: boolean}
  /** The run broke off or fell silent. */
  | {readonly type: 'broken'};

/** State of a stream over all its runs. */
export interface StreamState {
  readonly deps: RelayDependencies;
  readonly request: AdmittedRequest;
  readonly mayRepeat: boolean;
  readonly tried: Set<TargetId>;
  lastEventId: string | undefined;
  /** Whether a prefill engine has accepted the prompt: a further reading is an extra attempt. */
  hasPrefilled: boolean;
}
