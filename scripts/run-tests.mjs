// Runs all compiled tests. Failures of tests listed in KNOWN-RED.txt are printed but tolerated; any
// other failure is an error. The last line is "N passed, N failed".
import {existsSync, readFileSync, readdirSync, statSync} from 'node:fs';
import {join} from 'node:path';
import Mocha from 'mocha';

/** Full titles of the tests listed in KNOWN-RED.txt, one "test: TITLE" line for each entry. */
function readKnownRed() {
  if (!existsSync('KNOWN-RED.txt')) return new Set();
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n');
  return new Set(
    lines.filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim()),
  );
}

function findTests(folder) {
  if (!existsSync(folder)) return [];
  return readdirSync(folder)
    .map(name => join(folder, name))
    .flatMap(path => (statSync(path).isDirectory() ? findTests(path) : [path]))
    .filter(path => path.endsWith('.test.js'))
    .sort();
}

const knownRed = readKnownRed();
const mocha = new Mocha({timeout: 120_000, reporter: 'spec', forbidOnly: true});
const folders = [
  ...readdirSync('packages')
    .sort()
    .map(name => join('packages', name)),
  'platform',
];
for (const folder of folders) {
  // Skips stale build output: only compiled tests whose source file still exists are run.
  for (const file of findTests(join(folder, 'dist', 'test'))) {
    const source = file.replace('/dist/test/', '/test/').replace(/\.js$/, '.ts');
    if (existsSync(source)) mocha.addFile(file);
  }
}
await mocha.loadFilesAsync();

let passed = 0;
let failed = 0;
const knownFailures = [];
const runner = mocha.run(() => {
  for (const title of knownFailures) console.log(`known failure: ${title}`);
  for (const title of knownRed) {
    if (!knownFailures.includes(title)) console.log(`listed in KNOWN-RED.txt but passed: ${title}`);
  }
  console.log(`${passed} passed, ${failed} failed`);
  process.exit(failed > 0 || passed === 0 ? 1 : 0);
});
runner.on('pass', () => passed++);
runner.on('fail', test => {
  if (knownRed.has(test.fullTitle())) knownFailures.push(test.fullTitle());
  else failed++;
});
