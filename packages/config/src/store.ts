import {assertInvariant, Err, KeyId, Ok, Result, TargetId, TeamId, toId} from '@radishgw/core';
import {ObjectList, PlatformEvent, Revision} from '@radishgw/coordination';
import {z} from 'zod';
import {
  BaseConfig,
  baseConfigSchema,
  KeyRecord,
  ModelConfig,
  RouteConfig,
  TargetConfig,
  TeamConfig,
  teamConfigSchema,
  TeamParameters,
  Template,
} from './schema.js';

export const CONFIG_PREFIX = 'config/';
export const BASE_KEY = 'config/base';
export const TEAM_PREFIX = 'config/teams/';

/** Key of a team's object in the platform. */
export function teamKey(teamId: string): string {
  return TEAM_PREFIX + teamId;
}

/** A team with its template applied. */
export interface Team {
  readonly teamId: TeamId;
  readonly template: string;
  readonly parameters: TeamParameters;
  readonly keys: readonly KeyRecord[];
  /** Revision of the team's object. */
  readonly revision: Revision;
  /** Highest revision that the parameters come from: the team's object or the templates. */
  readonly parametersRevision: Revision;
}

const PARAMETER_DEFAULTS: TeamParameters = {
  models: [],
  routes: [],
  tokensPerSecond: 1,
  burstTokens: 1,
  classRules: [],
  maxInFlight: 256,
};

/** Parameters of a team: its own over its template's over the defaults. */
export function resolveParameters(team: TeamConfig, template: Template | undefined) {
  return {...PARAMETER_DEFAULTS, ...template?.parameters, ...team.parameters};
}

/** An object that couldn't be applied. */
export interface ConfigError {
  readonly key: string;
  readonly revision: Revision;
  readonly message: string;
}

/**
 * The configuration in force at this host, by object. Revisions of each object only rise: a change
 * with a lower revision than the one applied is ignored, also after a removal.
 */
export class ConfigStore {
  private readonly revisions = new Map<string, Revision>();
  private readonly tombstones = new Set<string>();
  private readonly rejected = new Map<string, ConfigError>();
  private readonly withdrawnDigests = new Set<string>();
  private readonly teamConfigs = new Map<string, TeamConfig>();
  private readonly teamRevisions = new Map<string, Revision>();
  private readonly teams = new Map<TeamId, Team>();
  private readonly teamByKey = new Map<KeyId, TeamId>();
  private readonly templates = new Map<string, Template>();
  private readonly models = new Map<string, ModelConfig>();
  private readonly targets = new Map<TargetId, TargetConfig>();
  private readonly targetsByPool = new Map<string, TargetConfig[]>();
  private base: BaseConfig | undefined;
  private baseRevision: Revision = 0;
  private complete: Revision = 0;
  private highest: Revision = 0;

  /** Revision of the platform's store up to which all changes have been applied here. */
  get completeRevision(): Revision {
    return this.complete;
  }

  /** Highest revision of a configuration object that was applied here. */
  get configRevision(): Revision {
    return this.highest;
  }

  /** Applies one change. An invalid object leaves the one in force as it is. */
  applyEvent(event: PlatformEvent): Result<boolean, ConfigError> {
    const current = this.revisions.get(event.key) ?? 0;
    if (event.revision <= current) return Ok(false);
    const outcome = this.applyObject(event);
    this.advance(event);
    if (outcome.err) this.rejected.set(event.key, outcome.val);
    else this.rejected.delete(event.key);
    return outcome;
  }

  /**
   * Refuses a key at once, ahead of the change that removes it from its team. The digest tells the
   * key from a later one with the same id.
   */
  withdrawKey(keyId: KeyId, digestHex: string): void {
    this.withdrawnDigests.add(digestHex);
    const team = this.findTeamByKey(keyId);
    if (team?.keys.some(key => key.digestHex === digestHex)) this.teamByKey.delete(keyId);
  }

  /** Objects whose newest revision couldn't be applied; an older one is in force. */
  listRejected(): ConfigError[] {
    return [...this.rejected.values()];
  }

  /** Applies a list of all objects; objects that it lacks have been removed. Gives the errors. */
  applySnapshot(list: ObjectList): ConfigError[] {
    if (list.revision < this.complete) return [];
    const present = new Set(list.objects.map(object => object.key));
    const removed = [...this.revisions.keys()]
      .filter(key => !present.has(key) && !this.tombstones.has(key))
      .map(key => ({key, value: '', revision: list.revision, removed: true}));
    const events = [...list.objects.map(object => ({...object, removed: false})), ...removed];
    const errors = events.flatMap(event => {
      const outcome = this.applyEvent(event);
      return outcome.err ? [outcome.val] : [];
    });
    this.confirmRevision(list.revision);
    return errors;
  }

  /** Records that everything up to `revision` has been applied. */
  confirmRevision(revision: Revision): void {
    assertInvariant(
      Number.isFinite(revision),
      'config.revision',
      () => `revision ${revision} is not a number`,
    );
    this.complete = Math.max(this.complete, revision);
  }

  /** Objects in force with their revisions, for diffs and for hosts that subscribe to this one. */
  getRevisions(): ReadonlyMap<string, Revision> {
    return this.revisions;
  }

  findTeam(teamId: TeamId): Team | undefined {
    return this.teams.get(teamId);
  }

  findTeamByKey(keyId: KeyId): Team | undefined {
    const teamId = this.teamByKey.get(keyId);
    return teamId === undefined ? undefined : this.teams.get(teamId);
  }

  findModel(model: string): ModelConfig | undefined {
    return this.models.get(model);
  }

  findTarget(targetId: TargetId): TargetConfig | undefined {
    return this.targets.get(targetId);
  }

  getTargets(pool: string): readonly TargetConfig[] {
    return this.targetsByPool.get(pool) ?? [];
  }

  getBase(): BaseConfig | undefined {
    return this.base;
  }

  getRoutes(): readonly RouteConfig[] {
    return this.base?.routes ?? [];
  }

  listTeams(): Iterable<Team> {
    return this.teams.values();
  }

  private advance(event: PlatformEvent): void {
    const current = this.revisions.get(event.key) ?? 0;
    assertInvariant(
      event.revision > current,
      'config.neverReverts',
      () => `${event.key} went from revision ${current} to ${event.revision}`,
    );
    this.revisions.set(event.key, event.revision);
    this.highest = Math.max(this.highest, event.revision);
    if (event.removed) this.tombstones.add(event.key);
    else this.tombstones.delete(event.key);
  }

  private applyObject(event: PlatformEvent): Result<boolean, ConfigError> {
    if (event.key === BASE_KEY) return this.applyBase(event);
    if (event.key.startsWith(TEAM_PREFIX)) return this.applyTeam(event);
    return Ok(false);
  }

  private applyBase(event: PlatformEvent): Result<boolean, ConfigError> {
    if (event.removed) return Err(describeError(event, 'config/base must not be removed'));
    const parsed = parseValue(event.value, baseConfigSchema);
    if (parsed.err) return Err(describeError(event, parsed.val));
    this.base = parsed.val;
    this.baseRevision = event.revision;
    replaceAll(this.templates, parsed.val.templates, template => template.templateId);
    replaceAll(this.models, parsed.val.models, model => model.model);
    replaceAll(this.targets, parsed.val.targets, target => toId<TargetId>(target.targetId));
    this.targetsByPool.clear();
    for (const target of parsed.val.targets) {
      const pool = this.targetsByPool.get(target.pool);
      if (pool) pool.push(target);
      else this.targetsByPool.set(target.pool, [target]);
    }
    for (const team of this.teamConfigs.values()) this.indexTeam(team);
    return Ok(true);
  }

  private applyTeam(event: PlatformEvent): Result<boolean, ConfigError> {
    const teamId = event.key.slice(TEAM_PREFIX.length);
    if (event.removed) {
      this.dropTeam(teamId);
      return Ok(true);
    }
    const parsed = parseValue(event.value, teamConfigSchema);
    if (parsed.err) return Err(describeError(event, parsed.val));
    if (parsed.val.teamId !== teamId) {
      return Err(describeError(event, `teamId: expected "${teamId}", got "${parsed.val.teamId}"`));
    }
    this.dropTeam(teamId);
    this.teamConfigs.set(teamId, parsed.val);
    this.teamRevisions.set(teamId, event.revision);
    this.indexTeam(parsed.val);
    return Ok(true);
  }

  private indexTeam(config: TeamConfig): void {
    const teamId = toId<TeamId>(config.teamId);
    const revision = this.teamRevisions.get(teamId) ?? 0;
    this.teams.set(teamId, {
      teamId,
      template: config.template,
      parameters: resolveParameters(config, this.templates.get(config.template)),
      keys: config.keys,
      revision,
      parametersRevision: Math.max(revision, this.baseRevision),
    });
    for (const key of config.keys) {
      if (this.withdrawnDigests.has(key.digestHex)) continue;
      this.teamByKey.set(toId<KeyId>(key.keyId), teamId);
    }
  }

  private dropTeam(teamId: string): void {
    const id = toId<TeamId>(teamId);
    for (const key of this.teamConfigs.get(teamId)?.keys ?? []) {
      const keyId = toId<KeyId>(key.keyId);
      if (this.teamByKey.get(keyId) === id) this.teamByKey.delete(keyId);
    }
    this.teamConfigs.delete(teamId);
    this.teams.delete(id);
  }
}

function parseValue<T>(value: string, schema: z.ZodType<T>): Result<T, string> {
  let json: unknown;
  try {
    json = JSON.parse(value);
  } catch (error) {
    return Err(`not JSON: ${(error as Error).message}`);
  }
  const parsed = schema.safeParse(json);
  return parsed.success ? Ok(parsed.data) : Err(formatIssues(parsed.error));
}

/** One line with the path and the expected value of each issue. */
export function formatIssues(error: z.ZodError): string {
  return error.issues
    .map(issue => `${issue.path.join('.') || '(root)'}: ${issue.message}`)
    .join('; ');
}

function describeError(event: PlatformEvent, message: string): ConfigError {
  return {key: event.key, revision: event.revision, message};
}

function replaceAll<K, V>(map: Map<K, V>, values: readonly V[], getKey: (value: V) => K): void {
  map.clear();
  for (const value of values) map.set(getKey(value), value);
}
