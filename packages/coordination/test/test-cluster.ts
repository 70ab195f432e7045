import {
  createHandlers,
  createSeededRandom,
  EffectHandlers,
  FailureDomain,
  HostId,
  Procedure,
  SILENT_LOG,
  startTask,
  Task,
  toId,
  VirtualClock,
} from '@radishgw/core';
import {
  ControlDependencies,
  DEFAULT_LEASE_TIMES,
  HostSession,
  Membership,
  RoleLease,
} from '../src/index.js';
import {MemoryPlatform, MemoryStore, runVirtually} from '../src/testing/index.js';

/** Session, membership and role of one host, over a store that hosts share. */
export interface TestHost {
  readonly platform: MemoryPlatform;
  readonly dependencies: ControlDependencies;
  readonly handlers: EffectHandlers;
  readonly session: HostSession;
  readonly membership: Membership;
  readonly role: RoleLease;
  start<T>(procedure: Procedure<T>): Task<T>;
  /** Cancels all started procedures without releasing anything, like a killed process. */
  kill(): void;
}

/** Hosts that share one store and one virtual clock. */
export class TestCluster {
  readonly clock = new VirtualClock();
  readonly store = new MemoryStore(this.clock);
  private nextSeed = 1;

  createHost(name: string): TestHost {
    const random = createSeededRandom(this.nextSeed++);
    const {clock, store} = this;
    const platform = new MemoryPlatform({store, clock, random, client: name});
    platform.faults.latencyMs = [1, 3];
    const dependencies = {platform, clock, random, log: SILENT_LOG};
    const handlers = createHandlers(clock);
    const session = new HostSession(dependencies, {
      hostId: toId<HostId>(name),
      failureDomain: toId<FailureDomain>(`domain-${name}`),
      callerAddress: `${name}:1`,
      innerAddress: `${name}:2`,
      operatorAddress: `${name}:3`,
    });
    const membership = new Membership(dependencies, {times: DEFAULT_LEASE_TIMES});
    const role = new RoleLease(dependencies, handlers, session, membership, {role: 'fleet'});
    const tasks: Task<unknown>[] = [];
    const start = <T>(procedure: Procedure<T>) => {
      const task = startTask(procedure, handlers);
      tasks.push(task as Task<unknown>);
      return task;
    };
    const kill = () => tasks.forEach(task => task.cancel());
    return {platform, dependencies, handlers, session, membership, role, start, kill};
  }

  /** Creates a host and starts its session, membership and role. */
  startHost(name: string): TestHost {
    const host = this.createHost(name);
    host.start(host.session.run());
    host.start(host.membership.run());
    host.start(host.role.run());
    return host;
  }

  /** Advances the virtual clock by `durationMs`. */
  advance(durationMs: number): Promise<void> {
    return runVirtually(this.clock, this.clock.nowMs() + durationMs);
  }

  /** Parsed value of a stored object; undefined if absent. */
  read(key: string): Record<string, unknown> | undefined {
    const object = this.store.read(key);
    return object && (JSON.parse(object.value) as Record<string, unknown>);
  }
}
