import {
  assertInvariant,
  call,
  Clock,
  Err,
  EventLog,
  Ok,
  OrderId,
  Procedure,
  RandomSource,
  Result,
  toId,
} from '@radishgw/core';
import {z} from 'zod';
import {Authority, Platform, putSettled, Revision} from '@radishgw/coordination';

/** Dependencies of the control procedures in this package. */
export interface FleetDependencies {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
}

/**
 * State of a journalled order.
 * - `intended`: the order may have been sent or may still be sent.
 * - `applied`: the receiver's state confirmed the order.
 * - `refused`: the receiver refused the content of the order.
 */
export type OrderStatus = 'intended' | 'applied' | 'refused';

/** The last order to one receiver, as stored in the journal. */
export interface JournalEntry<Spec> {
  readonly orderId: OrderId;
  /** Sequence number among all orders to this receiver, by any holder of the role. */
  readonly sequence: number;
  /** Epoch of the last holder that adopted this order. */
  readonly epoch: number;
  readonly spec: Spec;
  readonly status: OrderStatus;
}

/** Why an entry was not read or written. After a failed write, read the entry again. */
export interface JournalError {
  readonly kind: 'conflict' | 'unavailable';
  readonly detail: string;
}

interface StoredEntry<Spec> {
  readonly revision: Revision;
  /** Undefined if there is no order yet. */
  readonly entry: JournalEntry<Spec> | undefined;
}

const WRITE_TIMEOUT_MS = 5000;

/** Write-ahead journal of orders under a key prefix, with one object for each receiver. */
export class OrderJournal<Spec extends object> {
  private readonly stored = new Map<string, StoredEntry<Spec>>();
  private readonly schema: z.ZodType<JournalEntry<Spec>>;

  constructor(
    private readonly dependencies: FleetDependencies,
    private readonly authority: Authority,
    private readonly prefix: string,
    specSchema: z.ZodType<Spec>,
  ) {
    this.schema = z.object({
      orderId: z.string().transform(value => value as OrderId),
      sequence: z.number(),
      epoch: z.number(),
      spec: specSchema,
      status: z.enum(['intended', 'applied', 'refused']),
    }) as unknown as z.ZodType<JournalEntry<Spec>>;
  }

  /** Reads all entries in one call. */
  *loadAll(): Procedure<boolean> {
    const list = yield* call(() => this.dependencies.platform.list(this.prefix));
    if (list.err) return false;
    for (const object of list.val.objects) this.store(object.key, object.revision, object.value);
    return true;
  }

  /** Receivers with a loaded entry. */
  receivers(): string[] {
    return [...this.stored].flatMap(([id, {entry}]) => (entry ? [id] : []));
  }

  /** Reads an entry, from the cache if it was read before. */
  *read(receiver: string): Procedure<Result<JournalEntry<Spec> | undefined, JournalError>> {
    const known = this.stored.get(receiver);
    if (known) return Ok(known.entry);
    const key = this.prefix + receiver;
    const answer = yield* call(() => this.dependencies.platform.get(key));
    if (answer.ok) this.store(key, answer.val.revision, answer.val.value);
    else if (answer.val.kind === 'notFound') this.stored.set(receiver, createEmptyEntry());
    else return Err({kind: 'unavailable', detail: `${key}: ${answer.val.kind}`});
    return Ok(this.stored.get(receiver)?.entry);
  }

  /** Records a new order before it is sent; the previous one must be settled. */
  *recordIntent(receiver: string, spec: Spec): Procedure<Result<JournalEntry<Spec>, JournalError>> {
    const previous = this.stored.get(receiver)?.entry;
    assertInvariant(
      previous?.status !== 'intended',
      'orders.oneInFlight',
      () => `${receiver} has unsettled order ${previous?.orderId}`,
    );
    const sequence = (previous?.sequence ?? 0) + 1;
    const {epoch} = this.authority;
    const random = this.dependencies.random.nextHex(6);
    const orderId = toId<OrderId>(`${epoch}.${sequence}.${random}`);
    return yield* this.write(receiver, {orderId, sequence, epoch, spec, status: 'intended'});
  }

  /** Adopts an unsettled order of an earlier holder, under the same order id. */
  *adopt(
    receiver: string,
    entry: JournalEntry<Spec>,
  ): Procedure<Result<JournalEntry<Spec>, JournalError>> {
    const {epoch} = this.authority;
    assertInvariant(
      entry.epoch <= epoch,
      'orders.epoch',
      () => `${receiver} has an order of epoch ${entry.epoch}, above ${epoch}`,
    );
    return yield* this.write(receiver, {...entry, epoch});
  }

  /** Records the outcome of an order. */
  *settle(
    receiver: string,
    entry: JournalEntry<Spec>,
    status: OrderStatus,
  ): Procedure<Result<JournalEntry<Spec>, JournalError>> {
    return yield* this.write(receiver, {...entry, status});
  }

  /** Whether the order is journalled as intended in this holder's epoch. */
  isIntended(receiver: string, entry: JournalEntry<Spec>): boolean {
    const known = this.stored.get(receiver)?.entry;
    return (
      known?.orderId === entry.orderId &&
      known.status === 'intended' &&
      known.epoch === this.authority.epoch
    );
  }

  private *write(
    receiver: string,
    entry: JournalEntry<Spec>,
  ): Procedure<Result<JournalEntry<Spec>, JournalError>> {
    const {random} = this.dependencies;
    const key = this.prefix + receiver;
    const answer = yield* putSettled(this.dependencies, {
      key,
      body: entry,
      attemptId: `${this.authority.sessionId}.${random.nextHex(4)}`,
      ifRevision: this.stored.get(receiver)?.revision ?? 0,
      giveUpAfterMs: WRITE_TIMEOUT_MS,
    });
    if (answer.ok) {
      this.stored.set(receiver, {revision: answer.val.revision, entry});
      return Ok(entry);
    }
    // The stored entry is unknown now and must be read again before the next write.
    this.stored.delete(receiver);
    const {kind} = answer.val;
    if (kind === 'conflict') return Err({kind, detail: `${key} was changed concurrently`});
    return Err({kind: 'unavailable', detail: `${key}: ${answer.val.detail}`});
  }

  private store(key: string, revision: Revision, value: string): void {
    const parsed = this.schema.safeParse(JSON.parse(value));
    const entry = parsed.success ? parsed.data : undefined;
    this.stored.set(key.slice(this.prefix.length), {revision, entry});
  }
}

function createEmptyEntry<Spec>(): StoredEntry<Spec> {
  return {revision: 0, entry: undefined};
}
