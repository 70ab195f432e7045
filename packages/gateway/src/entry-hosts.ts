import {hash32, HostId, TeamId} from '@radishgw/core';
import {Member} from '@radishgw/platform';

/** Answer of `GET /v1/entry`. */
export interface EntryHosts {
  /** Base URLs in the order in which to try them. */
  readonly hosts: readonly string[];
  /** How long the answer may be kept, in milliseconds. */
  readonly maxAgeMs: number;
}

const ENTRY_MAX_AGE_MS = 10_000;

/** Hosts for a team's callers: its placement hosts first, the others as a fallback. */
export function listEntryHosts(
  teamId: TeamId,
  members: readonly Member[],
  isReachable: (hostId: HostId) => boolean,
): EntryHosts {
  const hosts = members
    .filter(member => !member.leaving && isReachable(member.hostId))
    .map(member => ({member, score: hash32(`${teamId}/${member.hostId}`)}))
    .sort((a, b) => b.score - a.score)
    .map(({member}) => member.callerAddress);
  return {hosts, maxAgeMs: ENTRY_MAX_AGE_MS};
}
