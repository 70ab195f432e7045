export * from './bench.js';
export * from './registry.js';
export * from './soak-suite.js';
