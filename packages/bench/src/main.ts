import {mkdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {Bench, BenchResult} from './bench.js';
import {BENCHES} from './registry.js';

const DEFAULT_SEEDS = [1, 2, 3, 4, 5];

async function runBench(name: string, bench: Bench, seeds: number[], outDir: string) {
  console.log(`\n# ${name}: ${bench.description}`);
  const result = await bench.run({seeds});
  console.table(result.rows);
  console.log(result.conclusion);
  writeResult(name, seeds, result, outDir);
}

function writeResult(name: string, seeds: number[], result: BenchResult, outDir: string) {
  mkdirSync(outDir, {recursive: true});
  const file = join(outDir, `${name}.json`);
  writeFileSync(file, JSON.stringify({name, seeds, ...result}, null, 2) + '\n');
}

const args = await yargs(hideBin(process.argv))
  .scriptName('bench')
  .usage('$0 <name>', 'Runs one benchmark, or all of them', builder =>
    builder.positional('name', {
      type: 'string',
      choices: [...Object.keys(BENCHES), 'all'],
      demandOption: true,
    }),
  )
  .option('seeds', {type: 'number', array: true, default: DEFAULT_SEEDS, describe: 'Seeds'})
  .option('out', {type: 'string', default: 'bench-results', describe: 'Folder for JSON files'})
  .strict()
  .parse();

const names = args.name === 'all' ? Object.keys(BENCHES) : [args.name as string];
for (const name of names) {
  await runBench(name, BENCHES[name], args.seeds, args.out);
}
