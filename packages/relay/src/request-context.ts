import {Clock, EventLog, HostId, RandomSource, TeamId} from '@radishgw/core';
import {ClientExchange} from './client-exchange.js';
import {ConfigView} from './config-view.js';
import {DemandMeter} from './demand-meter.js';
import {AttemptBudget, AttemptBudgetSettings} from './attempt-budget.js';
import {RelayMetrics} from './metrics.js';
import {RelayCodec, RequestMeta, Route, ServiceName, Team} from './model.js';
import {PendingAverage} from './pending-average.js';
import {QuotaClient} from './quota-client.js';
import {TargetPool} from './target-pool.js';
import {WaitCalibration} from './wait-calibration.js';

/** Parts of a host that serve requests. */
export interface RelayParts {
  readonly hostId: HostId;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: RelayMetrics;
  readonly codec: RelayCodec;
  readonly configView: ConfigView;
  readonly targets: TargetPool;
  readonly quota: QuotaClient;
  readonly extraAttempts: Map<ServiceName, AttemptBudget>;
  readonly extraAttemptSettings: AttemptBudgetSettings;
  /** How long prompts really wait, from this host's requests. */
  readonly calibration: WaitCalibration;
  readonly pending: Map<ServiceName, PendingAverage>;
  readonly demand: DemandMeter;
  /** Bound on serving keyed requests without a confirmation of the configuration. */
  readonly revokeMs: number;
  /** Hosts that take requests, this one included. */
  countHosts(): number;
  isStopping(): boolean;
  /** Whether a request that arrives now can still be finished before the process ends. */
  isTooLateToServe(): boolean;
  /** Counts a request that began to run. */
  countUsage(team: TeamId): void;
}

/** A request that passed the checks of configuration, route, key and rate. */
export interface AdmittedRequest {
  readonly exchange: ClientExchange;
  readonly meta: RequestMeta;
  readonly route: Route;
  readonly service: ServiceName;
  readonly team: Team | undefined;
  readonly urgency: number;
  /** Monotonic time at which the final answer is due. */
  readonly endMs: number;
  readonly progress: RequestProgress;
}

/** What has happened to a request so far. */
export interface RequestProgress {
  /** Attempts that may have run at a target. */
  attempts: number;
  /** Whether a target may have run the request or be running it. */
  mayHaveRun: boolean;
  hasCountedUsage: boolean;
  /** Time to the first event of a stream; undefined before it. */
  firstEventMs: number | undefined;
  /** How attempts ended, for the log. */
  readonly steps: string[];
  /** Where prompts were placed and with which inputs, for the log. */
  readonly placements: Readonly<Record<string, unknown>>[];
}
