import {expect} from 'chai';
import {ControlRig} from './control-rig.js';

describe('HostSession', () => {
  it('starts, renews and carries the applied revision', async () => {
    // Guards against sessions that lapse without a fault.
    const rig = new ControlRig();
    const host = rig.startHost('a');
    await rig.pass(100);
    const sessionId = host.session.check().unwrap();
    host.session.setAppliedRevision(17);
    await rig.pass(30_000);
    expect(host.session.check().unwrap()).to.equal(sessionId);
    expect(rig.read('hosts/a')).to.include({sessionId, appliedRevision: 17, state: 'live'});
  });

  it('lapses on its own clock when renewals fail and starts anew afterwards', async () => {
    // Guards against a cut-off host that goes on believing in its authority.
    const rig = new ControlRig();
    const host = rig.startHost('a');
    await rig.pass(100);
    const sessionId = host.session.check().unwrap();
    host.platform.faults.outage = 'silent';
    await rig.pass(6100);
    expect(host.session.check().err).to.equal(true);
    host.platform.faults.outage = 'none';
    await rig.pass(3000);
    expect(host.session.check().unwrap()).to.not.equal(sessionId);
  });

  it('keeps its session when only answers are lost', async () => {
    // Guards against a renewal whose lost answer is taken for another host's update.
    const rig = new ControlRig();
    const host = rig.startHost('a');
    await rig.pass(100);
    const sessionId = host.session.check().unwrap();
    host.platform.faults.lostAnswerProbability = 0.1;
    await rig.pass(60_000);
    expect(host.session.check().unwrap()).to.equal(sessionId);
  });

  it('removes its object on a planned end', async () => {
    // Guards against planned stops that make others wait for a lapse.
    const rig = new ControlRig();
    const host = rig.startHost('a');
    await rig.pass(5000);
    host.start(host.session.end());
    expect(host.session.check().err).to.equal(true);
    await rig.pass(100);
    expect(rig.read('hosts/a')).to.equal(undefined);
  });

  it('gives way to a later process of the same host', async () => {
    // Guards against two processes that take the session from each other for ever.
    const rig = new ControlRig();
    const first = rig.createHost('a');
    const task = first.start(first.session.run());
    await rig.pass(1000);
    const second = rig.startHost('a');
    await rig.pass(1000);
    const sessionId = second.session.check().unwrap();
    await rig.pass(20_000);
    expect(await task.done).to.equal('replaced');
    expect(first.session.check().err).to.equal(true);
    expect(second.session.check().unwrap()).to.equal(sessionId);
  });

  it('names an earlier process of the same host until it must have lapsed', async () => {
    // Guards against a restarted host whose earlier process is still running somewhere.
    const rig = new ControlRig();
    const first = rig.startHost('a');
    await rig.pass(2500);
    const firstId = first.session.check().unwrap();
    const second = rig.startHost('a');
    await rig.pass(100);
    const other = rig.startHost('b');
    expect(rig.read('hosts/a')?.supersedes).to.deep.equal([firstId]);
    expect(first.role.check().ok).to.equal(true);
    first.kill();
    let bothHeld = false;
    for (let step = 0; step < 120; step++) {
      await rig.pass(100);
      const holders = [first, second, other].filter(host => host.role.check().ok);
      bothHeld ||= holders.length > 1;
    }
    expect(bothHeld).to.equal(false);
    expect(second.role.check().ok || other.role.check().ok).to.equal(true);
    expect(rig.read('hosts/a')?.supersedes).to.deep.equal([]);
  });
});

describe('Membership', () => {
  it('shows live hosts, marks leaving ones and drops lapsed ones', async () => {
    // Guards against placement on hosts that are gone or about to go.
    const rig = new ControlRig();
    const [a, b] = [rig.startHost('a'), rig.startHost('b')];
    const c = rig.startHost('c');
    await rig.pass(2000);
    c.session.beginLeave();
    rig.store.setListedHost(b.session.hostId, 'leaving');
    await rig.pass(4000);
    const states = () => a.membership.members().map(member => [member.hostId, member.leaving]);
    expect(states()).to.deep.equal([
      ['a', false],
      ['b', true],
      ['c', true],
    ]);
    b.kill();
    await rig.pass(10_000);
    expect(states().map(([hostId]) => hostId)).to.deep.equal(['a', 'c']);
  });

  it('keeps its view during an outage and does not evict everyone after it', async () => {
    // Guards against a system that falls apart when the platform comes back.
    const rig = new ControlRig();
    const hosts = ['a', 'b', 'c'].map(name => rig.startHost(name));
    await rig.pass(3000);
    for (const host of hosts) host.platform.faults.outage = 'refused';
    await rig.pass(60_000);
    expect(hosts[0].membership.members()).to.have.length(3);
    for (const host of hosts) host.platform.faults.outage = 'none';
    for (let step = 0; step < 100; step++) {
      await rig.pass(100);
      expect(hosts[0].membership.members()).to.have.length(3);
    }
  });
});
