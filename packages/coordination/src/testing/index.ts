export * from './memory-platform.js';
export * from './memory-store.js';
export * from './virtual-run.js';
