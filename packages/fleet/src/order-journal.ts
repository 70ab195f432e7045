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

/** What control procedures of this package need from the outside. */
export interface FleetDependencies {
  readonly platform: Platform;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
}

/**
 * State of a journalled order.
 * - `intended`: it may have been sent, or may yet be.
 * - `applied`: the receiver's state showed it.
 * - `refused`: the receiver refused its content.
 */
export type OrderStatus = 'intended' | 'applied' | 'refused';

/** The last order to one receiver, as stored. */
export interface JournalEntry<Spec> {
  readonly orderId: OrderId;
  /** Number of the order among all orders to this receiver, by any holder. */
  readonly sequence: number;
  /** Epoch of the last holder that took this order on. */
  readonly epoch: number;
  readonly spec: Spec;
  readonly status: OrderStatus;
}

/** Why an entry could not be written; the caller must read it again before it goes on. */
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

/** Journal of orders under a key prefix, one object for each receiver. */
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

  /** The entry, from memory if it was read before. */
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

  /** Journals a new order; an earlier one must be settled. */
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

  /** Takes an unsettled order of an earlier holder on, under the same order id. */
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

  /** Records how an order ended. */
  *settle(
    receiver: string,
    entry: JournalEntry<Spec>,
    status: OrderStatus,
  ): Procedure<Result<JournalEntry<Spec>, JournalError>> {
    return yield* this.write(receiver, {...entry, status});
  }

  /** Whether this order is the journalled one, taken on in this holder's epoch. */
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
    // Whatever stands now is read again before the next step.
    this.stored.delete(receiver);
    const {kind} = answer.val;
    if (kind === 'conflict') return Err({kind, detail: `${key} was changed by another host`});
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
