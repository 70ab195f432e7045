import {assertInvariant, call, Err, Ok, OrderId, Procedure, Result, sleep} from '@radishgw/core';
import {z} from 'zod';
import {Authority} from '@radishgw/coordination';
import {SendError} from './engine-control.js';
import {FleetDependencies, JournalEntry, OrderJournal} from './order-journal.js';

/** Carries the orders of one kind. Implementations never throw. */
export interface OrderChannel<Spec> {
  /** Sends an order; `authorise` is called in the turn in which the order is written. */
  send(
    receiver: string,
    order: {readonly orderId: OrderId; readonly fencingNumber: number; readonly spec: Spec},
    authorise: () => boolean,
  ): Promise<Result<void, SendError>>;
  /**
   * Whether the receiver is what `spec` says and, if `orderId` is given, by that order. Absent if
   * the receiver shows no state; an accepted order then counts as applied.
   */
  matches?(receiver: string, spec: Spec, orderId?: OrderId): Promise<Result<boolean, SendError>>;
  /** Whether the receiver refuses fencing numbers that are older than one it has seen. */
  checksFencing(receiver: string): boolean;
}

/** Times of orders. */
export interface OrderTimes {
  /** The channel destroys the connection of an order at this time. */
  readonly sendTimeoutMs: number;
  /** Longest time in which bytes still arrive after their connection was destroyed. */
  readonly wireMarginMs: number;
  /** Pause between tries to send or to read back. */
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
 * Why an order was not completed. It stays journalled as intended unless refused; a later call or a
 * later holder completes it.
 */
export interface OrderError {
  readonly kind: 'authorityLost' | 'unavailable' | 'refused';
  readonly detail: string;
}

const READ_BACK_ATTEMPTS = 3;
const SEND_ATTEMPTS = 3;

/** Orders of one holder in one epoch: journalled before they are sent, and one at a time. */
export class JournalledOrders<Spec extends object> {
  private readonly journal: OrderJournal<Spec>;
  private readonly times: OrderTimes;
  private readonly startedAtMs: number;
  private readonly inProgress = new Set<string>();
  /** When the connection of the last try with an unknown outcome was destroyed, by receiver. */
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

  /** Reads the whole journal in one call; otherwise entries are read one by one when needed. */
  loadAll(): Procedure<boolean> {
    return this.journal.loadAll();
  }

  /** Receivers that have a loaded journal entry. */
  receivers(): string[] {
    return this.journal.receivers();
  }

  /** Finishes an unsettled order, then makes the receiver what `spec` says. */
  *reconcile(receiver: string, spec: Spec): Procedure<Result<void, OrderError>> {
    if (this.inProgress.has(receiver)) {
      return Err({kind: 'unavailable', detail: `${receiver} has an order in progress`});
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

  /** Sends a journalled order, with the same id each time, until the receiver shows it. */
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
    return Err({kind: 'unavailable', detail: `${receiver} doesn't show order ${entry.orderId}`});
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
   * Waits until orders of earlier holders can't arrive any more, if the receiver takes them. Those
   * holders had lost their authority before this one gained it, and a send is destroyed at its
   * timeout, unless the sender is suspended.
   */
  private *awaitEarlierHolders(receiver: string): Procedure<void> {
    if (this.channel.checksFencing(receiver)) return;
    const {sendTimeoutMs, wireMarginMs} = this.times;
    yield* this.sleepUntil(this.startedAtMs + sendTimeoutMs + wireMarginMs);
  }

  /** Waits until own earlier tries can't arrive any more; fencing doesn't stop them. */
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
    const detail = checked.err ? checked.val.detail : 'a newer holder has given orders';
    return Err({kind: 'authorityLost', detail});
  }
}
