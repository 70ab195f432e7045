import {Procedure, sleep} from '@radishgw/core';
import {
  AdmissionState,
  createAdmissionState,
  decideAdmission,
  isDue,
  recordArrival,
  release,
} from '../placing/admission.js';
import {PlacementTimes} from '../placing/engine-placement.js';
import {AdmittedRequest, recordStep, RelayDependencies} from './request-context.js';
import {ServiceName} from '../model.js';

/** Interval at which a request that waits on the host looks whether it is its turn. */
const HOLD_CHECK_MS = 20;

/** Whether the prompts of a service are admitted by their urgency. */
export function isAdmittedByUrgency(deps: RelayDependencies, service: ServiceName): boolean {
  return deps.work.isPlacedByWork(service);
}

function getAdmission(deps: RelayDependencies, service: ServiceName): AdmissionState {
  let state = deps.admissions.get(service);
  if (!state) {
    state = createAdmissionState();
    deps.admissions.set(service, state);
  }
  return state;
}

/** Records a prompt when it arrives. */
export function recordPrompt(deps: RelayDependencies, request: AdmittedRequest): void {
  const {service, urgency, route} = request;
  recordArrival(getAdmission(deps, service), urgency, route.objectiveMs, deps.clock.nowMs());
}

/** Forgets a prompt that waits, for example because its client has left. */
export function releasePrompt(deps: RelayDependencies, request: AdmittedRequest): void {
  const state = deps.admissions.get(request.service);
  if (state) release(state, request.meta.requestId);
}

/** Result of {@link admitPrompt}. `placeAgain`: the prompt has waited, so that engines differ. */
export type PromptAdmission =
  | {readonly type: 'admitted' | 'placeAgain'}
  | {readonly type: 'refused'; readonly retryAfterMs: number};

/** Decides whether a placed prompt is sent to its engine; waits until it is its turn otherwise. */
export function* admitPrompt(
  deps: RelayDependencies,
  request: AdmittedRequest,
  {waitMs, queueMs}: PlacementTimes,
): Procedure<PromptAdmission> {
  const {clock, metrics} = deps;
  const {meta, team, urgency, route, exchange, deadlineAtMs, service} = request;
  // One that engines have refused or failed has been admitted before.
  if (request.progress.attemptCount > 0) return {type: 'admitted'};
  const state = getAdmission(deps, service);
  const nowMs = clock.nowMs();
  const decision = decideAdmission(
    state,
    {
      id: meta.requestId,
      team: team?.id,
      urgency,
      objectiveMs: route.objectiveMs,
      ageMs: exchange.ageMs(),
      leftMs: deadlineAtMs - nowMs,
      promptTokens: meta.promptTokens ?? 0,
    },
    {
      queueMs,
      workMs: Math.max(0, waitMs - queueMs),
      errorMs: deps.work.ofService(service).errorMs,
    },
    nowMs,
  );
  const count = (result: string) =>
    metrics.count('admissions_total', `route="${route.name}",result="${result}"`);
  if (decision.type === 'admit') {
    if (decision.isProbe) count('probe');
    return {type: 'admitted'};
  }
  if (decision.type === 'refuse') {
    count('refused');
    return {type: 'refused', retryAfterMs: decision.retryAfterMs};
  }
  if (!request.progress.wasHeld) {
    request.progress.wasHeld = true;
    count('held');
    recordStep(request, `held, queue of ${Math.round(queueMs)} ms`);
  }
  do yield* sleep(HOLD_CHECK_MS);
  while (!isDue(state, meta.requestId, clock.nowMs()) && !exchange.isFinished);
  return {type: 'placeAgain'};
}
