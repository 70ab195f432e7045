/** How an attempt ended, as far as the target's health is concerned. */
export type AttemptOutcome =
  | 'finished'
  /** Ended by the caller or by the host; says nothing about the target. */
  | 'cancelled'
  /** The connection was refused or not established in time. */
  | 'unreachable'
  /** The target ended the response early, or sent an error of its own. */
  | 'failed'
  /** The target fell silent. */
  | 'timeout';

/** Settings of the health view. */
export interface HealthSettings {
  /** Consecutive failure points that exclude a target. */
  readonly failureLimit: number;
  /** First exclusion; doubled at each failed probe. */
  readonly minExclusionMs: number;
  readonly maxExclusionMs: number;
  /** Weight of the newest outcome in the failure rate. */
  readonly rateSmoothing: number;
}

export const DEFAULT_HEALTH_SETTINGS: HealthSettings = {
  failureLimit: 3,
  minExclusionMs: 1000,
  maxExclusionMs: 10_000,
  rateSmoothing: 0.1,
};

/**
 * Failure points by outcome. An unreachable target is excluded at once: it fails so quickly that
 * it looks idle and would otherwise attract all new work.
 */
const FAILURE_POINTS: Readonly<Record<AttemptOutcome, number>> = {
  finished: 0,
  cancelled: 0,
  unreachable: 3,
  failed: 1,
  timeout: 2,
};

/** Health of a target as seen by one host. */
export interface Health {
  /** Failure points since the last success. */
  points: number;
  /** Undefined while the target is healthy. */
  excludedUntilMs: number | undefined;
  /** Length of the current exclusion. */
  exclusionMs: number;
  /** Attempt that probes an excluded target; no other work is sent meanwhile. */
  probe: string | undefined;
  /** Moving mean of failures, 0 to 1. */
  failureRate: number;
}

export function createHealth(): Health {
  return {points: 0, excludedUntilMs: undefined, exclusionMs: 0, probe: undefined, failureRate: 0};
}

export type HealthState = 'healthy' | 'excluded' | 'probeDue' | 'probing';

export function describeHealth(health: Health, nowMs: number): HealthState {
  if (health.excludedUntilMs === undefined) return 'healthy';
  if (health.probe !== undefined) return 'probing';
  return nowMs >= health.excludedUntilMs ? 'probeDue' : 'excluded';
}

/** Notes that an attempt was sent. The first one to an excluded target is its probe. */
export function recordHealthDispatch(health: Health, attempt: string): void {
  if (health.excludedUntilMs !== undefined && health.probe === undefined) health.probe = attempt;
}

/**
 * Notes that a response has begun, which ends an exclusion. The failure points stay until a
 * response is whole: a target that breaks off each response would otherwise never be excluded.
 */
export function recordHealthProgress(health: Health): void {
  health.excludedUntilMs = undefined;
  health.probe = undefined;
}

/** Notes the end of an attempt. */
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
    health.points = 0;
    health.exclusionMs = 0;
    return;
  }
  health.points += FAILURE_POINTS[outcome];
  const isExcluded = health.excludedUntilMs !== undefined;
  // Failures of attempts sent before the exclusion don't lengthen it.
  if (isExcluded ? !wasProbe : health.points < settings.failureLimit) return;
  health.exclusionMs = Math.min(
    settings.maxExclusionMs,
    Math.max(settings.minExclusionMs, health.exclusionMs * 2),
  );
  health.excludedUntilMs = nowMs + health.exclusionMs;
}
