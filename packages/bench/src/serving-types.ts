import {VirtualClock} from '@radishgw/core';
import {PoolSettings, QueueSettings, RoutingPolicyName} from '@radishgw/scheduling';
import {FakeEngine, FakeEngineOptions} from './fake-engine.js';
import {Arrival} from './traces.js';

/** Settings of a run. */
export interface ServingOptions {
  readonly seed: number;
  readonly arrivals: readonly Arrival[];
  /** The run ends here; requests that still run are left as they are. */
  readonly endMs: number;
  readonly targets: number;
  readonly hosts?: number;
  readonly engine?: Partial<FakeEngineOptions>;
  readonly queue?: Partial<QueueSettings>;
  readonly pool?: Partial<PoolSettings>;
  readonly policy?: RoutingPolicyName;
  /** Team weights in tokens per second. */
  readonly weights?: Readonly<Record<string, number>>;
  /** Longest time in the queue; by class. */
  readonly patienceMs?: Readonly<Record<Arrival['workClass'], number>>;
  /** `none`, `budget` as in production, or `always` up to three attempts, for comparison. */
  readonly retries?: 'none' | 'budget' | 'always';
  readonly hedging?: boolean;
  /** Share of the requests that may run only once. */
  readonly onceShare?: number;
  /** Time after which a host notices that an engine crashed; 0 for a connection reset. */
  readonly crashNoticeMs?: number;
  /** Faults, set up before the run. */
  readonly prepare?: (clock: VirtualClock, engines: readonly FakeEngine[]) => void;
}

export type RequestOutcome =
  'pending' | 'finished' | 'displaced' | 'refused' | 'expired' | 'failed';

/** What became of a request. */
export interface RequestRecord {
  readonly arrival: Arrival;
  readonly isIdempotent: boolean;
  outcome: RequestOutcome;
  attempts: number;
  /** Time of the first dispatch. */
  dispatchedMs: number | undefined;
  hedges: number;
  /** Times on the run's clock; undefined if it didn't happen. */
  firstTokenMs: number | undefined;
  lastTokenMs: number | undefined;
  generated: number;
}

/** First-token bound of section 2.5 of the design. */
export const FIRST_TOKEN_BOUND_MS = 680;
/** Bound on the mean time between tokens of section 2.5 of the design. */
export const TOKEN_GAP_BOUND_MS = 44;

/** Whether a request was answered whole, with its first token and its mean token gap in bounds. */
export function isGood(record: RequestRecord): boolean {
  const {outcome, firstTokenMs, lastTokenMs, generated, arrival} = record;
  if (outcome !== 'finished' || firstTokenMs === undefined || lastTokenMs === undefined) {
    return false;
  }
  if (firstTokenMs - arrival.atMs > FIRST_TOKEN_BOUND_MS) return false;
  return lastTokenMs - firstTokenMs <= TOKEN_GAP_BOUND_MS * Math.max(1, generated - 1);
}
