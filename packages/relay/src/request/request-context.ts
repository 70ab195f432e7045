import {
  AnswerBuffer,
  BodyFraming,
  Clock,
  EventLog,
  HostId,
  RandomSource,
  TargetId,
  TeamId,
} from '@radishgw/core';
import {ClientExchange} from './client-exchange.js';
import {ConfigView} from '../store/config-view.js';
import {CrashMonitor} from '../quarantine/crash-monitor.js';
import {DemandMeter} from '../placing/demand-meter.js';
import {AdmissionState} from '../placing/admission.js';
import {AttemptBudget, AttemptBudgetSettings} from './attempt-budget.js';
import {RelayMetrics} from '../metrics.js';
import {RelayCodec, RequestMeta, Route, ServiceName, Team} from '../model.js';
import {PendingAverage} from '../placing/pending-average.js';
import {QuarantineService} from '../quarantine/quarantine-service.js';
import {QuotaClient} from '../quota/quota-client.js';
import {RunIdentity} from '../targets/run-identity.js';
import {RetryRefusal} from './serve-outcome.js';
import {TargetConnection} from '../targets/target-connections.js';
import {TargetPool} from '../targets/target-pool.js';
import {ReturnSchedule} from './return-schedule.js';
import {WaitCalibration} from '../placing/wait-calibration.js';
import {WorkModel} from '../placing/work-model.js';

/** Dependencies of the functions that serve requests. */
export interface RelayDependencies {
  readonly hostId: HostId;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly metrics: RelayMetrics;
  readonly codec: RelayCodec;
  readonly configView: ConfigView;
  readonly targets: TargetPool;
  readonly quota: QuotaClient;
  readonly attemptBudgets: Map<ServiceName, AttemptBudget>;
  readonly attemptBudgetSettings: AttemptBudgetSettings;
  /** Corrects estimated waits of prompts by those that this host has measured. */
  readonly calibration: WaitCalibration;
  /** Prompts that wait until it is their turn, by service. */
  readonly admissions: Map<ServiceName, AdmissionState>;
  /** Estimates for services that are placed by expected work. */
  readonly work: WorkModel;
  readonly pendingAverages: Map<ServiceName, PendingAverage>;
  /** Times at which refused clients are told to return, by service. */
  readonly returns: Map<ServiceName, ReturnSchedule>;
  /** Number of requests that wait for a target to return, by service. */
  readonly waiting: Map<ServiceName, number>;
  readonly demand: DemandMeter;
  readonly crashes: CrashMonitor;
  readonly quarantine: QuarantineService;
  /** Maximum age of the configuration for serving requests with an API key. */
  readonly revokeMs: number;
  /** Number of hosts that take requests, including this one. */
  countHosts(): number;
  /** Number of hosts that may use their shares of a limit, also if they are cut off. */
  countLimitHosts(): number;
  isStopping(): boolean;
  /** Whether a request with this deadline might not be finished before the process exits. */
  isTooLateToServe(deadlineAtMs: number): boolean;
  /** Counts a request that has started to run towards the usage of its team. */
  countUsage(team: TeamId): void;
}

/** A request that passed the checks of configuration, route, API key and quota. */
export interface AdmittedRequest {
  readonly exchange: ClientExchange;
  readonly meta: RequestMeta;
  /** What the hosts know its runs by. */
  readonly identity: RunIdentity;
  readonly route: Route;
  readonly service: ServiceName;
  readonly team: Team | undefined;
  readonly urgency: number;
  /** Monotonic time at which the final answer is due. */
  readonly deadlineAtMs: number;
  readonly progress: RequestProgress;
  /** Connections to targets that have carried the request. */
  readonly connections: Set<TargetConnection>;
  /** Holds the bytes of answers until the client has them. */
  readonly buffer: AnswerBuffer;
}

/** Progress of a request across all of its attempts. */
export class RequestProgress {
  /** Number of runs that may have begun, by target. */
  private readonly runs = new Map<TargetId, number>();
  /** Number of attempts, including those that targets refused. */
  attemptCount = 0;
  /** Why the request got no further attempt when one was last wanted, for the log. */
  retryRefusal: RetryRefusal | undefined;
  /** Whether the request has waited for an extra attempt, which it does once. */
  hasAwaitedAttempt = false;
  /** Whether the prompt has waited on the host until it was its turn. */
  wasHeld = false;
  hasCountedUsage = false;
  /** Number of targets that are known to have crashed under the request. */
  crashCount = 0;
  /** Checks whether targets that have closed the connection of a run have crashed. */
  readonly lossChecks: Promise<void>[] = [];
  /** Time to the first event of a stream; undefined before it. */
  firstEventMs: number | undefined;
  /** How the last run of a stream ended, for the log; undefined if it was cut off. */
  streamEnd: StreamEnd | undefined;
  /** Result of each attempt and its time since the request arrived, for the log. */
  readonly steps: string[] = [];
  /** Placements of the prompt with their inputs, for the log. */
  readonly placements: Readonly<Record<string, unknown>>[] = [];
  /** Calls to targets in the order in which they were sent, for the log. */
  readonly calls: TargetCall[] = [];

  /** Whether a target may have started to run the request. */
  get mayHaveRun(): boolean {
    return this.runs.size > 0;
  }

  /** Number of targets that may have run the request. */
  get targetCount(): number {
    return this.runs.size;
  }

  /** Whether a target may have run the request. */
  mayHaveRunAt(target: TargetId): boolean {
    return this.runs.has(target);
  }

  /** Records that the request is sent to a target, which may run it from now on. */
  addRun(target: TargetId): void {
    this.attemptCount++;
    this.runs.set(target, (this.runs.get(target) ?? 0) + 1);
  }

  /** Records that a run has not begun: it wasn't sent, or the target states so. */
  withdrawRun(target: TargetId): void {
    const count = this.runs.get(target) ?? 0;
    if (count > 1) this.runs.set(target, count - 1);
    else this.runs.delete(target);
  }
}

/** How an engine ended a stream. */
export interface StreamEnd {
  readonly framing: BodyFraming;
  readonly bytesAfterLastEvent: number;
}

/** A call to a target and the age of the list of targets by which it was sent. */
export interface TargetCall {
  readonly target: TargetId;
  /** Time since the request arrived. */
  readonly atMs: number;
  readonly listAgeMs: number;
}

/** Records the result of an attempt. */
export function recordStep({progress, exchange}: AdmittedRequest, text: string): void {
  progress.steps.push(`${text} at ${Math.round(exchange.ageMs())} ms`);
}
