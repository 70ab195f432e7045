// Fails if the committed protocol code differs from the current output of the generator.
import {spawnSync} from 'node:child_process';
import {existsSync, mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

const generated = 'radishgw/inner/v1/inner_pb.ts';
if (!existsSync('node_modules/.bin/buf')) {
  console.log('buf is not installed; generated code not checked');
  process.exit(0);
}
const outDir = mkdtempSync(join(tmpdir(), 'radishgw-gen-'));
const template = JSON.stringify({
  version: 'v2',
  plugins: [{local: 'protoc-gen-es', out: outDir, opt: ['target=ts', 'import_extension=js']}],
});
const run = spawnSync('npx', ['buf', 'generate', '--template', template], {
  cwd: 'packages/protocol',
  stdio: ['ignore', 'inherit', 'inherit'],
});
const same =
  run.status === 0 &&
  readFileSync(join(outDir, generated), 'utf8') ===
    readFileSync(join('packages/protocol/src/gen', generated), 'utf8');
rmSync(outDir, {recursive: true});
if (!same) {
  console.error('generated code is not current; run "npm run generate"');
  process.exit(1);
}
console.log('generated code is current');
