import {call, Clock, EventLog, HostId, Procedure} from '@radishgw/core';
import {
  CapacitySettings,
  CapacityState,
  createCapacityState,
  decideCapacity,
  DEFAULT_CAPACITY_SETTINGS,
  recordOrder,
} from './capacity-policy.js';
import {ConfigView} from './config-view.js';
import {HostRecord} from './host-registry.js';
import {DutyClient, ServiceName} from './model.js';
import {TargetPool} from './target-pool.js';

/** What the orders for targets need. */
export interface CapacityParts {
  readonly hostId: HostId;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly duties: DutyClient;
  readonly configView: ConfigView;
  readonly targets: TargetPool;
}

/** Orders targets while this host holds the fleet lease. */
export class CapacityKeeper {
  private readonly states = new Map<ServiceName, CapacityState>();

  constructor(
    private readonly parts: CapacityParts,
    private readonly settings: CapacitySettings = DEFAULT_CAPACITY_SETTINGS,
  ) {}

  /** Sends the orders that are due. `currentTerm` is asked again before each of them. */
  *step(hosts: readonly HostRecord[], currentTerm: () => number | undefined): Procedure<void> {
    const {parts} = this;
    const config = parts.configView.config;
    if (!config || !parts.targets.hasRead) return;
    for (const service of config.services.values()) {
      const entries = parts.targets.ofService(service.name).map(target => target.entry);
      let state = this.states.get(service.name);
      if (!state) {
        if (entries.length === 0) continue;
        state = createCapacityState(parts.clock.nowMs());
        this.states.set(service.name, state);
      }
      const demand = hosts.reduce((sum, host) => sum + (host.demand?.[service.name] ?? 0), 0);
      const nowMs = parts.clock.nowMs();
      const orders = decideCapacity(state, service, entries, demand, this.settings, nowMs);
      for (const order of orders) {
        const term = currentTerm();
        if (term === undefined) return;
        recordOrder(state, order, nowMs);
        parts.log.write('orderSent', {...order, term, demand, known: entries.length});
        const answer = yield* call(() => parts.duties.orderTargets(order, parts.hostId, term));
        parts.log.write(answer === 'accepted' ? 'orderFinished' : 'orderFailed', {
          ...order,
          term,
          answer,
        });
      }
    }
  }
}
