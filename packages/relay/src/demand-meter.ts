import {ServiceName} from './model.js';

/** Length of the intervals in which demand is counted. */
const INTERVAL_MS = 1000;

/**
 * Part of a change that shows after one interval: a single second with a few long prompts is no
 * trend. Rises and falls count alike, so that the levels of many hosts sum up to that of all; a
 * peak held at each host would count peaks of different moments as one.
 */
const NEW_SHARE = 0.5;

interface ServiceDemand {
  intervalStartMs: number;
  tokens: number;
  levelPerSecond: number;
}

/** Prompt tokens that clients ask of each service through this host, served or not. */
export class DemandMeter {
  private readonly services = new Map<ServiceName, ServiceDemand>();

  /** Counts a request. */
  record(service: ServiceName, tokens: number, nowMs: number): void {
    const demand = this.advance(service, nowMs);
    demand.tokens += tokens;
  }

  /** Level of demand by service, in tokens per second. */
  levels(nowMs: number): Record<string, number> {
    const levels: Record<string, number> = {};
    for (const service of this.services.keys()) {
      levels[service] = Math.round(this.advance(service, nowMs).levelPerSecond);
    }
    return levels;
  }

  private advance(service: ServiceName, nowMs: number): ServiceDemand {
    let demand = this.services.get(service);
    if (!demand) {
      demand = {intervalStartMs: nowMs, tokens: 0, levelPerSecond: 0};
      this.services.set(service, demand);
    }
    while (nowMs - demand.intervalStartMs >= INTERVAL_MS) {
      const perSecond = (demand.tokens * 1000) / INTERVAL_MS;
      demand.levelPerSecond += (perSecond - demand.levelPerSecond) * NEW_SHARE;
      demand.tokens = 0;
      demand.intervalStartMs += INTERVAL_MS;
    }
    return demand;
  }
}
