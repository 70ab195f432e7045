import {assertInvariant, OrderId, TargetId} from '@radishgw/core';
import {MemoryStore, Received} from '@radishgw/coordination/testing';
import {TargetOrder} from '@radishgw/coordination';
import {ArrivedOrder, RecordingEngine} from './recording-engine.js';

/** What a checker may ask of a host. */
export interface CheckedHost {
  readonly name: string;
  /** Epoch of the `fleet` role while the host believes that it holds it. */
  believedEpoch(): number | undefined;
  /** When the check before a target order was made, and the pauses until then. */
  readonly targetOrderChecks: ReadonlyMap<string, {readonly atMs: number; readonly pauses: number}>;
  readonly process: {readonly pauses: number};
}

interface EngineHistory {
  /** Highest journal sequence among the applied orders. */
  highestSequence: number;
  highestFencing: number;
  lastOrderId: OrderId | undefined;
}

/** Checks of what engines and the platform received, against the journal and the hosts' beliefs. */
export class AuthorityChecks {
  /**
   * Orders that took effect at an engine without fencing checks later than the send timeout and
   * wire margin allow, because the sender was paused after its check. No rule of the sender can
   * prevent these; they are counted and reported.
   */
  lateAtUncheckedEngines = 0;
  /** The same for target orders at the platform. */
  lateAtPlatform = 0;
  /** Orders that took effect after their sender had lost its authority, as the journal orders. */
  completedForSuccessor = 0;
  private readonly senderByEpoch = new Map<number, string>();
  private readonly histories = new Map<TargetId, EngineHistory>();
  private highestPlatformFencing = 0;

  constructor(
    private readonly store: MemoryStore,
    private readonly hosts: () => readonly CheckedHost[],
    /** Longest time from check to arrival that the sender can guarantee. */
    private readonly longestFlightMs: number,
  ) {}

  /** At most one host believes that it holds the role. */
  checkBeliefs(): void {
    const believers = this.hosts().filter(host => host.believedEpoch() !== undefined);
    assertInvariant(
      believers.length <= 1,
      'authority.oneHolder',
      () => `${believers.map(host => `${host.name} (epoch ${host.believedEpoch()})`).join(', ')}`,
    );
  }

  checkEngineOrder(engine: RecordingEngine, arrived: ArrivedOrder): void {
    const {order, sender, outcome} = arrived;
    const {targetId} = engine;
    const history = this.historyOf(targetId);
    if (outcome === 'stale') return;
    this.checkSender(order.fencingNumber, sender);
    const sequence = Number(order.orderId.split('.')[1]);
    const flightMs = arrived.arrivedAtMs - arrived.checkedAtMs;
    const isLate = flightMs > this.longestFlightMs && arrived.senderPaused;
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
          `${Math.round(flightMs)} ms after its check`,
      );
      assertInvariant(
        !isOldEpoch || !engine.checksFencing,
        'orders.epochOrder',
        () => `${targetId} took epoch ${order.fencingNumber} after ${history.highestFencing}`,
      );
      if (outcome === 'applied') this.checkUnauthorised(engine, arrived);
    }
    if (sequence >= history.highestSequence) history.lastOrderId = order.orderId;
    history.highestSequence = Math.max(history.highestSequence, sequence);
    history.highestFencing = Math.max(history.highestFencing, order.fencingNumber);
  }

  /** The engine lost its state, and with it what it knew of earlier orders. */
  forgetEngine(targetId: TargetId): void {
    const history = this.historyOf(targetId);
    history.highestFencing = 0;
  }

  checkTargetOrder({client, body, atMs}: Received<TargetOrder>): void {
    this.checkBeliefs();
    this.checkSender(body.fencingNumber, client);
    const host = this.hosts().find(candidate => candidate.name === client)!;
    const checked = host.targetOrderChecks.get(`${body.orderId}/${body.fencingNumber}`)!;
    const isLate =
      atMs - checked.atMs > this.longestFlightMs && host.process.pauses !== checked.pauses;
    if (body.fencingNumber < this.highestPlatformFencing && isLate) {
      this.lateAtPlatform++;
      return;
    }
    assertInvariant(
      body.fencingNumber >= this.highestPlatformFencing,
      'orders.platformEpoch',
      () => `the platform got epoch ${body.fencingNumber} after ${this.highestPlatformFencing}`,
    );
    this.highestPlatformFencing = body.fencingNumber;
  }

  /**
   * An order that takes effect after its sender lost its authority must be the one that the journal
   * holds, so that its effect is the one that the successor would bring about first.
   */
  private checkUnauthorised(engine: RecordingEngine, {order, sender}: ArrivedOrder): void {
    const host = this.hosts().find(candidate => candidate.name === sender);
    if (host?.believedEpoch() === order.fencingNumber) return;
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
