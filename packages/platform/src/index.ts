export * from './http-platform.js';
export * from './platform.js';
