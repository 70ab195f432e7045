import {FailureDomain, HostId} from '@radishgw/core';
import {Instant} from '../instant.js';
import {WindowCounts, WorkReport} from '../model.js';
import {rankByKey} from '../rendezvous.js';

/** Record in which a host describes itself in the store. */
export interface HostRecord {
  readonly hostId: HostId;
  readonly incarnation: string;
  /** Era of the store in which the incarnation started; missing if the store has only one. */
  readonly era?: number;
  /**
   * Increases with each start of the host within an era, so that records of two incarnations can be
   * ordered.
   */
  readonly generation: number;
  readonly failureDomain: FailureDomain;
  /** Address for clients. */
  readonly address: string;
  /** Address for other hosts. */
  readonly peerAddress: string;
  readonly isReady: boolean;
  /** Share of a processor that the host may use; above 1 with several. Missing if unknown. */
  readonly processorCapacity?: number;
  /** Increases with each record of an incarnation. */
  readonly beat: number;
  /** Time at which the record was created, on the monotonic clock of the incarnation. */
  readonly madeMs: number;
  /** Time at which the record was created, on the wall clock. */
  readonly madeWallMs: number;
  /** Number of requests that were started, by window and team. */
  readonly usage: Readonly<Record<string, WindowCounts>>;
  /** Prompt tokens per second that clients request from each service through this host. */
  readonly demand?: Readonly<Record<string, number>>;
  /**
   * Part of `demand` that isn't cached where the host places it, for the services whose targets
   * have reported a slowdown.
   */
  readonly uncachedDemand?: Readonly<Record<string, number>>;
  /** Incarnations of targets that have said that they leave; see `incarnationKey`. */
  readonly leaving?: readonly string[];
  /**
   * What the host has observed of targets in the last seconds. In the records that a reader shares,
   * its own has the sum over all hosts, and the others have none.
   */
  readonly work?: WorkReport;
}

/** Interval at which a host writes its record. */
export const HEARTBEAT_INTERVAL_MS = 1000;

/** A host is considered lost when its record hasn't changed for this long: three missed records. */
export const HOST_TIMEOUT_MS = 3500;

/** Compares the incarnations of two records of one host; positive if that of `a` is later. */
export function compareIncarnations(
  a: Pick<HostRecord, 'era' | 'generation'>,
  b: Pick<HostRecord, 'era' | 'generation'>,
): number {
  // A version that knows no eras goes by the generation alone.
  const hasEras = a.era !== undefined && b.era !== undefined;
  return (hasEras ? a.era - b.era : 0) || a.generation - b.generation;
}

/** Compares two records of one host by age; positive if `a` is newer. */
export function compareRecords(
  a: Pick<HostRecord, 'era' | 'generation' | 'beat'>,
  b: Pick<HostRecord, 'era' | 'generation' | 'beat'>,
): number {
  return compareIncarnations(a, b) || a.beat - b.beat;
}

/**
 * Returns the newest record of each host. The store may hold both a record that another host wrote
 * for it and an older one that it wrote itself.
 */
export function selectNewestRecords(records: Iterable<HostRecord>): HostRecord[] {
  const newest = new Map<HostId, HostRecord>();
  for (const record of records) {
    const other = newest.get(record.hostId);
    if (!other || compareRecords(record, other) > 0) newest.set(record.hostId, record);
  }
  return [...newest.values()];
}

/**
 * A record that appears this much later than others of its host was delayed, and its host may be
 * gone: a write without an answer may be carried out seconds later. Records that are written by
 * another host may normally be up to a second later.
 */
const LATE_RECORD_MS = 1200;

interface HostObservation {
  record: HostRecord;
  /** Time at which the newest record was first seen. */
  lastChangeMs: number;
  /** Time at which the host was last known to be alive, on this host's monotonic clock. */
  lastAliveMs: number;
  /** Minimum difference between the times at which a record was seen and created. */
  clockOffsetMs: number;
  /** Difference between these times for the latest record that was treated as late. */
  lateClockOffsetMs: number | undefined;
}

/** A longer gap between successful reads, with a failed read in between, is a store outage. */
const MIN_OUTAGE_MS = 2 * HEARTBEAT_INTERVAL_MS;

/** Time that hosts have after an outage, or after an older copy, to write their records again. */
const RECOVERY_GRACE_MS = 1.5 * HEARTBEAT_INTERVAL_MS;

/** This host's view of the hosts. */
export interface HostRegistry {
  readonly hosts: Map<HostId, HostObservation>;
  lastReadMs: number;
  /** Whether a read has failed since the latest successful one. */
  hasFailedRead: boolean;
  /** Era of the store at the latest read; undefined before it. */
  era: number | undefined;
  /** Until this time, hosts whose records are missing are kept. */
  graceUntilMs: number;
}

export function createHostRegistry(): HostRegistry {
  return {
    hosts: new Map(),
    lastReadMs: -Infinity,
    hasFailedRead: false,
    era: undefined,
    graceUntilMs: -Infinity,
  };
}

/** Fields that change with each record; shared separately from the other fields. */
export type HostHeartbeat = Pick<
  HostRecord,
  'hostId' | 'era' | 'generation' | 'beat' | 'madeMs' | 'madeWallMs'
>;

/** Returns the fields of a record that change with each record. */
export function toHeartbeat({
  hostId,
  era,
  generation,
  beat,
  madeMs,
  madeWallMs,
}: HostRecord): HostHeartbeat {
  return {hostId, era, generation, beat, madeMs, madeWallMs};
}

/** Returns a record without the fields that change often or that only the lease holder needs. */
export function omitVolatileFields(record: HostRecord): HostRecord {
  return {
    ...record,
    beat: 0,
    madeMs: 0,
    madeWallMs: 0,
    usage: {},
    demand: undefined,
    uncachedDemand: undefined,
    work: undefined,
  };
}

/**
 * Merges the results of {@link omitVolatileFields} and {@link toHeartbeat}. A record without a
 * heartbeat of its incarnation is left as it is; the next read has both.
 */
export function mergeHeartbeats(
  records: readonly HostRecord[],
  heartbeats: readonly HostHeartbeat[],
): HostRecord[] {
  const byHost = new Map(heartbeats.map(heartbeat => [heartbeat.hostId, heartbeat]));
  return records.map(record => {
    const heartbeat = byHost.get(record.hostId);
    const isSame = heartbeat !== undefined && compareIncarnations(heartbeat, record) === 0;
    return isSame ? {...record, ...heartbeat} : record;
  });
}

/** Rendezvous hashing key for the choice of readers. */
const READER_KEY = 'reader';

/**
 * The ready host that reads the store for its failure domain: one of those with the most processor
 * capacity, as the others wait for it.
 */
export function findDomainReader(
  ready: readonly HostRecord[],
  domain: FailureDomain,
): HostRecord | undefined {
  return findMostCapable(
    ready.filter(host => host.failureDomain === domain),
    READER_KEY,
  );
}

/**
 * Chooses a host for a task that many others wait for, by rendezvous hashing of `key` among the
 * hosts with the most processor capacity; undefined if there are no hosts.
 */
export function findMostCapable(hosts: readonly HostRecord[], key: string): HostRecord | undefined {
  const capacityOf = (host: HostRecord) => host.processorCapacity ?? 0;
  const maxCapacity = Math.max(...hosts.map(capacityOf));
  const candidates = hosts.filter(host => capacityOf(host) === maxCapacity);
  const [first] = rankByKey(
    key,
    candidates.map(host => ({id: host.hostId, weight: 1})),
  );
  return candidates.find(host => host.hostId === first);
}

/**
 * Applies a complete read of the records, which were current at `now` in an era of the store; one
 * in an earlier era is ignored. Returns those that their hosts have renewed since the last read.
 */
export function updateHosts(
  registry: HostRegistry,
  records: readonly HostRecord[],
  now: Instant,
  era = 0,
): readonly HostRecord[] {
  const renewed: HostRecord[] = [];
  if (registry.era !== undefined && era < registry.era) return renewed;
  const gapMs = now.monotonicMs - registry.lastReadMs;
  const isRestored = registry.era !== undefined && era > registry.era;
  if (isRestored) keepPossible(registry, now.monotonicMs);
  const wasUnavailable = registry.hasFailedRead && gapMs > MIN_OUTAGE_MS;
  if (isRestored || wasUnavailable) extendLiveness(registry, now.monotonicMs);
  registry.era = era;
  registry.lastReadMs = now.monotonicMs;
  registry.hasFailedRead = false;
  const present = new Set(records.map(record => record.hostId));
  const keepsMissing = now.monotonicMs < registry.graceUntilMs;
  for (const id of registry.hosts.keys()) {
    if (!present.has(id) && !keepsMissing) registry.hosts.delete(id);
  }
  for (const record of records) {
    const seen = registry.hosts.get(record.hostId);
    if (!seen || compareIncarnations(record, seen.record) > 0) {
      registry.hosts.set(record.hostId, createObservation(record, now));
      continue;
    }
    const age = compareRecords(record, seen.record);
    if (age >= 0) seen.record = record;
    if (age <= 0) continue;
    recordChange(seen, now);
    renewed.push(record);
  }
  return renewed;
}

/**
 * Gives hosts that were live before a store outage time to write again: records can't change while
 * the store is unavailable, and an older copy has lost the latest ones.
 */
function extendLiveness(registry: HostRegistry, nowMs: number): void {
  const sinceMs = nowMs - HOST_TIMEOUT_MS + RECOVERY_GRACE_MS;
  for (const seen of registry.hosts.values()) {
    const wasPossible = registry.lastReadMs - seen.lastChangeMs < HOST_TIMEOUT_MS;
    const wasReady = registry.lastReadMs - seen.lastAliveMs < HOST_TIMEOUT_MS;
    if (wasPossible) seen.lastChangeMs = Math.max(seen.lastChangeMs, sinceMs);
    if (wasReady) seen.lastAliveMs = Math.max(seen.lastAliveMs, sinceMs);
  }
}

/**
 * Keeps the hosts that may take requests: one whose latest record the copy has lost may go on with
 * what that record entitles it to, although it can't reach the store.
 */
function keepPossible(registry: HostRegistry, nowMs: number): void {
  registry.graceUntilMs = nowMs + HOST_TIMEOUT_MS;
  for (const seen of registry.hosts.values()) {
    const wasPossible = registry.lastReadMs - seen.lastChangeMs < HOST_TIMEOUT_MS;
    if (wasPossible) seen.lastChangeMs = nowMs;
  }
}

/**
 * Creates the observation of a new incarnation. Its liveness is dated by the record's age because
 * the record may be the last one of a host that is gone.
 */
function createObservation(record: HostRecord, {monotonicMs, wallMs}: Instant): HostObservation {
  const ageMs = Math.max(0, wallMs - record.madeWallMs);
  return {
    record,
    lastChangeMs: monotonicMs,
    lastAliveMs: monotonicMs - ageMs,
    clockOffsetMs: monotonicMs - record.madeMs,
    lateClockOffsetMs: undefined,
  };
}

function recordChange(seen: HostObservation, {monotonicMs}: Instant): void {
  const offsetMs = monotonicMs - seen.record.madeMs;
  const delayMs = offsetMs - seen.clockOffsetMs;
  const changeSinceLateMs =
    seen.lateClockOffsetMs === undefined ? Infinity : offsetMs - seen.lateClockOffsetMs;
  seen.lastChangeMs = monotonicMs;
  // The monotonic clock stops while a host is suspended, so that all later records are late by the
  // same time; only the first of them is treated as late.
  if (delayMs > LATE_RECORD_MS && Math.abs(changeSinceLateMs) > LATE_RECORD_MS) {
    seen.lastAliveMs = Math.max(seen.lastAliveMs, monotonicMs - delayMs);
    seen.lateClockOffsetMs = offsetMs;
    return;
  }
  seen.lastAliveMs = monotonicMs;
  seen.clockOffsetMs = delayMs > LATE_RECORD_MS ? offsetMs : Math.min(seen.clockOffsetMs, offsetMs);
  seen.lateClockOffsetMs = undefined;
}

function listHosts(
  registry: HostRegistry,
  lastReadMs: number,
  seenMs: (seen: HostObservation) => number,
): readonly HostRecord[] {
  const hosts: HostRecord[] = [];
  for (const seen of registry.hosts.values()) {
    if (seen.record.isReady && lastReadMs - seenMs(seen) < HOST_TIMEOUT_MS) hosts.push(seen.record);
  }
  return hosts;
}

/**
 * Hosts that take requests. Ages are relative to the latest read: while the store is unavailable no
 * record changes, and the previously known hosts remain the best answer.
 */
export function readyHosts(registry: HostRegistry, lastReadMs: number): readonly HostRecord[] {
  return listHosts(registry, lastReadMs, seen => seen.lastAliveMs);
}

/**
 * Hosts that may be taking requests. A host that has just started doesn't know which hosts are
 * gone; it must not assume that it is the only one that grants a team's rate.
 */
export function possibleHosts(registry: HostRegistry, lastReadMs: number): readonly HostRecord[] {
  return listHosts(registry, lastReadMs, seen => seen.lastChangeMs);
}
