import {assertInvariant, call, Err, Ok, OrderId, Procedure, Result, sleep} from '@radishgw/core';
import {z} from 'zod';
import {Authority} from '@radishgw/coordination';
import {SendError} from './engine-control.js';
import {FleetDependencies, JournalEntry, OrderJournal} from './order-journal.js';

/** Transport for orders of one kind. Implementations never throw. */
export interface OrderChannel<Spec> {
  /** Sends an order; calls `authorise` in the event loop turn in which the order is written. */
  send(
    receiver: string,
    order: {readonly orderId: OrderId; readonly fencingNumber: number; readonly spec: Spec},
    authorise: () => boolean,
  ): Promise<Result<void, SendError>>;
  /**
   * Whether the receiver's state matches `spec` and, if `orderId` is given, results from that
   * order. Absent if the receiver's state can't be read; an accepted order then counts as applied.
   */
  matches?(receiver: string, spec: Spec, orderId?: OrderId): Promise<Result<boolean, SendError>>;
  /** Whether the receiver refuses fencing numbers below the highest one it has seen. */
  checksFencing(receiver: string): boolean;
}

/** Timing of orders. */
export interface OrderTimes {
  /** Time after which the channel destroys the connection of an order. */
  readonly sendTimeoutMs: number;
  /** Maximum time for which bytes can still arrive after their connection was destroyed. */
  readonly wireMarginMs: number;
  /** Delay between attempts to send or to read back. */
  readonly retryMs: number;
}

export const DEFAULT_ORDER_TIMES: OrderTimes = {
  sendTimeoutMs: 3000,
  wireMarginMs: 500,
  retryMs: 500,
};

/** Settings of {@link JournalledOrders}. */
export interface JournalledOrdersSettings<Spec> {
  /** Key prefix of the journal. */
  readonly prefix: string;
  readonly specSchema: z.ZodType<Spec>;
  readonly specsEqual: (a: Spec, b: Spec) => boolean;
  readonly times?: OrderTimes;
}

/**
 * Why an order was not completed. Unless refused, the order stays journalled as intended, and a
 * later call or a later holder completes it.
 */
export interface OrderError {
  readonly kind: 'authorityLost' | 'unavailable' | 'refused';
  readonly detail: string;
}

const READ_BACK_ATTEMPTS = 3;
const SEND_ATTEMPTS = 3;

/** Sends orders of one holder in one epoch, one at a time, each journalled before it is sent. */
export class JournalledOrders<Spec extends object> {
  private readonly journal: OrderJournal<Spec>;
  private readonly times: OrderTimes;
  private readonly startedAtMs: number;
  private readonly inProgress = new Set<string>();
  /** When the last connection with an unknown outcome was destroyed, by receiver. */
  private readonly destroyedAtMs = new Map<string, number>();

  constructor(
    private readonly dependencies: FleetDependencies,
    private readonly authority: Authority,
    private readonly channel: OrderChannel<Spec>,
    private readonly settings: JournalledOrdersSettings<Spec>,
  ) {
    this.times = settings.times ?? DEFAULT_ORDER_TIMES;
    this.startedAtMs = dependencies.clock.nowMs();
    this.journal = new OrderJournal(dependencies, authority, settings.prefix, settings.specSchema);
  }

  /** Reads the whole journal in one call; otherwise entries are read one by one on demand. */
  loadAll(): Procedure<boolean> {
    return this.journal.loadAll();
  }

  /** Receivers that have a loaded journal entry. */
  receivers(): string[] {
    return this.journal.receivers();
  }

  /** Finishes an unsettled order, then brings the receiver to the state of `spec`. */
  *reconcile(receiver: string, spec: Spec): Procedure<Result<void, OrderError>> {
    if (this.inProgress.has(receiver)) {
      return Err({kind: 'unavailable', detail: `${receiver} already has an order in progress`});
    }
    this.inProgress.add(receiver);
    try {
      return yield* this.reconcileExclusive(receiver, spec);
    } finally {
      this.inProgress.delete(receiver);
    }
  }

  private *reconcileExclusive(receiver: string, spec: Spec): Procedure<Result<void, OrderError>> {
    const read = yield* this.journal.read(receiver);
    if (read.err) return Err({kind: 'unavailable', detail: read.val.detail});
    let entry = read.val;
    if (entry?.status === 'intended') {
      const finished = yield* this.finish(receiver, entry);
      if (finished.err && finished.val.kind !== 'refused') return finished;
      entry = {...entry, status: finished.ok ? 'applied' : 'refused'};
    }
    if (entry?.status === 'applied' && this.settings.specsEqual(entry.spec, spec)) {
      const stands = yield* this.readBack(receiver, spec);
      if (stands.err) return Err({kind: 'unavailable', detail: stands.val.detail});
      if (stands.val) return Ok(undefined);
    }
    yield* this.awaitEarlierSends(receiver);
    if (this.authority.check().err) return this.authorityLost();
    const intended = yield* this.journal.recordIntent(receiver, spec);
    if (intended.err) return Err({kind: 'unavailable', detail: intended.val.detail});
    return yield* this.finish(receiver, intended.val);
  }

  /** Sends a journalled order under one order id until the receiver confirms it. */
  private *finish(
    receiver: string,
    intended: JournalEntry<Spec>,
  ): Procedure<Result<void, OrderError>> {
    let entry = intended;
    if (entry.epoch !== this.authority.epoch) {
      if (this.authority.check().err) return this.authorityLost();
      const adopted = yield* this.journal.adopt(receiver, entry);
      if (adopted.err) return Err({kind: 'unavailable', detail: adopted.val.detail});
      entry = adopted.val;
    }
    yield* this.awaitEarlierHolders(receiver);
    for (let tries = 0; tries < SEND_ATTEMPTS; tries++) {
      const sent = yield* this.sendOnce(receiver, entry);
      if (sent.err && (sent.val.kind === 'unauthorised' || sent.val.kind === 'stale')) {
        return this.authorityLost();
      }
      if (sent.err && sent.val.kind === 'rejected') {
        this.dependencies.log.write('orderFailed', {receiver, ...sent.val});
        yield* this.journal.settle(receiver, entry, 'refused');
        return Err({kind: 'refused', detail: sent.val.detail});
      }
      if (yield* this.isApplied(receiver, entry, sent.ok)) {
        const settled = yield* this.journal.settle(receiver, entry, 'applied');
        if (settled.err) return Err({kind: 'unavailable', detail: settled.val.detail});
        this.dependencies.log.write('orderFinished', {receiver, orderId: entry.orderId});
        return Ok(undefined);
      }
      yield* sleep(this.times.retryMs);
    }
    return Err({kind: 'unavailable', detail: `${receiver} did not confirm order ${entry.orderId}`});
  }

  private *sendOnce(
    receiver: string,
    entry: JournalEntry<Spec>,
  ): Procedure<Result<void, SendError>> {
    assertInvariant(
      this.journal.isIntended(receiver, entry),
      'orders.journalledFirst',
      () => `order ${entry.orderId} to ${receiver} is not journalled as intended`,
    );
    const {clock, log} = this.dependencies;
    const {orderId, spec} = entry;
    const fencingNumber = this.authority.epoch;
    const sent = yield* call(() =>
      this.channel.send(receiver, {orderId, fencingNumber, spec}, () => this.authority.check().ok),
    );
    if (sent.err && sent.val.kind === 'outcomeUnknown') {
      this.destroyedAtMs.set(receiver, clock.nowMs());
    }
    log.write('orderSent', {receiver, orderId, outcome: sent.ok ? 'ok' : sent.val.kind});
    return sent;
  }

  private *isApplied(
    receiver: string,
    entry: JournalEntry<Spec>,
    accepted: boolean,
  ): Procedure<boolean> {
    if (!this.channel.matches) return accepted;
    for (let tries = 0; tries < READ_BACK_ATTEMPTS; tries++) {
      const shown = yield* this.readBack(receiver, entry.spec, entry.orderId);
      if (shown.ok && shown.val) return true;
      yield* sleep(this.times.retryMs);
    }
    return false;
  }

  private *readBack(
    receiver: string,
    spec: Spec,
    orderId?: OrderId,
  ): Procedure<Result<boolean, SendError>> {
    const {channel} = this;
    if (!channel.matches) return Ok(true);
    return yield* call(() => channel.matches!(receiver, spec, orderId));
  }

  /**
   * Waits until orders of earlier holders can no longer arrive, unless fencing refuses them. Those
   * holders lost their authority before this one gained it, and the connection of a send is
   * destroyed at its timeout, unless the sending process is suspended.
   */
  private *awaitEarlierHolders(receiver: string): Procedure<void> {
    if (this.channel.checksFencing(receiver)) return;
    const {sendTimeoutMs, wireMarginMs} = this.times;
    yield* this.sleepUntil(this.startedAtMs + sendTimeoutMs + wireMarginMs);
  }

  /** Waits until this holder's earlier sends can't arrive any more; fencing doesn't refuse them. */
  private *awaitEarlierSends(receiver: string): Procedure<void> {
    const destroyedAtMs = this.destroyedAtMs.get(receiver);
    if (destroyedAtMs === undefined) return;
    yield* this.sleepUntil(destroyedAtMs + this.times.wireMarginMs);
    this.destroyedAtMs.delete(receiver);
  }

  private *sleepUntil(timeMs: number): Procedure<void> {
    const delayMs = timeMs - this.dependencies.clock.nowMs();
    if (delayMs > 0) yield* sleep(delayMs);
  }

  private authorityLost(): Result<void, OrderError> {
    const checked = this.authority.check();
    const detail = checked.err ? checked.val.detail : 'a newer holder has sent orders';
    return Err({kind: 'authorityLost', detail});
  }
}
