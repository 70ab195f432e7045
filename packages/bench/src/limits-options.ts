import {TeamId} from '@radishgw/core';
import {LimitSettings} from '@radishgw/limits';
import {NetworkOptions} from './limits-network.js';

/** How a team's requests are spread. */
export type TrafficShape = 'steady' | 'bursty' | 'moving' | 'surge';

/** A team and its traffic. */
export interface TeamSpec {
  readonly teamId: TeamId;
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
  readonly shape: TrafficShape;
  /** Mean cost of a request in tokens. */
  readonly meanCostTokens: number;
  /** Offered load as a share of the rate; what exceeds rate and burst is only sent if `greedy`. */
  readonly load: number;
  readonly greedy: boolean;
  /** Actual cost as a share of the estimate, at least. */
  readonly leastActualShare: number;
}

/** Options of a {@link LimitsWorld}. */
export interface WorldOptions {
  readonly seed: number;
  readonly hostCount: number;
  readonly domainCount: number;
  readonly settings: LimitSettings;
  readonly teams: readonly TeamSpec[];
  readonly network: NetworkOptions;
  /** Longest run of a request. */
  readonly longestRequestMs: number;
  /** Uses only the current placement as former holders, to show why the record is needed. */
  readonly ignoreFormerHolders?: boolean;
  /** `fixed`: each of all hosts admits rate/N and burst/N on its own. */
  readonly strategy?: 'shared' | 'fixed';
  /** Period of reads of the store; 500 ms by default. */
  readonly pollMs?: number;
  /** Withholds the reserves of lost hosts for their whole validity. */
  readonly neverFence?: boolean;
  /** Callers also reach hosts whose configuration isn't fresh, so limits must hold on their own. */
  readonly ignoreFreshness?: boolean;
}
