import {FailureDomain, HostId} from '@radishgw/core';
import {Instant} from './elapsed-clock.js';
import {WindowCounts} from './model.js';
import {rankByKey} from './rendezvous.js';

/** What a host says of itself in the store. */
export interface HostRecord {
  readonly hostId: HostId;
  readonly incarnation: string;
  /** Rises with each start of the host, so that records of two incarnations can be ordered. */
  readonly generation: number;
  readonly failureDomain: FailureDomain;
  /** Address for clients. */
  readonly address: string;
  /** Address for other hosts. */
  readonly peerAddress: string;
  readonly isReady: boolean;
  /** Rises with each record of an incarnation. */
  readonly beat: number;
  /** When the record was made, on the monotonic clock of the incarnation. */
  readonly madeMs: number;
  /** The same on the wall clock. */
  readonly madeWallMs: number;
  /** Requests that began to run, by window and team. */
  readonly usage: Readonly<Record<string, WindowCounts>>;
  /** Prompt tokens per second that clients ask of each service through this host. */
  readonly demand?: Readonly<Record<string, number>>;
}

/** Interval of a host's records. */
export const BEAT_MS = 1000;

/** A host counts as lost when its record hasn't changed for this long: three missed records. */
export const HOST_LOST_MS = 3500;

/** Order of two records of one host; positive if `a` is newer. */
export function compareAge(
  a: Pick<HostRecord, 'generation' | 'beat'>,
  b: Pick<HostRecord, 'generation' | 'beat'>,
): number {
  return a.generation - b.generation || a.beat - b.beat;
}

/** The newest record of each host: one that another host writes may stand beside an older own one. */
export function pickNewest(records: Iterable<HostRecord>): HostRecord[] {
  const newest = new Map<HostId, HostRecord>();
  for (const record of records) {
    const other = newest.get(record.hostId);
    if (!other || compareAge(record, other) > 0) newest.set(record.hostId, record);
  }
  return [...newest.values()];
}

/**
 * A record that shows up this much later than others of its host was held up, and its host may be
 * gone: a write that got no answer may be carried out seconds later. Records that another host
 * writes come up to a second later than others.
 */
const LATE_MS = 1200;

interface SeenHost {
  record: HostRecord;
  /** When the newest record was first seen. */
  changedMs: number;
  /** When the host was last known to be alive, on this host's monotonic clock. */
  aliveMs: number;
  /** Least difference between the times at which records were seen and made. */
  offsetMs: number;
  /** Difference of the last record if that was late. */
  lateOffsetMs: number | undefined;
}

/** A failed read between two that are further apart than this was an outage of the store. */
const OUTAGE_MS = 2 * BEAT_MS;

/** Time after an outage in which hosts write their records again. */
const RETURN_MS = 1.5 * BEAT_MS;

/** The hosts as this host sees them. */
export interface HostRegistry {
  readonly hosts: Map<HostId, SeenHost>;
  lastReadMs: number;
  /** Whether a read has failed since the last that succeeded. */
  hasFailedRead: boolean;
}

export function createHostRegistry(): HostRegistry {
  return {hosts: new Map(), lastReadMs: -Infinity, hasFailedRead: false};
}

/** What changes with each record; handed on apart from the rest. */
export type HostBeat = Pick<HostRecord, 'hostId' | 'generation' | 'beat' | 'madeMs' | 'madeWallMs'>;

/** The part of a record that changes with each of them. */
export function takeBeat({hostId, generation, beat, madeMs, madeWallMs}: HostRecord): HostBeat {
  return {hostId, generation, beat, madeMs, madeWallMs};
}

/** The part of a record that rarely changes and that all hosts need. */
export function shortenRecord(record: HostRecord): HostRecord {
  return {...record, beat: 0, madeMs: 0, madeWallMs: 0, usage: {}, demand: undefined};
}

/**
 * Puts together what {@link shortenRecord} and {@link takeBeat} hold. A record without a beat of its
 * incarnation stays the older one: the next read has both.
 */
export function joinBeats(
  records: readonly HostRecord[],
  beats: readonly HostBeat[],
): HostRecord[] {
  const byHost = new Map(beats.map(beat => [beat.hostId, beat]));
  return records.map(record => {
    const beat = byHost.get(record.hostId);
    return beat?.generation === record.generation ? {...record, ...beat} : record;
  });
}

/** Key by which readers are chosen. */
const READER_KEY = 'reader';

/** The ready host that reads the store for its failure domain. */
export function findDomainReader(
  ready: readonly HostRecord[],
  domain: FailureDomain,
): HostRecord | undefined {
  const near = ready.filter(host => host.failureDomain === domain);
  const [first] = rankByKey(
    READER_KEY,
    near.map(host => ({id: host.hostId, weight: 1})),
  );
  return near.find(host => host.hostId === first);
}

/** Takes in a complete read of the records, which the store held at `now`. */
export function updateHosts(
  registry: HostRegistry,
  records: readonly HostRecord[],
  now: Instant,
): void {
  const gapMs = now.monotonicMs - registry.lastReadMs;
  if (registry.hasFailedRead && gapMs > OUTAGE_MS) excuseSilence(registry, now.monotonicMs);
  registry.lastReadMs = now.monotonicMs;
  registry.hasFailedRead = false;
  const present = new Set(records.map(record => record.hostId));
  for (const id of registry.hosts.keys()) if (!present.has(id)) registry.hosts.delete(id);
  for (const record of records) {
    const seen = registry.hosts.get(record.hostId);
    if (!seen || record.generation > seen.record.generation) {
      registry.hosts.set(record.hostId, meetHost(record, now));
      continue;
    }
    const age = compareAge(record, seen.record);
    if (age >= 0) seen.record = record;
    if (age > 0) noteChange(seen, now);
  }
}

/** Records can't change while the store is away: hosts that were there before have time to return. */
function excuseSilence(registry: HostRegistry, nowMs: number): void {
  const sinceMs = nowMs - HOST_LOST_MS + RETURN_MS;
  for (const seen of registry.hosts.values()) {
    const wasPossible = registry.lastReadMs - seen.changedMs < HOST_LOST_MS;
    const wasReady = registry.lastReadMs - seen.aliveMs < HOST_LOST_MS;
    if (wasPossible) seen.changedMs = Math.max(seen.changedMs, sinceMs);
    if (wasReady) seen.aliveMs = Math.max(seen.aliveMs, sinceMs);
  }
}

/** A record that wasn't seen to change may have been left behind by a host that is gone. */
function meetHost(record: HostRecord, {monotonicMs, wallMs}: Instant): SeenHost {
  const ageMs = Math.max(0, wallMs - record.madeWallMs);
  return {
    record,
    changedMs: monotonicMs,
    aliveMs: monotonicMs - ageMs,
    offsetMs: monotonicMs - record.madeMs,
    lateOffsetMs: undefined,
  };
}

function noteChange(seen: SeenHost, {monotonicMs}: Instant): void {
  const offsetMs = monotonicMs - seen.record.madeMs;
  const lateMs = offsetMs - seen.offsetMs;
  const lastLateMs = seen.lateOffsetMs === undefined ? Infinity : offsetMs - seen.lateOffsetMs;
  seen.changedMs = monotonicMs;
  // The clock of a suspended host stands still: all its later records are late alike.
  if (lateMs > LATE_MS && Math.abs(lastLateMs) > LATE_MS) {
    seen.aliveMs = Math.max(seen.aliveMs, monotonicMs - lateMs);
    seen.lateOffsetMs = offsetMs;
    return;
  }
  seen.aliveMs = monotonicMs;
  seen.offsetMs = lateMs > LATE_MS ? offsetMs : Math.min(seen.offsetMs, offsetMs);
  seen.lateOffsetMs = undefined;
}

function listHosts(
  registry: HostRegistry,
  lastReadMs: number,
  sinceOf: (seen: SeenHost) => number,
): readonly HostRecord[] {
  const hosts: HostRecord[] = [];
  for (const seen of registry.hosts.values()) {
    if (seen.record.isReady && lastReadMs - sinceOf(seen) < HOST_LOST_MS) hosts.push(seen.record);
  }
  return hosts;
}

/**
 * Hosts that take requests. Age is counted up to the last read: while the store is away nobody's
 * record changes, and the hosts known before remain the best answer.
 */
export function readyHosts(registry: HostRegistry, lastReadMs: number): readonly HostRecord[] {
  return listHosts(registry, lastReadMs, seen => seen.aliveMs);
}

/**
 * Hosts that may be taking requests. A host that has just started doesn't know who is gone; it must
 * not take itself for the only one that grants a team's rate.
 */
export function possibleHosts(registry: HostRegistry, lastReadMs: number): readonly HostRecord[] {
  return listHosts(registry, lastReadMs, seen => seen.changedMs);
}
