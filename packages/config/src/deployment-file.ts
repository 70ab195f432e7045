import {Err, Ok, Result} from '@radishgw/core';
import {LineCounter, parseDocument} from 'yaml';
import {z} from 'zod';
import {
  BaseConfig,
  modelSchema,
  parametersSchema,
  routeSchema,
  SCHEMA_VERSION,
  targetSchema,
  teamConfigSchema,
  templateSchema,
} from './schema.js';

/** A team in a deployment file. Keys are issued and withdrawn by command, so files have none. */
const fileTeamSchema = teamConfigSchema.omit({schemaVersion: true, keys: true});
export type FileTeam = z.infer<typeof fileTeamSchema>;

/** A complete configuration in YAML, as written by operators. */
export const deploymentFileSchema = z.strictObject({
  schemaVersion: z.literal(SCHEMA_VERSION),
  templates: z.array(templateSchema),
  models: z.array(modelSchema),
  routes: z.array(routeSchema).default([]),
  targets: z.array(targetSchema),
  teams: z.array(fileTeamSchema),
});
export type DeploymentFile = z.infer<typeof deploymentFileSchema>;

/** A validation error with its position in the file. */
export interface FileIssue {
  readonly file: string;
  readonly line: number | undefined;
  /** Dotted path, such as `teams.0.parameters.tokensPerSecond`. */
  readonly path: string;
  readonly message: string;
}

/** Formats an issue as a single line for terminal output. */
export function formatIssue(issue: FileIssue): string {
  const place = issue.line === undefined ? issue.file : `${issue.file}:${issue.line}`;
  return `${place}: ${issue.path}: ${issue.message}`;
}

/** Parses a file and validates its syntax, its schema and then the references between objects. */
export function parseDeploymentFile(
  file: string,
  text: string,
): Result<DeploymentFile, FileIssue[]> {
  const lineCounter = new LineCounter();
  const document = parseDocument(text, {lineCounter});
  if (document.errors.length > 0) {
    return Err(
      document.errors.map(error => ({
        file,
        line: error.linePos?.[0].line,
        path: '(syntax)',
        message: error.message.split('\n')[0],
      })),
    );
  }
  const toIssue = (path: readonly PropertyKey[], message: string): FileIssue => {
    const node = document.getIn(path, true) as {range?: [number]} | undefined;
    const offset = node?.range?.[0];
    const line = offset === undefined ? undefined : lineCounter.linePos(offset).line;
    return {file, line, path: path.map(String).join('.') || '(root)', message};
  };
  const parsed = deploymentFileSchema.safeParse(document.toJS());
  if (!parsed.success) {
    return Err(parsed.error.issues.map(issue => toIssue(issue.path, issue.message)));
  }
  const issues = findConsistencyIssues(parsed.data).map(([path, message]) =>
    toIssue(path, message),
  );
  return issues.length > 0 ? Err(issues) : Ok(parsed.data);
}

type ConsistencyIssue = [path: (string | number)[], message: string];

function findConsistencyIssues(config: DeploymentFile): ConsistencyIssue[] {
  const issues: ConsistencyIssue[] = [];
  const templateIds = new Set(config.templates.map(template => template.templateId));
  const modelNames = new Set(config.models.map(model => model.model));
  const routeIds = new Set(config.routes.map(route => route.routeId));
  const enginePools = getPoolNames(config, 'engine');
  const servicePools = getPoolNames(config, 'service');
  const checkReference = (
    known: Set<string>,
    kind: string,
    value: string,
    path: (string | number)[],
  ) => {
    if (!known.has(value)) issues.push([path, `expected the name of a ${kind}, got "${value}"`]);
  };
  config.models.forEach((model, i) => {
    checkReference(enginePools, 'pool of engines', model.pool, ['models', i, 'pool']);
  });
  config.routes.forEach((route, i) => {
    checkReference(servicePools, 'pool of services', route.pool, ['routes', i, 'pool']);
  });
  const checkParameters = (
    parameters: Partial<z.infer<typeof parametersSchema>>,
    path: (string | number)[],
  ) => {
    parameters.models?.forEach((name, j) =>
      checkReference(modelNames, 'model', name, [...path, 'models', j]),
    );
    parameters.routes?.forEach((name, j) =>
      checkReference(routeIds, 'route', name, [...path, 'routes', j]),
    );
  };
  config.templates.forEach((template, i) => {
    checkParameters(template.parameters, ['templates', i, 'parameters']);
  });
  config.teams.forEach((team, i) => {
    checkReference(templateIds, 'template', team.template, ['teams', i, 'template']);
    checkParameters(team.parameters, ['teams', i, 'parameters']);
  });
  issues.push(...findDuplicateIds(config));
  return issues;
}

function getPoolNames(config: DeploymentFile, kind: 'engine' | 'service'): Set<string> {
  return new Set(config.targets.filter(target => target.kind === kind).map(target => target.pool));
}

function findDuplicateIds(config: DeploymentFile): ConsistencyIssue[] {
  const lists: [string, string, string[]][] = [
    ['templates', 'templateId', config.templates.map(entry => entry.templateId)],
    ['models', 'model', config.models.map(entry => entry.model)],
    ['routes', 'routeId', config.routes.map(entry => entry.routeId)],
    ['targets', 'targetId', config.targets.map(entry => entry.targetId)],
    ['teams', 'teamId', config.teams.map(entry => entry.teamId)],
  ];
  return lists.flatMap(([list, field, names]) =>
    names.flatMap((name, i): ConsistencyIssue[] =>
      names.indexOf(name) < i ? [[[list, i, field], `duplicate name "${name}"`]] : [],
    ),
  );
}

/** Returns the part of a deployment file that is stored as `config/base`. */
export function toBaseConfig(file: DeploymentFile): BaseConfig {
  const {schemaVersion, templates, models, routes, targets} = file;
  return {schemaVersion, templates, models, routes, targets};
}
