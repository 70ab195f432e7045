import {expect} from 'chai';
import {HostId, sleep} from '@radishgw/core';
import {Member, ShardAssignment} from '../src/index.js';
import {TestCluster, TestHost} from './test-cluster.js';

const SHARD_COUNT = 8;

/** Places shard n on hosts n, n + 1 and n + 2, modulo the number of hosts, ordered by host id. */
function placeRoundRobin(members: readonly Member[], shardCount: number): HostId[][] {
  const ids = members.map(member => member.hostId);
  const pick = (shard: number) => [...ids.keys()].map(rank => ids[(shard + rank) % ids.length]);
  return Array.from({length: shardCount}, (_, shard) => pick(shard).slice(0, 3));
}

interface ShardHost extends TestHost {
  readonly shards: ShardAssignment;
}

function startShardHost(cluster: TestCluster, name: string, released: number[] = []): ShardHost {
  const host = cluster.createHost(name);
  const shards = new ShardAssignment(host.dependencies, host.session, host.membership, {
    shardCount: SHARD_COUNT,
    placement: placeRoundRobin,
    *beforeRelease(shard) {
      yield* sleep(10);
      released.push(shard);
    },
  });
  host.start(host.session.run());
  host.start(host.membership.run());
  host.start(shards.watch());
  host.start(shards.run());
  return {...host, shards};
}

function countOwners(hosts: readonly ShardHost[]): number[] {
  return Array.from(
    {length: SHARD_COUNT},
    (_, shard) => hosts.filter(host => host.shards.check(shard).ok).length,
  );
}

describe('ShardAssignment', () => {
  it('assigns every shard to one owner and reassigns the shards of a killed host', async () => {
    // Guards against shards with two owners or without one.
    const cluster = new TestCluster();
    const hosts = ['a', 'b', 'c', 'd'].map(name => startShardHost(cluster, name));
    await cluster.advance(6000);
    expect(countOwners(hosts)).to.deep.equal(new Array(SHARD_COUNT).fill(1));
    const shard = hosts[0].shards.ownedShards()[0];
    const epoch = hosts[0].shards.check(shard).unwrap();
    hosts[0].kill();
    for (let step = 0; step < 150; step++) {
      await cluster.advance(100);
      expect(Math.max(...countOwners(hosts))).to.be.at.most(1);
    }
    expect(countOwners(hosts)).to.deep.equal(new Array(SHARD_COUNT).fill(1));
    const owner = hosts.find(host => host.shards.check(shard).ok);
    expect(owner?.shards.check(shard).unwrap()).to.equal(epoch + 1);
    expect(hosts[1].shards.owner(shard)?.hostId).to.equal(owner?.session.hostId);
  });

  it('hands all shards over on a planned stop', async () => {
    // Guards against planned stops that leave shards without an owner for a time to live.
    const cluster = new TestCluster();
    const released: number[] = [];
    const leaving = startShardHost(cluster, 'a', released);
    const staying = [startShardHost(cluster, 'b'), startShardHost(cluster, 'c')];
    await cluster.advance(6000);
    const owned = leaving.shards.ownedShards();
    expect(owned).to.not.have.length(0);
    leaving.session.beginLeave();
    leaving.start(leaving.shards.releaseAll());
    await cluster.advance(5000);
    expect(released).to.have.members(owned);
    expect(countOwners(staying)).to.deep.equal(new Array(SHARD_COUNT).fill(1));
  });
});
