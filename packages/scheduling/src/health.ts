/** Outcome of an attempt as it affects the target's health. */
export type AttemptOutcome =
  | 'finished'
  /** Ended by the caller or by the host; no evidence about the target's health. */
  | 'cancelled'
  /** The connection was refused or not established in time. */
  | 'unreachable'
  /** The target aborted the response or returned an error. */
  | 'failed'
  /** The target stopped sending data. */
  | 'timeout';

/** Settings of passive health checking. */
export interface HealthSettings {
  /** Failure points without a success in between that exclude a target. */
  readonly failureLimit: number;
  /** Duration of the first exclusion; doubled after each failed probe. */
  readonly minExclusionMs: number;
  readonly maxExclusionMs: number;
  /** Weight of the newest outcome in the moving average of the failure rate. */
  readonly rateSmoothing: number;
}

export const DEFAULT_HEALTH_SETTINGS: HealthSettings = {
  failureLimit: 3,
  minExclusionMs: 1000,
  maxExclusionMs: 10_000,
  rateSmoothing: 0.1,
};

/**
 * Failure points by outcome. An unreachable target is excluded immediately: its attempts fail so
 * quickly that it looks idle and would otherwise attract all new requests.
 */
const FAILURE_POINTS: Readonly<Record<AttemptOutcome, number>> = {
  finished: 0,
  cancelled: 0,
  unreachable: 3,
  failed: 1,
  timeout: 2,
};

/** Health of a target as observed by one host. */
export interface Health {
  /** Failure points since the last success. */
  failurePoints: number;
  /** Earliest time of the next probe; undefined while the target is healthy. */
  excludedUntilMs: number | undefined;
  /** Duration of the current exclusion. */
  exclusionMs: number;
  /** Attempt that probes an excluded target; the target gets no other requests meanwhile. */
  probe: string | undefined;
  /** Exponential moving average of failures, from 0 to 1. */
  failureRate: number;
}

export function createHealth(): Health {
  return {
    failurePoints: 0,
    excludedUntilMs: undefined,
    exclusionMs: 0,
    probe: undefined,
    failureRate: 0,
  };
}

export type HealthState = 'healthy' | 'excluded' | 'probeDue' | 'probing';

export function getHealthState(health: Health, nowMs: number): HealthState {
  if (health.excludedUntilMs === undefined) return 'healthy';
  if (health.probe !== undefined) return 'probing';
  return nowMs >= health.excludedUntilMs ? 'probeDue' : 'excluded';
}

/** Excludes a target until a time that it has named itself; one probe is due then. */
export function excludeUntil(health: Health, untilMs: number): void {
  health.excludedUntilMs = Math.max(health.excludedUntilMs ?? -Infinity, untilMs);
}

/** Records that an attempt was sent. The first attempt to an excluded target is its probe. */
export function recordHealthDispatch(health: Health, attempt: string): void {
  if (health.excludedUntilMs !== undefined && health.probe === undefined) health.probe = attempt;
}

/**
 * Records that a response has started, which ends an exclusion. Failure points are kept until a
 * response completes: a target that aborts every response would otherwise never be excluded.
 */
export function recordHealthProgress(health: Health): void {
  health.excludedUntilMs = undefined;
  health.probe = undefined;
}

/** Records the outcome of an attempt. */
export function recordHealthOutcome(
  health: Health,
  attempt: string,
  outcome: AttemptOutcome,
  nowMs: number,
  settings: HealthSettings,
): void {
  const wasProbe = health.probe === attempt;
  if (wasProbe) health.probe = undefined;
  if (outcome === 'cancelled') return;
  const failed = outcome === 'finished' ? 0 : 1;
  health.failureRate += settings.rateSmoothing * (failed - health.failureRate);
  if (!failed) {
    recordHealthProgress(health);
    health.failurePoints = 0;
    health.exclusionMs = 0;
    return;
  }
  health.failurePoints += FAILURE_POINTS[outcome];
  const isExcluded = health.excludedUntilMs !== undefined;
  // Failures of attempts sent before the exclusion don't extend it.
  if (isExcluded ? !wasProbe : health.failurePoints < settings.failureLimit) return;
  health.exclusionMs = Math.min(
    settings.maxExclusionMs,
    Math.max(settings.minExclusionMs, health.exclusionMs * 2),
  );
  health.excludedUntilMs = nowMs + health.exclusionMs;
}
