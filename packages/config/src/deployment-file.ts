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

/** A team in a file; keys are issued and withdrawn by command and never stand in files. */
const fileTeamSchema = teamConfigSchema.omit({schemaVersion: true, keys: true});
export type FileTeam = z.infer<typeof fileTeamSchema>;

/** A whole configuration as operators write it, in YAML. */
export const deploymentFileSchema = z.strictObject({
  schemaVersion: z.literal(SCHEMA_VERSION),
  templates: z.array(templateSchema),
  models: z.array(modelSchema),
  routes: z.array(routeSchema).default([]),
  targets: z.array(targetSchema),
  teams: z.array(fileTeamSchema),
});
export type DeploymentFile = z.infer<typeof deploymentFileSchema>;

/** A fault in a file: where it is and what was expected there. */
export interface FileIssue {
  readonly file: string;
  readonly line: number | undefined;
  /** Dotted path, such as `teams.0.parameters.tokensPerSecond`. */
  readonly path: string;
  readonly message: string;
}

/** One line for people. */
export function formatIssue(issue: FileIssue): string {
  const place = issue.line === undefined ? issue.file : `${issue.file}:${issue.line}`;
  return `${place}: ${issue.path}: ${issue.message}`;
}

/** Parses and checks a file: syntax, schema, then references between its parts. */
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
  const issues = findBrokenReferences(parsed.data).map(([path, message]) => toIssue(path, message));
  return issues.length > 0 ? Err(issues) : Ok(parsed.data);
}

type BrokenReference = [path: (string | number)[], message: string];

function findBrokenReferences(config: DeploymentFile): BrokenReference[] {
  const found: BrokenReference[] = [];
  const templates = new Set(config.templates.map(template => template.templateId));
  const models = new Set(config.models.map(model => model.model));
  const routes = new Set(config.routes.map(route => route.routeId));
  const enginePools = listPools(config, 'engine');
  const servicePools = listPools(config, 'service');
  const check = (known: Set<string>, kind: string, value: string, path: (string | number)[]) => {
    if (!known.has(value)) found.push([path, `expected the name of a ${kind}, got "${value}"`]);
  };
  config.models.forEach((model, i) => {
    check(enginePools, 'pool of engines', model.pool, ['models', i, 'pool']);
  });
  config.routes.forEach((route, i) => {
    check(servicePools, 'pool of services', route.pool, ['routes', i, 'pool']);
  });
  const checkParameters = (
    parameters: Partial<z.infer<typeof parametersSchema>>,
    path: (string | number)[],
  ) => {
    parameters.models?.forEach((name, j) => check(models, 'model', name, [...path, 'models', j]));
    parameters.routes?.forEach((name, j) => check(routes, 'route', name, [...path, 'routes', j]));
  };
  config.templates.forEach((template, i) => {
    checkParameters(template.parameters, ['templates', i, 'parameters']);
  });
  config.teams.forEach((team, i) => {
    check(templates, 'template', team.template, ['teams', i, 'template']);
    checkParameters(team.parameters, ['teams', i, 'parameters']);
  });
  found.push(...findDuplicates(config));
  return found;
}

function listPools(config: DeploymentFile, kind: 'engine' | 'service'): Set<string> {
  return new Set(config.targets.filter(target => target.kind === kind).map(target => target.pool));
}

function findDuplicates(config: DeploymentFile): BrokenReference[] {
  const lists: [string, string, string[]][] = [
    ['templates', 'templateId', config.templates.map(entry => entry.templateId)],
    ['models', 'model', config.models.map(entry => entry.model)],
    ['routes', 'routeId', config.routes.map(entry => entry.routeId)],
    ['targets', 'targetId', config.targets.map(entry => entry.targetId)],
    ['teams', 'teamId', config.teams.map(entry => entry.teamId)],
  ];
  return lists.flatMap(([list, field, names]) =>
    names.flatMap((name, i): BrokenReference[] =>
      names.indexOf(name) < i ? [[[list, i, field], `"${name}" is used twice`]] : [],
    ),
  );
}

/** The part of a file that is stored as `config/base`. */
export function toBaseConfig(file: DeploymentFile): BaseConfig {
  const {schemaVersion, templates, models, routes, targets} = file;
  return {schemaVersion, templates, models, routes, targets};
}
