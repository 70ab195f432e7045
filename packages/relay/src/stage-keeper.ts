import {Clock, EventLog, HostId, Procedure, TargetId} from '@radishgw/core';
import {ConfigView} from './config-view.js';
import {RelayCodec} from './model.js';
import {decideStages, DEFAULT_STAGE_SETTINGS, StageOrder, StageState} from './stage-policy.js';
import {readWholeAnswer} from './target-answer.js';
import {PooledTarget, TargetPool} from './target-pool.js';

/** A call to an engine that isn't answered by then is taken as lost. */
const CALL_TIMEOUT_MS = 700;

/** Orders sent in one step; the duties' other work waits for them. */
const MAX_ORDERS_PER_STEP = 12;

/** What the orders to engines need. */
export interface StageParts {
  readonly hostId: HostId;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly codec: RelayCodec;
  readonly configView: ConfigView;
  readonly targets: TargetPool;
}

/** Orders engines to change their stage while this host holds the fleet lease. */
export class StageKeeper {
  private readonly orderedMs: StageState = new Map<TargetId, number>();

  constructor(private readonly parts: StageParts) {}

  /** Sends the orders that are due. `currentTerm` is asked again before each of them. */
  *step(currentTerm: () => number | undefined): Procedure<void> {
    const {parts} = this;
    const config = parts.configView.config;
    if (!config) return;
    for (const service of config.services.values()) {
      if (!service.engine) continue;
      const targets = parts.targets.ofService(service.name);
      const entries = targets.map(target => target.entry);
      const nowMs = parts.clock.nowMs();
      const orders = decideStages(this.orderedMs, entries, DEFAULT_STAGE_SETTINGS, nowMs);
      for (const order of orders.slice(0, MAX_ORDERS_PER_STEP)) {
        const target = targets.find(candidate => candidate.entry.id === order.target);
        if (target) yield* this.send(target, order, currentTerm);
      }
    }
  }

  /**
   * Orders one engine. The number of orders that it has accepted is read first and sent along: a late
   * copy of an earlier order is then refused by the engine.
   */
  private *send(
    target: PooledTarget,
    order: StageOrder,
    currentTerm: () => number | undefined,
  ): Procedure<void> {
    const {parts} = this;
    const accepted = yield* this.readAccepted(target);
    const term = currentTerm();
    if (accepted === undefined || term === undefined) return;
    this.orderedMs.set(order.target, parts.clock.nowMs());
    parts.log.write('orderSent', {...order, term, accepted, known: target.entry.stage});
    const message = parts.codec.stageOrder(order.stage, parts.hostId, term, accepted);
    const status = yield* this.call(target, 'POST', message.path, Buffer.from(message.body));
    const isDone = status !== undefined && status.code >= 200 && status.code < 300;
    parts.log.write(isDone ? 'orderFinished' : 'orderFailed', {
      ...order,
      term,
      status: status?.code,
    });
  }

  private *readAccepted(target: PooledTarget): Procedure<number | undefined> {
    const answer = yield* this.call(target, 'GET', this.parts.codec.reportPath, undefined);
    if (answer?.code !== 200) return undefined;
    return this.parts.codec.readAcceptedOrders(answer.body);
  }

  private *call(
    target: PooledTarget,
    method: string,
    path: string,
    body: Buffer | undefined,
  ): Procedure<{readonly code: number; readonly body: Buffer} | undefined> {
    const headers = this.parts.codec.writeControlHeaders(target.entry);
    const sent = this.parts.targets.send(target, {method, path, headers, body}, method === 'GET');
    try {
      const answer = yield* readWholeAnswer(sent.attempt, this.parts.codec, CALL_TIMEOUT_MS);
      if (answer.type !== 'answer') return undefined; // Logged by the caller as a failed order.
      sent.finish('finished');
      return {code: answer.status, body: answer.body};
    } finally {
      sent.finish('cancelled');
    }
  }
}
