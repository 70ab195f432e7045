export * from './engine-control.js';
export * from './engine-orders.js';
export * from './http-engine-control.js';
export * from './journalled-orders.js';
export * from './target-orders.js';
export type {FleetDependencies} from './order-journal.js';
export * from './policies/index.js';
