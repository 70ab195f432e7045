import {FailureDomain, HostId} from '@radishgw/core';
import {WindowCounts} from './model.js';
import {rankByKey} from './rendezvous.js';

/** What a host says of itself in the store. */
export interface HostRecord {
  readonly hostId: HostId;
  readonly incarnation: string;
  readonly failureDomain: FailureDomain;
  /** Address for clients. */
  readonly address: string;
  /** Address for other hosts. */
  readonly peerAddress: string;
  readonly isReady: boolean;
  /** Rises with each write. */
  readonly beat: number;
  /** Requests that began to run, by window and team. */
  readonly usage: Readonly<Record<string, WindowCounts>>;
  /** Prompt tokens per second that clients ask of each service through this host. */
  readonly demand?: Readonly<Record<string, number>>;
}

/** A host counts as lost when its record hasn't changed for this long: three missed writes. */
export const HOST_LOST_MS = 3500;

interface SeenHost {
  record: HostRecord;
  changedMs: number;
}

/** The hosts as this host sees them. */
export interface HostRegistry {
  readonly hosts: Map<HostId, SeenHost>;
}

export function createHostRegistry(): HostRegistry {
  return {hosts: new Map()};
}

/** What changes with each write of a record; handed on apart from the rest. */
export interface HostBeat {
  readonly hostId: HostId;
  readonly beat: number;
}

/** The part of a record that rarely changes and that all hosts need. */
export function shortenRecord(record: HostRecord): HostRecord {
  return {...record, beat: 0, usage: {}, demand: undefined};
}

/** Puts together what {@link shortenRecord} and the beats hold; unknown beats are 0. */
export function joinBeats(
  records: readonly HostRecord[],
  beats: readonly HostBeat[],
): HostRecord[] {
  const byHost = new Map(beats.map(({hostId, beat}) => [hostId, beat]));
  return records.map(record => ({...record, beat: byHost.get(record.hostId) ?? 0}));
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

/** Takes in a complete read of the records; `nowMs` is when the store held them. */
export function updateHosts(
  registry: HostRegistry,
  records: readonly HostRecord[],
  nowMs: number,
): void {
  const present = new Set(records.map(record => record.hostId));
  for (const id of registry.hosts.keys()) if (!present.has(id)) registry.hosts.delete(id);
  for (const record of records) {
    const seen = registry.hosts.get(record.hostId);
    const hasChanged =
      !seen || seen.record.beat !== record.beat || seen.record.incarnation !== record.incarnation;
    if (hasChanged) registry.hosts.set(record.hostId, {record, changedMs: nowMs});
    else seen.record = record;
  }
}

/**
 * Hosts that take requests. Age is counted up to the last read: while the store is away nobody's
 * record changes, and the hosts known before remain the best answer.
 */
export function readyHosts(registry: HostRegistry, lastReadMs: number): readonly HostRecord[] {
  const ready: HostRecord[] = [];
  for (const {record, changedMs} of registry.hosts.values()) {
    if (record.isReady && lastReadMs - changedMs < HOST_LOST_MS) ready.push(record);
  }
  return ready;
}
