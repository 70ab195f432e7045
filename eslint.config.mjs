import gts from 'gts';

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
  {
    files: ['scripts/**', '*.mjs'],
    languageOptions: {globals: {process: 'readonly', console: 'readonly'}},
    rules: {'n/no-process-exit': 'off', 'n/no-unpublished-import': 'off'},
  },
];
