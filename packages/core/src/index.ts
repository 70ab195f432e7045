export * from './clock.js';
export * from './errors.js';
export * from './events.js';
export * from './hash.js';
export * from './ids.js';
export * from './invariants.js';
export * from './procedure.js';
export * from './random.js';
