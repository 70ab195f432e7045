import {FailureDomain, HostId} from '@radishgw/core';
import {WindowCounts} from './model.js';

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

/** Takes in a complete read of the records. */
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
export function readyHosts(registry: HostRegistry, lastReadMs: number): HostRecord[] {
  const ready: HostRecord[] = [];
  for (const {record, changedMs} of registry.hosts.values()) {
    if (record.isReady && lastReadMs - changedMs < HOST_LOST_MS) ready.push(record);
  }
  return ready;
}
