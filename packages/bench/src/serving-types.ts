import {VirtualClock} from '@radishgw/core';
import {PoolSettings, QueueSettings, RoutingPolicyName} from '@radishgw/scheduling';
import {FakeEngine, FakeEngineOptions} from './fake-engine.js';
import {Arrival} from './traces.js';

/** Settings of a simulation run. */
export interface ServingOptions {
  readonly seed: number;
  readonly arrivals: readonly Arrival[];
  /** End of the run; requests that are still active then keep their state. */
  readonly endMs: number;
  readonly targets: number;
  readonly hosts?: number;
  readonly engine?: Partial<FakeEngineOptions>;
  readonly queue?: Partial<QueueSettings>;
  readonly pool?: Partial<PoolSettings>;
  readonly policy?: RoutingPolicyName;
  /** Team weights in tokens per second. */
  readonly weights?: Readonly<Record<string, number>>;
  /** Longest time in the queue by class, after which a request expires. */
  readonly queueTimeoutMs?: Readonly<Record<Arrival['workClass'], number>>;
  /**
   * `none`, `budget` as in production, or for comparison `always`, which makes up to three attempts
   * without a budget.
   */
  readonly retries?: 'none' | 'budget' | 'always';
  readonly hedging?: boolean;
  /** Share of the requests that are not idempotent and may run only once. */
  readonly nonIdempotentShare?: number;
  /** Time after which a host detects that an engine crashed; 0 if the connections are reset. */
  readonly crashDetectionMs?: number;
  /** Schedules faults; called before the run starts. */
  readonly injectFaults?: (clock: VirtualClock, engines: readonly FakeEngine[]) => void;
}

export type RequestOutcome = 'pending' | 'finished' | 'evicted' | 'refused' | 'expired' | 'failed';

/** State of a request, final once the run has ended. */
export interface RequestRecord {
  readonly arrival: Arrival;
  readonly isIdempotent: boolean;
  outcome: RequestOutcome;
  attempts: number;
  /** Time of the first dispatch. */
  dispatchedMs: number | undefined;
  hedges: number;
  /** Times on the simulation clock; undefined without any token. */
  firstTokenMs: number | undefined;
  lastTokenMs: number | undefined;
  generated: number;
}

/** Bound on the time to first token, from section 2.5 of the design. */
export const FIRST_TOKEN_BOUND_MS = 680;
/** Bound on the mean time between tokens, from section 2.5 of the design. */
export const TOKEN_GAP_BOUND_MS = 44;

/** True if a request finished with its time to first token and its mean token gap in bounds. */
export function meetsLatencyBounds(record: RequestRecord): boolean {
  const {outcome, firstTokenMs, lastTokenMs, generated, arrival} = record;
  if (outcome !== 'finished' || firstTokenMs === undefined || lastTokenMs === undefined) {
    return false;
  }
  if (firstTokenMs - arrival.atMs > FIRST_TOKEN_BOUND_MS) return false;
  return lastTokenMs - firstTokenMs <= TOKEN_GAP_BOUND_MS * Math.max(1, generated - 1);
}
