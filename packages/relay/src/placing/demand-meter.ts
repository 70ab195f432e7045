import {ServiceName} from '../model.js';

/** Length of the intervals in which demand is counted. */
const INTERVAL_MS = 1000;

/**
 * Weight of the latest interval: a single second with a few long prompts is not a trend. Rises and
 * falls have the same weight, so that the levels of the hosts add up to the level of the fleet. If
 * each host held its peak, the sum would add up peaks from different times.
 */
const SMOOTHING_FACTOR = 0.5;

interface ServiceDemand {
  intervalStartMs: number;
  tokens: number;
  levelPerSecond: number;
}

/** Prompt tokens that clients request from each service through this host, served or refused. */
export class DemandMeter {
  private readonly services = new Map<ServiceName, ServiceDemand>();

  /** Records the prompt tokens of a request. */
  record(service: ServiceName, tokens: number, nowMs: number): void {
    const demand = this.advance(service, nowMs);
    demand.tokens += tokens;
  }

  /** Smoothed demand by service, in tokens per second. */
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
      demand.levelPerSecond += (perSecond - demand.levelPerSecond) * SMOOTHING_FACTOR;
      demand.tokens = 0;
      demand.intervalStartMs += INTERVAL_MS;
    }
    return demand;
  }
}
