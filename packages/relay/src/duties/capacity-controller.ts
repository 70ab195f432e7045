import {call, Clock, EventLog, HostId, Procedure} from '@radishgw/core';
import {
  CapacitySettings,
  CapacityState,
  createCapacityState,
  decideCapacity,
  DEFAULT_CAPACITY_SETTINGS,
  recordAcceptedOrder,
  recordOrder,
  restartPlan,
} from './capacity-policy.js';
import {ConfigView} from '../store/config-view.js';
import {HostRecord} from '../store/host-registry.js';
import {DutyClient, ServiceName} from '../model.js';
import {TargetPool} from '../targets/target-pool.js';
import {reportsSlowdown} from '../targets/target-state.js';
import {WorkDemand} from './work-plan.js';

/** Dependencies of {@link CapacityController}. */
export interface CapacityControllerDependencies {
  readonly hostId: HostId;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly duties: DutyClient;
  readonly configView: ConfigView;
  readonly targets: TargetPool;
  /** Whether services may be planned by work, if their targets report slowdowns; if undefined too. */
  readonly allowsWorkPlans?: boolean;
}

/** Scales the services by ordering targets while this host holds the fleet lease. */
export class CapacityController {
  private readonly states = new Map<ServiceName, CapacityState>();
  /** Term of the lease at the latest step. */
  private lastTerm: number | undefined;

  constructor(
    private readonly deps: CapacityControllerDependencies,
    private readonly settings: CapacitySettings = DEFAULT_CAPACITY_SETTINGS,
  ) {}

  /** Numbers of targets that are planned, by service, while this host holds the fleet lease. */
  *plannedCounts(): Iterable<readonly [ServiceName, number]> {
    for (const [service, {desiredTotal}] of this.states) yield [service, desiredTotal];
  }

  /** Sends the orders that are due. Calls `currentTerm` again before each order. */
  *step(hosts: readonly HostRecord[], currentTerm: () => number | undefined): Procedure<void> {
    const {deps} = this;
    const config = deps.configView.config;
    if (!config || !deps.targets.hasSynced) return;
    const stepTerm = currentTerm();
    const isNewTerm = stepTerm !== this.lastTerm;
    this.lastTerm = stepTerm;
    for (const service of config.services.values()) {
      const targets = deps.targets.forService(service.name);
      const entries = targets.map(target => target.entry);
      let state = this.states.get(service.name);
      if (!state) {
        if (entries.length === 0) continue;
        state = createCapacityState(deps.clock.nowMs());
        this.states.set(service.name, state);
      }
      if (isNewTerm) restartPlan(state, entries);
      const work = sumDemand(hosts, service.name);
      const demand = work.tokensPerSecond;
      const isByWork =
        deps.allowsWorkPlans !== false &&
        (state.plan !== undefined || work.isReported || targets.some(reportsSlowdown));
      const nowMs = deps.clock.nowMs();
      const orders = decideCapacity(
        state,
        service,
        entries,
        demand,
        this.settings,
        nowMs,
        deps.targets.evacuatedDomains,
        isByWork ? work : undefined,
      );
      const uncached = isByWork ? Math.round(work.uncachedPerSecond) : undefined;
      const planned = isByWork ? state.desiredTotal : undefined;
      for (const order of orders) {
        const term = currentTerm();
        if (term === undefined) return;
        recordOrder(state, order, nowMs, entries);
        const known = entries.length;
        deps.log.write('orderSent', {...order, term, demand, uncached, planned, known});
        const mayAct = () => currentTerm() === term;
        const answer = yield* call(() =>
          deps.duties.orderTargets(order, deps.hostId, term, mayAct),
        );
        if (answer === 'accepted') recordAcceptedOrder(state, order);
        deps.log.write(answer === 'accepted' ? 'orderFinished' : 'orderFailed', {
          ...order,
          term,
          answer,
        });
      }
    }
  }
}

/**
 * Adds the demand of the hosts. Hosts that don't state which part isn't cached, for example because
 * no target has answered them yet, have the same share as the others; without any, nothing counts as
 * cached.
 */
export function sumDemand(
  hosts: readonly HostRecord[],
  service: ServiceName,
): WorkDemand & {readonly isReported: boolean} {
  let tokensPerSecond = 0;
  let reportedPerSecond = 0;
  let uncachedPerSecond = 0;
  let hostCount = 0;
  let isReported = false;
  for (const {demand, uncachedDemand} of hosts) {
    const tokens = demand?.[service] ?? 0;
    const uncached = uncachedDemand?.[service];
    tokensPerSecond += tokens;
    hostCount++;
    if (uncached === undefined) continue;
    isReported = true;
    reportedPerSecond += tokens;
    uncachedPerSecond += uncached;
  }
  const share = reportedPerSecond > 0 ? uncachedPerSecond / reportedPerSecond : 1;
  return {tokensPerSecond, uncachedPerSecond: tokensPerSecond * share, hostCount, isReported};
}
