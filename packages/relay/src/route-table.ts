import {RandomSource} from '@radishgw/core';
import {RelayConfig, Route, ServiceName} from './model.js';

/** The host name of a `Host` header, in lower case and without a port. */
export function readHostName(hostHeader: string): string {
  return hostHeader.toLowerCase().replace(/:\d+$/, '');
}

/** Finds the route of a host name with the longest path prefix that matches the path. */
export function findRoute(
  config: RelayConfig,
  hostHeader: string,
  target: string,
): Route | undefined {
  const host = readHostName(hostHeader);
  const path = target.split('?', 1)[0];
  let best: Route | undefined;
  for (const route of config.routes) {
    if (route.host !== host || !path.startsWith(route.pathPrefix)) continue;
    if (!best || route.pathPrefix.length > best.pathPrefix.length) best = route;
  }
  return best;
}

/** Chooses the service of a request at random by the weights of the route's shares. */
export function chooseService(route: Route, random: RandomSource): ServiceName | undefined {
  const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
  let point = random.next() * total;
  for (const share of route.shares) {
    point -= share.weight;
    if (point < 0) return share.service;
  }
  return route.shares.at(-1)?.service;
}
