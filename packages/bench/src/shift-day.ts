import {createSeededRandom, FailureDomain, RandomSource, TargetId, toId} from '@radishgw/core';
import {EngineLoad, EngineRole} from '@radishgw/fleet';
import {countOscillations, FIRST_TOKEN_TARGET_MS, RoleStrategy} from './shift-minutes.js';
import {findMean} from './summary.js';

const DAY_MS = 86_400_000;

/** Settings of the simulation of a day, a fluid approximation in coarse steps. */
export const DAY_SETTINGS = {
  stepMs: 10_000,
  /** Time for which a role change takes an engine out of service. */
  changeMs: 30_000,
  /** Capacity of an engine with both roles: 40.7 ms of useful work in a step of 44 ms. */
  mixedEfficiency: 0.925,
  meanLoad: 0.6,
  loadSwing: 0.1,
  meanShare: 0.32,
  shareSwing: 0.5,
  /** Prefill time of a prompt at the mean share, without other work on the engine. */
  promptMs: 106,
  /** Factor on the prefill time for engines with both roles: chunks of 256 in steps of 44 ms. */
  mixedSlowdown: 2.6,
};

/** Results of one day. */
export interface DayFigures {
  readonly goodput: number;
  readonly worstHour: number;
  readonly changes: number;
  readonly oscillations: number;
}

interface Demand {
  readonly prefill: number;
  readonly decode: number;
}

/** Returns the demand over a day, with noise by the minute and 12 excursions of ten minutes. */
function createDemand(engines: number, random: RandomSource): (atMs: number) => Demand {
  const phase = random.next();
  const minutes = Array.from({length: DAY_MS / 60_000 + 1}, () => 0.9 + 0.2 * random.next());
  const excursions = Array.from({length: 12}, () => ({
    startMs: random.next() * DAY_MS,
    factor: random.next() < 0.5 ? 0.67 : 1.5,
  }));
  const {meanLoad, loadSwing, meanShare, shareSwing} = DAY_SETTINGS;
  return atMs => {
    const turn = 2 * Math.PI * (atMs / DAY_MS + phase);
    const excursion = excursions.find(
      ({startMs}) => atMs >= startMs && atMs < startMs + 600_000,
    )?.factor;
    const swing = minutes[Math.floor(atMs / 60_000)] * (excursion ?? 1);
    const share = Math.min(0.9, meanShare * (1 + shareSwing * Math.sin(turn)) * swing);
    const work = engines * (meanLoad + loadSwing * Math.sin(turn + 2));
    return {prefill: work * share, decode: work * (1 - share)};
  };
}

/** Fluid model of a pool. Waiting times within a step follow an M/M/c approximation. */
class FluidPool {
  readonly roles: EngineRole[];
  private readonly roleSinceMs: number[];
  private prefillBacklogMs = 0;
  private decodeBacklog = 0;
  private loads: EngineLoad[] = [];

  constructor(roles: readonly EngineRole[]) {
    this.roles = [...roles];
    this.roleSinceMs = roles.map(() => -Infinity);
  }

  changeRole(index: number, role: EngineRole, nowMs: number): void {
    this.roles[index] = role;
    this.roleSinceMs[index] = nowMs;
  }

  /** Returns the load reports of the previous step. */
  readLoads(): readonly EngineLoad[] {
    return this.loads;
  }

  /** Serves one step of demand; returns the share of requests that meet both latency targets. */
  serve(demand: Demand, nowMs: number): number {
    const {stepMs, changeMs, mixedEfficiency, promptMs, mixedSlowdown, meanShare} = DAY_SETTINGS;
    const counts = {prefill: 0, both: 0, decode: 0};
    this.roles.forEach((role, index) => {
      if (nowMs - this.roleSinceMs[index] >= changeMs) counts[role]++;
    });
    const mixed = counts.both * mixedEfficiency;
    const decodeWanted = demand.decode + this.decodeBacklog;
    const mixedDecode = Math.min(mixed, Math.max(0, decodeWanted - counts.decode));
    const mixedPrefill = mixed - mixedDecode;
    const prefillWanted = demand.prefill + this.prefillBacklogMs / stepMs;
    const dedicatedPrefill = Math.min(prefillWanted, counts.prefill * 0.95);
    const mixedPrefillDone = Math.min(prefillWanted - dedicatedPrefill, mixedPrefill);
    this.prefillBacklogMs =
      Math.max(0, prefillWanted - dedicatedPrefill - mixedPrefillDone) * stepMs;
    const decodeDone = Math.min(decodeWanted, counts.decode + mixedDecode);
    this.decodeBacklog = Math.max(0, decodeWanted - decodeDone);
    const share = demand.prefill / (demand.prefill + demand.decode);
    const serviceMs = (promptMs * share) / meanShare;
    const capacity = Math.max(1e-9, dedicatedPrefill + mixedPrefillDone);
    const backlogMs = this.prefillBacklogMs / capacity;
    const onTimeShare =
      (dedicatedPrefill *
        estimateOnTimeShare(dedicatedPrefill, counts.prefill, serviceMs, backlogMs) +
        mixedPrefillDone *
          estimateOnTimeShare(
            mixedPrefillDone,
            mixedPrefill,
            serviceMs * mixedSlowdown,
            backlogMs,
          )) /
      capacity;
    this.publish(demand, counts, dedicatedPrefill + mixedPrefillDone, decodeDone, nowMs);
    return onTimeShare * Math.min(1, decodeDone / decodeWanted);
  }

  private publish(
    demand: Demand,
    counts: Record<EngineRole, number>,
    prefillDone: number,
    decodeDone: number,
    nowMs: number,
  ): void {
    const prefillers = Math.max(1, counts.prefill + counts.both);
    const decoders = Math.max(1, counts.decode + counts.both);
    this.loads = this.roles.map((role, index) => {
      const sinceMs = nowMs - this.roleSinceMs[index];
      const changing = sinceMs < DAY_SETTINGS.changeMs;
      const prefills = role !== 'decode' && !changing;
      const decodes = role !== 'prefill' && !changing;
      return {
        targetId: toId<TargetId>(`${index}`),
        failureDomain: toId<FailureDomain>(`domain-${index % 3}`),
        role,
        roleAgeMs: sinceMs,
        changing,
        leaving: false,
        reportAgeMs: DAY_SETTINGS.stepMs,
        prefillWork: prefills ? prefillDone / prefillers : 0,
        prefillBacklogMs: prefills ? this.prefillBacklogMs / prefillers : 0,
        decodeWork: decodes ? decodeDone / decoders : 0,
        decodeBacklog: decodes ? this.decodeBacklog / decoders : 0,
      };
    });
  }
}

/** Prompt sizes relative to the mean, at the midpoints of ten log-normal quantiles (sigma 0.5). */
const RELATIVE_PROMPT_SIZES = [0.39, 0.53, 0.63, 0.73, 0.83, 0.94, 1.07, 1.24, 1.48, 2.01];

/** Share of prompts whose waiting and service times fit within the first-token target. */
function estimateOnTimeShare(
  work: number,
  servers: number,
  serviceMs: number,
  backlogMs: number,
): number {
  if (work <= 0) return 0;
  const utilisation = Math.min(1, work / servers);
  const waitProbability = utilisation ** (Math.sqrt(2 * (servers + 1)) - 1);
  const onTime = RELATIVE_PROMPT_SIZES.map(size => {
    const leftMs = FIRST_TOKEN_TARGET_MS - size * serviceMs - backlogMs;
    if (leftMs <= 0) return 0;
    return 1 - waitProbability * Math.exp((-servers * (1 - utilisation) * leftMs) / serviceMs);
  });
  return findMean(onTime);
}

/** Simulates one strategy for a day. */
export function runDay(strategy: RoleStrategy, engines: number, seed: number): DayFigures {
  const demandAt = createDemand(engines, createSeededRandom(seed));
  const pool = new FluidPool(strategy.startRoles(engines));
  const decide = strategy.start();
  const orders: Array<{readonly atMs: number; readonly direction: number}> = [];
  const hours: number[] = Array.from({length: 24}, () => 0);
  const {stepMs} = DAY_SETTINGS;
  for (let nowMs = 0; nowMs < DAY_MS; nowMs += stepMs) {
    if (nowMs > 0) {
      for (const {targetId, to, direction} of decide(pool.readLoads(), nowMs)) {
        pool.changeRole(Number(targetId), to, nowMs);
        orders.push({atMs: nowMs, direction});
      }
    }
    hours[Math.floor(nowMs / 3_600_000)] += pool.serve(demandAt(nowMs), nowMs);
  }
  const shares = hours.map(sum => (sum * stepMs) / 3_600_000);
  return {
    goodput: shares.reduce((sum, share) => sum + share, 0) / shares.length,
    worstHour: Math.min(...shares),
    changes: orders.length,
    oscillations: countOscillations(orders),
  };
}
