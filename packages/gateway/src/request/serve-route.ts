import {RouteConfig, Team} from '@radishgw/config';
import {
  AttemptId,
  call,
  Clock,
  EventLog,
  Procedure,
  RandomSource,
  TargetId,
  toId,
} from '@radishgw/core';
import {Dispatcher as HttpDispatcher} from 'undici';
import {describeCause} from '../target-faults.js';
import {readBody} from './body.js';
import {parseIdempotencyKey} from './caller-headers.js';
import {RequestContext} from './context.js';
import {filterRequestHeaders, refuseKeyInText, sanitizePath} from './headers.js';
import {Claim, IdempotencyClaims, StoredResponse} from './idempotency.js';
import {AttemptOutcome, Dispatcher, DispatchRequest, RequestLimiter} from './ports.js';
import {Refusal} from './refusal.js';
import {selectWorkClass} from './serve-model.js';
import {OutgoingCall, sendCall, sendOnNewConnection, ServiceError} from './service-attempt.js';

/** Dependencies of {@link serveRoute}. */
export interface RouteServices {
  readonly clock: Clock;
  readonly limiter: RequestLimiter;
  readonly dispatcher: Dispatcher;
  readonly http: HttpDispatcher;
  readonly log: EventLog;
  readonly random: RandomSource;
  readonly claims: IdempotencyClaims;
  readonly maxBodyBytes: number;
  readonly progressTimeoutMs: number;
  /** Records a call that may have been run, for usage reports. */
  recordCall(context: RequestContext): void;
}

const ATTEMPT_ID_BYTES = 12;
/**
 * Multiple of the progress timeout after which a first attempt without response headers is aborted;
 * a service may take longer to respond than an engine takes between events.
 */
const HEADERS_TIMEOUT_FACTOR = 5;

/** Forwards a call to a service target. */
export function* serveRoute(
  services: RouteServices,
  context: RequestContext,
  route: RouteConfig,
  team: Team | undefined,
  secretHex: string | undefined,
): Procedure<void> {
  context.resource = route.routeId;
  if (team && !team.parameters.routes.includes(route.routeId)) {
    throw new Refusal('modelNotAllowed', `team "${team.teamId}" may not use this route`);
  }
  if (team) {
    context.workClass = selectWorkClass(team.parameters.classRules, context, {
      route: route.routeId,
    });
  }
  const {headers, url} = context.request;
  const idempotencyKey = parseIdempotencyKey(headers);
  const path = sanitizePath(url ?? '/', secretHex);
  const body = yield* call(() => readBody(context, services.maxBodyBytes));
  // Latin-1 maps each byte to one character, which is sufficient for the search.
  refuseKeyInText(body.toString('latin1'), secretHex, 'request body');
  const outgoing = {
    method: route.method,
    path,
    headers: filterRequestHeaders(headers, secretHex),
    body,
  };
  if (route.idempotent || idempotencyKey === undefined) {
    yield* chargeAndSend(services, context, route, team, outgoing, false);
    return;
  }
  // The call continues if the caller disconnects, so that a retry can get the response.
  context.continuesAfterDisconnect = true;
  const request = {teamId: team?.teamId, idempotencyKey, ...outgoing};
  const outcome = yield* services.claims.claim(request);
  if (outcome.kind === 'replay') replay(context, outcome.response);
  else yield* sendClaimed(services, context, route, team, outgoing, outcome.claim);
}

type CallContent = Pick<OutgoingCall, 'method' | 'path' | 'headers' | 'body'>;

/** Runs a claimed call and records its outcome, even if the procedure is cancelled. */
function* sendClaimed(
  services: RouteServices,
  context: RequestContext,
  route: RouteConfig,
  team: Team | undefined,
  outgoing: CallContent,
  claim: Claim,
): Procedure<void> {
  const {claims} = services;
  let recorded = false;
  try {
    const response = yield* chargeAndSend(services, context, route, team, outgoing, true);
    recorded = true;
    if (response) claims.store(claim, response);
    else claims.markOutcomeUnknown(claim);
  } catch (error) {
    recorded = true;
    if (context.mayHaveRun) claims.markOutcomeUnknown(claim);
    else yield* call(() => claims.release(claim));
    throw error;
  } finally {
    if (!recorded && context.mayHaveRun) claims.markOutcomeUnknown(claim);
    else if (!recorded) claims.release(claim).catch(() => undefined);
  }
}

function replay(context: RequestContext, stored: StoredResponse): void {
  context.response.writeHead(stored.statusCode, {
    ...stored.headers,
    'x-radishgw-idempotent-replay': 'true',
  });
  context.response.end(Buffer.from(stored.bodyBase64 ?? '', 'base64'));
}

function* chargeAndSend(
  services: RouteServices,
  context: RequestContext,
  route: RouteConfig,
  team: Team | undefined,
  outgoing: CallContent,
  keepCopy: boolean,
): Procedure<StoredResponse | undefined> {
  const charge = team
    ? yield* services.limiter.acquire(team, route.costTokens, context.deadlineMs)
    : undefined;
  try {
    return yield* sendWithRetries(services, context, route, team, outgoing, keepCopy);
  } finally {
    // The team isn't charged for a call that wasn't run.
    charge?.settle(context.mayHaveRun ? route.costTokens : 0);
    if (context.mayHaveRun) services.recordCall(context);
  }
}

function* sendWithRetries(
  services: RouteServices,
  context: RequestContext,
  route: RouteConfig,
  team: Team | undefined,
  outgoing: CallContent,
  keepCopy: boolean,
): Procedure<StoredResponse | undefined> {
  const excluded = new Set<string>();
  const dispatchRequest: DispatchRequest = {
    requestId: context.requestId,
    pool: route.pool,
    team,
    workClass: context.workClass,
    costTokens: route.costTokens,
    promptTokens: 0,
    blocks: [],
    repeatable: route.idempotent,
    deadlineMs: context.deadlineMs,
    excluded,
  };
  // A call that wasn't run may go to another target and doesn't count against the retry budget.
  const mayRetry = (error: ServiceError) =>
    !error.mayHaveRun ||
    (route.idempotent && services.dispatcher.allowRetry(dispatchRequest, context.attempts));
  for (;;) {
    const dispatch = yield* services.dispatcher.acquire(dispatchRequest);
    const {target} = dispatch;
    context.targetId = toId<TargetId>(target.targetId);
    const isFirstAttempt = context.attempts++ === 0;
    const headersTimeoutMs = services.progressTimeoutMs * HEADERS_TIMEOUT_FACTOR;
    const attempt: OutgoingCall = {
      ...outgoing,
      clock: services.clock,
      attemptId: toId<AttemptId>(services.random.nextHex(ATTEMPT_ID_BYTES)),
      connectTimeoutMs: services.progressTimeoutMs,
      // Only the first attempt of an idempotent call has a timeout, so that a retry of a call that
      // is merely slow can still succeed.
      headersTimeoutMs: route.idempotent && isFirstAttempt ? headersTimeoutMs : undefined,
      keepCopy,
    };
    let outcome: AttemptOutcome = 'cancelled';
    try {
      const response = yield* call(() =>
        route.idempotent
          ? sendCall(services.http, context, target.url, attempt)
          : sendOnNewConnection(context, target.url, attempt),
      );
      outcome = 'succeeded';
      return response;
    } catch (error) {
      if (!(error instanceof ServiceError)) throw error;
      outcome = 'failed';
      excluded.add(target.targetId);
      services.log.write('attemptFailed', {
        requestId: context.requestId,
        targetId: target.targetId,
        detail: error.message,
        cause: describeCause(error),
      });
      if (context.response.headersSent || !mayRetry(error)) {
        const name = error.mayHaveRun ? 'outcomeUnknown' : 'targetFailed';
        throw new Refusal(name, `target failed: ${error.message}`);
      }
    } finally {
      dispatch.release(outcome);
    }
  }
}
