import {FailureDomain} from '@radishgw/core';
import {Region, RelayConfig, Route, Team} from './model.js';

/** Region by failure domain. */
export type RegionTable = ReadonlyMap<FailureDomain, Region>;

/**
 * Regions whose targets may serve a request; undefined if all may. If both its route and its team
 * have home regions, only those of both count, which may be none.
 */
export function findHomeRegions(
  route: Pick<Route, 'homeRegions'>,
  team: Pick<Team, 'homeRegions'> | undefined,
): ReadonlySet<Region> | undefined {
  const regions = route.homeRegions;
  const teamRegions = team?.homeRegions;
  if (!regions || !teamRegions) return asSet(regions ?? teamRegions);
  return new Set(regions.filter(region => teamRegions.includes(region)));
}

function asSet(regions: readonly Region[] | undefined): ReadonlySet<Region> | undefined {
  return regions && new Set(regions);
}

/** Whether targets of a failure domain may serve a request with these home regions. */
export function isAtHome(
  table: RegionTable,
  domain: FailureDomain,
  homeRegions: ReadonlySet<Region> | undefined,
): boolean {
  if (!homeRegions) return true;
  const region = table.get(domain);
  return region !== undefined && homeRegions.has(region);
}

/** Whether a route or a team has home regions. */
export function usesHomeRegions({routes, teams}: RelayConfig): boolean {
  const owners = [...routes, ...teams.values()];
  return owners.some(({homeRegions}) => homeRegions !== undefined);
}

/** Home regions of a route or a team of which some aren't in the table of regions. */
export interface UnknownRegions {
  /** Kind and name of the route or team. */
  readonly owner: string;
  readonly regions: readonly Region[];
}

/** Finds home regions that no failure domain belongs to. */
export function findUnknownRegions(
  {routes, teams}: RelayConfig,
  table: RegionTable,
): readonly UnknownRegions[] {
  const known = new Set(table.values());
  const owners: readonly (readonly [string, readonly Region[] | undefined])[] = [
    ...routes.map(({name, homeRegions}) => [`route ${name}`, homeRegions] as const),
    ...[...teams.values()].map(({id, homeRegions}) => [`team ${id}`, homeRegions] as const),
  ];
  return owners
    .map(([owner, regions = []]) => ({owner, regions: regions.filter(name => !known.has(name))}))
    .filter(({regions}) => regions.length > 0);
}
