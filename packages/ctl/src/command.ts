import {Platform} from '@radishgw/coordination';
import {Output} from './output.js';

/** Dependencies of every command. */
export interface CommandContext {
  readonly platform: Platform;
  readonly output: Output;
  /** Operator name that the history records with each change. */
  readonly operator: string;
}

/** Values of flags and positional arguments, as parsed by yargs. */
export type CommandArgs = Readonly<Record<string, unknown>>;

/** A command of radishctl. */
export interface Command {
  /** Command words and positional arguments in yargs syntax. */
  readonly usage: string;
  readonly description: string;
  readonly options?: Readonly<Record<string, import('yargs').Options>>;
  run(context: CommandContext, args: CommandArgs): Promise<void>;
}
