import {TeamId, toId} from '@radishgw/core';
import {RelayConfig, Route, Service, ServiceName, Team} from '../model.js';

/** Key and value of a part of a configuration; the key is unique among the parts. */
export type ConfigPart = readonly [string, unknown];

/** Fields of a configuration that don't grow with the number of routes, services and teams. */
type ConfigHeader = Pick<RelayConfig, 'version' | 'clientLimits'>;

/** Separates the kind of a part from its name. */
const SEPARATOR = ':';

const HEADER_KEY = 'header';

/** Parts of a configuration while it is put together. */
interface ConfigDraft {
  header: ConfigHeader | undefined;
  readonly routes: Route[];
  readonly services: Map<ServiceName, Service>;
  readonly teams: Map<TeamId, Team>;
  readonly teamsByKey: Map<string, TeamId>;
}

/** Adds a part to a draft, by kind of part. */
const PART_HANDLERS: Readonly<
  Record<string, (draft: ConfigDraft, name: string, value: unknown) => void>
> = {
  [HEADER_KEY]: (draft, _name, value) => (draft.header = value as ConfigHeader),
  route: ({routes}, _name, value) => routes.push(value as Route),
  service: ({services}, name, value) => services.set(toId<ServiceName>(name), value as Service),
  team: ({teams}, name, value) => teams.set(toId<TeamId>(name), value as Team),
  key: ({teamsByKey}, name, value) => teamsByKey.set(name, value as TeamId),
};

/** Splits a configuration into parts, most of which stay the same from version to version. */
export function splitConfig(config: RelayConfig): ConfigPart[] {
  const {version, clientLimits, routes, services, teams, teamsByKey} = config;
  const header: ConfigHeader = {version, clientLimits};
  const names = makeUnique(routes.map(route => route.name));
  const key = (kind: string, name: string) => kind + SEPARATOR + name;
  return [
    [HEADER_KEY, header],
    ...routes.map((route, i) => [key('route', names[i]), route] as const),
    ...[...services].map(([name, service]) => [key('service', name), service] as const),
    ...[...teams].map(([id, team]) => [key('team', id), team] as const),
    ...[...teamsByKey].map(([apiKey, team]) => [key('key', apiKey), team] as const),
  ];
}

/** Appends a number to each name that occurs again. */
function makeUnique(names: readonly string[]): string[] {
  const counts = new Map<string, number>();
  return names.map(name => {
    const count = (counts.get(name) ?? 0) + 1;
    counts.set(name, count);
    return count === 1 ? name : `${name}${SEPARATOR}${count}`;
  });
}

/** Puts a configuration together; undefined if its header is missing. */
export function joinConfig(parts: Iterable<ConfigPart>): RelayConfig | undefined {
  const draft: ConfigDraft = {
    header: undefined,
    routes: [],
    services: new Map(),
    teams: new Map(),
    teamsByKey: new Map(),
  };
  for (const [key, value] of parts) {
    const end = key.indexOf(SEPARATOR);
    const kind = end < 0 ? key : key.slice(0, end);
    PART_HANDLERS[kind]?.(draft, key.slice(end + 1), value);
  }
  const {header, ...lists} = draft;
  return header && {...header, ...lists};
}
