import {userInfo} from 'node:os';
import {HttpPlatform} from '@radishgw/coordination';
import yargs, {Argv} from 'yargs';
import {Command, CommandArgs} from './command.js';
import {CONFIGURATION_COMMANDS} from './commands/configuration.js';
import {KEY_COMMANDS} from './commands/keys.js';
import {DRAIN_COMMANDS, OPERATION_COMMANDS} from './commands/operations.js';
import {CommandError, EXIT_CODES} from './errors.js';
import {Output, OutputFormat} from './output.js';

const DEFAULT_PLATFORM_TIMEOUT_MS = 5000;

/** Description and subcommands of each command group. */
const COMMAND_GROUPS: Readonly<Record<string, readonly [string, readonly Command[]]>> = {
  key: ['Issues and withdraws keys', KEY_COMMANDS],
  drain: ['Takes hosts and targets out of service', DRAIN_COMMANDS],
};

async function runCommand(command: Command, args: CommandArgs): Promise<void> {
  const baseUrl = args['platform-url'] as string | undefined;
  if (!baseUrl && command.usage.split(' ')[0] !== 'validate') {
    throw new CommandError('usage', 'setting --platform-url (RADISHCTL_PLATFORM_URL) is missing');
  }
  const platform = new HttpPlatform({
    baseUrl: baseUrl ?? 'http://127.0.0.1:0',
    callTimeoutMs: Number(args['platform-timeout-ms']),
  });
  try {
    const output = new Output(args.output as OutputFormat);
    await command.run({platform, output, operator: String(args.operator)}, args);
  } finally {
    await platform.close();
  }
}

function addCommands(parser: Argv, commands: readonly Command[]): Argv {
  for (const command of commands) {
    parser.command(
      command.usage,
      command.description,
      builder => builder.options(command.options ?? {}),
      args => runCommand(command, args as CommandArgs),
    );
  }
  return parser;
}

/** Runs one command line and returns the exit code. */
export async function runProgram(argv: readonly string[]): Promise<number> {
  const parser = yargs([...argv])
    .scriptName('radishctl')
    .usage('$0 <command> [flags]\n\nEach flag can also be given as RADISHCTL_<FLAG>.')
    .env('RADISHCTL')
    .options({
      'platform-url': {type: 'string', describe: 'Base URL of the platform'},
      'platform-timeout-ms': {
        type: 'number',
        default: DEFAULT_PLATFORM_TIMEOUT_MS,
        describe: 'Timeout of a platform call',
      },
      output: {choices: ['table', 'json'], default: 'table', describe: 'Output format'},
      operator: {
        type: 'string',
        default: userInfo().username,
        describe: 'Operator name recorded with changes',
      },
    })
    .demandCommand(1, 'expected a command')
    .strict()
    .version('0.1.0')
    .exitProcess(false)
    .fail((message, error) => {
      throw error ?? new CommandError('usage', message);
    });
  addCommands(parser, [...CONFIGURATION_COMMANDS, ...OPERATION_COMMANDS]);
  for (const [group, [description, commands]] of Object.entries(COMMAND_GROUPS)) {
    parser.command(group, description, builder =>
      addCommands(builder, commands).demandCommand(1, `expected a command after "${group}"`),
    );
  }
  try {
    await parser.parseAsync();
    return EXIT_CODES.ok;
  } catch (error) {
    process.stderr.write(`radishctl: ${(error as Error).message}\n`);
    return EXIT_CODES[error instanceof CommandError ? error.exitName : 'usage'];
  }
}
