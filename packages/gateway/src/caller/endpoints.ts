import {ServerResponse} from 'node:http';
import {ConfigStore, RouteConfig} from '@radishgw/config';
import {Procedure} from '@radishgw/core';
import {authenticate, Caller} from '../request/authenticate.js';
import {ModelRequestPath} from '../request/body.js';
import {RequestContext} from '../request/context.js';
import {Refusal} from '../request/refusal.js';
import {ModelServices, serveModel} from '../request/serve-model.js';
import {RouteServices, serveRoute} from '../request/serve-route.js';
import {InFlightLimiter} from './in-flight-limiter.js';

/** Dependencies of the endpoints. */
export interface EndpointServices extends ModelServices, RouteServices {
  readonly config: ConfigStore;
  /** Throws a refusal if the configuration is too stale to authenticate keys. */
  checkFreshness(): void;
  /** Returns the hosts that a caller should use, in order of preference. */
  listEntryHosts(caller: Caller): EntryResponse;
}

/** Response of `GET /v1/entry`. */
export interface EntryResponse {
  /** Base URLs in the order in which to try them. */
  readonly hosts: readonly string[];
  /** Time for which the response may be cached, in milliseconds. */
  readonly maxAgeMs: number;
}

/** Serves one request. */
export type Endpoint = (
  services: EndpointServices,
  inFlight: InFlightLimiter,
  context: RequestContext,
) => Procedure<void>;

/** Endpoints that every host serves, by method and path. */
export const FIXED_ENDPOINTS: readonly {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly endpoint: Endpoint;
}[] = [
  {
    method: 'POST',
    path: '/v1/chat/completions',
    endpoint: createModelEndpoint('/v1/chat/completions'),
  },
  {method: 'POST', path: '/v1/completions', endpoint: createModelEndpoint('/v1/completions')},
  {method: 'GET', path: '/v1/models', endpoint: listModels},
  {method: 'GET', path: '/v1/entry', endpoint: listEntries},
];

/** Creates the endpoint of a configured service route. */
export function createRouteEndpoint(route: RouteConfig): Endpoint {
  return function* (services, inFlight, context) {
    if (route.access === 'open') {
      yield* serveRoute(services, context, route, undefined, undefined);
      return;
    }
    const caller = admit(services, inFlight, context);
    yield* serveRoute(services, context, route, caller.team, caller.secretHex);
  };
}

/** Creates an endpoint that refuses every request. */
export function createRefusingEndpoint(createRefusal: (path: string) => Refusal): Endpoint {
  // eslint-disable-next-line require-yield
  return function* (_services, _inFlight, context) {
    throw createRefusal(`${context.request.method} ${context.request.url?.split('?')[0]}`);
  };
}

function admit(
  services: EndpointServices,
  inFlight: InFlightLimiter,
  context: RequestContext,
): Caller {
  services.checkFreshness();
  const caller = authenticate(services.config, context.request.headers);
  inFlight.acquireTeam(caller.team);
  context.team = caller.team;
  return caller;
}

function createModelEndpoint(path: ModelRequestPath): Endpoint {
  return function* (services, inFlight, context) {
    const {team, secretHex} = admit(services, inFlight, context);
    yield* serveModel(services, context, team, secretHex, path);
  };
}

// eslint-disable-next-line require-yield
function* listModels(
  services: EndpointServices,
  inFlight: InFlightLimiter,
  context: RequestContext,
): Procedure<void> {
  const {team} = admit(services, inFlight, context);
  const data = team.parameters.models
    .filter(model => services.config.findModel(model))
    .map(id => ({id, object: 'model', created: 0, owned_by: 'radishgw'}));
  sendJson(context.response, {object: 'list', data});
}

// eslint-disable-next-line require-yield
function* listEntries(
  services: EndpointServices,
  inFlight: InFlightLimiter,
  context: RequestContext,
): Procedure<void> {
  const caller = admit(services, inFlight, context);
  const entry = services.listEntryHosts(caller);
  sendJson(context.response, {hosts: entry.hosts, max_age_ms: entry.maxAgeMs});
}

function sendJson(response: ServerResponse, body: unknown): void {
  const text = JSON.stringify(body);
  response.writeHead(200, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
