import {ServiceName} from '../model.js';

/** Length of the intervals in which demand is counted. */
const INTERVAL_MS = 1000;

/**
 * Weight of the latest interval: a single second with a few long prompts is not a trend. Rises and
 * falls have the same weight, so that the levels of the hosts add up to the level of the fleet. If
 * each host held its peak, the sum would add up peaks from different times.
 */
const SMOOTHING_FACTOR = 0.5;

/**
 * Weight of the latest interval in the share of tokens that aren't cached. A host with two prompts
 * a second needs several seconds to estimate it.
 */
const UNCACHED_SMOOTHING_FACTOR = 0.2;

interface ServiceDemand {
  intervalStartMs: number;
  tokens: number;
  levelPerSecond: number;
  placedTokens: number;
  uncachedTokens: number;
  /** Smoothed tokens per interval of the prompts that were placed, and those that aren't cached. */
  placedLevel: number;
  uncachedLevel: number;
}

/** Prompt tokens that clients request from each service through this host, served or refused. */
export class DemandMeter {
  private readonly services = new Map<ServiceName, ServiceDemand>();

  /** Records the prompt tokens of a request. */
  record(service: ServiceName, tokens: number, nowMs: number): void {
    const demand = this.advance(service, nowMs);
    demand.tokens += tokens;
  }

  /**
   * Records that a prompt was placed where `uncachedTokens` of it have to be prefilled.
   * `promptTokens` is 0 if it was placed before: it is the same demand and more work.
   */
  recordPlaced(
    service: ServiceName,
    promptTokens: number,
    uncachedTokens: number,
    nowMs: number,
  ): void {
    const demand = this.advance(service, nowMs);
    demand.placedTokens += promptTokens;
    demand.uncachedTokens += uncachedTokens;
  }

  /** Smoothed demand by service, in tokens per second. */
  levels(nowMs: number): Record<string, number> {
    const levels: Record<string, number> = {};
    for (const service of this.services.keys()) {
      levels[service] = Math.round(this.advance(service, nowMs).levelPerSecond);
    }
    return levels;
  }

  /**
   * Part of the demand by service that has to be prefilled, in tokens per second. It includes
   * requests that weren't placed, by the share that isn't cached of those that were.
   */
  uncachedLevels(nowMs: number): Record<string, number> {
    const levels: Record<string, number> = {};
    for (const service of this.services.keys()) {
      const {levelPerSecond, placedLevel, uncachedLevel} = this.advance(service, nowMs);
      const share = placedLevel > 0 ? uncachedLevel / placedLevel : 1;
      levels[service] = Math.round(levelPerSecond * share);
    }
    return levels;
  }

  private advance(service: ServiceName, nowMs: number): ServiceDemand {
    let demand = this.services.get(service);
    if (!demand) {
      demand = {
        intervalStartMs: nowMs,
        tokens: 0,
        levelPerSecond: 0,
        placedTokens: 0,
        uncachedTokens: 0,
        placedLevel: 0,
        uncachedLevel: 0,
      };
      this.services.set(service, demand);
    }
    while (nowMs - demand.intervalStartMs >= INTERVAL_MS) {
      const perSecond = (demand.tokens * 1000) / INTERVAL_MS;
      demand.levelPerSecond += (perSecond - demand.levelPerSecond) * SMOOTHING_FACTOR;
      demand.placedLevel += (demand.placedTokens - demand.placedLevel) * UNCACHED_SMOOTHING_FACTOR;
      demand.uncachedLevel +=
        (demand.uncachedTokens - demand.uncachedLevel) * UNCACHED_SMOOTHING_FACTOR;
      demand.tokens = 0;
      demand.placedTokens = 0;
      demand.uncachedTokens = 0;
      demand.intervalStartMs += INTERVAL_MS;
    }
    return demand;
  }
}
