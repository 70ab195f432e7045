export * from './cheap-policy.js';
export * from './cheap-types.js';
export * from './ordering-policy.js';
export * from './ordering-types.js';
export * from './reason.js';
export * from './role-policy.js';
export * from './role-types.js';
