import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';

/** Options of the command line. */
export interface CommandLine {
  readonly settingsPath: string;
  /** Whether to check the settings file and exit. */
  readonly checksOnly: boolean;
}

/** Parses the command line of the program; prints help and exits if it is requested. */
export function parseCommandLine(argv: readonly string[], defaultPath: string): CommandLine {
  const args = yargs(hideBin([...argv]))
    .scriptName('radishgw')
    .usage('$0 [flags]\n\nEntry host.')
    .option('settings', {
      type: 'string',
      default: defaultPath,
      description: 'Path of the settings file; overrides RADISHGW_SETTINGS',
    })
    .option('check', {
      type: 'boolean',
      default: false,
      description: 'Check the settings file and exit',
    })
    .strict()
    .parseSync();
  return {settingsPath: args.settings, checksOnly: args.check};
}
