export * from './errors.js';
export * from './program.js';
