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

interface StandIn {
  readonly url: string;
  stop(timeoutMs: number): Promise<void>;
}

/** Start functions by kind of stand-in. */
const STARTERS: Readonly<Record<string, (options: StandInOptions) => Promise<StandIn>>> = {
  platform: ({port}) => startPlatformServer(port),
  service: ({port}) => startServiceServer(port),
  engine: ({port, models, decodeMsPerToken, checksFencing}) =>
    new EngineServer({models, decodeMsPerToken, checksFencing}).start(port),
};

const args = await yargs(hideBin(process.argv))
  .usage('$0 <kind>', 'Starts a stand-in on the loopback interface', builder =>
    builder.positional('kind', {choices: Object.keys(STARTERS), demandOption: true}),
  )
  .option('port', {type: 'number', default: 0})
  .option('models', {type: 'string', array: true, default: [] as string[]})
  .option('decode-ms-per-token', {type: 'number', default: 2})
  .option('stop-timeout-ms', {type: 'number', default: 5000})
  .option('checks-fencing', {type: 'boolean', default: true})
  .strict()
  .parse();

const standIn = await STARTERS[args.kind as string](args);
process.stdout.write(JSON.stringify({ready: true, url: standIn.url}) + '\n');
let stopping = false;
for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  process.on(signal, () => {
    if (stopping) return;
    stopping = true;
    void standIn.stop(args.stopTimeoutMs).then(() => process.exit(0));
  });
}
