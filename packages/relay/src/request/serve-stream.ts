import {Procedure, sleep} from '@radishgw/core';
import {
  confirmDecode,
  DEFAULT_ENGINE_ESTIMATES,
  EnginePlacement,
  PlacementTimes,
  placePrompt,
  sharedPrefix,
  stageOf,
  StagedPlacement,
} from '../placing/engine-placement.js';
import {
  confirmDecodeByWork,
  placePromptByWork,
  recordPrefilled,
  recordPrefillSent,
  recordStream,
  recordStreamWork,
} from '../placing/engine-work-placement.js';
import {
  admitPrompt,
  isAdmittedByUrgency,
  PromptAdmission,
  recordPrompt,
  releasePrompt,
} from './admit-prompt.js';
import {recordRequest} from './attempt-budget.js';
import {awaitAttempt} from './await-attempt.js';
import {EngineRun} from './engine-run.js';
import {EventSplitter} from './events.js';
import {CacheSource, ServiceName} from '../model.js';
import {createPendingAverage, PendingAverage} from '../placing/pending-average.js';
import {addPendingTokens, releaseHandle, prefillPrompt} from './prefill-prompt.js';
import {endStandby, expectEvent, hasGoneOn, relayStream} from './relay-stream.js';
import {AdmittedRequest, RelayDependencies} from './request-context.js';
import {
  mayRetry,
  reserveAttempt,
  ServeOutcome,
  takeFromAttemptBudget,
  takeOptionalFromBudget,
  useReserved,
} from './serve-outcome.js';
import {releaseReturn, RunResult, StreamState} from './stream-state.js';
import {awaitLossChecks, cancelRun, checkLoss, mayRun, recordWholeRun} from './suspect-runs.js';
import {SILENCE_CHECK_MS} from '../targets/target-answer.js';
import {preferWarm} from '../targets/target-access.js';
import {PooledTarget} from '../targets/target-pool.js';
import {sendToTarget, writeTargetRequest} from './target-request.js';
import {estimateCachedTokens, isAvailable, isClosed, TargetState} from '../targets/target-state.js';
import {recordWait} from '../placing/wait-calibration.js';
import {waitForTarget} from './wait-for-target.js';

/**
 * Maximum share of its objective that a prompt may queue behind others; it is refused if it would
 * queue for longer. Under overload, the accepted prompts then still meet their objective.
 */
const MAX_QUEUE_OBJECTIVE_SHARE = 0.9;

/** Minimum retry delay sent with a refusal: a queue takes about 100 ms to shorten. */
const MIN_RETRY_AFTER_MS = 200;

/** Pause between two attempts to return to an engine. */
const RETURN_PAUSE_MS = 2 * SILENCE_CHECK_MS;

/** Serves an event stream from an engine and resumes it at another one if the route allows it. */
export function* serveStream(
  deps: RelayDependencies,
  request: AdmittedRequest,
): Procedure<ServeOutcome> {
  const {route, service, meta} = request;
  const state: StreamState = {
    deps,
    request,
    mayRepeat: route.mayResume,
    tried: new Set(),
    failed: new Set(),
    standby: undefined,
    returnAttempt: undefined,
    leftEngine: undefined,
    lastEventId: meta.lastEventId,
    eventCount: 0,
    hasPrefilled: false,
    hasPrefillAttempt: false,
    wasPlaced: false,
    mayLeave: run => mayLeave(state, run),
  };
  recordRequest(deps.attemptBudgets.get(service)!, deps.attemptBudgetSettings, deps.clock.nowMs());
  recordPrompt(deps, request);
  try {
    let result = yield* startRun(state);
    for (;;) {
      if (result.type === 'done') return result.outcome;
      const mayWait = mayWaitForAttempt(state, result);
      if (mayWait) yield* sleep(RETURN_PAUSE_MS);
      if (mayStartRun(state, result)) result = yield* startRun(state);
      else if (state.standby) result = yield* continueRun(state, state.standby);
      else if (result.type === 'failed') return result.outcome;
      else if (mayWait && request.progress.retryRefusal === 'attemptBudget') continue;
      else if (yield* mayStartRunLater(state, result)) result = yield* startRun(state);
      else return failStream(state, 'overloaded');
    }
  } finally {
    endStandby(state);
    releaseReturn(state);
    releasePrompt(deps, request);
  }
}

/** Whether another run may be started after one with this result; takes the extra attempt. */
function mayStartRun(state: StreamState, result: RunResult): boolean {
  if (result.type === 'silent') return true;
  if (result.type !== 'notRun' && result.type !== 'broken') return false;
  const {deps, request, mayRepeat, standby} = state;
  // The silent engine goes on; no attempt is taken for an engine that doesn't exist.
  if (standby && !hasPlacement(state)) return false;
  const isUnsent = result.type === 'notRun' && result.isUnsent;
  const mayReturn = listReturns(state).length > 0;
  const conditions = {
    mayRepeat,
    isUnsent,
    mayReturn,
    hasNoAttemptLimit: state.leftEngine !== undefined,
  };
  if (standby || !state.returnAttempt) return mayRetry(deps, request, conditions);
  if (!mayRetry(deps, request, {...conditions, isUnsent: true})) return false;
  if (isUnsent) return true;
  useReserved(deps, request.service, state.returnAttempt);
  state.returnAttempt = undefined;
  // The engine that was left may be the only one that isn't full.
  const {leftEngine, tried} = state;
  if (leftEngine && isReturn(state, leftEngine)) {
    for (const engine of listEngines(state)) tried.add(engine.entry.id);
    tried.delete(leftEngine.entry.id);
  }
  return true;
}

/** Waits for an extra attempt if only that is missing for another run; takes it. */
function* mayStartRunLater(state: StreamState, result: RunResult): Procedure<boolean> {
  const {deps, request, mayRepeat} = state;
  const hasFailed = result.type === 'notRun' || result.type === 'broken';
  if (!hasFailed || request.progress.retryRefusal !== 'attemptBudget') return false;
  return yield* awaitAttempt(deps, request, () => mayRetry(deps, request, {mayRepeat}));
}

/**
 * Whether the stream waits for further attempts when its return has failed too: its engine would
 * still be at work if the host hadn't ended the run.
 */
function mayWaitForAttempt(
  {leftEngine, standby, returnAttempt}: StreamState,
  {type}: RunResult,
): boolean {
  const hasFailed = type === 'notRun' || type === 'broken';
  return leftEngine !== undefined && !standby && !returnAttempt && hasFailed;
}

/** Places the prompt and runs it. */
function* startRun(state: StreamState): Procedure<RunResult> {
  const {deps, request, tried} = state;
  const {progress, exchange} = request;
  let wasHeld = false;
  const fail = (refusal: StreamRefusal): RunResult => ({
    type: 'failed',
    outcome: failStream(state, refusal),
  });
  for (;;) {
    if (!mayRun(deps, request)) return fail('quarantined');
    // A return has one attempt; a prefill at another engine might be an extra one.
    const placement = choosePlacement(state, !exchange.hasStarted && !state.leftEngine);
    if (placement.type === 'none') {
      if (yield* waitForTarget(deps, request, tried)) continue;
      if (yield* allowTried(state)) continue;
      return fail('noTarget');
    }
    if (!wasHeld) recordDemand(state, placement.newTokens);
    if (!exchange.hasStarted && !progress.mayHaveRun) {
      const admission = isAdmittedByUrgency(deps, request.service)
        ? yield* admitPrompt(deps, request, placement)
        : decideByObjective(state, placement);
      wasHeld = admission.type === 'placeAgain';
      if (wasHeld) continue;
      if (admission.type === 'refused') {
        const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, admission.retryAfterMs);
        return {type: 'failed', outcome: {type: 'refused', refusal: 'overloaded', retryAfterMs}};
      }
    }
    recordPlacement(state, placement);
    if (placement.type === 'direct') return yield* runOnEngine(state, placement);
    const isExtra = state.hasPrefilled;
    if (isExtra && !(yield* awaitAttempt(deps, request, () => takePrefillAttempt(state)))) {
      return fail('overloaded');
    }
    // The cache could not be fetched from this engine if it isn't used, so that another one has to
    // prefill.
    tried.add(placement.prefill.entry.id);
    const source = yield* prefillPrompt(state, placement.prefill as PooledTarget, placement, () =>
      mayLeavePrefill(state),
    );
    if (source) return yield* runPrefilled(state, placement, source);
    if (state.standby && hasGoneOn(state, state.standby)) return {type: 'overtaken'};
    // Another prefill is an extra attempt; prefilling a long prompt at a decode engine instead
    // would stall its streams.
    const conditions = {mayRepeat: true, isUnsent: state.hasPrefillAttempt};
    state.hasPrefillAttempt = false;
    const mayPrefill = () => mayRetry(deps, request, conditions);
    if (!(yield* awaitAttempt(deps, request, mayPrefill))) return fail('overloaded');
  }
}

/** Refuses a prompt that would queue for most of its objective. */
function decideByObjective(
  {deps, request}: StreamState,
  {queueMs}: PlacementTimes,
): PromptAdmission {
  const leftMs = request.deadlineAtMs - deps.clock.nowMs();
  const maxQueueMs = Math.min(leftMs, request.route.objectiveMs * MAX_QUEUE_OBJECTIVE_SHARE);
  if (queueMs <= maxQueueMs) return {type: 'admitted'};
  return {type: 'refused', retryAfterMs: queueMs - maxQueueMs};
}

/** Takes the extra attempt for another prefill. */
function takePrefillAttempt({deps, request}: StreamState): boolean {
  const {progress, service} = request;
  const isTaken = takeFromAttemptBudget(deps, service);
  progress.retryRefusal = isTaken ? undefined : 'attemptBudget';
  return isTaken;
}

/**
 * Whether a prefill engine that takes long is left for another one, although it may be sound; takes
 * the extra attempt.
 */
function mayLeavePrefill(state: StreamState): boolean {
  const {deps, request} = state;
  const {progress, service} = request;
  if (progress.attemptCount > 0 || state.standby || !hasPlacement(state)) return false;
  state.hasPrefillAttempt = takeOptionalFromBudget(deps, service);
  return state.hasPrefillAttempt;
}

/**
 * Engines that may be asked again when no other one is left. One that was left when it was silent
 * may be sound, and one that has refused may have room again.
 */
function listReturns(state: StreamState): readonly PooledTarget[] {
  const {standby, mayRepeat} = state;
  if (!mayRepeat) return [];
  return listEngines(state).filter(engine => engine !== standby?.target && isReturn(state, engine));
}

function isReturn({deps, failed}: StreamState, engine: PooledTarget): boolean {
  const {id, isDraining} = engine.entry;
  if (isClosed(engine, deps.clock.nowMs())) return false;
  return stageOf(engine) === 'decode' && !isDraining && !failed.has(id);
}

/** Engines at which the request may run without exceeding the number of targets of its route. */
function listEngines({deps, request}: StreamState): readonly PooledTarget[] {
  const {progress, route, service, homeRegions} = request;
  const engines = deps.targets.forService(service, homeRegions);
  if (progress.targetCount < route.maxAttempts) return engines;
  return engines.filter(
    engine => stageOf(engine) === 'prefill' || progress.mayHaveRunAt(engine.entry.id),
  );
}

/** Allows engines that have been tried, as no other one is left; false if the request ends. */
function* allowTried(state: StreamState): Procedure<boolean> {
  const {deps, request, tried, standby} = state;
  const {progress, exchange, deadlineAtMs} = request;
  if (!progress.mayHaveRun || standby || exchange.isFinished) return false;
  const leftMs = deadlineAtMs - deps.clock.nowMs();
  const engines = listReturns(state);
  if (leftMs <= 0 || engines.length === 0) return false;
  const released = engines.filter(({entry}) => tried.delete(entry.id));
  if (released.length === 0) yield* sleep(Math.min(leftMs, SILENCE_CHECK_MS));
  return true;
}

/**
 * Whether a silent engine may be left for another one. Its run is ended when that one hasn't refused
 * in time; the attempt for the return is taken as well, as it may refuse later. Without that, only
 * an engine that is probably lost is left.
 */
function mayLeave(state: StreamState, {target, lostMs}: EngineRun): boolean {
  const {deps, request, mayRepeat} = state;
  // A silent engine isn't left for one that was left before: it may be sound itself.
  if (!mayRun(deps, request) || !hasPlacement(state)) return false;
  const hadReturn = state.returnAttempt !== undefined;
  if (!hadReturn && isReturn(state, target)) {
    state.returnAttempt = reserveAttempt(deps, request.service);
  }
  if (state.returnAttempt && mayRetry(deps, request, {mayRepeat})) return true;
  if (!hadReturn) releaseReturn(state);
  return deps.clock.nowMs() >= lostMs && mayRetry(deps, request, {mayRepeat});
}

function hasPlacement(state: StreamState): boolean {
  return choosePlacement(state, !state.request.exchange.hasStarted).type !== 'none';
}

function choosePlacement(state: StreamState, allowsStaging: boolean): EnginePlacement {
  const {deps, request, tried} = state;
  const {meta, service, urgency} = request;
  const work = {parts: meta.promptParts, promptTokens: meta.promptTokens ?? 0, urgency};
  const engines = listEngines(state);
  const context = {
    hostCount: deps.countHosts(),
    nowMs: deps.clock.nowMs(),
    allowsStaging,
    calibration: deps.calibration,
    pending: getPendingAverage(deps, service),
    estimates: DEFAULT_ENGINE_ESTIMATES,
    random: deps.random,
  };
  const place = (candidates: readonly PooledTarget[]) => {
    if (!deps.work.isPlacedByWork(service)) return placePrompt(candidates, work, tried, context);
    const workContext = {...context, work: deps.work, service: deps.work.ofService(service)};
    return placePromptByWork(candidates, work, tried, workContext);
  };
  const preferred = preferWarm(engines, tried, context.nowMs, stageOf);
  const placement = place(preferred);
  if (preferred === engines || !isQueueTooLong(request, placement)) return placement;
  // A cold engine is slow, but may still be faster than the queue at the warm ones.
  const withCold = place(engines);
  return isQueueTooLong(request, withCold) ? placement : withCold;
}

function isQueueTooLong({route}: AdmittedRequest, placement: EnginePlacement): boolean {
  return (
    placement.type === 'none' || placement.queueMs > route.objectiveMs * MAX_QUEUE_OBJECTIVE_SHARE
  );
}

function getPendingAverage(deps: RelayDependencies, service: ServiceName): PendingAverage {
  let pending = deps.pendingAverages.get(service);
  if (!pending) {
    pending = createPendingAverage();
    deps.pendingAverages.set(service, pending);
  }
  return pending;
}

/** Records the work that a placement takes, also one that is refused because of the queue there. */
function recordDemand(state: StreamState, newTokens: number): void {
  const {deps, request} = state;
  const promptTokens = state.wasPlaced ? 0 : (request.meta.promptTokens ?? 0);
  state.wasPlaced = true;
  deps.demand.recordPlaced(request.service, promptTokens, newTokens, deps.clock.nowMs());
}

/** Records the placement of a prompt and its inputs for the log. */
function recordPlacement(
  {deps, request}: StreamState,
  placement: Exclude<EnginePlacement, {type: 'none'}>,
): void {
  const {decode, waitMs} = placement;
  const prefillEngine = placement.type === 'staged' ? placement.prefill : decode;
  const cachedTokens = estimateCachedTokens(
    prefillEngine,
    sharedPrefix(request.meta.promptParts),
    deps.clock.nowMs(),
  );
  request.progress.placements.push({
    type: placement.type,
    decode: decode.entry.id,
    reader: prefillEngine.entry.id,
    estimatedWaitMs: Math.round(waitMs),
    queueMs: Math.round(placement.queueMs),
    atMs: Math.round(request.exchange.ageMs()),
    knownTokens: cachedTokens,
    readerOwnTokens: prefillEngine.ownPromptTokens,
    readerOthers: prefillEngine.othersRequests,
    timeFactor: placement.expectation && Number(placement.expectation.timeFactor.toFixed(2)),
  });
}

/** Records for the log that another engine runs a prefilled prompt. */
function recordReplacement(
  {request}: StreamState,
  {decode: placed}: StagedPlacement,
  decode: TargetState,
): void {
  request.progress.placements.push({
    type: 'replaced',
    decode: decode.entry.id,
    placed: placed.entry.id,
    isDraining: placed.entry.isDraining,
    atMs: Math.round(request.exchange.ageMs()),
  });
}

type StreamRefusal = 'noTarget' | 'overloaded' | 'quarantined';

function failStream({request}: StreamState, refusal: StreamRefusal): ServeOutcome {
  if (request.exchange.hasStarted) return {type: 'brokenOff'};
  return {type: 'refused', refusal: request.progress.mayHaveRun ? 'outcomeUnknown' : refusal};
}

/**
 * Runs a prefilled request at a decode engine. Another engine fetches the same cache if the chosen
 * one has left since the placement or could not be reached.
 */
function* runPrefilled(
  state: StreamState,
  placement: StagedPlacement,
  source: CacheSource,
): Procedure<RunResult> {
  const {deps, request} = state;
  const release = () => releaseHandle(state, placement.prefill as PooledTarget, source);
  let isSourceUsed = false;
  try {
    for (;;) {
      if (!mayRun(deps, request)) return {type: 'notRun', isUnsent: true};
      // The cache can't be fetched from there; the prompt is prefilled elsewhere.
      if (isClosed(placement.prefill, deps.clock.nowMs())) return {type: 'notRun', isUnsent: true};
      const decode = chooseConfirmed(state, placement);
      if (!decode) return {type: 'notRun', isUnsent: true};
      if (decode !== placement.decode) recordReplacement(state, placement, decode);
      const result = yield* runOnEngine(state, {...placement, decode}, source);
      isSourceUsed = result.type === 'done' || request.progress.hasCountedUsage;
      if (result.type === 'silent' && !isSourceUsed) {
        // The engine may still fetch it.
        state.standby!.releaseSource = release;
        isSourceUsed = true;
      }
      if (result.type !== 'notRun' || !(yield* mayReplace(state, result.isUnsent))) return result;
    }
  } finally {
    if (!isSourceUsed) release();
  }
}

/** The decode engine for a prefilled prompt. */
function chooseConfirmed(state: StreamState, placement: StagedPlacement): TargetState | undefined {
  const {deps, request, tried} = state;
  const {work, random} = deps;
  const nowMs = deps.clock.nowMs();
  const engines = preferWarm(listEngines(state), tried, nowMs, stageOf);
  if (work.isPlacedByWork(request.service)) {
    return confirmDecodeByWork(engines, placement, tried, {nowMs, random, work});
  }
  return confirmDecode(engines, placement, tried, {
    nowMs,
    random,
    estimates: DEFAULT_ENGINE_ESTIMATES,
  });
}

/** Whether another decode engine may fetch the cache; takes the attempt if the last one refused. */
function* mayReplace(state: StreamState, isUnsent: boolean): Procedure<boolean> {
  const {deps, request, tried, mayRepeat} = state;
  const isFree = (engine: TargetState) =>
    stageOf(engine) === 'decode' && !tried.has(engine.entry.id);
  // A run on standby may have gone on, and the attempt for its return is another one.
  if (!isUnsent && (state.standby || state.returnAttempt || state.leftEngine)) return false;
  const hasEngine = listEngines(state).some(
    engine => isFree(engine) && isAvailable(engine, deps.clock.nowMs()),
  );
  if (!hasEngine) return false;
  const take = () => mayRetry(deps, request, {mayRepeat, isUnsent});
  return yield* awaitAttempt(deps, request, take);
}

/** Runs the request at an engine and forwards its events. */
function* runOnEngine(
  state: StreamState,
  placement: Exclude<EnginePlacement, {type: 'none'}>,
  source?: CacheSource,
): Procedure<RunResult> {
  const {deps, request} = state;
  const {progress, meta, identity} = request;
  const target = placement.decode as PooledTarget;
  state.tried.add(target.entry.id);
  const outgoing = writeTargetRequest(deps, request, target, {
    cacheSource: source,
    cacheTarget: source && placement.type === 'staged' ? placement.prefill : undefined,
    lastEventId: state.lastEventId,
  });
  progress.addRun(target.entry.id);
  const removePending = source ? () => undefined : addPendingTokens(target, state);
  if (source) deps.targets.recordParts(target, meta.promptParts);
  const sentMs = deps.clock.nowMs();
  target.runs.set(meta.requestId, {identity, sentMs});
  const sent = sendToTarget(deps, request, target, outgoing, state.mayRepeat);
  const {expectation} = placement;
  if (!source && expectation) recordPrefillSent(deps.work, expectation, sentMs);
  const eventsBefore = state.eventCount;
  let firstEventMs: number | undefined;
  const run: EngineRun = {
    target,
    sent,
    waitMs: placement.waitMs,
    splitter: new EventSplitter(),
    received: [],
    head: undefined,
    hasEvents: false,
    wasSilent: false,
    dueMs: 0,
    lostMs: 0,
    releaseSource: undefined,
    onFirstEvent: () => {
      removePending();
      const nowMs = deps.clock.nowMs();
      firstEventMs = nowMs;
      if (source || run.wasSilent) return;
      const actualMs = nowMs - sentMs;
      if (expectation) recordPrefilled(deps.work, expectation, actualMs, nowMs);
      recordWait(deps.calibration, 'decode', request.urgency, placement.uncalibratedMs, actualMs);
    },
    onWhole: () => {
      if (firstEventMs === undefined || !deps.work.isPlacedByWork(request.service)) return;
      const nowMs = deps.clock.nowMs();
      const gaps = state.eventCount - eventsBefore - 1;
      recordStream(deps.work, target, nowMs - firstEventMs, gaps, nowMs);
    },
    close: () => {
      const nowMs = deps.clock.nowMs();
      if (expectation) recordStreamWork(deps.work, target, nowMs - sentMs, nowMs);
      cancelRun(deps, request, sent);
      removePending();
      if (!run.hasEvents) run.releaseSource?.();
    },
  };
  expectEvent(state, run);
  return yield* continueRun(state, run);
}

/** Forwards the events of a run; puts it on standby if its engine is silent. */
function* continueRun(state: StreamState, run: EngineRun): Procedure<RunResult> {
  const {progress} = state.request;
  if (state.standby === run) {
    state.standby = undefined;
    releaseReturn(state);
    run.dueMs = state.deps.clock.nowMs() + SILENCE_CHECK_MS;
  }
  try {
    const result = yield* relayStream(state, run);
    if (result.type === 'notRun') progress.withdrawRun(run.target.entry.id);
    if (result.type === 'done' && result.outcome.type === 'streamed') run.onWhole();
    if (result.type === 'broken') state.failed.add(run.target.entry.id);
    if (result.type === 'silent') {
      endStandby(state);
      state.standby = run;
    }
    yield* recordEnd(state, run.target, result);
    return result;
  } finally {
    if (state.standby !== run) run.close();
  }
}

/** Records what the end of a run says about its engine and its request. */
function* recordEnd(state: StreamState, target: PooledTarget, result: RunResult): Procedure<void> {
  const {deps, request} = state;
  const {progress} = request;
  if (result.type === 'broken' && result.hasLostConnection) {
    checkLoss(deps, request, target);
    yield* awaitLossChecks(deps, request);
    return;
  }
  if (result.type !== 'done' || result.outcome.type !== 'streamed') return;
  recordWholeRun(deps, request, target, progress.streamEnd!.framing);
}
