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

/** Returns the object key under which a team is stored in the platform. */
export function teamKey(teamId: string): string {
  return TEAM_PREFIX + teamId;
}

/** A team with its parameters resolved from its template. */
export interface Team {
  readonly teamId: TeamId;
  readonly template: string;
  readonly parameters: TeamParameters;
  readonly keys: readonly KeyRecord[];
  /** Revision of the team's configuration object. */
  readonly revision: Revision;
  /** Higher of the revisions of the team's object and of `config/base`, which has the templates. */
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

/** Merges a team's parameters: its own take precedence over its template's, then the defaults. */
export function resolveParameters(team: TeamConfig, template: Template | undefined) {
  return {...PARAMETER_DEFAULTS, ...template?.parameters, ...team.parameters};
}

/** An object that was rejected because it is invalid. */
export interface ConfigError {
  readonly key: string;
  readonly revision: Revision;
  readonly message: string;
}

/**
 * The configuration in force on this host. The revision of each object only increases: a change is
 * ignored unless its revision is above the last one seen, also if that one removed the object.
 */
export class ConfigStore {
  private readonly revisions = new Map<string, Revision>();
  private readonly tombstones = new Set<string>();
  private readonly rejectedObjects = new Map<string, ConfigError>();
  private readonly withdrawnKeyDigests = new Set<string>();
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
  private lastCompleteRevision: Revision = 0;
  private highestRevision: Revision = 0;

  /** Revision of the platform's store up to which this host has applied all changes. */
  get completeRevision(): Revision {
    return this.lastCompleteRevision;
  }

  /** Highest revision of any configuration object received by this host. */
  get configRevision(): Revision {
    return this.highestRevision;
  }

  /**
   * Applies one change. An invalid object is rejected and the previous one stays in force. Returns
   * whether the configuration changed.
   */
  applyEvent(event: PlatformEvent): Result<boolean, ConfigError> {
    const current = this.revisions.get(event.key) ?? 0;
    if (event.revision <= current) return Ok(false);
    const outcome = this.applyObject(event);
    this.recordRevision(event);
    if (outcome.err) this.rejectedObjects.set(event.key, outcome.val);
    else this.rejectedObjects.delete(event.key);
    return outcome;
  }

  /**
   * Rejects a key immediately, before the change that removes it from its team arrives. The digest
   * distinguishes the key from a later one with the same id.
   */
  withdrawKey(keyId: KeyId, digestHex: string): void {
    this.withdrawnKeyDigests.add(digestHex);
    const team = this.findTeamByKey(keyId);
    if (team?.keys.some(key => key.digestHex === digestHex)) this.teamByKey.delete(keyId);
  }

  /** Errors of objects whose newest revision was rejected; an older one, if any, stays in force. */
  listRejected(): ConfigError[] {
    return [...this.rejectedObjects.values()];
  }

  /**
   * Applies a full list of objects; known objects that it doesn't contain are removed. Returns the
   * errors of rejected objects.
   */
  applySnapshot(list: ObjectList): ConfigError[] {
    if (list.revision < this.lastCompleteRevision) return [];
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

  /** Records that all changes up to `revision` have been applied. */
  confirmRevision(revision: Revision): void {
    assertInvariant(
      Number.isFinite(revision),
      'config.revision',
      () => `expected a finite revision, got ${revision}`,
    );
    this.lastCompleteRevision = Math.max(this.lastCompleteRevision, revision);
  }

  /**
   * Newest revision seen of each object, including rejected and removed objects, for diffs and for
   * hosts that subscribe to this one.
   */
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

  private recordRevision(event: PlatformEvent): void {
    const current = this.revisions.get(event.key) ?? 0;
    assertInvariant(
      event.revision > current,
      'config.neverReverts',
      () => `${event.key}: expected a revision above ${current}, got ${event.revision}`,
    );
    this.revisions.set(event.key, event.revision);
    this.highestRevision = Math.max(this.highestRevision, event.revision);
    if (event.removed) this.tombstones.add(event.key);
    else this.tombstones.delete(event.key);
  }

  private applyObject(event: PlatformEvent): Result<boolean, ConfigError> {
    if (event.key === BASE_KEY) return this.applyBase(event);
    if (event.key.startsWith(TEAM_PREFIX)) return this.applyTeam(event);
    return Ok(false);
  }

  private applyBase(event: PlatformEvent): Result<boolean, ConfigError> {
    if (event.removed) return Err(toConfigError(event, 'config/base must not be removed'));
    const parsed = parseAndValidate(event.value, baseConfigSchema);
    if (parsed.err) return Err(toConfigError(event, parsed.val));
    this.base = parsed.val;
    this.baseRevision = event.revision;
    replaceEntries(this.templates, parsed.val.templates, template => template.templateId);
    replaceEntries(this.models, parsed.val.models, model => model.model);
    replaceEntries(this.targets, parsed.val.targets, target => toId<TargetId>(target.targetId));
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
      this.removeTeam(teamId);
      return Ok(true);
    }
    const parsed = parseAndValidate(event.value, teamConfigSchema);
    if (parsed.err) return Err(toConfigError(event, parsed.val));
    if (parsed.val.teamId !== teamId) {
      return Err(toConfigError(event, `teamId: expected "${teamId}", got "${parsed.val.teamId}"`));
    }
    this.removeTeam(teamId);
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
      if (this.withdrawnKeyDigests.has(key.digestHex)) continue;
      this.teamByKey.set(toId<KeyId>(key.keyId), teamId);
    }
  }

  private removeTeam(teamId: string): void {
    const id = toId<TeamId>(teamId);
    for (const key of this.teamConfigs.get(teamId)?.keys ?? []) {
      const keyId = toId<KeyId>(key.keyId);
      if (this.teamByKey.get(keyId) === id) this.teamByKey.delete(keyId);
    }
    this.teamConfigs.delete(teamId);
    this.teams.delete(id);
  }
}

function parseAndValidate<T>(value: string, schema: z.ZodType<T>): Result<T, string> {
  let json: unknown;
  try {
    json = JSON.parse(value);
  } catch (error) {
    return Err(`invalid JSON: ${(error as Error).message}`);
  }
  const parsed = schema.safeParse(json);
  return parsed.success ? Ok(parsed.data) : Err(formatIssues(parsed.error));
}

/** Formats validation issues as a single line with the path and message of each. */
export function formatIssues(error: z.ZodError): string {
  return error.issues
    .map(issue => `${issue.path.join('.') || '(root)'}: ${issue.message}`)
    .join('; ');
}

function toConfigError(event: PlatformEvent, message: string): ConfigError {
  return {key: event.key, revision: event.revision, message};
}

function replaceEntries<K, V>(map: Map<K, V>, values: readonly V[], getKey: (value: V) => K): void {
  map.clear();
  for (const value of values) map.set(getKey(value), value);
}
