import {Err, Ok, OrderId, RandomSource, Result, TargetId, VirtualClock} from '@radishgw/core';
import {EngineControl, EngineOrder, EngineState, SendError} from '@radishgw/fleet';
import {SimulatedProcess} from './simulated-process.js';

/** An order that an engine received. */
export interface ReceivedOrder {
  readonly order: EngineOrder;
  readonly sender: string;
  /** When the sender checked its authority. */
  readonly checkedAtMs: number;
  readonly receivedAtMs: number;
  /** Whether the sender was paused between the authority check and the receipt. */
  readonly senderPaused: boolean;
  readonly outcome: 'applied' | 'repeated' | 'stale';
}

type SendResult = Result<void, SendError>;

const INITIAL_STATE: EngineState = {
  orderId: null,
  role: 'both',
  modelVersions: [],
  adapters: [],
  drain: false,
  activeRequests: 0,
};

/** A simulated engine that records the orders that it receives. */
export class RecordingEngine {
  readonly receivedOrders: ReceivedOrder[] = [];
  /** Called after each received order. */
  onOrderReceived: (received: ReceivedOrder) => void = () => undefined;
  state: EngineState = INITIAL_STATE;
  /** Incremented with each crash; orders sent to an earlier incarnation are lost. */
  incarnation = 0;
  isUp = true;
  /** Disables the check of fencing numbers, to show which failures it prevents. */
  ignoreFencing = false;
  private highestFencing = 0;

  constructor(
    readonly targetId: TargetId,
    /** Whether the engine refuses orders with an old fencing number. */
    readonly checksFencing: boolean,
  ) {}

  crash(): void {
    this.isUp = false;
    this.incarnation++;
    this.state = INITIAL_STATE;
    this.highestFencing = 0;
  }

  restart(): void {
    this.isUp = true;
  }

  receive(arrival: Omit<ReceivedOrder, 'outcome'>): SendResult {
    const outcome = this.apply(arrival.order);
    const received = {...arrival, outcome};
    this.receivedOrders.push(received);
    this.onOrderReceived(received);
    return outcome === 'stale' ? Err({kind: 'stale', detail: 'old fencing number'}) : Ok(undefined);
  }

  private apply(order: EngineOrder): ReceivedOrder['outcome'] {
    const checks = this.checksFencing && !this.ignoreFencing;
    if (checks && order.fencingNumber < this.highestFencing) return 'stale';
    this.highestFencing = Math.max(this.highestFencing, order.fencingNumber);
    if (this.state.orderId === order.orderId) return 'repeated';
    const {orderId, role, modelVersions, adapters, drain} = order;
    this.state = {
      orderId: orderId as OrderId,
      role,
      modelVersions,
      adapters,
      drain,
      activeRequests: 0,
    };
    return 'applied';
  }
}

/** Faults of the paths from one host to the engines. */
export interface EnginePathFaults {
  /** Whether all orders and answers are dropped. */
  isPartitioned: boolean;
  /** Probability that an order is delayed in transit, at most until its connection is destroyed. */
  delayedProbability: number;
  /** Probability that the process is paused while it connects, before the authority check. */
  pauseInConnectProbability: number;
  /** Probability that the process is paused between the authority check and the system call. */
  pauseInSendProbability: number;
  lostAnswerProbability: number;
}

/** Options of {@link SimulatedEngineControl}. */
export interface SimulatedEngineControlOptions {
  readonly simulationClock: VirtualClock;
  readonly random: RandomSource;
  readonly process: SimulatedProcess;
  readonly sender: string;
  readonly engines: ReadonlyMap<TargetId, RecordingEngine>;
  readonly sendTimeoutMs: number;
  /** Maximum time that an order may still arrive after its connection was destroyed. */
  readonly wireMarginMs: number;
  readonly faults: EnginePathFaults;
  /**
   * Whether to check the authority before the send; false shows which failures the check prevents.
   */
  readonly checkBeforeSend: boolean;
}

/** Sends orders to {@link RecordingEngine}s over paths with simulated faults. */
export class SimulatedEngineControl implements EngineControl {
  constructor(private readonly options: SimulatedEngineControlOptions) {}

  sendOrder(targetId: TargetId, order: EngineOrder, authorise: () => boolean): Promise<SendResult> {
    const {simulationClock, process, faults} = this.options;
    const engine = this.options.engines.get(targetId)!;
    return new Promise(resolve => {
      if (!engine.isUp || faults.isPartitioned) {
        process.setTimer(100, () => resolve(Err({kind: 'notSent', detail: 'no connection'})));
        return;
      }
      const {incarnation} = engine;
      if (this.options.random.next() < faults.pauseInConnectProbability) {
        process.pause(this.options.random.next() * 15_000);
      }
      simulationClock.setTimer(this.drawLatencyMs(), () =>
        process.deliver(() => {
          if (this.options.checkBeforeSend && !authorise()) {
            resolve(Err({kind: 'unauthorised', detail: 'authority was lost'}));
            return;
          }
          this.write(engine, incarnation, order, resolve);
        }),
      );
    });
  }

  readState(targetId: TargetId): Promise<Result<EngineState, SendError>> {
    const {simulationClock, process, faults} = this.options;
    const engine = this.options.engines.get(targetId)!;
    return new Promise(resolve => {
      const fail = () => resolve(Err({kind: 'outcomeUnknown', detail: 'no answer'}));
      const timeout = process.setTimer(this.options.sendTimeoutMs, fail);
      simulationClock.setTimer(this.drawLatencyMs(), () => {
        if (!engine.isUp || faults.isPartitioned) return;
        const {state} = engine;
        simulationClock.setTimer(this.drawLatencyMs(), () => {
          if (faults.isPartitioned) return;
          process.deliver(() => {
            timeout.cancel();
            resolve(Ok(state));
          });
        });
      });
    });
  }

  /**
   * Simulates the system call that sends an order right after the authority check, and its answer.
   */
  private write(
    engine: RecordingEngine,
    incarnation: number,
    order: EngineOrder,
    resolve: (answer: SendResult) => void,
  ): void {
    const {simulationClock, random, process, faults, sender} = this.options;
    const checkedAtMs = simulationClock.nowMs();
    const {pauses} = process;
    let connectionDestroyedAtMs = Infinity;
    const timeout = process.setTimer(this.options.sendTimeoutMs, () => {
      connectionDestroyedAtMs = simulationClock.nowMs();
      resolve(Err({kind: 'outcomeUnknown', detail: 'send timeout'}));
    });
    const deliverOrder = () => {
      if (!engine.isUp || engine.incarnation !== incarnation) return;
      if (simulationClock.nowMs() > connectionDestroyedAtMs + this.options.wireMarginMs) return;
      const answer = engine.receive({
        order,
        sender,
        checkedAtMs,
        receivedAtMs: simulationClock.nowMs(),
        senderPaused: process.pauses !== pauses,
      });
      if (faults.isPartitioned || random.next() < faults.lostAnswerProbability) return;
      simulationClock.setTimer(this.drawLatencyMs(), () =>
        process.deliver(() => {
          timeout.cancel();
          resolve(answer);
        }),
      );
    };
    const isDelayed = random.next() < faults.delayedProbability;
    const transitMs = isDelayed ? random.next() * 8000 : this.drawLatencyMs();
    if (random.next() < faults.pauseInSendProbability) {
      process.pause(random.next() * 15_000);
      process.deliver(() => simulationClock.setTimer(transitMs, deliverOrder));
    } else {
      simulationClock.setTimer(transitMs, deliverOrder);
    }
  }

  private drawLatencyMs(): number {
    return 1 + this.options.random.next() * 4;
  }
}
