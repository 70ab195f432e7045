export {DISCIPLINES, type Discipline, type DisciplineName} from './disciplines.js';
export * from './eligibility.js';
export * from './health.js';
export * from './pool.js';
export {type CacheEvent, type PrefixHintSettings} from './prefix-hints.js';
export {
  DEFAULT_QUEUE_SETTINGS,
  type PlacementCheck,
  type OverflowRule,
  type QueueSettings,
  type RequestQueue,
} from './queue-state.js';
export * from './queue.js';
export * from './retries.js';
export * from './routing.js';
export * from './scheduler.js';
export * from './work.js';
