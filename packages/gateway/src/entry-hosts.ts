import {HostId} from '@radishgw/core';
import {Member} from '@radishgw/coordination';

/** Response body of `GET /v1/entry`. */
export interface EntryHosts {
  /** Base URLs in the order in which to try them. */
  readonly hosts: readonly string[];
  /** How long the response may be cached, in milliseconds. */
  readonly maxAgeMs: number;
}

const ENTRY_MAX_AGE_MS = 10_000;

/** Lists hosts for a team's callers: its placement hosts in order, then the others as fallback. */
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
