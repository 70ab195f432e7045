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
  /** Ready hosts as this host's reader sees them; undefined if this host read last. */
  adopted: readonly HostRecord[] | undefined;
}

export function createHostRegistry(): HostRegistry {
  return {hosts: new Map(), adopted: undefined};
}

/** Takes in the ready hosts as another host has found them. */
export function adoptHosts(
  registry: HostRegistry,
  ready: readonly HostRecord[],
  nowMs: number,
): void {
  registry.adopted = ready;
  registry.hosts.clear();
  for (const record of ready) registry.hosts.set(record.hostId, {record, changedMs: nowMs});
}

/** What a reader hands on of a record: only what changes rarely. */
export function shortenRecord(record: HostRecord): HostRecord {
  return {...record, beat: 0, usage: {}, demand: undefined};
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

/**
 * Takes in a complete read of the records. A record that wasn't known before counts as alive, as
 * all are at a start; after a shared list only a further change shows that its host is alive.
 */
export function updateHosts(
  registry: HostRegistry,
  records: readonly HostRecord[],
  nowMs: number,
): void {
  const unseenMs = registry.adopted ? -Infinity : nowMs;
  registry.adopted = undefined;
  const present = new Set(records.map(record => record.hostId));
  for (const id of registry.hosts.keys()) if (!present.has(id)) registry.hosts.delete(id);
  for (const record of records) {
    const seen = registry.hosts.get(record.hostId);
    const hasChanged =
      !seen || seen.record.beat !== record.beat || seen.record.incarnation !== record.incarnation;
    const changedMs = seen ? nowMs : unseenMs;
    if (hasChanged) registry.hosts.set(record.hostId, {record, changedMs});
    else seen.record = record;
  }
}

/**
 * Hosts that take requests. Age is counted up to the last read: while the store is away nobody's
 * record changes, and the hosts known before remain the best answer.
 */
export function readyHosts(registry: HostRegistry, lastReadMs: number): readonly HostRecord[] {
  if (registry.adopted) return registry.adopted;
  const ready: HostRecord[] = [];
  for (const {record, changedMs} of registry.hosts.values()) {
    if (record.isReady && lastReadMs - changedMs < HOST_LOST_MS) ready.push(record);
  }
  return ready;
}
