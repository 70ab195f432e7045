import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {SOAK_SUITES} from './registry.js';
import {SoakSuite} from './soak-suite.js';

const PRINTED_TRACE_LINES = 40;

/** Runs seeds `seed` to `seed + runs - 1` until one fails; returns whether all runs passed. */
async function runSuite(name: string, suite: SoakSuite, seed: number, runs: number) {
  const totals = new Map<string, number>();
  for (let current = seed; current < seed + runs; current++) {
    const outcome = await suite.run(current);
    for (const [key, count] of Object.entries(outcome.counts)) {
      totals.set(key, (totals.get(key) ?? 0) + count);
    }
    if (outcome.failure !== undefined) {
      console.error(`${name}: seed ${current} failed: ${outcome.failure}`);
      console.error(outcome.trace.slice(-PRINTED_TRACE_LINES).join('\n'));
      console.error(`repeat with: npm run soak -- --suite ${name} --seed ${current} --runs 1`);
      return false;
    }
  }
  console.log(`${name}: ${runs} runs from seed ${seed} passed`, Object.fromEntries(totals));
  return true;
}

const suiteNames = Object.keys(SOAK_SUITES);
const args = await yargs(hideBin(process.argv))
  .scriptName('soak')
  .option('suite', {type: 'string', choices: suiteNames, array: true, default: suiteNames})
  .option('seed', {type: 'number', default: 1, describe: 'First seed'})
  .option('runs', {type: 'number', default: 100, describe: 'Runs for each suite'})
  .strict()
  .parse();

let allPassed = true;
for (const name of args.suite) {
  allPassed = (await runSuite(name, SOAK_SUITES[name], args.seed, args.runs)) && allPassed;
}
process.exitCode = allPassed ? 0 : 1;
