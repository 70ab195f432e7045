import {expect} from 'chai';
import {FailureDomain, HostId, toId} from '@radishgw/core';
import {ListedHost, selectForClients} from '../src/directory-policy.js';

const MAX_COUNT = 64;

function makeHosts(perDomain: readonly number[]): ListedHost[] {
  return perDomain.flatMap((count, domain) =>
    Array.from({length: count}, (_, i) => ({
      hostId: toId<HostId>(`host-${domain}-${i}`),
      failureDomain: toId<FailureDomain>(`domain-${domain}`),
      address: `10.0.${domain}.${i}:80`,
    })),
  );
}

const domain = (index: number) => toId<FailureDomain>(`domain-${index}`);

/** Number of domains whose clients are told each host. */
function countLists(hosts: readonly ListedHost[], domains: number): Map<HostId, number> {
  const counts = new Map(hosts.map(({hostId}) => [hostId, 0]));
  for (let i = 0; i < domains; i++) {
    for (const {hostId} of selectForClients(hosts, domain(i), MAX_COUNT)) {
      counts.set(hostId, counts.get(hostId)! + 1);
    }
  }
  return counts;
}

describe('directory of a fleet with more hosts than an answer names', () => {
  it('tells each host to the clients of some domain, about equally often', () => {
    // Guards against ready hosts that get no clients while others carry the load of several.
    for (const perDomain of [
      [35, 32, 32, 32, 32, 32],
      [27, 25, 22],
      [40, 40],
    ]) {
      const hosts = makeHosts(perDomain);
      const counts = [...countLists(hosts, perDomain.length).values()];
      expect(Math.min(...counts)).to.be.at.least(1);
      expect(Math.max(...counts) - Math.min(...counts)).to.be.at.most(2);
    }
  });

  it('tells clients all hosts of their own domain', () => {
    // Guards against traffic between failure domains that isn't needed.
    const hosts = makeHosts([35, 32, 32, 32, 32, 32]);
    const own = selectForClients(hosts, domain(2), MAX_COUNT).filter(
      ({failureDomain}) => failureDomain === domain(2),
    );
    expect(own).to.have.length(32);
  });

  it('names no host twice, and others in place of a domain that is lost', () => {
    // Guards against clients of a lost domain that are told too few hosts.
    const hosts = makeHosts([35, 32, 0, 32, 32, 32]);
    for (const client of [domain(2), domain(0), undefined, toId<FailureDomain>('elsewhere')]) {
      const addresses = selectForClients(hosts, client, MAX_COUNT).map(({address}) => address);
      expect(new Set(addresses).size).to.equal(MAX_COUNT);
    }
  });

  it('changes few hosts of an answer when one is lost', () => {
    // Guards against clients that close their connections to sound hosts.
    const hosts = makeHosts([35, 32, 32, 32, 32, 32]);
    for (let lost = 0; lost < hosts.length; lost += 7) {
      const rest = hosts.filter((_, index) => index !== lost);
      for (let i = 0; i < 6; i++) {
        const before = selectForClients(hosts, domain(i), MAX_COUNT);
        const after = new Set(selectForClients(rest, domain(i), MAX_COUNT));
        expect(before.filter(host => !after.has(host)).length).to.be.at.most(2);
      }
    }
  });

  it('names all hosts if there are few', () => {
    // Guards against hosts that are left out without need.
    const hosts = makeHosts([3, 3]);
    expect(selectForClients(hosts, domain(0), MAX_COUNT)).to.have.length(6);
  });
});
