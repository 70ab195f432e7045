import {FailureDomain, hash32, HostId} from '@radishgw/core';

/** A host as the directory lists it. */
export interface ListedHost {
  readonly hostId: HostId;
  readonly failureDomain: FailureDomain;
  /** Address for clients. */
  readonly address: string;
}

/**
 * Selects the hosts that clients of a failure domain are told to use, at most `maxCount`: those of
 * their own domain and as many of the neighbouring ones. The hosts form a ring by domain, so that
 * each host is told to the clients of about as many domains as any other, and few clients change
 * their hosts when one comes or goes. The load it answers: a fleet with more hosts than an answer
 * can name.
 */
export function selectForClients(
  hosts: readonly ListedHost[],
  domain: FailureDomain | undefined,
  maxCount: number,
): readonly ListedHost[] {
  if (hosts.length <= maxCount) return hosts;
  const ring = hosts
    .map(host => ({host, hash: hash32(host.hostId)}))
    .sort(
      (a, b) =>
        compareText(a.host.failureDomain, b.host.failureDomain) ||
        a.hash - b.hash ||
        compareText(a.host.hostId, b.host.hostId),
    )
    .map(({host}) => host);
  const first = ring.findIndex(host => host.failureDomain === domain);
  const ownCount = ring.filter(host => host.failureDomain === domain).length;
  const start = first < 0 ? hash32(domain ?? '') : first - Math.floor((maxCount - ownCount) / 2);
  return Array.from(
    {length: maxCount},
    (_, i) => ring[(start + i + ring.length * maxCount) % ring.length],
  );
}

function compareText(a: string, b: string): number {
  return a === b ? 0 : a < b ? -1 : 1;
}
