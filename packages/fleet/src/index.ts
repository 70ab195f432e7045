export * from './policies/index.js';
