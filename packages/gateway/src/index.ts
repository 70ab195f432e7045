export * from './settings.js';
export * from './wire.js';
