import {call, Procedure} from '@radishgw/core';
import {ClientExchange} from './client-exchange.js';
import {configAgeMs, isConfigFresh} from './config-view.js';
import {readInstant} from './instant.js';
import {RelayConfig, RequestMeta, Route, Team} from './model.js';
import {RefusalName, writeRefusal} from './refusals.js';
import {AdmittedRequest, RelayParts} from './request-context.js';
import {chooseService, findRoute} from './route-table.js';
import {serveCall} from './serve-call.js';
import {ServeOutcome} from './serve-outcome.js';
import {serveStream} from './serve-stream.js';
import {requestCost} from './team-quota.js';

/** Handlers by kind of request. */
const SERVERS = {
  safe: serveCall,
  unsafe: serveCall,
  streaming: serveStream,
} as const;

/** Clients' clocks start earlier by the way of the request. */
const TRANSIT_MS = 5;

/** A request that isn't admitted. */
interface Refused {
  readonly type: 'refused';
  readonly refusal: RefusalName;
  readonly retryAfterMs?: number;
  /** Inputs of the decision, for the log. */
  readonly inputs?: Readonly<Record<string, unknown>>;
}

/** Serves one request from its head to its final answer. */
export function* serveRequest(parts: RelayParts, exchange: ClientExchange): Procedure<void> {
  const admitted = yield* admit(parts, exchange);
  if ('type' in admitted) {
    finish(parts, exchange, undefined, admitted);
    return;
  }
  const timer = parts.clock.setTimer(admitted.endMs - parts.clock.nowMs(), () =>
    expire(parts, admitted),
  );
  try {
    const outcome = yield* SERVERS[admitted.route.kind](parts, admitted);
    finish(parts, exchange, admitted, outcome);
  } finally {
    timer.cancel();
    if (exchange.isLeft) record(parts, exchange, admitted, {type: 'left'});
    returnUnusedQuota(parts, admitted);
  }
}

/** Ends a request whose time is over. The answer is sent at once; its attempt ends with it. */
function expire(parts: RelayParts, request: AdmittedRequest): void {
  const {exchange, progress} = request;
  if (exchange.isOver) return;
  const refusal = progress.mayHaveRun ? 'deadlineExceeded' : 'notRunInTime';
  if (exchange.hasStarted) finish(parts, exchange, request, {type: 'brokenOff'});
  else finish(parts, exchange, request, {type: 'refused', refusal});
  exchange.abandon();
}

function returnUnusedQuota(parts: RelayParts, request: AdmittedRequest): void {
  const {team, meta, progress, route} = request;
  if (!team?.limit) return;
  // A stream runs from its first event; a call may run from its sending.
  const hasRun = route.kind === 'streaming' ? progress.hasCountedUsage : progress.mayHaveRun;
  if (hasRun) return;
  parts.quota.refund(team, requestCost(team.limit, meta));
}

/** Checks configuration, route, key and rate. */
function* admit(parts: RelayParts, exchange: ClientExchange): Procedure<AdmittedRequest | Refused> {
  const {config} = parts.configView;
  const now = readInstant(parts.clock);
  if (!config) return refuse('configNotFresh');
  if (parts.isTooLateToServe()) return refuse('stopping');
  const isFresh = isConfigFresh(parts.configView, now, parts.revokeMs);
  const meta = parts.codec.readRequest(exchange.headers);
  if ('malformed' in meta) return refuse('malformed');
  // What an old configuration doesn't know may have been added since.
  const route = findRoute(config, exchange.host, exchange.target);
  if (!route) return refuse(isFresh ? 'routeUnknown' : 'configNotFresh');
  const team = findTeam(config, route, meta);
  if (team !== 'anonymous' && !isFresh) return refuse('configNotFresh');
  if (team === 'unknown') return refuse('keyUnknown');
  const service = chooseService(route, parts.random);
  if (!service || !config.services.has(service)) return refuse('noTarget');
  parts.demand.record(service, meta.promptTokens ?? 0, parts.clock.nowMs());
  const granted = yield* takeRate(parts, team, meta);
  if (granted) return granted;
  return {
    exchange,
    meta,
    route,
    service,
    team: team === 'anonymous' ? undefined : team,
    urgency: team === 'anonymous' ? route.priority : (team.priority ?? route.priority),
    endMs: findEndMs(exchange, route, meta),
    progress: {
      attempts: 0,
      mayHaveRun: false,
      hasCountedUsage: false,
      firstEventMs: undefined,
      steps: [],
      placements: [],
    },
  };
}

function refuse(refusal: RefusalName): Refused {
  return {type: 'refused', refusal};
}

function findTeam(
  config: RelayConfig,
  route: Route,
  meta: RequestMeta,
): Team | 'anonymous' | 'unknown' {
  if (config.teams.size === 0 || route.allowsAnonymous) return 'anonymous';
  const id = meta.apiKey === undefined ? undefined : config.teamsByKey.get(meta.apiKey);
  return (id && config.teams.get(id)) || 'unknown';
}

function* takeRate(
  parts: RelayParts,
  team: Team | 'anonymous',
  meta: RequestMeta,
): Procedure<Refused | undefined> {
  if (team === 'anonymous' || !team.limit) return undefined;
  const cost = requestCost(team.limit, meta);
  const answer = yield* call(() => parts.quota.take(team, cost));
  if (answer.granted) return undefined;
  const inputs = {team: team.id, cost, limit: team.limit.costPerSecond};
  return {type: 'refused', refusal: 'rateExceeded', retryAfterMs: answer.retryAfterMs, inputs};
}

function findEndMs(exchange: ClientExchange, route: Route, meta: RequestMeta): number {
  const startMs = exchange.receivedAt.monotonicMs;
  const deadlineMs = (meta.deadlineMs ?? Infinity) - TRANSIT_MS;
  return startMs + Math.min(deadlineMs, route.timeoutMs);
}

/** Sends the final answer and writes the request's log line. */
function finish(
  parts: RelayParts,
  exchange: ClientExchange,
  request: AdmittedRequest | undefined,
  outcome: ServeOutcome | Refused,
): void {
  if (!exchange.isOver) FINISHERS[outcome.type](parts, exchange, outcome as never);
  record(parts, exchange, request, outcome);
}

/** Sends the final answer, by type of outcome. */
const FINISHERS = {
  answered: (
    parts: RelayParts,
    exchange: ClientExchange,
    outcome: Extract<ServeOutcome, {type: 'answered'}>,
  ) => {
    const headers = parts.codec.writeClientHeaders(outcome.headers);
    exchange.respond(outcome.status, headers, outcome.body);
  },
  streamed: () => undefined,
  brokenOff: (_parts: RelayParts, exchange: ClientExchange) => exchange.breakOff(),
  refused: (
    _parts: RelayParts,
    exchange: ClientExchange,
    outcome: Extract<ServeOutcome, {type: 'refused'}>,
  ) => {
    const {status, headers, body} = writeRefusal(outcome.refusal, outcome.retryAfterMs);
    exchange.respond(status, headers, body);
  },
};

function record(
  parts: RelayParts,
  exchange: ClientExchange,
  request: AdmittedRequest | undefined,
  outcome: ServeOutcome | Refused | {readonly type: 'left'},
): void {
  const meta = request?.meta ?? parts.codec.readRequest(exchange.headers);
  const route = request?.route.name ?? 'none';
  const result = outcome.type === 'refused' ? outcome.refusal : outcome.type;
  const durationMs = exchange.ageMs();
  parts.metrics.count('requests_total', `route="${route}",result="${result}"`);
  parts.metrics.observeMs('request_ms', `route="${route}"`, durationMs);
  if (request?.team) {
    parts.metrics.observeMs('team_request_ms', `team="${request.team.id}"`, durationMs);
  }
  const event = outcome.type === 'refused' ? 'requestRefused' : 'requestFinished';
  parts.log.write(event, {
    request: 'requestId' in meta ? meta.requestId : undefined,
    route,
    team: request?.team?.id,
    result,
    status: outcome.type === 'answered' ? outcome.status : undefined,
    retryAfterMs: outcome.type === 'refused' ? outcome.retryAfterMs : undefined,
    durationMs: Math.round(durationMs),
    configVersion: parts.configView.config?.version,
    configAgeMs: Math.round(configAgeMs(parts.configView, readInstant(parts.clock))),
    firstEventMs: request?.progress.firstEventMs,
    promptTokens: request?.meta.promptTokens,
    steps: request?.progress.steps,
    placements: request?.progress.placements,
    ...('inputs' in outcome && outcome.inputs),
  });
}
