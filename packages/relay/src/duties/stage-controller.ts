import {Clock, EventLog, HostId, Procedure, TargetId} from '@radishgw/core';
import {ConfigView} from '../store/config-view.js';
import {RelayCodec} from '../model.js';
import {decideStages, DEFAULT_STAGE_SETTINGS, StageOrder, StageState} from './stage-policy.js';
import {readCompleteAnswer} from '../targets/target-answer.js';
import {PooledTarget, TargetPool} from '../targets/target-pool.js';

/** Timeout of a call to an engine. */
const CALL_TIMEOUT_MS = 700;

/** Limit on the orders sent in one step, which delay the other fleet duties. */
const MAX_ORDERS_PER_STEP = 12;

/** Dependencies of {@link StageController}. */
export interface StageControllerDependencies {
  readonly hostId: HostId;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly codec: RelayCodec;
  readonly configView: ConfigView;
  readonly targets: TargetPool;
}

/** Assigns stages to engines while this host holds the fleet lease. */
export class StageController {
  private readonly lastOrderMs: StageState = new Map<TargetId, number>();

  constructor(private readonly deps: StageControllerDependencies) {}

  /** Sends the orders that are due. Calls `currentTerm` again before each order. */
  *step(currentTerm: () => number | undefined): Procedure<void> {
    const {deps} = this;
    const config = deps.configView.config;
    if (!config) return;
    for (const service of config.services.values()) {
      if (!service.engine) continue;
      const evacuated = deps.targets.evacuatedDomains;
      const targets = deps.targets
        .forService(service.name)
        .filter(({entry}) => !evacuated.has(entry.failureDomain));
      const entries = targets.map(target => target.entry);
      const nowMs = deps.clock.nowMs();
      const orders = decideStages(this.lastOrderMs, entries, DEFAULT_STAGE_SETTINGS, nowMs);
      for (const order of orders.slice(0, MAX_ORDERS_PER_STEP)) {
        const target = targets.find(candidate => candidate.entry.id === order.target);
        if (target) yield* this.send(target, order, currentTerm);
      }
    }
  }

  /**
   * Sends an order to one engine. The number of orders that the engine has accepted is read first
   * and sent with the order, so that the engine rejects a delayed copy of an earlier order.
   */
  private *send(
    target: PooledTarget,
    order: StageOrder,
    currentTerm: () => number | undefined,
  ): Procedure<void> {
    const {deps} = this;
    const accepted = yield* this.readAcceptedOrders(target);
    const term = currentTerm();
    if (accepted === undefined || term === undefined) return;
    this.lastOrderMs.set(order.target, deps.clock.nowMs());
    deps.log.write('orderSent', {...order, term, accepted, known: target.entry.stage});
    const message = deps.codec.stageOrder(order.stage, deps.hostId, term, accepted);
    const status = yield* this.call(target, 'POST', message.path, Buffer.from(message.body));
    const isAccepted = status !== undefined && status.code >= 200 && status.code < 300;
    deps.log.write(isAccepted ? 'orderFinished' : 'orderFailed', {
      ...order,
      term,
      status: status?.code,
    });
  }

  private *readAcceptedOrders(target: PooledTarget): Procedure<number | undefined> {
    const answer = yield* this.call(target, 'GET', this.deps.codec.reportPath, undefined);
    if (answer?.code !== 200) return undefined;
    return this.deps.codec.readAcceptedOrders(answer.body);
  }

  private *call(
    target: PooledTarget,
    method: string,
    path: string,
    body: Buffer | undefined,
  ): Procedure<{readonly code: number; readonly body: Buffer} | undefined> {
    const {clock, codec, targets} = this.deps;
    const headers = codec.writeControlHeaders(target.entry);
    const buffer = targets.openBuffer();
    const sent = targets.send(target, {method, path, headers, body}, method === 'GET');
    try {
      const answer = yield* readCompleteAnswer(sent.attempt, {clock, buffer}, CALL_TIMEOUT_MS);
      // The caller logs a failed order. An answer that names a request is a late one to a client.
      if (answer.type !== 'answer' || answer.meta.requestId !== undefined) return undefined;
      sent.finish('finished');
      return {code: answer.status, body: answer.body};
    } finally {
      buffer.resize(0);
      sent.finish('cancelled');
    }
  }
}
