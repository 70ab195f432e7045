export * from './preemptible-policy.js';
export * from './preemptible-types.js';
export * from './autoscaling-policy.js';
export * from './autoscaling-types.js';
export * from './reason.js';
export * from './role-policy.js';
export * from './role-types.js';
