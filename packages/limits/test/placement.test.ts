import {FailureDomain, HostId, toId} from '@radishgw/core';
import {expect} from 'chai';
import {PlacementHost, placeShards} from '../src/index.js';

function createHosts(count: number, domains: number): PlacementHost[] {
  return Array.from({length: count}, (_, i) => ({
    hostId: toId<HostId>(`h${i}`),
    failureDomain: toId<FailureDomain>(`d${i % domains}`),
  }));
}

describe('placeShards', () => {
  it('uses distinct failure domains and bounds the load of each host', () => {
    // Guards against losing all hosts of a shard with one failure domain, and overloaded hosts.
    const hosts = createHosts(9, 3);
    const loads = new Map<HostId, number>();
    for (const placement of placeShards(hosts, 64, 3)) {
      const domains = placement.map(id => hosts.find(host => host.hostId === id)!.failureDomain);
      expect(new Set(domains).size).to.equal(3);
      for (const hostId of placement) loads.set(hostId, (loads.get(hostId) ?? 0) + 1);
    }
    expect(Math.max(...loads.values())).to.be.at.most(Math.ceil((1.25 * 64 * 3) / 9));
  });

  it('depends only on the set of hosts and moves few shards when a host leaves', () => {
    // Guards against hosts that disagree on the placement, and against needless takeovers.
    const hosts = createHosts(9, 3);
    const before = placeShards(hosts, 64, 3);
    expect(placeShards([...hosts].reverse(), 64, 3)).to.deep.equal(before);
    const after = placeShards(hosts.slice(1), 64, 3);
    const unaffected = before.filter(placement => !placement.includes(hosts[0].hostId));
    const changed = before.filter(
      (placement, shard) =>
        !placement.includes(hosts[0].hostId) && placement.join() !== after[shard].join(),
    );
    expect(changed.length).to.be.below(unaffected.length / 2);
  });

  it('fills placements from few failure domains or few hosts', () => {
    // Guards against shards without hosts after the loss of a failure domain.
    expect(placeShards(createHosts(4, 2), 8, 3).every(hosts => hosts.length === 3)).to.equal(true);
    expect(placeShards(createHosts(2, 1), 8, 3).every(hosts => hosts.length === 2)).to.equal(true);
  });
});
