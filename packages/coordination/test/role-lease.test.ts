import {expect} from 'chai';
import {Procedure, sleep} from '@radishgw/core';
import {Authority, RoleLease} from '../src/index.js';
import {TestCluster, TestHost} from './test-cluster.js';

function holdersOf(hosts: readonly TestHost[]): TestHost[] {
  return hosts.filter(host => host.role.check().ok);
}

describe('RoleLease', () => {
  it('has one holder at a time and a higher epoch after its holder is killed', async () => {
    // Guards against a role with two holders, and against a role that nobody takes over.
    const cluster = new TestCluster();
    const hosts = ['a', 'b', 'c'].map(name => cluster.startHost(name));
    await cluster.advance(3000);
    const [holder] = holdersOf(hosts);
    const epoch = holder.role.check().unwrap();
    holder.kill();
    let takenOverAfterMs = 0;
    for (let step = 1; step <= 100 && takenOverAfterMs === 0; step++) {
      await cluster.advance(100);
      expect(holdersOf(hosts).length).to.be.at.most(1);
      if (holdersOf(hosts).some(host => host !== holder)) takenOverAfterMs = step * 100;
    }
    expect(takenOverAfterMs).to.be.within(6000, 9500);
    expect(holdersOf(hosts)[0].role.check().unwrap()).to.equal(epoch + 1);
  });

  it('is taken over within 1.5 s of a planned stop', async () => {
    // Guards against planned stops after which a successor waits for the time to live.
    const cluster = new TestCluster();
    const hosts = ['a', 'b'].map(name => cluster.startHost(name));
    await cluster.advance(3000);
    const [holder] = holdersOf(hosts);
    holder.session.beginLeave();
    holder.start(holder.role.release());
    expect(holder.role.check().err).to.equal(true);
    await cluster.advance(1500);
    expect(holdersOf(hosts)).to.have.length(1);
    expect(holdersOf(hosts)[0]).to.not.equal(holder);
  });

  it('claims again after a claim with an unknown outcome', async () => {
    // Guards against a role whose object names a live host that doesn't know that it is the holder.
    const cluster = new TestCluster();
    const host = cluster.createHost('a');
    host.start(host.session.run());
    await cluster.advance(1000);
    const sessionId = host.session.check().unwrap();
    const value = {epoch: 4, hostId: 'a', sessionId, attemptId: 'unrecognised'};
    cluster.store.write('roles/fleet', JSON.stringify(value));
    host.start(host.role.run());
    await cluster.advance(2000);
    expect(host.role.check().unwrap()).to.equal(5);
  });

  it('cancels the work of a holder that lost its session', async () => {
    // Guards against control procedures that continue after their authority has ended.
    const cluster = new TestCluster();
    const host = cluster.createHost('a');
    const events: string[] = [];
    function* work(authority: Authority): Procedure<void> {
      try {
        events.push(`epoch ${authority.epoch}`);
        for (;;) yield* sleep(100);
      } finally {
        events.push('ended');
      }
    }
    const {dependencies, handlers, session, membership} = host;
    const settings = {role: 'usage', work} as const;
    const role = new RoleLease(dependencies, handlers, session, membership, settings);
    host.start(session.run());
    host.start(role.run());
    await cluster.advance(3000);
    expect(events).to.deep.equal(['epoch 1']);
    host.platform.faults.outage = 'refused';
    await cluster.advance(8000);
    expect(events).to.deep.equal(['epoch 1', 'ended']);
  });
});
