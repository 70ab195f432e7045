import {call, LogEventName, Procedure, RequestId} from '@radishgw/core';
import {ClientExchange} from './client-exchange.js';
import {configAgeMs, isConfigFresh} from '../store/config-view.js';
import {findHomeRegions} from '../home-regions.js';
import {maxElapsedMs, readInstant} from '../instant.js';
import {RelayConfig, RequestMeta, Route, Team} from '../model.js';
import {sharedPartIds} from '../quarantine/quarantine.js';
import {RefusalName, REFUSALS, writeRefusal} from './refusals.js';
import {AdmittedRequest, RelayDependencies, RequestProgress} from './request-context.js';
import {chooseService, findRoute} from '../route-table.js';
import {RequestFingerprint, RunIdentity} from '../targets/run-identity.js';
import {serveCall} from './serve-call.js';
import {ServeOutcome} from './serve-outcome.js';
import {serveStream} from './serve-stream.js';
import {requestCost} from '../quota/team-quota.js';
import {chooseReturnDelay, recordServed} from './wait-for-target.js';

/** Handlers by kind of request. */
const HANDLERS = {
  safe: serveCall,
  unsafe: serveCall,
  streaming: serveStream,
} as const;

/** Refusals that many clients get in the same moment when a service has no room. */
const SPREAD_REFUSALS: ReadonlySet<RefusalName> = new Set(['noTarget', 'overloaded']);

/** Approximate transit time of a request, whose deadline starts when the client sends it. */
const TRANSIT_MS = 5;

/** A request that was not admitted. */
interface RefusedRequest {
  readonly type: 'refused';
  readonly refusal: RefusalName;
  readonly retryAfterMs?: number;
  /** Inputs of the decision, for the log. */
  readonly inputs?: Readonly<Record<string, unknown>>;
}

/** Serves one request from its head to its final answer. */
export function* serveRequest(deps: RelayDependencies, exchange: ClientExchange): Procedure<void> {
  let admitted: AdmittedRequest | RefusedRequest | undefined;
  try {
    admitted = yield* admit(deps, exchange);
  } catch (error) {
    logFault(deps, undefined, error);
    admitted = refuse('internalError');
  } finally {
    // Its client may have left meanwhile, which cancels the procedure.
    if (!admitted || 'type' in admitted) releaseProbe(deps, exchange);
  }
  if ('type' in admitted) finish(deps, exchange, undefined, admitted);
  else yield* serveAdmitted(deps, admitted);
}

function* serveAdmitted(deps: RelayDependencies, request: AdmittedRequest): Procedure<void> {
  const {exchange, meta, progress} = request;
  exchange.onClose(() => request.buffer.resize(0));
  const timer = deps.clock.setTimer(request.deadlineAtMs - deps.clock.nowMs(), () =>
    expire(deps, request),
  );
  try {
    const outcome = yield* HANDLERS[request.route.kind](deps, request);
    finish(deps, exchange, request, addReturnDelay(deps, request, outcome));
  } catch (error) {
    // A fault of the host itself; the client is told the truth about its request all the same.
    logFault(deps, meta.requestId, error);
    const refusal = progress.mayHaveRun ? 'outcomeUnknown' : 'internalError';
    const outcome: ServeOutcome = exchange.hasStarted
      ? {type: 'brokenOff'}
      : {type: 'refused', refusal};
    finish(deps, exchange, request, outcome);
  } finally {
    timer.cancel();
    if (exchange.isDisconnected) recordOutcome(deps, exchange, request, {type: 'left'});
    returnUnusedQuota(deps, request);
    deps.quarantine.release(meta.requestId);
  }
}

function logFault(deps: RelayDependencies, request: RequestId | undefined, error: unknown): void {
  const detail = String((error as Error).stack ?? error);
  deps.log.write('invariantViolated', {request, detail});
}

/** Spreads the returns of clients that are refused because their service has no room. */
function addReturnDelay(
  deps: RelayDependencies,
  {service}: AdmittedRequest,
  outcome: ServeOutcome,
): ServeOutcome {
  if (outcome.type === 'answered' || outcome.type === 'streamed') recordServed(deps, service);
  if (outcome.type !== 'refused' || !SPREAD_REFUSALS.has(outcome.refusal)) return outcome;
  const minDelayMs = outcome.retryAfterMs ?? REFUSALS[outcome.refusal].retryAfterMs ?? 0;
  return {...outcome, retryAfterMs: chooseReturnDelay(deps, service, minDelayMs)};
}

/** Lets another request probe a quarantine if this one was refused after it had been chosen. */
function releaseProbe(deps: RelayDependencies, exchange: ClientExchange): void {
  const meta = deps.codec.readRequest(exchange.headers);
  if ('requestId' in meta) deps.quarantine.release(meta.requestId);
}

/** Sends the final answer of a request whose deadline has passed, and cancels its attempt. */
function expire(deps: RelayDependencies, request: AdmittedRequest): void {
  const {exchange, progress} = request;
  if (exchange.isFinished) return;
  const refusal = progress.mayHaveRun ? 'deadlineExceeded' : 'notRunInTime';
  if (exchange.hasStarted) finish(deps, exchange, request, {type: 'brokenOff'});
  else finish(deps, exchange, request, {type: 'refused', refusal});
  exchange.cancel();
}

function returnUnusedQuota(deps: RelayDependencies, request: AdmittedRequest): void {
  const {team, meta, progress, route} = request;
  if (!team?.limit) return;
  // A stream has run if it sent an event; a call may have run as soon as it was sent.
  const hasRun = route.kind === 'streaming' ? progress.hasCountedUsage : progress.mayHaveRun;
  if (hasRun) return;
  deps.quota.refund(team, requestCost(team.limit, meta));
}

/** Checks the configuration, route, API key and quota of a request. */
function* admit(
  deps: RelayDependencies,
  exchange: ClientExchange,
): Procedure<AdmittedRequest | RefusedRequest> {
  const {config} = deps.configView;
  const now = readInstant(deps.clock);
  if (!config) return refuse('configNotFresh');
  const isFresh = isConfigFresh(deps.configView, now, deps.revokeMs);
  const meta = deps.codec.readRequest(exchange.headers);
  if ('malformed' in meta) return refuse('malformed');
  // A stale configuration may lack routes and keys that have been added since.
  const route = findRoute(config, exchange.host, exchange.path);
  if (!route) return refuse(isFresh ? 'routeUnknown' : 'configNotFresh');
  const team = findTeam(config, route, meta);
  if (team !== 'anonymous' && !isFresh) return refuse('configNotFresh');
  if (team === 'unknown') return refuse('keyUnknown');
  const deadlineAtMs = findDeadlineMs(exchange, route, meta);
  if (deps.isTooLateToServe(deadlineAtMs)) return refuse('stopping');
  const service = chooseService(route, deps.random);
  if (!service || !config.services.has(service)) return refuse('noTarget');
  const admittedTeam = team === 'anonymous' ? undefined : team;
  // A key binds a request to its team's regions on routes that need none as well.
  const homeRegions = findHomeRegions(route, admittedTeam ?? findKeyTeam(config, meta));
  if (homeRegions && deps.targets.forService(service, homeRegions).length === 0) {
    return {...refuse('noTarget'), inputs: {homeRegions: [...homeRegions]}};
  }
  const identity = identifyRun(exchange, meta, admittedTeam);
  const admission = deps.quarantine.admit(identity);
  if (admission.type === 'refused') {
    return {...refuse('quarantined'), inputs: {quarantine: admission.quarantine}};
  }
  deps.demand.record(service, meta.promptTokens ?? 0, deps.clock.nowMs());
  const quotaRefusal = yield* takeRequestQuota(deps, team, meta);
  if (quotaRefusal) return quotaRefusal;
  return {
    exchange,
    meta,
    identity,
    route,
    service,
    team: admittedTeam,
    homeRegions,
    urgency: team === 'anonymous' ? route.priority : (team.priority ?? route.priority),
    deadlineAtMs,
    progress: new RequestProgress(),
    connections: new Set(),
    buffer: deps.targets.openBuffer(),
  };
}

function identifyRun(
  {method, host, path, body}: ClientExchange,
  {requestId, promptParts}: RequestMeta,
  team: Team | undefined,
): RunIdentity {
  const sharedParts = sharedPartIds(promptParts);
  const content = {team: team?.id, method, host, path, body, sharedParts};
  return {requestId, sharedParts, fingerprint: new RequestFingerprint(content)};
}

function refuse(refusal: RefusalName): RefusedRequest {
  return {type: 'refused', refusal};
}

function findTeam(
  config: RelayConfig,
  route: Route,
  meta: RequestMeta,
): Team | 'anonymous' | 'unknown' {
  if (config.teams.size === 0 || route.allowsAnonymous) return 'anonymous';
  return findKeyTeam(config, meta) ?? 'unknown';
}

function findKeyTeam(config: RelayConfig, {apiKey}: RequestMeta): Team | undefined {
  const id = apiKey === undefined ? undefined : config.teamsByKey.get(apiKey);
  return id && config.teams.get(id);
}

function* takeRequestQuota(
  deps: RelayDependencies,
  team: Team | 'anonymous',
  meta: RequestMeta,
): Procedure<RefusedRequest | undefined> {
  if (team === 'anonymous' || !team.limit) return undefined;
  const cost = requestCost(team.limit, meta);
  const answer = yield* call(() => deps.quota.take(team, cost));
  if (answer.granted) return undefined;
  const inputs = {team: team.id, cost, limit: team.limit.costPerSecond};
  return {type: 'refused', refusal: 'rateExceeded', retryAfterMs: answer.retryAfterMs, inputs};
}

function findDeadlineMs(exchange: ClientExchange, route: Route, meta: RequestMeta): number {
  const startMs = exchange.receivedAt.monotonicMs;
  const deadlineMs = (meta.deadlineMs ?? Infinity) - TRANSIT_MS;
  return startMs + Math.min(deadlineMs, route.timeoutMs);
}

/** Sends the final answer unless one was sent, and records the outcome. */
function finish(
  deps: RelayDependencies,
  exchange: ClientExchange,
  request: AdmittedRequest | undefined,
  outcome: ServeOutcome | RefusedRequest,
): void {
  if (!exchange.isFinished) RESPONDERS[outcome.type](deps, exchange, outcome as never);
  recordOutcome(deps, exchange, request, outcome);
}

/** Functions that send the final answer, by type of outcome. */
const RESPONDERS = {
  answered: (
    deps: RelayDependencies,
    exchange: ClientExchange,
    outcome: Extract<ServeOutcome, {type: 'answered'}>,
  ) => {
    const headers = deps.codec.writeClientHeaders(outcome.headers);
    exchange.respond(outcome.status, headers, outcome.body);
  },
  streamed: () => undefined,
  brokenOff: (_parts: RelayDependencies, exchange: ClientExchange) => exchange.destroy(),
  refused: (
    _parts: RelayDependencies,
    exchange: ClientExchange,
    outcome: Extract<ServeOutcome, {type: 'refused'}>,
  ) => {
    const {status, headers, body} = writeRefusal(outcome.refusal, outcome.retryAfterMs);
    exchange.respond(status, headers, body);
  },
};

/** Results of requests that have been accepted and end without a complete answer. */
const LOST_RESULTS: ReadonlySet<string> = new Set(['brokenOff', 'outcomeUnknown', 'internalError']);

type LoggedOutcome = ServeOutcome | RefusedRequest | {readonly type: 'left'};

function chooseEvent(outcome: LoggedOutcome): LogEventName {
  const isRefused = outcome.type === 'refused';
  if (LOST_RESULTS.has(isRefused ? outcome.refusal : outcome.type)) return 'requestLost';
  return isRefused ? 'requestRefused' : 'requestFinished';
}

function recordOutcome(
  deps: RelayDependencies,
  exchange: ClientExchange,
  request: AdmittedRequest | undefined,
  outcome: LoggedOutcome,
): void {
  const meta = request?.meta ?? deps.codec.readRequest(exchange.headers);
  const route = request?.route.name ?? 'none';
  const result = outcome.type === 'refused' ? outcome.refusal : outcome.type;
  const durationMs = exchange.ageMs();
  const inputs = 'inputs' in outcome ? outcome.inputs : undefined;
  const hasHome = request?.homeRegions !== undefined || inputs?.homeRegions !== undefined;
  if (result === 'noTarget' && hasHome) {
    deps.metrics.count('no_home_target_total', `route="${route}"`);
  }
  deps.metrics.count('requests_total', `route="${route}",result="${result}"`);
  deps.metrics.observeMs('request_ms', `route="${route}"`, durationMs);
  if (request?.team) {
    deps.metrics.observeMs('team_request_ms', `team="${request.team.id}"`, durationMs);
  }
  const {configView} = deps;
  const now = readInstant(deps.clock);
  deps.log.write(chooseEvent(outcome), {
    request: 'requestId' in meta ? meta.requestId : undefined,
    route,
    team: request?.team?.id,
    homeRegions: request?.homeRegions && [...request.homeRegions],
    result,
    status: outcome.type === 'answered' ? outcome.status : undefined,
    retryAfterMs: outcome.type === 'refused' ? outcome.retryAfterMs : undefined,
    durationMs: Math.round(durationMs),
    leftMs: request && Math.round(request.deadlineAtMs - now.monotonicMs),
    configVersion: configView.config?.version,
    configAgeMs: Math.round(configAgeMs(configView, now)),
    configInForceMs:
      configView.inForceSince && Math.round(maxElapsedMs(configView.inForceSince, now)),
    firstEventMs: request?.progress.firstEventMs,
    streamEnd: request?.progress.streamEnd,
    promptTokens: request?.meta.promptTokens,
    steps: request?.progress.steps,
    retryRefusal: outcome.type === 'answered' ? undefined : request?.progress.retryRefusal,
    placements: request?.progress.placements,
    calls: request?.progress.calls,
    ...inputs,
  });
}
