import {FailureDomain, RequestId, TargetId, TeamId, toId} from '@radishgw/core';
import {
  AnswerMeta,
  PromptPart,
  PromptPartId,
  RawHeaders,
  RelayConfig,
  Route,
  RouteName,
  ServiceName,
  TargetEntry,
} from '../src/index.js';
import {RequestFingerprint, RunIdentity} from '../src/targets/run-identity.js';

export const ENGINES = toId<ServiceName>('engines');
export const TEAM = toId<TeamId>('team');

/** Reads only the id of a request, in a simplified format. */
export function readAnswer(headers: RawHeaders): AnswerMeta {
  const index = headers.findIndex((text, i) => i % 2 === 0 && text.toLowerCase() === 'request-id');
  return {
    requestId: index < 0 ? undefined : headers[index + 1],
    seal: undefined,
    notRun: false,
    load: undefined,
    isLeaving: false,
    retryAfterMs: undefined,
    malformedRetryAfter: undefined,
  };
}

/** Identity of a request that is alike for all requests with the same body. */
export function makeIdentity(
  requestId: RequestId,
  parts: readonly string[],
  body = String(requestId),
): RunIdentity {
  const sharedParts = parts.map(part => toId<PromptPartId>(part));
  const content = {
    team: TEAM,
    method: 'POST',
    host: 'host.example',
    path: '/a/x',
    body: Buffer.from(body),
    sharedParts,
  };
  return {requestId, sharedParts, fingerprint: new RequestFingerprint(content)};
}

export function makeEntry(id: string, fields: Partial<TargetEntry> = {}): TargetEntry {
  return {
    id: toId<TargetId>(id),
    bornMs: 1,
    service: ENGINES,
    address: '127.0.0.1:1',
    failureDomain: toId<FailureDomain>('domain-a'),
    slots: 64,
    isDraining: false,
    stage: 'decode',
    isCheap: false,
    ...fields,
  };
}

export function makeRoute(fields: Partial<Route> = {}): Route {
  return {
    name: toId<RouteName>('route'),
    host: 'host.example',
    pathPrefix: '/a/',
    kind: 'safe',
    timeoutMs: 1000,
    objectiveMs: 300,
    maxAttempts: 2,
    priority: 1,
    allowsAnonymous: false,
    mayResume: false,
    maxGapMs: 0,
    shares: [{service: ENGINES, weight: 1}],
    ...fields,
  };
}

export function makeConfig(version: number, routes: readonly Route[] = []): RelayConfig {
  return {
    version,
    routes,
    services: new Map(),
    teams: new Map(),
    teamsByKey: new Map(),
    clientLimits: {headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1},
  };
}

export function makeParts(...parts: readonly (readonly [string, number])[]): PromptPart[] {
  return parts.map(([id, tokens]) => ({id: toId<PromptPartId>(id), tokens}));
}
