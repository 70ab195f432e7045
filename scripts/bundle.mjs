// Bundles the program into one file for deployment, so that it loads in a fraction of a second.
import {build} from 'esbuild';

/**
 * Bundles the ES module build of ts-results: its CommonJS build resolves its parts at run time,
 * which esbuild can't follow.
 */
const tsResults = {
  name: 'ts-results',
  setup(setup) {
    setup.onResolve({filter: /^ts-results$/}, () => ({path: 'ts-results', namespace: 'whole'}));
    setup.onLoad({filter: /.*/, namespace: 'whole'}, () => ({
      contents: "import * as all from 'ts-results/esm/index.js'; export default all;",
      resolveDir: process.cwd(),
    }));
  },
};

await build({
  entryPoints: ['platform/dist/src/main.js'],
  outfile: 'target/radishgw.mjs',
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  minifySyntax: true,
  plugins: [tsResults],
  // Bundled CommonJS packages call `require`, which ES modules don't define.
  banner: {
    js: "import {createRequire as makeRequire} from 'node:module';const require=makeRequire(import.meta.url);",
  },
});
