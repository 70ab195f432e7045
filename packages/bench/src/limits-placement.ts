import {FailureDomain, HostId} from '@radishgw/core';
import {placeShards} from '@radishgw/limits';

/** Returns a function that places all shards and caches the result for each set of live hosts. */
export function createPlacementCache(
  domainOf: (hostId: HostId) => FailureDomain,
  shardCount: number,
  placementSize: number,
): (live: readonly HostId[]) => HostId[][] {
  const cache = new Map<string, HostId[][]>();
  return live => {
    const sorted = [...live].sort();
    const key = sorted.join();
    let placement = cache.get(key);
    if (!placement) {
      const hosts = sorted.map(hostId => ({hostId, failureDomain: domainOf(hostId)}));
      placement = placeShards(hosts, shardCount, placementSize);
      cache.set(key, placement);
    }
    return placement;
  };
}

/** Whether two placements have the same hosts, in any order. */
export function sameMembers(a: readonly HostId[], b: readonly HostId[]): boolean {
  return a.length === b.length && a.every(hostId => b.includes(hostId));
}
