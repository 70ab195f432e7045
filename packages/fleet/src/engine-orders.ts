import {call, Err, Ok, OrderId, Procedure, Result, sleep, TargetId, toId} from '@radishgw/core';
import {z} from 'zod';
import {Authority} from '@radishgw/coordination';
import {EngineControl, EngineSpec, matchesSpec, SendError} from './engine-control.js';
import {JournalledOrders, OrderChannel, OrderError, OrderTimes} from './journalled-orders.js';
import {FleetDependencies} from './order-journal.js';

/** Settings of orders to engines. */
export interface EngineOrdersSettings {
  /** Whether the target refuses lower fencing numbers; false if unknown. */
  readonly checksFencing: (targetId: TargetId) => boolean;
  readonly times?: OrderTimes;
}

const specSchema = z.object({
  role: z.enum(['prefill', 'decode', 'both']),
  modelVersions: z.array(z.string()),
  adapters: z.array(z.string()),
  drain: z.boolean(),
});

const DRAIN_POLL_MS = 500;

class EngineChannel implements OrderChannel<EngineSpec> {
  constructor(
    private readonly control: EngineControl,
    private readonly settings: EngineOrdersSettings,
  ) {}

  send(
    receiver: string,
    order: {readonly orderId: OrderId; readonly fencingNumber: number; readonly spec: EngineSpec},
    authorise: () => boolean,
  ): Promise<Result<void, SendError>> {
    const {orderId, fencingNumber, spec} = order;
    return this.control.sendOrder(
      toId<TargetId>(receiver),
      {orderId, fencingNumber, ...spec},
      authorise,
    );
  }

  async matches(
    receiver: string,
    spec: EngineSpec,
    orderId?: OrderId,
  ): Promise<Result<boolean, SendError>> {
    const state = await this.control.readState(toId<TargetId>(receiver));
    return state.map(
      shown => matchesSpec(shown, spec) && (orderId === undefined || shown.orderId === orderId),
    );
  }

  checksFencing(receiver: string): boolean {
    return this.settings.checksFencing(toId<TargetId>(receiver));
  }
}

/** Orders to engines under one authority for the `fleet` role; journal at `orders/<targetId>`. */
export class EngineOrders {
  private readonly orders: JournalledOrders<EngineSpec>;

  constructor(
    dependencies: FleetDependencies,
    authority: Authority,
    private readonly control: EngineControl,
    settings: EngineOrdersSettings,
  ) {
    const channel = new EngineChannel(control, settings);
    this.orders = new JournalledOrders(dependencies, authority, channel, {
      prefix: 'orders/',
      specSchema,
      specsEqual: matchesSpec,
      times: settings.times,
    });
  }

  /** Reads the journal of all engines in one call. */
  loadAll(): Procedure<boolean> {
    return this.orders.loadAll();
  }

  /** Engines that have a journalled order. */
  targets(): TargetId[] {
    return this.orders.receivers().map(id => toId<TargetId>(id));
  }

  /** Brings an engine to the state of `spec`; an unsettled earlier order is finished first. */
  reconcile(targetId: TargetId, spec: EngineSpec): Procedure<Result<void, OrderError>> {
    return this.orders.reconcile(targetId, spec);
  }

  /** Orders an engine to drain and waits until it has no active requests. */
  *drain(
    targetId: TargetId,
    spec: EngineSpec,
    hasTimedOut: () => boolean,
  ): Procedure<Result<void, OrderError>> {
    const ordered = yield* this.reconcile(targetId, {...spec, drain: true});
    if (ordered.err) return ordered;
    while (!hasTimedOut()) {
      const state = yield* call(() => this.control.readState(targetId));
      if (state.ok && state.val.drain && state.val.activeRequests === 0) return Ok(undefined);
      yield* sleep(DRAIN_POLL_MS);
    }
    return Err({kind: 'unavailable', detail: `${targetId} still has active requests`});
  }
}
