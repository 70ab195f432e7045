import {RandomSource} from '@radishgw/core';
import {getHealthState} from '@radishgw/scheduling';
import {isClosed, TargetState} from './target-state.js';

/** A target that asks for more than this has sent a value by mistake. */
const MAX_PLAUSIBLE_MS = 300_000;

/** Time that is granted instead of an implausible one. */
const IMPLAUSIBLE_REPLACEMENT_MS = 10_000;

/** Part of the time by which a host may return later, so that the hosts don't return together. */
const RETURN_SPREAD_SHARE = 0.25;
const MAX_RETURN_SPREAD_MS = 1000;

/**
 * Time at which this host may call a target again that asked for `retryAfterMs` without calls. The
 * load it answers: a target that sheds load tells all hosts about the same time.
 */
export function backoffUntil(nowMs: number, retryAfterMs: number, random: RandomSource): number {
  const grantedMs = retryAfterMs <= MAX_PLAUSIBLE_MS ? retryAfterMs : IMPLAUSIBLE_REPLACEMENT_MS;
  const spreadMs = Math.min(MAX_RETURN_SPREAD_MS, grantedMs * RETURN_SPREAD_SHARE);
  return nowMs + grantedMs + random.next() * spreadMs;
}

/** Interval at which requests look whether the first call to a target has succeeded. */
const PROBE_POLL_MS = 20;

/**
 * Earliest time at which one of the targets may take a request again that has asked for a pause;
 * undefined if there is none. Targets that leave or fail aren't waited for.
 */
export function nextReturnMs(targets: Iterable<TargetState>, nowMs: number): number | undefined {
  let earliestMs: number | undefined;
  for (const target of targets) {
    if (target.entry.isDraining || target.backoffUntilMs === -Infinity) continue;
    if (isClosed(target, nowMs)) continue;
    const isProbing = getHealthState(target.health, nowMs) === 'probing';
    if (nowMs >= target.backoffUntilMs && !isProbing) continue;
    const atMs = Math.max(target.backoffUntilMs, nowMs + (isProbing ? PROBE_POLL_MS : 0));
    earliestMs = Math.min(earliestMs ?? Infinity, atMs);
  }
  return earliestMs;
}

/** Part of the latency objective that a request may spend waiting for a target. */
const MAX_WAIT_OBJECTIVE_SHARE = 0.6;

/** Inputs of {@link decideWait}. */
export interface WaitInputs {
  /** Time at which a target may take a request; undefined if none is expected. */
  readonly returnMs: number | undefined;
  readonly receivedMs: number;
  readonly objectiveMs: number;
  readonly deadlineAtMs: number;
  /** Requests of this host that wait already, and how many the targets would take from it. */
  readonly waiting: number;
  readonly maxWaiting: number;
}

/**
 * Whether a request waits for a target or is refused at once. It waits only if it can still meet its
 * objective, and only as many wait as the targets take, so that none waits in vain. The load it
 * answers: all targets of a service shed load together.
 */
export function decideWait(inputs: WaitInputs): boolean {
  const {returnMs, receivedMs, objectiveMs, deadlineAtMs, waiting, maxWaiting} = inputs;
  if (returnMs === undefined || waiting >= maxWaiting) return false;
  const latestMs = receivedMs + objectiveMs * MAX_WAIT_OBJECTIVE_SHARE;
  return returnMs <= Math.min(latestMs, deadlineAtMs);
}
