import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';

/** What the command line asks for. */
export interface CommandLine {
  readonly settingsPath: string;
  /** Check the settings file and stop. */
  readonly checksOnly: boolean;
}

/** Parses the command line of the deployed program; prints help and stops if that is asked for. */
export function parseCommandLine(argv: readonly string[], defaultPath: string): CommandLine {
  const args = yargs(hideBin([...argv]))
    .scriptName('radishgw')
    .usage('$0 [flags]\n\nEntry host.')
    .option('settings', {
      type: 'string',
      default: defaultPath,
      description: 'Settings file; RADISHGW_SETTINGS names it otherwise',
    })
    .option('check', {
      type: 'boolean',
      default: false,
      description: 'Check the settings file and stop',
    })
    .strict()
    .parseSync();
  return {settingsPath: args.settings, checksOnly: args.check};
}
