export * from './keys.js';
export * from './schema.js';
export * from './store.js';
export * from './deployment-file.js';
export * from './freshness.js';
export * from './plan.js';
