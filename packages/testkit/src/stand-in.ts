import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {EngineServer} from './engine/engine-server.js';
import {startPlatformServer} from './platform/platform-server.js';
import {startServiceServer} from './service/service-server.js';

interface StandInOptions {
  readonly port: number;
  readonly models: string[];
  readonly decodeMsPerToken: number;
  readonly checksFencing: boolean;
}

/** Starts each kind of stand-in and gives its URL. */
const STAND_INS: Readonly<Record<string, (options: StandInOptions) => Promise<string>>> = {
  platform: async ({port}) => (await startPlatformServer(port)).url,
  service: async ({port}) => (await startServiceServer(port)).url,
  engine: async ({port, ...behaviour}) =>
    (await new EngineServer(behaviour).start(port)).listening.url,
};

const args = await yargs(hideBin(process.argv))
  .usage('$0 <kind>', 'Starts a stand-in on the loopback interface', builder =>
    builder.positional('kind', {choices: Object.keys(STAND_INS), demandOption: true}),
  )
  .option('port', {type: 'number', default: 0})
  .option('models', {type: 'string', array: true, default: [] as string[]})
  .option('decode-ms-per-token', {type: 'number', default: 2})
  .option('checks-fencing', {type: 'boolean', default: true})
  .strict()
  .parse();

const url = await STAND_INS[args.kind as string](args);
process.stdout.write(JSON.stringify({ready: true, url}) + '\n');
process.once('SIGTERM', () => process.exit(0));
process.once('SIGINT', () => process.exit(0));
