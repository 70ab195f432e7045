import {
  createHandlers,
  createSeededRandom,
  Err,
  HostId,
  Ok,
  Procedure,
  Result,
  SessionId,
  SILENT_LOG,
  startTask,
  TargetId,
  Task,
  toId,
  VirtualClock,
} from '@radishgw/core';
import {Authority, AuthorityError} from '@radishgw/coordination';
import {MemoryPlatform, MemoryStore, runVirtually} from '@radishgw/coordination/testing';
import {
  EngineControl,
  EngineOrder,
  EngineOrders,
  EngineSpec,
  EngineState,
  SendError,
  TargetOrders,
} from '../src/index.js';

export const ENGINE = toId<TargetId>('engine');
export const PREFILL: EngineSpec = {
  role: 'prefill',
  modelVersions: ['m@1'],
  adapters: [],
  drain: false,
};
export const DECODE: EngineSpec = {...PREFILL, role: 'decode'};

/** An engine that accepts every order, with a queue of faults for the next sends. */
export class FakeEngine implements EngineControl {
  readonly received: EngineOrder[] = [];
  readonly faults: ('lostOrder' | 'lostAnswer' | 'rejected')[] = [];
  state: EngineState = {
    orderId: null,
    role: 'both',
    modelVersions: [],
    adapters: [],
    drain: false,
    activeRequests: 0,
  };

  async sendOrder(
    _targetId: TargetId,
    order: EngineOrder,
    authorise: () => boolean,
  ): Promise<Result<void, SendError>> {
    if (!authorise()) return Err({kind: 'unauthorised', detail: ''});
    const fault = this.faults.shift();
    if (fault === 'rejected') return Err({kind: 'rejected', detail: 'no such model'});
    if (fault !== 'lostOrder') {
      this.received.push(order);
      const {orderId, role, modelVersions, adapters, drain} = order;
      this.state = {...this.state, orderId, role, modelVersions, adapters, drain};
    }
    return fault ? Err({kind: 'outcomeUnknown', detail: fault}) : Ok(undefined);
  }

  async readState(): Promise<Result<EngineState, SendError>> {
    return Ok(this.state);
  }
}

/** An authority that lasts until `held` is set to false. */
export class FakeAuthority implements Authority {
  readonly hostId = toId<HostId>('host');
  readonly sessionId = toId<SessionId>('session');
  held = true;

  constructor(readonly epoch: number) {}

  check(): Result<number, AuthorityError> {
    return this.held ? Ok(this.epoch) : Err({kind: 'ended', detail: 'taken'});
  }
}

/** Consecutive holders of the `fleet` role that share one store and one engine. */
export class OrderFixture {
  readonly clock = new VirtualClock();
  readonly store = new MemoryStore(this.clock);
  readonly engine = new FakeEngine();
  readonly platform = new MemoryPlatform({
    store: this.store,
    clock: this.clock,
    random: createSeededRandom(1),
  });

  createHolder(epoch: number, checksFencing = true) {
    const authority = new FakeAuthority(epoch);
    const dependencies = {
      platform: this.platform,
      clock: this.clock,
      random: createSeededRandom(epoch),
      log: SILENT_LOG,
    };
    const settings = {checksFencing: () => checksFencing};
    const engines = new EngineOrders(dependencies, authority, this.engine, settings);
    return {authority, engines, targets: new TargetOrders(dependencies, authority)};
  }

  start<T>(procedure: Procedure<T>): Task<T> {
    return startTask(procedure, createHandlers(this.clock));
  }

  /** Runs a procedure to completion, for at most a minute of virtual time. */
  async finish<T>(procedure: Procedure<T>): Promise<T> {
    const task = this.start(procedure);
    await runVirtually(this.clock, this.clock.nowMs() + 60_000);
    return (await task.done) as T;
  }

  readJournal(key: string): Record<string, unknown> | undefined {
    const object = this.store.read(key);
    return object && (JSON.parse(object.value) as Record<string, unknown>);
  }
}
