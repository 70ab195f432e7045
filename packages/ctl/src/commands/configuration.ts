import {readFile} from 'node:fs/promises';
import {
  CONFIG_PREFIX,
  DeploymentFile,
  formatIssue,
  listDifferences,
  parseDeploymentFile,
  planChanges,
  teamKey,
} from '@radishgw/config';
import {AppliedChange, applyChanges, HISTORY_PREFIX, waitUntilInForce} from '../changes.js';
import {Command, CommandArgs, CommandContext} from '../command.js';
import {CommandError} from '../errors.js';
import {unwrapResult} from '../platform-errors.js';

/** Flags of all commands that change the configuration. */
export const WAIT_OPTIONS = {
  wait: {
    type: 'boolean',
    default: false,
    describe: 'Wait until every host reports that the change is in force',
  },
  'wait-timeout-ms': {type: 'number', default: 30_000, describe: 'Timeout of --wait'},
} as const;

async function readDeploymentFile(file: string): Promise<DeploymentFile> {
  const text = await readFile(file, 'utf8').catch(error => {
    throw new CommandError('usage', `${file}: ${(error as Error).message}`);
  });
  const parsed = parseDeploymentFile(file, text);
  if (parsed.ok) return parsed.val;
  throw new CommandError('failed', parsed.val.map(formatIssue).join('\n'));
}

/** Waits until the changes are in force on all hosts if `--wait` is given. */
export async function waitIfRequested(
  context: CommandContext,
  args: CommandArgs,
  applied: readonly AppliedChange[],
): Promise<void> {
  if (!args.wait || applied.length === 0) return;
  const states = await waitUntilInForce(context, applied, Number(args['wait-timeout-ms']));
  process.stderr.write(`in force on ${states.length} hosts\n`);
}

/** Waits if `--wait` is given, then writes the applied changes. */
export async function waitAndWriteChanges(
  context: CommandContext,
  args: CommandArgs,
  applied: readonly AppliedChange[],
): Promise<void> {
  await waitIfRequested(context, args, applied);
  context.output.writeRows(applied, ['key', 'kind', 'revision']);
}

const validate: Command = {
  usage: 'validate <file>',
  description: 'Checks a configuration file',
  run: async (context, args) => {
    const file = await readDeploymentFile(String(args.file));
    context.output.writeObject({
      valid: true,
      models: file.models.length,
      routes: file.routes.length,
      targets: file.targets.length,
      teams: file.teams.length,
    });
  },
};

const apply: Command = {
  usage: 'apply <file>',
  description: 'Makes the configuration match a file; keys of teams are kept',
  options: WAIT_OPTIONS,
  run: async (context, args) => {
    const file = await readDeploymentFile(String(args.file));
    const changes = unwrapResult(await planChanges(context.platform, file), 'read configuration');
    await waitAndWriteChanges(context, args, await applyChanges(context, changes));
  },
};

const diff: Command = {
  usage: 'diff <file>',
  description: 'Shows what apply would change',
  run: async (context, args) => {
    const file = await readDeploymentFile(String(args.file));
    const changes = unwrapResult(await planChanges(context.platform, file), 'read configuration');
    const rows = changes.flatMap(change =>
      listDifferences(change.before, change.after).map(difference => ({
        key: change.key,
        ...difference,
      })),
    );
    context.output.writeRows(rows, ['key', 'path', 'before', 'after']);
  },
};

const get: Command = {
  usage: 'get [key]',
  description: 'Lists configuration objects, or shows one of them',
  run: async (context, args) => {
    const key = args.key as string | undefined;
    if (key) {
      const object = unwrapResult(await context.platform.get(key), `get ${key}`);
      const value = JSON.parse(object.value) as unknown;
      context.output.writeObject({key, revision: object.revision, value});
      return;
    }
    const list = unwrapResult(await context.platform.list(CONFIG_PREFIX), 'list');
    const rows = list.objects.map(({key: name, revision, value}) => ({
      key: name,
      revision,
      sizeBytes: Buffer.byteLength(value),
    }));
    context.output.writeRows(rows, ['key', 'revision', 'sizeBytes']);
  },
};

const history: Command = {
  usage: 'history',
  description: 'Shows who changed the configuration and when, newest first',
  options: {limit: {type: 'number', default: 20, describe: 'Maximum number of changes'}},
  run: async (context, args) => {
    const list = unwrapResult(await context.platform.list(HISTORY_PREFIX), 'list history');
    const records = [...list.objects]
      .sort((a, b) => b.revision - a.revision)
      .slice(0, Number(args.limit))
      .map(object => JSON.parse(object.value) as Record<string, unknown>);
    context.output.writeRows(records, ['at', 'operator', 'changes']);
  },
};

const team: Command = {
  usage: 'team [teamId]',
  description: 'Lists teams, or shows one of them',
  run: async (context, args) => {
    const teamId = args.teamId as string | undefined;
    if (teamId) {
      const object = unwrapResult(await context.platform.get(teamKey(teamId)), `team ${teamId}`);
      context.output.writeObject(JSON.parse(object.value) as Record<string, unknown>);
      return;
    }
    const list = unwrapResult(await context.platform.list(teamKey('')), 'list teams');
    const rows = list.objects.map(object => {
      const value = JSON.parse(object.value) as Record<string, unknown>;
      return {...value, keys: (value.keys as unknown[]).length};
    });
    context.output.writeRows(rows, ['teamId', 'template', 'parameters', 'keys']);
  },
};

export const CONFIGURATION_COMMANDS: readonly Command[] = [
  validate,
  apply,
  diff,
  get,
  history,
  team,
];
