import {Procedure, sleep, TargetId} from '@radishgw/core';
import {nextColdMs} from '../targets/target-access.js';
import {decideWait, nextReturnMs} from '../targets/target-backoff.js';
import {AdmittedRequest, recordStep, RelayDependencies} from './request-context.js';
import {recordWithheld} from './target-request.js';
import {
  createReturnSchedule,
  recordFinished,
  ReturnSchedule,
  scheduleReturn,
} from './return-schedule.js';
import {ServiceName} from '../model.js';

/**
 * Waits until a target that has asked for a pause or is cold takes requests again, if the request
 * can still be served in time; false if it is to be refused. Targets that refused it may be tried
 * again then.
 */
export function* waitForTarget(
  deps: RelayDependencies,
  request: AdmittedRequest,
  tried: Set<TargetId>,
): Procedure<boolean> {
  const {service, exchange, route, deadlineAtMs, progress} = request;
  if (progress.mayHaveRun || exchange.isFinished) return false;
  const targets = deps.targets.forService(service, request.homeRegions);
  recordWithheld(deps, service);
  const nowMs = deps.clock.nowMs();
  const returnMs = minDefined(nextReturnMs(targets, nowMs), nextColdMs(targets, nowMs));
  const waiting = deps.waiting.get(service) ?? 0;
  const slots = targets.reduce((sum, target) => sum + target.entry.slots, 0);
  const mayWait = decideWait({
    returnMs,
    receivedMs: exchange.receivedAt.monotonicMs,
    objectiveMs: route.objectiveMs,
    deadlineAtMs,
    waiting,
    maxWaiting: Math.max(1, Math.floor(slots / deps.countHosts())),
  });
  if (!mayWait) return false;
  recordStep(request, `waits ${Math.round(returnMs! - nowMs)} ms for a target`);
  deps.waiting.set(service, waiting + 1);
  try {
    yield* sleep(returnMs! - nowMs);
  } finally {
    deps.waiting.set(service, deps.waiting.get(service)! - 1);
  }
  tried.clear();
  return true;
}

function minDefined(a: number | undefined, b: number | undefined): number | undefined {
  return a === undefined || b === undefined ? (a ?? b) : Math.min(a, b);
}

function getSchedule(deps: RelayDependencies, service: ServiceName): ReturnSchedule {
  let schedule = deps.returns.get(service);
  if (!schedule) {
    schedule = createReturnSchedule();
    deps.returns.set(service, schedule);
  }
  return schedule;
}

/** Records that the service has finished a request. */
export function recordServed(deps: RelayDependencies, service: ServiceName): void {
  recordFinished(getSchedule(deps, service), deps.clock.nowMs());
}

/** Chooses the delay after which a client that is refused returns, at least `minDelayMs`. */
export function chooseReturnDelay(
  deps: RelayDependencies,
  service: ServiceName,
  minDelayMs: number,
): number {
  const nowMs = deps.clock.nowMs();
  const returnMs = nextReturnMs(deps.targets.forService(service), nowMs) ?? nowMs;
  const earliestMs = Math.max(nowMs + minDelayMs, returnMs);
  return scheduleReturn(getSchedule(deps, service), earliestMs, nowMs);
}
