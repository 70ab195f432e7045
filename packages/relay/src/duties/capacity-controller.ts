import {call, Clock, EventLog, HostId, Procedure} from '@radishgw/core';
import {
  CapacitySettings,
  CapacityState,
  createCapacityState,
  decideCapacity,
  DEFAULT_CAPACITY_SETTINGS,
  recordOrder,
} from './capacity-policy.js';
import {ConfigView} from '../store/config-view.js';
import {HostRecord} from '../store/host-registry.js';
import {DutyClient, ServiceName} from '../model.js';
import {TargetPool} from '../targets/target-pool.js';

/** Dependencies of {@link CapacityController}. */
export interface CapacityControllerDependencies {
  readonly hostId: HostId;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly duties: DutyClient;
  readonly configView: ConfigView;
  readonly targets: TargetPool;
}

/** Scales the services by ordering targets while this host holds the fleet lease. */
export class CapacityController {
  private readonly states = new Map<ServiceName, CapacityState>();

  constructor(
    private readonly deps: CapacityControllerDependencies,
    private readonly settings: CapacitySettings = DEFAULT_CAPACITY_SETTINGS,
  ) {}

  /** Sends the orders that are due. Calls `currentTerm` again before each order. */
  *step(hosts: readonly HostRecord[], currentTerm: () => number | undefined): Procedure<void> {
    const {deps} = this;
    const config = deps.configView.config;
    if (!config || !deps.targets.hasSynced) return;
    for (const service of config.services.values()) {
      const entries = deps.targets.forService(service.name).map(target => target.entry);
      let state = this.states.get(service.name);
      if (!state) {
        if (entries.length === 0) continue;
        state = createCapacityState(deps.clock.nowMs());
        this.states.set(service.name, state);
      }
      const demand = hosts.reduce((sum, host) => sum + (host.demand?.[service.name] ?? 0), 0);
      const nowMs = deps.clock.nowMs();
      const orders = decideCapacity(
        state,
        service,
        entries,
        demand,
        this.settings,
        nowMs,
        deps.targets.evacuatedDomains,
      );
      for (const order of orders) {
        const term = currentTerm();
        if (term === undefined) return;
        recordOrder(state, order, nowMs);
        deps.log.write('orderSent', {...order, term, demand, known: entries.length});
        const answer = yield* call(() => deps.duties.orderTargets(order, deps.hostId, term));
        deps.log.write(answer === 'accepted' ? 'orderFinished' : 'orderFailed', {
          ...order,
          term,
          answer,
        });
      }
    }
  }
}
