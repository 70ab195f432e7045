import {TeamId} from '@radishgw/core';
import {LimitSettings} from '@radishgw/limits';
import {NetworkOptions} from './limits-network.js';

/** Distribution of a team's requests over time and hosts. */
export type TrafficShape = 'steady' | 'bursty' | 'moving' | 'surge';

/** A team and its traffic. */
export interface TeamSpec {
  readonly teamId: TeamId;
  readonly tokensPerSecond: number;
  readonly burstTokens: number;
  readonly shape: TrafficShape;
  /** Mean cost of a request in tokens. */
  readonly meanCostTokens: number;
  /** Offered load as a fraction of the rate. */
  readonly load: number;
  /** Whether the team also sends requests that exceed its rate and burst. */
  readonly isGreedy: boolean;
  /** Lower bound of the actual cost as a fraction of the estimate. */
  readonly minActualCostFraction: number;
}

/** Options of a {@link LimitsSimulation}. */
export interface LimitsSimulationOptions {
  readonly seed: number;
  readonly hostCount: number;
  readonly domainCount: number;
  readonly settings: LimitSettings;
  readonly teams: readonly TeamSpec[];
  readonly network: NetworkOptions;
  /** Upper bound of a request's duration, not counting a base of 20 ms. */
  readonly maxRequestMs: number;
  /**
   * Treats only hosts of the current placement as former holders, to show which failures the
   * recorded holders prevent.
   */
  readonly ignoreFormerHolders?: boolean;
  /** With `fixed`, each of the N hosts independently admits rate/N and burst/N. */
  readonly strategy?: 'shared' | 'fixed';
  /** Interval between reads of the store; 500 ms by default. */
  readonly pollIntervalMs?: number;
  /** Withholds the reserves of lost hosts until they expire instead of fencing the hosts. */
  readonly neverFence?: boolean;
  /**
   * Sends requests also to hosts whose configuration is stale, so that the limits must hold without
   * the freshness check.
   */
  readonly ignoreFreshness?: boolean;
}
