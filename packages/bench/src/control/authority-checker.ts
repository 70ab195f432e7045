import {assertInvariant, OrderId, TargetId} from '@radishgw/core';
import {MemoryStore, Received} from '@radishgw/coordination/testing';
import {TargetOrder} from '@radishgw/coordination';
import {ReceivedOrder, RecordingEngine} from './recording-engine.js';

/** The parts of a host that {@link AuthorityChecker} inspects. */
export interface CheckedHost {
  readonly name: string;
  /** Epoch of the `fleet` role while the host considers itself its holder. */
  heldEpoch(): number | undefined;
  /**
   * Time of the authority check before each target order and the number of pauses until then, by
   * order id and fencing number.
   */
  readonly targetOrderChecks: ReadonlyMap<string, {readonly atMs: number; readonly pauses: number}>;
  readonly process: {readonly pauses: number};
}

interface EngineHistory {
  /** Highest journal sequence among the applied orders. */
  highestSequence: number;
  highestFencing: number;
  lastOrderId: OrderId | undefined;
}

/**
 * Checks the orders that engines and the platform received against the journal and against the role
 * epochs that hosts consider their own.
 */
export class AuthorityChecker {
  /**
   * Number of conflicting or outdated orders that an engine without fencing checks applied later
   * than the send timeout and wire margin allow, because the sender was paused after its authority
   * check. The sender can't prevent these, so they are counted and reported instead of failing the
   * run.
   */
  lateAtUncheckedEngines = 0;
  /** Number of target orders that the platform received late for the same reason. */
  lateAtPlatform = 0;
  /** Number of journalled orders that took effect after their sender had lost its authority. */
  completedForSuccessor = 0;
  private readonly senderByEpoch = new Map<number, string>();
  private readonly histories = new Map<TargetId, EngineHistory>();
  private highestPlatformFencing = 0;

  constructor(
    private readonly store: MemoryStore,
    private readonly hosts: () => readonly CheckedHost[],
    /** Maximum time from the authority check to the receipt that the sender can guarantee. */
    private readonly maxDeliveryMs: number,
  ) {}

  /** Checks that at most one host considers itself the holder of the role. */
  checkSingleHolder(): void {
    const holders = this.hosts().filter(host => host.heldEpoch() !== undefined);
    assertInvariant(
      holders.length <= 1,
      'authority.oneHolder',
      () => `${holders.map(host => `${host.name} (epoch ${host.heldEpoch()})`).join(', ')}`,
    );
  }

  checkEngineOrder(engine: RecordingEngine, received: ReceivedOrder): void {
    const {order, sender, outcome} = received;
    const {targetId} = engine;
    const history = this.historyOf(targetId);
    if (outcome === 'stale') return;
    this.checkSender(order.fencingNumber, sender);
    const sequence = Number(order.orderId.split('.')[1]);
    const deliveryMs = received.receivedAtMs - received.checkedAtMs;
    const isLate = deliveryMs > this.maxDeliveryMs && received.senderPaused;
    const conflicts =
      sequence < history.highestSequence ||
      (sequence === history.highestSequence && order.orderId !== history.lastOrderId);
    const isOldEpoch = order.fencingNumber < history.highestFencing;
    if ((conflicts || isOldEpoch) && outcome === 'applied' && !engine.checksFencing && isLate) {
      this.lateAtUncheckedEngines++;
    } else {
      assertInvariant(
        !conflicts || outcome === 'repeated',
        'orders.noConflict',
        () =>
          `${targetId} applied ${order.orderId} of ${sender} after ${history.lastOrderId}, ` +
          `${Math.round(deliveryMs)} ms after its check`,
      );
      assertInvariant(
        !isOldEpoch || !engine.checksFencing,
        'orders.epochOrder',
        () => `${targetId} accepted epoch ${order.fencingNumber} after ${history.highestFencing}`,
      );
      if (outcome === 'applied') this.checkUnauthorisedEffect(engine, received);
    }
    if (sequence >= history.highestSequence) history.lastOrderId = order.orderId;
    history.highestSequence = Math.max(history.highestSequence, sequence);
    history.highestFencing = Math.max(history.highestFencing, order.fencingNumber);
  }

  /** Resets the expected fencing number after an engine lost its state in a crash. */
  resetEngineFencing(targetId: TargetId): void {
    const history = this.historyOf(targetId);
    history.highestFencing = 0;
  }

  checkTargetOrder({client, body, atMs}: Received<TargetOrder>): void {
    this.checkSingleHolder();
    this.checkSender(body.fencingNumber, client);
    const host = this.hosts().find(candidate => candidate.name === client)!;
    const checked = host.targetOrderChecks.get(`${body.orderId}/${body.fencingNumber}`)!;
    const isLate =
      atMs - checked.atMs > this.maxDeliveryMs && host.process.pauses !== checked.pauses;
    if (body.fencingNumber < this.highestPlatformFencing && isLate) {
      this.lateAtPlatform++;
      return;
    }
    assertInvariant(
      body.fencingNumber >= this.highestPlatformFencing,
      'orders.platformEpoch',
      () =>
        `the platform received epoch ${body.fencingNumber} after ${this.highestPlatformFencing}`,
    );
    this.highestPlatformFencing = body.fencingNumber;
  }

  /**
   * Checks that an order that takes effect after its sender lost its authority is the journalled
   * one. The successor starts with that order, so the effect is the same.
   */
  private checkUnauthorisedEffect(engine: RecordingEngine, {order, sender}: ReceivedOrder): void {
    const host = this.hosts().find(candidate => candidate.name === sender);
    if (host?.heldEpoch() === order.fencingNumber) return;
    const journalled = this.store.read(`orders/${engine.targetId}`);
    const entry = journalled && (JSON.parse(journalled.value) as {orderId: string});
    assertInvariant(
      entry?.orderId === order.orderId,
      'orders.unauthorisedEffect',
      () =>
        `${engine.targetId} applied ${order.orderId} of ${sender}, which has no authority; ` +
        `the journal holds ${entry?.orderId}`,
    );
    this.completedForSuccessor++;
  }

  private checkSender(epoch: number, sender: string): void {
    const known = this.senderByEpoch.get(epoch) ?? sender;
    this.senderByEpoch.set(epoch, known);
    assertInvariant(
      known === sender,
      'orders.oneSenderPerEpoch',
      () => `epoch ${epoch} was used by ${known} and ${sender}`,
    );
  }

  private historyOf(targetId: TargetId): EngineHistory {
    const known = this.histories.get(targetId);
    if (known) return known;
    const created = {highestSequence: 0, highestFencing: 0, lastOrderId: undefined};
    this.histories.set(targetId, created);
    return created;
  }
}
