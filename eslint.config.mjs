import gts from 'gts';

/** Folders of packages/relay/src, and the folders that each may import besides the root's modules. */
const RELAY_IMPORTS = {
  targets: [],
  placing: ['targets'],
  quarantine: ['targets'],
  store: ['quarantine'],
  quota: ['store'],
  duties: ['targets', 'quarantine', 'store'],
  request: ['targets', 'placing', 'quarantine', 'store', 'quota'],
};

const relayImportRules = Object.entries(RELAY_IMPORTS).map(([folder, allowed]) => {
  const others = Object.keys(RELAY_IMPORTS).filter(other => other !== folder);
  const group = others.filter(other => !allowed.includes(other)).map(other => `**/${other}/*`);
  return {
    files: [`packages/relay/src/${folder}/**/*.ts`],
    rules: {
      'no-restricted-imports': [
        'error',
        {patterns: [{group, message: 'See the folders of relay in docs/design.md.'}]},
      ],
    },
  };
});

export default [
  {ignores: ['**/dist/**', '**/gen/**', 'target/**', 'node_modules/**', 'bench-results/**']},
  ...gts,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {project: ['./packages/*/tsconfig.json', './platform/tsconfig.json']},
    },
    rules: {'n/no-extraneous-import': 'off', 'n/no-unpublished-import': 'off', 'n/hashbang': 'off'},
  },
  {
    // The time of day may be stepped; only the modules that judge it read it.
    files: ['packages/relay/src/**/*.ts'],
    ignores: ['packages/relay/src/instant.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        {
          selector: "CallExpression[callee.property.name='now'][arguments.length=0]",
          message: 'Use fleetNowMs, or readInstant for durations.',
        },
        {
          selector: "NewExpression[callee.name='Date'][arguments.length=0]",
          message: 'Use fleetNowMs, or readInstant for durations.',
        },
      ],
    },
  },
  ...relayImportRules,
  {
    files: ['scripts/**', '*.mjs'],
    languageOptions: {globals: {process: 'readonly', console: 'readonly'}},
    rules: {'n/no-process-exit': 'off', 'n/no-unpublished-import': 'off'},
  },
];
