import {Err, FailureDomain, Ok, OrderId, PoolId, Procedure, Result} from '@radishgw/core';
import {z} from 'zod';
import {Authority, Platform, PlatformError} from '@radishgw/coordination';
import {SendError} from './engine-control.js';
import {JournalledOrders, OrderChannel, OrderError, OrderTimes} from './journalled-orders.js';
import {FleetDependencies} from './order-journal.js';

/** Total number of preemptible or on-demand targets that a pool needs in a failure domain. */
export interface TargetCount {
  readonly pool: PoolId;
  readonly failureDomain: FailureDomain;
  /** True for preemptible targets, false for on-demand ones. */
  readonly cheap: boolean;
  readonly desiredCount: number;
}

const specSchema = z.object({
  pool: z.string().transform(value => value as PoolId),
  failureDomain: z.string().transform(value => value as FailureDomain),
  cheap: z.boolean(),
  desiredCount: z.number(),
}) as unknown as z.ZodType<TargetCount>;

const SEND_ERRORS: Record<PlatformError['kind'], SendError['kind']> = {
  unavailable: 'notSent',
  outcomeUnknown: 'outcomeUnknown',
  conflict: 'stale',
  notFound: 'rejected',
  rejected: 'rejected',
};

class PlatformChannel implements OrderChannel<TargetCount> {
  constructor(private readonly platform: Platform) {}

  async send(
    _receiver: string,
    order: {readonly orderId: OrderId; readonly fencingNumber: number; readonly spec: TargetCount},
    authorise: () => boolean,
  ): Promise<Result<void, SendError>> {
    const {orderId, fencingNumber, spec} = order;
    if (!authorise()) return Err({kind: 'unauthorised', detail: 'authority lost before sending'});
    const answer = await this.platform.orderTargets({orderId, fencingNumber, ...spec});
    if (answer.ok) return Ok(undefined);
    const {kind} = answer.val;
    return Err({kind: SEND_ERRORS[kind], detail: `target order ${orderId}: ${kind}`});
  }

  /** The platform does not guarantee that it refuses lower fencing numbers. */
  checksFencing(): boolean {
    return false;
  }
}

/**
 * Target orders to the platform under one authority for the `fleet` role. The journal has one
 * object for each pool, failure domain and kind: `fleet/<pool>/<domain>/<cheap|steady>`, where
 * `cheap` stands for preemptible and `steady` for on-demand targets.
 */
export class TargetOrders {
  private readonly orders: JournalledOrders<TargetCount>;

  constructor(dependencies: FleetDependencies, authority: Authority, times?: OrderTimes) {
    const channel = new PlatformChannel(dependencies.platform);
    this.orders = new JournalledOrders(dependencies, authority, channel, {
      prefix: 'fleet/',
      specSchema,
      specsEqual: (a, b) => a.desiredCount === b.desiredCount,
      times,
    });
  }

  /** Reads the journal of all pools in one call. */
  loadAll(): Procedure<boolean> {
    return this.orders.loadAll();
  }

  /** Orders the count unless already ordered; an unsettled earlier order is finished first. */
  reconcile(count: TargetCount): Procedure<Result<void, OrderError>> {
    const kind = count.cheap ? 'cheap' : 'steady';
    const receiver = [count.pool, count.failureDomain, kind].map(encodeURIComponent).join('/');
    return this.orders.reconcile(receiver, count);
  }
}
