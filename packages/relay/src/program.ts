import {statSync} from 'node:fs';
import {
  Clock,
  createBoundedWriter,
  createEventLog,
  createSystemRandom,
  destroyClientSockets,
  EventLog,
  RadishError,
  SystemClock,
} from '@radishgw/core';
import type {CommandLine} from './command-line.js';
import {RelayHost, RelayHostOptions} from './relay-host.js';
import {RelaySettings} from './settings.js';

/** Platform-specific parts of the program: its settings file and its connections. */
export interface PlatformBinding<Settings extends {readonly relay: RelaySettings}> {
  /** Path of the settings file unless the command line specifies another. */
  readonly settingsPath: string;
  /** Reads the settings file; throws a `RadishError` that names an invalid field. */
  readSettings(path: string): Settings;
  connect(
    settings: Settings,
    log: EventLog,
  ): Pick<RelayHostOptions, 'store' | 'source' | 'duties' | 'codec' | 'entryCodec'>;
}

/** Index of the first argument in `process.argv`, after the executable and the script. */
const ARGV_START = 2;

/** Allows about ten log lines per request at the usual load of a host. */
const MAX_LOG_LINES_PER_SECOND = 200;

/** Keeps room for requests that are lost at a time when many lines are written. */
const RESERVED_LOG_LINES_PER_SECOND = 50;

/** Interval of polling, which detects settings changes that aren't announced by a signal. */
const SETTINGS_CHECK_INTERVAL_MS = 2000;

/** Runs an entry host until it is stopped by a signal. */
export async function runProgram<Settings extends {readonly relay: RelaySettings}>(
  binding: PlatformBinding<Settings>,
): Promise<void> {
  try {
    await startProgram(binding);
  } catch (error) {
    const detail = error instanceof RadishError ? error.message : (error as Error).stack;
    process.stderr.write(`${detail ?? String(error)}\n`);
    process.exit(1);
  }
}

async function startProgram<Settings extends {readonly relay: RelaySettings}>(
  binding: PlatformBinding<Settings>,
): Promise<void> {
  const clock = new SystemClock();
  const log = createLog(clock);
  const {settingsPath: path, checksOnly} = await readCommandLine(binding.settingsPath);
  const settings = binding.readSettings(path);
  if (checksOnly) {
    process.stdout.write(`${path}: settings of ${settings.relay.hostId} are valid\n`);
    return;
  }
  const host = new RelayHost({
    settings: settings.relay,
    clock,
    random: createSystemRandom(),
    log,
    ...binding.connect(settings, log),
  });
  const rereadSettings = () => binding.readSettings(path).relay;
  process.on('SIGHUP', watchSettings(path, rereadSettings, clock, log));
  process.on('exit', destroyClientSockets);
  process.on('SIGTERM', () => void host.stop().then(() => process.exit(0)));
  await host.start();
  // A fault in one task, such as one caused by odd data, must not end the others.
  for (const event of ['uncaughtException', 'unhandledRejection'] as const) {
    process.on(event, (error: unknown) =>
      log.write('invariantViolated', {detail: String((error as Error).stack ?? error)}),
    );
  }
}

function createLog(clock: Clock): EventLog {
  return createEventLog({
    format: 'json',
    minLevel: 'info',
    writeLine: createBoundedWriter({
      maxLinesPerSecond: MAX_LOG_LINES_PER_SECOND,
      reservedLinesPerSecond: RESERVED_LOG_LINES_PER_SECOND,
      nowMs: () => clock.nowMs(),
      write: line => process.stdout.write(line),
      isBlocked: () => process.stdout.writableNeedDrain,
    }),
  });
}

/** Loads the parser only if there are arguments, which is rare on hosts. */
async function readCommandLine(settingsPath: string): Promise<CommandLine> {
  if (process.argv.length <= ARGV_START) return {settingsPath, checksOnly: false};
  const {parseCommandLine} = await import('./command-line.js');
  return parseCommandLine(process.argv, settingsPath);
}

/**
 * Polls the settings file for changes and logs whether they are valid; addresses and limits take
 * effect at the next start. Returns a function to be called when a signal announces a change.
 */
export function watchSettings(
  path: string,
  readSettings: () => RelaySettings,
  clock: Clock,
  log: EventLog,
): () => void {
  let modifiedMs = statSync(path).mtimeMs;
  const reload = (cause: string) => {
    try {
      modifiedMs = statSync(path).mtimeMs;
      log.write('settingsReloaded', {cause, host: readSettings().hostId});
    } catch (error) {
      log.write('settingInvalid', {cause, detail: String(error)});
    }
  };
  const check = () => {
    clock.setTimer(SETTINGS_CHECK_INTERVAL_MS, check);
    try {
      if (statSync(path).mtimeMs !== modifiedMs) reload('file changed');
    } catch (error) {
      log.write('settingInvalid', {cause: 'check', detail: String(error)});
    }
  };
  check();
  return () => reload('signal');
}
