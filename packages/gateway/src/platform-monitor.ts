import {Freshness} from '@radishgw/config';
import {Clock, EventLog} from '@radishgw/core';
import {
  Platform,
  PlatformAnswer,
  TargetOrder,
  UpdateCondition,
  UsageReport,
  WeightTransferRequest,
} from '@radishgw/coordination';

/**
 * Forwards calls and records whether the platform responds. Only an accepted write ends an outage:
 * a store that serves reads but rejects writes can't accept a key withdrawal either.
 */
export class PlatformMonitor implements Platform {
  private failing = false;

  constructor(
    private readonly platform: Platform,
    private readonly clock: Clock,
    private readonly freshness: Freshness,
    private readonly log: EventLog,
  ) {}

  get isFailing(): boolean {
    return this.failing;
  }

  get(key: string) {
    return this.observe(this.platform.get(key), false);
  }

  list(prefix: string) {
    return this.observe(this.platform.list(prefix), false);
  }

  put(key: string, value: string, condition?: UpdateCondition) {
    return this.observe(this.platform.put(key, value, condition), true);
  }

  remove(key: string, condition?: UpdateCondition) {
    return this.observe(this.platform.remove(key, condition), true);
  }

  watch(prefix: string, afterRevision: number, waitMs: number) {
    return this.observe(this.platform.watch(prefix, afterRevision, waitMs), false);
  }

  listHosts() {
    return this.observe(this.platform.listHosts(), false);
  }

  orderTargets(order: TargetOrder) {
    return this.platform.orderTargets(order);
  }

  reportUsage(report: UsageReport) {
    return this.platform.reportUsage(report);
  }

  reserveWeightTransfer(request: WeightTransferRequest) {
    return this.platform.reserveWeightTransfer(request);
  }

  private async observe<T>(pending: PlatformAnswer<T>, isWrite: boolean): PlatformAnswer<T> {
    const result = await pending;
    const failed =
      result.err && (result.val.kind === 'unavailable' || result.val.kind === 'outcomeUnknown');
    if (failed) {
      this.freshness.recordPlatformFailure(this.clock.nowMs());
      if (!this.failing) this.log.write('platformUnreachable', {error: result.val});
      this.failing = true;
    } else if (isWrite) {
      this.freshness.recordPlatformSuccess();
      if (this.failing) this.log.write('platformReachable');
      this.failing = false;
    }
    return result;
  }
}
