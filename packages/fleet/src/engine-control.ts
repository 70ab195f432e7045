import {OrderId, Result, TargetId} from '@radishgw/core';

/** Kind of work that an engine accepts. */
export type EngineRole = 'prefill' | 'decode' | 'both';

/** Complete desired state of an engine, never a difference. The order of lists is irrelevant. */
export interface EngineSpec {
  readonly role: EngineRole;
  readonly modelVersions: readonly string[];
  readonly adapters: readonly string[];
  /** When true, the engine accepts no new work and finishes running requests. */
  readonly drain: boolean;
}

/** An order to an engine by `POST /v1/orders`. Engines ignore a repeated order id. */
export interface EngineOrder extends EngineSpec {
  readonly orderId: OrderId;
  /** Epoch of the `fleet` role; some engines refuse a lower number than the highest one seen. */
  readonly fencingNumber: number;
}

/** State that an engine reports by `GET /v1/state`. */
export interface EngineState extends EngineSpec {
  /** The last applied order; null before the first one and after a restart. */
  readonly orderId: OrderId | null;
  /** Requests in progress. */
  readonly activeRequests: number;
}

/**
 * Why an order or a read failed.
 * - `unauthorised`: `authorise` returned false; nothing was sent.
 * - `notSent`: no connection was established; nothing was sent.
 * - `outcomeUnknown`: the request may have arrived, or may still arrive until the connection is
 *   destroyed.
 * - `stale`: refused because the target has seen a higher fencing number.
 * - `rejected`: refused for its content; a retry would be refused too.
 */
export interface SendError {
  readonly kind: 'unauthorised' | 'notSent' | 'outcomeUnknown' | 'stale' | 'rejected';
  readonly detail: string;
}

/**
 * Sends orders to engines. Implementations never throw. They call `authorise` after connecting, in
 * the same event loop turn in which they write the order, and write nothing if it returns false.
 * They destroy the connection when the send timeout expires.
 */
export interface EngineControl {
  sendOrder(
    targetId: TargetId,
    order: EngineOrder,
    authorise: () => boolean,
  ): Promise<Result<void, SendError>>;
  readState(targetId: TargetId): Promise<Result<EngineState, SendError>>;
}

/** Whether an engine's state matches the specification. */
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
