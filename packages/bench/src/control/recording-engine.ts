import {Err, Ok, OrderId, RandomSource, Result, TargetId, VirtualClock} from '@radishgw/core';
import {EngineControl, EngineOrder, EngineState, SendError} from '@radishgw/fleet';
import {SimulatedProcess} from './simulated-process.js';

/** An order as it reached an engine. */
export interface ArrivedOrder {
  readonly order: EngineOrder;
  readonly sender: string;
  /** When the sender asked for its authority. */
  readonly checkedAtMs: number;
  readonly arrivedAtMs: number;
  /** Whether the sender was paused between the check and the arrival. */
  readonly senderPaused: boolean;
  readonly outcome: 'applied' | 'repeated' | 'stale';
}

type Answer = Result<void, SendError>;

const BLANK_STATE: EngineState = {
  orderId: null,
  role: 'both',
  modelVersions: [],
  adapters: [],
  drain: false,
  activeRequests: 0,
};

/** An engine that records what it receives. */
export class RecordingEngine {
  readonly arrived: ArrivedOrder[] = [];
  /** Called after each arrival. */
  onArrival: (arrived: ArrivedOrder) => void = () => undefined;
  state: EngineState = BLANK_STATE;
  /** Rises with each crash; bytes for an earlier process of the engine are lost. */
  incarnation = 0;
  isUp = true;
  /** Set to see what the check of fencing numbers prevents. */
  ignoreFencing = false;
  private highestFencing = 0;

  constructor(
    readonly targetId: TargetId,
    /** Whether it refuses old fencing numbers. */
    readonly checksFencing: boolean,
  ) {}

  crash(): void {
    this.isUp = false;
    this.incarnation++;
    this.state = BLANK_STATE;
    this.highestFencing = 0;
  }

  restart(): void {
    this.isUp = true;
  }

  receive(arrival: Omit<ArrivedOrder, 'outcome'>): Answer {
    const outcome = this.apply(arrival.order);
    const arrived = {...arrival, outcome};
    this.arrived.push(arrived);
    this.onArrival(arrived);
    return outcome === 'stale' ? Err({kind: 'stale', detail: 'old fencing number'}) : Ok(undefined);
  }

  private apply(order: EngineOrder): ArrivedOrder['outcome'] {
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
  /** Nothing passes. */
  partitioned: boolean;
  /** Probability that the bytes of an order are held up, at most until the connection ends. */
  heldUpProbability: number;
  /** Probability that the process is paused while the connection is made, before the check. */
  pauseInConnectProbability: number;
  /** Probability that the process is paused between the check and the system call. */
  pauseInSendProbability: number;
  lostAnswerProbability: number;
}

/** Options of {@link SimulatedEngineControl}. */
export interface SimulatedEngineControlOptions {
  readonly world: VirtualClock;
  readonly random: RandomSource;
  readonly process: SimulatedProcess;
  readonly sender: string;
  readonly engines: ReadonlyMap<TargetId, RecordingEngine>;
  readonly sendTimeoutMs: number;
  /** Longest time in which bytes arrive after their connection was destroyed. */
  readonly wireMarginMs: number;
  readonly faults: EnginePathFaults;
  /** False to leave the check before the send out, for seeing what it prevents. */
  readonly checkBeforeSend: boolean;
}

/** Sends orders to recording engines, with the faults of a real path. */
export class SimulatedEngineControl implements EngineControl {
  constructor(private readonly options: SimulatedEngineControlOptions) {}

  sendOrder(targetId: TargetId, order: EngineOrder, authorise: () => boolean): Promise<Answer> {
    const {world, process, faults} = this.options;
    const engine = this.options.engines.get(targetId)!;
    return new Promise(resolve => {
      if (!engine.isUp || faults.partitioned) {
        process.setTimer(100, () => resolve(Err({kind: 'notSent', detail: 'no connection'})));
        return;
      }
      const {incarnation} = engine;
      if (this.options.random.next() < faults.pauseInConnectProbability) {
        process.pause(this.options.random.next() * 15_000);
      }
      world.setTimer(this.drawLatencyMs(), () =>
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
    const {world, process, faults} = this.options;
    const engine = this.options.engines.get(targetId)!;
    return new Promise(resolve => {
      const fail = () => resolve(Err({kind: 'outcomeUnknown', detail: 'no answer'}));
      const timeout = process.setTimer(this.options.sendTimeoutMs, fail);
      world.setTimer(this.drawLatencyMs(), () => {
        if (!engine.isUp || faults.partitioned) return;
        const {state} = engine;
        world.setTimer(this.drawLatencyMs(), () => {
          if (faults.partitioned) return;
          process.deliver(() => {
            timeout.cancel();
            resolve(Ok(state));
          });
        });
      });
    });
  }

  /** The system call and what follows it; the check was made just before. */
  private write(
    engine: RecordingEngine,
    incarnation: number,
    order: EngineOrder,
    resolve: (answer: Answer) => void,
  ): void {
    const {world, random, process, faults, sender} = this.options;
    const checkedAtMs = world.nowMs();
    const {pauses} = process;
    let destroyedAtMs = Infinity;
    const timeout = process.setTimer(this.options.sendTimeoutMs, () => {
      destroyedAtMs = world.nowMs();
      resolve(Err({kind: 'outcomeUnknown', detail: 'send timeout'}));
    });
    const arrive = () => {
      if (!engine.isUp || engine.incarnation !== incarnation) return;
      if (world.nowMs() > destroyedAtMs + this.options.wireMarginMs) return;
      const answer = engine.receive({
        order,
        sender,
        checkedAtMs,
        arrivedAtMs: world.nowMs(),
        senderPaused: process.pauses !== pauses,
      });
      if (faults.partitioned || random.next() < faults.lostAnswerProbability) return;
      world.setTimer(this.drawLatencyMs(), () =>
        process.deliver(() => {
          timeout.cancel();
          resolve(answer);
        }),
      );
    };
    const heldUp = random.next() < faults.heldUpProbability;
    const wireMs = heldUp ? random.next() * 8000 : this.drawLatencyMs();
    if (random.next() < faults.pauseInSendProbability) {
      process.pause(random.next() * 15_000);
      process.deliver(() => world.setTimer(wireMs, arrive));
    } else {
      world.setTimer(wireMs, arrive);
    }
  }

  private drawLatencyMs(): number {
    return 1 + this.options.random.next() * 4;
  }
}
