import {BodyFraming, call, Procedure} from '@radishgw/core';
import {AdmittedRequest, RelayDependencies} from './request-context.js';
import {PooledAttempt, PooledTarget} from '../targets/target-pool.js';

/** Number of targets that may crash under one request. */
const MAX_CRASHES = 2;

/**
 * Whether a request may be sent to a target, by what the hosts know of it and by the targets that
 * have crashed under it. Another run of a request that may be the cause serves those that aren't.
 */
export function mayRun(deps: RelayDependencies, {identity, progress}: AdmittedRequest): boolean {
  const admission = deps.quarantine.admit(identity);
  if (admission.type === 'refused') return false;
  if (progress.crashCount === 0) return true;
  if (admission.type === 'probe') return false;
  if (!deps.quarantine.isUnproven(identity)) return true;
  if (progress.crashCount >= MAX_CRASHES) return false;
  return deps.quarantine.suspicionOf(identity) < MAX_CRASHES;
}

/**
 * Checks whether a target has crashed that has closed the connection of a run. Must be called while
 * the run counts as in progress.
 */
export function checkLoss(
  deps: RelayDependencies,
  {progress}: AdmittedRequest,
  target: PooledTarget,
): void {
  const check = deps.crashes.check(target).then(hasCrashed => {
    if (hasCrashed) progress.crashCount++;
  });
  progress.lossChecks.push(check);
}

/**
 * Records a run that has ended whole. If that closed the connection, its target may have crashed
 * instead. Must be called while the run counts as in progress.
 */
export function recordWholeRun(
  deps: RelayDependencies,
  {identity}: AdmittedRequest,
  target: PooledTarget,
  framing: BodyFraming,
): void {
  if (framing !== 'connection') {
    deps.quarantine.recordWhole(identity);
    return;
  }
  void deps.crashes.check(target).then(hasCrashed => {
    if (!hasCrashed) deps.quarantine.recordWhole(identity);
  });
}

/** Ends a run unless it has ended, and watches its target for a while if it may still be running. */
export function cancelRun(
  deps: RelayDependencies,
  {meta}: AdmittedRequest,
  sent: PooledAttempt,
): void {
  const {target, attempt} = sent;
  const run = target.runs.get(meta.requestId);
  if (run && attempt.mayBeRunning) deps.crashes.watchCancelled(target, run);
  else target.runs.delete(meta.requestId);
  sent.finish('cancelled');
}

/** Waits for the checks of lost connections if another run depends on them. */
export function* awaitLossChecks(
  deps: RelayDependencies,
  {identity, progress}: AdmittedRequest,
): Procedure<void> {
  const {lossChecks} = progress;
  if (lossChecks.length === 0) return;
  // The first crash under a request that nobody suspects doesn't keep it from another run.
  if (lossChecks.length > 1 || deps.quarantine.hasSuspects(identity)) {
    yield* call(() => Promise.all(lossChecks));
  }
}
