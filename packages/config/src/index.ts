export * from './keys.js';
export * from './schema.js';
export * from './store.js';
