import {expect} from 'chai';
import {Procedure, sleep} from '@radishgw/core';
import {Authority, RoleLease} from '../src/index.js';
import {ControlRig, RigHost} from './control-rig.js';

function holdersOf(hosts: readonly RigHost[]): RigHost[] {
  return hosts.filter(host => host.role.check().ok);
}

describe('RoleLease', () => {
  it('has one holder at a time and a higher epoch after a kill', async () => {
    // Guards against two holders of one role, and against a role that nobody takes over.
    const rig = new ControlRig();
    const hosts = ['a', 'b', 'c'].map(name => rig.startHost(name));
    await rig.pass(3000);
    const [holder] = holdersOf(hosts);
    const epoch = holder.role.check().unwrap();
    holder.kill();
    let takenOverAfterMs = 0;
    for (let step = 1; step <= 100 && takenOverAfterMs === 0; step++) {
      await rig.pass(100);
      expect(holdersOf(hosts).length).to.be.at.most(1);
      if (holdersOf(hosts).some(host => host !== holder)) takenOverAfterMs = step * 100;
    }
    expect(takenOverAfterMs).to.be.within(6000, 9500);
    expect(holdersOf(hosts)[0].role.check().unwrap()).to.equal(epoch + 1);
  });

  it('passes on at once after a planned stop', async () => {
    // Guards against planned stops that cost a time to live.
    const rig = new ControlRig();
    const hosts = ['a', 'b'].map(name => rig.startHost(name));
    await rig.pass(3000);
    const [holder] = holdersOf(hosts);
    holder.session.beginLeave();
    holder.start(holder.role.release());
    expect(holder.role.check().err).to.equal(true);
    await rig.pass(1500);
    expect(holdersOf(hosts)).to.have.length(1);
    expect(holdersOf(hosts)[0]).to.not.equal(holder);
  });

  it('claims again after a claim whose outcome stayed unknown', async () => {
    // Guards against a role that names a living host which doesn't know that it holds it.
    const rig = new ControlRig();
    const host = rig.createHost('a');
    host.start(host.session.run());
    await rig.pass(1000);
    const sessionId = host.session.check().unwrap();
    const value = {epoch: 4, hostId: 'a', sessionId, attemptId: 'unrecognised'};
    rig.store.write('roles/fleet', JSON.stringify(value));
    host.start(host.role.run());
    await rig.pass(2000);
    expect(host.role.check().unwrap()).to.equal(5);
  });

  it('cancels the work of a holder that lost its session', async () => {
    // Guards against a control procedure that outlives its authority.
    const rig = new ControlRig();
    const host = rig.createHost('a');
    const seen: string[] = [];
    function* work(authority: Authority): Procedure<void> {
      try {
        seen.push(`epoch ${authority.epoch}`);
        for (;;) yield* sleep(100);
      } finally {
        seen.push('ended');
      }
    }
    const {dependencies, handlers, session, membership} = host;
    const settings = {role: 'usage', work} as const;
    const role = new RoleLease(dependencies, handlers, session, membership, settings);
    host.start(session.run());
    host.start(role.run());
    await rig.pass(3000);
    expect(seen).to.deep.equal(['epoch 1']);
    host.platform.faults.outage = 'refused';
    await rig.pass(8000);
    expect(seen).to.deep.equal(['epoch 1', 'ended']);
  });
});
