import {isDeepStrictEqual} from 'node:util';
import {Ok, Result} from '@radishgw/core';
import {Platform, PlatformError, Revision} from '@radishgw/coordination';
import {DeploymentFile, toBaseConfig} from './deployment-file.js';
import {SCHEMA_VERSION, TeamConfig} from './schema.js';
import {BASE_KEY, CONFIG_PREFIX, TEAM_PREFIX, teamKey} from './store.js';

/** A write of one object, conditional on the revision that was read. */
export interface PlannedChange {
  readonly key: string;
  readonly kind: 'create' | 'update' | 'remove';
  readonly ifRevision: Revision;
  readonly before: unknown;
  readonly after: unknown;
}

/** Returns the changes that bring the configuration stored in the platform in line with a file. */
export async function planChanges(
  platform: Platform,
  file: DeploymentFile,
): Promise<Result<PlannedChange[], PlatformError>> {
  const listed = await platform.list(CONFIG_PREFIX);
  if (listed.err) return listed;
  const storedObjects = new Map(
    listed.val.objects.map(object => [
      object.key,
      {revision: object.revision, value: JSON.parse(object.value) as unknown},
    ]),
  );
  const desired = new Map<string, unknown>([[BASE_KEY, toBaseConfig(file)]]);
  for (const team of file.teams) {
    const key = teamKey(team.teamId);
    const stored = storedObjects.get(key)?.value as TeamConfig | undefined;
    desired.set(key, {schemaVersion: SCHEMA_VERSION, ...team, keys: stored?.keys ?? []});
  }
  const changes: PlannedChange[] = [];
  for (const [key, after] of desired) {
    const stored = storedObjects.get(key);
    // The JSON round trip drops undefined fields, as storing the object does.
    const normalized = JSON.parse(JSON.stringify(after)) as unknown;
    if (stored && isDeepStrictEqual(stored.value, normalized)) continue;
    changes.push({
      key,
      kind: stored ? 'update' : 'create',
      ifRevision: stored?.revision ?? 0,
      before: stored?.value,
      after: normalized,
    });
  }
  for (const [key, stored] of storedObjects) {
    if (!key.startsWith(TEAM_PREFIX) || desired.has(key)) continue;
    changes.push({
      key,
      kind: 'remove',
      ifRevision: stored.revision,
      before: stored.value,
      after: undefined,
    });
  }
  return Ok(changes);
}

/** A field whose value differs between two JSON values. */
export interface FieldDifference {
  readonly path: string;
  readonly before: unknown;
  readonly after: unknown;
}

/** Compares two JSON values field by field; list items are compared by position. */
export function listDifferences(before: unknown, after: unknown, path = ''): FieldDifference[] {
  if (isDeepStrictEqual(before, after)) return [];
  if (!isContainer(before) || !isContainer(after)) return [{path, before, after}];
  const names = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...names].flatMap(name =>
    listDifferences(before[name], after[name], path ? `${path}.${name}` : name),
  );
}

function isContainer(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}
