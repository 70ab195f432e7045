import {Clock, FailureDomain} from '@radishgw/core';
import {
  COLD_INTERVAL_MS,
  ColdBounds,
  ColdHosts,
  coldShare,
  createColdHosts,
  hasColdShares,
  recordColdHosts,
  recordColdRecord,
} from './cold-shares.js';
import {isAtHome, RegionTable} from '../home-regions.js';
import {Instant, readInstant} from '../instant.js';
import {incarnationKey} from './leaving-targets.js';
import {
  createEvacuationView,
  EvacuationChanges,
  hasReadEvacuations,
  updateEvacuations,
} from './evacuations.js';
import {EvacuationList, Region, Service, ServiceName, TargetEntry} from '../model.js';
import {
  AccessRefusal,
  estimateRequests,
  isAvailable,
  TargetGate,
  TargetState,
} from './target-state.js';

/** Maximum number of a host's requests to one cold target within an interval. */
const MAX_TRACKED_SENDS = 1000;

const NO_REGIONS: RegionTable = new Map();

/** Dependencies of {@link TargetAccess}. */
export interface TargetAccessDependencies {
  readonly clock: Clock;
  /** Incarnation of this host, as other hosts list it. */
  readonly hostKey: string;
  readonly coldBounds: ColdBounds;
  /** Whether failure domains may be evacuated; no request is sent before that has been read. */
  readonly hasEvacuations: boolean;
  /** Region of each failure domain; undefined if there is one for all. */
  readonly regions?: RegionTable;
  /** The service as it is configured now; undefined if there is none. */
  findService(name: ServiceName): Service | undefined;
}

/**
 * Decides for every path by which a request reaches a target whether it may be sent now. Placement
 * asks by `isAvailable`, and `TargetPool.send` asks again.
 */
export class TargetAccess {
  private readonly coldHosts: ColdHosts;
  private readonly evacuations = createEvacuationView();

  constructor(private readonly deps: TargetAccessDependencies) {
    this.coldHosts = createColdHosts(deps.hostKey);
  }

  /** Applies a complete list of the hosts' incarnations that was current at `asOf`. */
  recordHosts(keys: Iterable<string>, asOf: Instant): void {
    recordColdHosts(this.coldHosts, keys, asOf);
  }

  /** Records that this host's record of `madeAt` is known to be stored. */
  recordStored(madeAt: Instant): void {
    recordColdRecord(this.coldHosts, madeAt, readInstant(this.deps.clock));
  }

  /** Whether it is known which failure domains are evacuated, where they may be. */
  get knowsEvacuations(): boolean {
    return !this.deps.hasEvacuations || hasReadEvacuations(this.evacuations);
  }

  /** Failure domains that are evacuated now. */
  get evacuatedDomains(): ReadonlySet<FailureDomain> {
    return new Set(this.evacuations.active.keys());
  }

  /** Applies a complete list of the evacuations. */
  applyEvacuations(list: EvacuationList): EvacuationChanges {
    return updateEvacuations(this.evacuations, list, this.deps.clock.nowMs());
  }

  /** Whether a target may serve a request with these home regions. */
  isAtHome({failureDomain}: TargetEntry, homeRegions: ReadonlySet<Region> | undefined): boolean {
    return isAtHome(this.deps.regions ?? NO_REGIONS, failureDomain, homeRegions);
  }

  /** Creates the gate of a target. */
  createGate(target: Pick<TargetState, 'entry' | 'coldUntilMs'>): TargetGate {
    const sentMs: number[] = [];
    let share = {version: -1, rate: 0, count: 0};
    const findRate = () => this.deps.findService(target.entry.service)?.coldRequestsPerSecond ?? 0;
    const findShare = (rate: number) => {
      const {version} = this.coldHosts;
      if (share.version !== version || share.rate !== rate) {
        const {coldBounds} = this.deps;
        const count = coldShare(this.coldHosts, incarnationKey(target.entry), rate, coldBounds);
        share = {version, rate, count};
      }
      return share.count;
    };
    const isLimited = (nowMs: number) => nowMs < target.coldUntilMs && findRate() > 0;
    const {active} = this.evacuations;
    const findRefusal = (nowMs: number): AccessRefusal | undefined => {
      if (active.has(target.entry.failureDomain) || !this.knowsEvacuations) return 'evacuated';
      if (!isLimited(nowMs)) return undefined;
      if (!hasColdShares(this.coldHosts, readInstant(this.deps.clock))) return 'cold';
      dropBefore(sentMs, nowMs - COLD_INTERVAL_MS);
      return sentMs.length < findShare(findRate()) ? undefined : 'cold';
    };
    return {
      findRefusal,
      isCold: isLimited,
      recordSent: nowMs => {
        if (findRate() <= 0) return;
        sentMs.push(nowMs);
        if (sentMs.length > MAX_TRACKED_SENDS) dropBefore(sentMs, nowMs - COLD_INTERVAL_MS);
      },
      returnMs: nowMs => {
        if (findRefusal(nowMs) !== 'cold') return undefined;
        const count = hasColdShares(this.coldHosts, readInstant(this.deps.clock))
          ? findShare(findRate())
          : 0;
        if (count === 0) return target.coldUntilMs;
        return Math.min(target.coldUntilMs, sentMs[sentMs.length - count] + COLD_INTERVAL_MS);
      },
    };
  }

  /** Time for which a target is cold, as far as its entry and its service tell. */
  findColdMs(entry: TargetEntry, isNew: boolean): number {
    if (entry.hasInvalidColdTime && isNew) {
      return this.deps.findService(entry.service)?.coldStartMs ?? 0;
    }
    return entry.coldForMs ?? 0;
  }
}

function dropBefore(timesMs: number[], limitMs: number): void {
  let count = 0;
  while (count < timesMs.length && timesMs[count] <= limitMs) count++;
  if (count > 0) timesMs.splice(0, count);
}

/**
 * Leaves out the cold targets of a group that has a warm one with room: a cold target is slow, and
 * takes few requests. Targets that have been tried don't count.
 */
export function preferWarm<Target extends TargetState>(
  targets: readonly Target[],
  tried: ReadonlySet<string>,
  nowMs: number,
  groupOf: (target: Target) => string = () => '',
): readonly Target[] {
  if (!targets.some(target => isCold(target, nowMs))) return targets;
  const served = new Set<string>();
  for (const target of targets) {
    if (isCold(target, nowMs) || tried.has(target.entry.id)) continue;
    if (!isAvailable(target, nowMs) || estimateRequests(target, nowMs) >= target.entry.slots) {
      continue;
    }
    served.add(groupOf(target));
  }
  return targets.filter(target => !isCold(target, nowMs) || !served.has(groupOf(target)));
}

/**
 * Earliest time at which this host may send a request to one of the cold targets; undefined if no
 * target refuses because it is cold.
 */
export function nextColdMs(targets: Iterable<TargetState>, nowMs: number): number | undefined {
  let earliestMs: number | undefined;
  for (const {entry, gate, backoffUntilMs} of targets) {
    if (entry.isDraining || nowMs < backoffUntilMs) continue;
    const returnMs = gate?.returnMs(nowMs);
    if (returnMs !== undefined) earliestMs = Math.min(earliestMs ?? Infinity, returnMs);
  }
  return earliestMs;
}

function isCold(target: TargetState, nowMs: number): boolean {
  return target.gate?.isCold(nowMs) ?? false;
}
