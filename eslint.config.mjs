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
    files: ['scripts/**', '*.mjs'],
    languageOptions: {globals: {process: 'readonly', console: 'readonly'}},
    rules: {'n/no-process-exit': 'off', 'n/no-unpublished-import': 'off'},
  },
];
