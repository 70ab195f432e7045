import {OrderId, Result, TargetId} from '@radishgw/core';

/** What an engine works on. */
export type EngineRole = 'prefill' | 'decode' | 'both';

/** What an engine shall be: the whole of it, never a change. Lists are sets in any order. */
export interface EngineSpec {
  readonly role: EngineRole;
  readonly modelVersions: readonly string[];
  readonly adapters: readonly string[];
  /** True: take no new work and finish what is running. */
  readonly drain: boolean;
}

/** An order as an engine receives it by `POST /v1/orders`. A repeated order id changes nothing. */
export interface EngineOrder extends EngineSpec {
  readonly orderId: OrderId;
  /** Epoch of the `fleet` role; some engines refuse a lower one than they have seen. */
  readonly fencingNumber: number;
}

/** An engine's own account of itself, by `GET /v1/state`. */
export interface EngineState extends EngineSpec {
  /** The last order that it applied; null before the first and after a restart. */
  readonly orderId: OrderId | null;
  /** Requests in progress. */
  readonly activeRequests: number;
}

/**
 * Why an order or a read failed.
 * - `unauthorised`: `authorise` gave false; nothing was sent.
 * - `notSent`: no connection was made; nothing was sent.
 * - `outcomeUnknown`: the bytes may have arrived, or may yet do so until the connection is destroyed.
 * - `stale`: refused for a fencing number that is older than one that the target has seen.
 * - `rejected`: refused for its content; sending it again would not help.
 */
export interface SendError {
  readonly kind: 'unauthorised' | 'notSent' | 'outcomeUnknown' | 'stale' | 'rejected';
  readonly detail: string;
}

/**
 * Orders to engines. Implementations never throw. They call `authorise` in the same event loop turn
 * in which they write the order, after the connection is made, and write nothing if it gives false.
 * They destroy the connection when the send timeout ends.
 */
export interface EngineControl {
  sendOrder(
    targetId: TargetId,
    order: EngineOrder,
    authorise: () => boolean,
  ): Promise<Result<void, SendError>>;
  readState(targetId: TargetId): Promise<Result<EngineState, SendError>>;
}

/** Whether an engine is what the specification says. */
export function matchesSpec(state: EngineSpec, spec: EngineSpec): boolean {
  return (
    state.role === spec.role &&
    state.drain === spec.drain &&
    setsEqual(state.modelVersions, spec.modelVersions) &&
    setsEqual(state.adapters, spec.adapters)
  );
}

function setsEqual(a: readonly string[], b: readonly string[]): boolean {
  const items = new Set(a);
  return items.size === new Set(b).size && b.every(item => items.has(item));
}
