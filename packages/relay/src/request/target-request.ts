import {AdmittedRequest, RelayDependencies} from './request-context.js';
import {CacheSource, ServiceName} from '../model.js';
import {nextColdMs} from '../targets/target-access.js';
import {AnswerReader, Standby} from '../targets/target-answer.js';
import {OutgoingRequest} from '../targets/target-connections.js';
import {PooledAttempt, PooledTarget} from '../targets/target-pool.js';
import {TargetState} from '../targets/target-state.js';

/** Fields that differ between the attempts of one request. */
export interface AttemptFields {
  readonly prefillOnly?: boolean;
  readonly cacheSource?: CacheSource;
  /** Target that has that cache. */
  readonly cacheTarget?: TargetState;
  readonly lastEventId?: string;
}

/** Sends a request to a target; records the age of the list of targets by which it is sent. */
export function sendToTarget(
  deps: RelayDependencies,
  request: AdmittedRequest,
  target: PooledTarget,
  outgoing: OutgoingRequest,
  mayRepeat: boolean,
): PooledAttempt {
  const listAgeMs = deps.targets.listAgeMs();
  request.progress.calls.push({
    target: target.entry.id,
    atMs: Math.round(request.exchange.ageMs()),
    listAgeMs: Math.round(listAgeMs),
  });
  deps.metrics.observeMs('target_list_age_ms', `route="${request.route.name}"`, listAgeMs);
  recordWithheld(deps, request.service);
  return deps.targets.send(target, outgoing, mayRepeat);
}

/** Counts a request that is kept from cold targets, as this host may send them no more now. */
export function recordWithheld({targets, clock, metrics}: RelayDependencies, service: ServiceName) {
  const nowMs = clock.nowMs();
  if (nextColdMs(targets.forService(service), nowMs) === undefined) return;
  metrics.count('cold_withheld_total', `service="${service}"`);
}

/** Returns what is needed to read an answer to a request. */
export function createAnswerReader(
  {clock}: RelayDependencies,
  {buffer}: AdmittedRequest,
  standby?: Standby,
): AnswerReader {
  return {clock, buffer, standby};
}

/** Creates the request that is sent to a target. */
export function writeTargetRequest(
  deps: RelayDependencies,
  request: AdmittedRequest,
  target: PooledTarget,
  fields: AttemptFields = {},
): OutgoingRequest {
  const {exchange, meta, team} = request;
  return {
    identity: {id: meta.requestId, connections: request.connections},
    method: exchange.method,
    path: exchange.path,
    body: exchange.body,
    cacheTarget: fields.cacheTarget,
    homeRegions: request.homeRegions,
    headers: deps.codec.writeTargetHeaders(exchange.headers, {
      expectedTarget: target.entry.id,
      deadlineMs: Math.max(1, Math.floor(request.deadlineAtMs - deps.clock.nowMs())),
      team: team?.id,
      urgency: request.urgency,
      prefillOnly: fields.prefillOnly ?? false,
      cacheSource: fields.cacheSource,
      lastEventId: fields.lastEventId ?? meta.lastEventId,
    }),
  };
}
