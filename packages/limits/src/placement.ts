import {FailureDomain, hash32, HostId, TeamId} from '@radishgw/core';

/** Maximum load of a host relative to the average, as in consistent hashing with bounded loads. */
const LOAD_FACTOR = 1.25;

/** A live host that may be placed. */
export interface PlacementHost {
  readonly hostId: HostId;
  readonly failureDomain: FailureDomain;
}

/** Returns the shard of a team. */
export function shardOfTeam(teamId: TeamId, shardCount: number): number {
  return hash32(teamId) % shardCount;
}

/**
 * Assigns placement hosts to all shards by rendezvous hashing, highest score first. Each shard gets
 * hosts in distinct failure domains as far as there are enough, and no host gets more than 1.25
 * times the average number of shards unless no other host is left. The result doesn't depend on the
 * order of `hosts`, so all hosts compute the same placement from the same list.
 */
export function placeShards(
  hosts: readonly PlacementHost[],
  shardCount: number,
  placementSize: number,
): HostId[][] {
  const size = Math.min(placementSize, hosts.length);
  const loadCap = Math.ceil((LOAD_FACTOR * shardCount * size) / Math.max(1, hosts.length));
  const loads = new Map<HostId, number>();
  const placements: HostId[][] = [];
  for (let shard = 0; shard < shardCount; shard++) {
    const chosen = placeShard(rankHosts(hosts, shard), size, loads, loadCap);
    for (const hostId of chosen) loads.set(hostId, (loads.get(hostId) ?? 0) + 1);
    placements.push(chosen);
  }
  return placements;
}

function rankHosts(hosts: readonly PlacementHost[], shard: number): PlacementHost[] {
  const scored = hosts.map(host => ({host, score: hash32(`${shard}/${host.hostId}`)}));
  scored.sort((a, b) => b.score - a.score || (a.host.hostId < b.host.hostId ? -1 : 1));
  return scored.map(({host}) => host);
}

function placeShard(
  ranked: readonly PlacementHost[],
  size: number,
  loads: ReadonlyMap<HostId, number>,
  loadCap: number,
): HostId[] {
  const chosen: HostId[] = [];
  const domains = new Set<FailureDomain>();
  // Later passes relax the load bound, then the spread over failure domains.
  const passes: Array<(host: PlacementHost) => boolean> = [
    host => !domains.has(host.failureDomain) && (loads.get(host.hostId) ?? 0) < loadCap,
    host => !domains.has(host.failureDomain),
    host => (loads.get(host.hostId) ?? 0) < loadCap,
    () => true,
  ];
  for (const isAllowed of passes) {
    for (const host of ranked) {
      if (chosen.length === size) return chosen;
      if (chosen.includes(host.hostId) || !isAllowed(host)) continue;
      chosen.push(host.hostId);
      domains.add(host.failureDomain);
    }
  }
  return chosen;
}
