import {Clock, EventLog, HostId, Procedure, TargetId} from '@radishgw/core';
import {ConfigView} from '../store/config-view.js';
import {EngineStage, RelayCodec, ServiceName} from '../model.js';
import {
  decideStages,
  decideStagesByWork,
  DEFAULT_STAGE_SETTINGS,
  StageOrder,
  StageState,
} from './stage-policy.js';
import {OutgoingRequest} from '../targets/target-connections.js';
import {readCompleteAnswer} from '../targets/target-answer.js';
import {PooledTarget, TargetPool} from '../targets/target-pool.js';
import {recordSlowdown, reportsSlowdown} from '../targets/target-state.js';

/** Timeout of a call to an engine. */
const CALL_TIMEOUT_MS = 700;

/**
 * Maximum size of an answer, which is decoded. A report lists the runs of an engine, each with the id
 * of its request.
 */
const MAX_ANSWER_BYTES = 256 * 1024;

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
  /** Whether services may be planned by work, if their targets report slowdowns; if undefined too. */
  readonly allowsWorkPlans?: boolean;
}

/** Assigns stages to engines while this host holds the fleet lease. */
export class StageController {
  private readonly lastOrderMs: StageState = new Map<TargetId, number>();
  private readonly lastOrders = new Map<TargetId, {stage: EngineStage; atMs: number}>();
  /** Services whose targets have reported how long work takes. */
  private readonly byWork = new Set<ServiceName>();

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
      const isByWork = this.isByWork(service.name);
      const orders = isByWork
        ? decideStagesByWork(this.lastOrders, entries, DEFAULT_STAGE_SETTINGS, nowMs)
        : decideStages(this.lastOrderMs, entries, DEFAULT_STAGE_SETTINGS, nowMs);
      for (const order of orders.slice(0, MAX_ORDERS_PER_STEP)) {
        const target = targets.find(candidate => candidate.entry.id === order.target);
        if (!target) continue;
        const accepted = yield* this.readAcceptedOrders(target);
        // The report may have shown that the service is planned by work.
        if (this.isByWork(service.name) !== isByWork) break;
        if (accepted !== undefined) yield* this.send(target, order, accepted, currentTerm);
      }
    }
  }

  private isByWork(service: ServiceName): boolean {
    const {allowsWorkPlans, targets} = this.deps;
    if (allowsWorkPlans === false) return false;
    if (targets.forService(service).some(reportsSlowdown)) this.byWork.add(service);
    return this.byWork.has(service);
  }

  /**
   * Sends an order to one engine. The number of orders that the engine has accepted, which was read
   * before, is sent with it, so that the engine rejects a delayed copy of an earlier order.
   */
  private *send(
    target: PooledTarget,
    order: StageOrder,
    accepted: number,
    currentTerm: () => number | undefined,
  ): Procedure<void> {
    const {deps} = this;
    const term = currentTerm();
    if (term === undefined) return;
    const nowMs = deps.clock.nowMs();
    this.lastOrderMs.set(order.target, nowMs);
    this.lastOrders.set(order.target, {stage: order.stage, atMs: nowMs});
    deps.log.write('orderSent', {...order, term, accepted, known: target.entry.stage});
    const message = deps.codec.stageOrder(order.stage, deps.hostId, term, accepted);
    const status = yield* this.call(target, {
      method: 'POST',
      path: message.path,
      body: Buffer.from(message.body),
      mayStart: () => currentTerm() === term,
    });
    const isAccepted = status !== undefined && status.code >= 200 && status.code < 300;
    deps.log.write(isAccepted ? 'orderFinished' : 'orderFailed', {
      ...order,
      term,
      status: status?.code,
    });
  }

  private *readAcceptedOrders(target: PooledTarget): Procedure<number | undefined> {
    const {reportPath: path} = this.deps.codec;
    const answer = yield* this.call(target, {method: 'GET', path, body: undefined});
    if (answer?.code !== 200) return undefined;
    return this.deps.codec.readAcceptedOrders(answer.body);
  }

  private *call(
    target: PooledTarget,
    request: Omit<OutgoingRequest, 'headers'>,
  ): Procedure<{readonly code: number; readonly body: Buffer} | undefined> {
    const {clock, codec, targets} = this.deps;
    const headers = codec.writeControlHeaders(target.entry);
    const buffer = targets.openBuffer();
    const sent = targets.send(target, {...request, headers}, request.method === 'GET');
    try {
      const reader = {clock, buffer, maxBytes: MAX_ANSWER_BYTES};
      const answer = yield* readCompleteAnswer(sent.attempt, reader, CALL_TIMEOUT_MS);
      // The caller logs a failed order. An answer that names a request is a late one to a client.
      if (answer.type !== 'answer' || answer.meta.requestId !== undefined) return undefined;
      sent.finish('finished');
      if (answer.meta.load) recordSlowdown(target, answer.meta.load, clock.nowMs());
      return {code: answer.status, body: answer.body};
    } finally {
      buffer.resize(0);
      sent.finish('cancelled');
    }
  }
}
