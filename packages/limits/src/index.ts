export * from './conformance-checker.js';
export {changeLimit, createBucket, refundTokens, takeTokens, type TokenBucket} from './bucket.js';
export * from './host.js';
export * from './host-shards.js';
export {onConfirmResponse} from './host-reserve.js';
export {createHost, type HostAction, type HostState, type RefusalReason} from './host-state.js';
export * from './messages.js';
export * from './owner.js';
export {handleAcquire, type AcquireResult} from './owner-grants.js';
export {
  processOwnerTimers,
  handleConfirm,
  nextOwnerTimerMs,
  type ConfirmReply,
} from './owner-reserve.js';
export {hasAuthority, type OwnerState} from './owner-state.js';
export * from './placement.js';
export * from './settings.js';
