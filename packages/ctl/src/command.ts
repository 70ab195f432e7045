import {Platform} from '@radishgw/coordination';
import {Output} from './output.js';

/** What every command gets. */
export interface CommandContext {
  readonly platform: Platform;
  readonly output: Output;
  /** Name recorded with changes. */
  readonly operator: string;
}

/** Values of flags and arguments, as yargs gives them. */
export type CommandArgs = Readonly<Record<string, unknown>>;

/** One command of radishctl. */
export interface Command {
  /** Words and arguments in the notation of yargs. */
  readonly usage: string;
  readonly description: string;
  readonly options?: Readonly<Record<string, import('yargs').Options>>;
  run(context: CommandContext, args: CommandArgs): Promise<void>;
}
