import {HostId} from '@radishgw/core';
import {Member} from '@radishgw/coordination';

/** Answer of `GET /v1/entry`. */
export interface EntryHosts {
  /** Base URLs in the order in which to try them. */
  readonly hosts: readonly string[];
  /** How long the answer may be kept, in milliseconds. */
  readonly maxAgeMs: number;
}

const ENTRY_MAX_AGE_MS = 10_000;

/** Hosts for a team's callers: its placement hosts in order, then the others as a fallback. */
export function listEntryHosts(
  placement: readonly HostId[],
  members: readonly Member[],
  isReachable: (hostId: HostId) => boolean,
): EntryHosts {
  const usable = members.filter(member => !member.leaving && isReachable(member.hostId));
  const rank = (member: Member) => {
    const index = placement.indexOf(member.hostId);
    return index < 0 ? placement.length : index;
  };
  const hosts = [...usable].sort((a, b) => rank(a) - rank(b)).map(member => member.callerAddress);
  return {hosts, maxAgeMs: ENTRY_MAX_AGE_MS};
}
