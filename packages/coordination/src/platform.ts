import {FailureDomain, HostId, OrderId, PoolId, Result} from '@radishgw/core';
import {StoreEra} from './store-era.js';

/**
 * Position in the store's history: one increasing counter for the whole store; 0 precedes all. Where
 * the store may come back from an older copy, revisions are compared within an era only: see
 * {@link StorePosition}.
 */
export type Revision = number;

/** An object in the platform's versioned store. `value` is JSON text of at most one megabyte. */
export interface PlatformObject {
  readonly key: string;
  readonly revision: Revision;
  readonly value: string;
  /** Time in Unix milliseconds at which the object was created; missing if unknown. */
  readonly createdMs?: number;
}

/** A change reported by a watch; a `removed` object has an empty value. */
export interface PlatformEvent extends PlatformObject {
  readonly removed: boolean;
}

/** Objects under a prefix and the store's revision at which they were read. */
export interface ObjectList {
  readonly objects: readonly PlatformObject[];
  readonly revision: Revision;
  /** Era of the store at which they were read; missing if the store has only one. */
  readonly era?: number;
  /** Objects whose content can't be used, as another writer may leave them. */
  readonly unreadable?: readonly UnreadableObject[];
}

/** An object whose content can't be used. */
export interface UnreadableObject {
  readonly key: string;
  readonly revision: Revision;
}

/** Changes after a revision, in order. `compacted` means that the caller must list again. */
export interface WatchResult {
  readonly events: readonly PlatformEvent[];
  readonly revision: Revision;
  readonly compacted: boolean;
}

/** An entry of the platform's list of hosts, which may be stale. */
export interface ListedHost {
  readonly hostId: HostId;
  readonly state: 'live' | 'leaving';
}

/** An order that sets the number of targets of one pool in one failure domain. */
export interface TargetOrder {
  readonly orderId: OrderId;
  readonly pool: PoolId;
  readonly failureDomain: FailureDomain;
  /** Total number of targets, not a change. */
  readonly desiredCount: number;
  readonly cheap: boolean;
  /** Epoch of the `fleet` role. */
  readonly fencingNumber: number;
}

/** Usage in one window. The body is stored before it is sent, and is sent unchanged. */
export interface UsageReport {
  readonly windowId: string;
  readonly body: string;
  /** Epoch of the `usage` role. */
  readonly fencingNumber: number;
}

/** Request for a share of the weight store's transfer rate before targets load a model. */
export interface WeightTransferRequest {
  readonly pool: PoolId;
  readonly bytes: number;
}

/** Response of the weight store: how long to wait before the transfer starts, and its rate. */
export interface WeightTransferReservation {
  readonly startDelayMs: number;
  readonly bytesPerSecond: number;
}

/**
 * Reason why a platform call failed.
 * - `unavailable`: the call was not sent, or was refused before it took effect.
 * - `outcomeUnknown`: the call was sent but got no response; it may have taken effect.
 * - `conflict`: the condition did not hold; `revision` is the current one, 0 if there is no object.
 */
export type PlatformError =
  | {readonly kind: 'unavailable'; readonly detail: string}
  | {readonly kind: 'outcomeUnknown'; readonly detail: string}
  | {readonly kind: 'conflict'; readonly revision: Revision}
  | {readonly kind: 'notFound'}
  | {readonly kind: 'rejected'; readonly detail: string};

/** Result of a platform call. */
export type PlatformAnswer<T> = Promise<Result<T, PlatformError>>;

/** Condition of an update: the expected current revision; 0 if the object must not exist. */
export interface UpdateCondition {
  readonly ifRevision: Revision;
}

/** A versioned object store with conditional updates. Implementations never throw. */
export interface ObjectStore {
  /** Eras of a store that may come back from an older copy; missing if this one doesn't. */
  readonly era?: StoreEra;
  get(key: string): PlatformAnswer<PlatformObject>;
  list(prefix: string): PlatformAnswer<ObjectList>;
  put(key: string, value: string, condition?: UpdateCondition): PlatformAnswer<Revision>;
  remove(key: string, condition?: UpdateCondition): PlatformAnswer<Revision>;
  /** Waits up to `waitMs` for changes under `prefix` after `afterRevision`. */
  watch(prefix: string, afterRevision: Revision, waitMs: number): PlatformAnswer<WatchResult>;
}

/** The platform that users provide. Implementations never throw and must pass the contract test. */
export interface Platform extends ObjectStore {
  listHosts(): PlatformAnswer<readonly ListedHost[]>;
  /** Places an order; repeating an order id has no further effect. */
  orderTargets(order: TargetOrder): PlatformAnswer<void>;
  reportUsage(report: UsageReport): PlatformAnswer<void>;
  reserveWeightTransfer(request: WeightTransferRequest): PlatformAnswer<WeightTransferReservation>;
}
