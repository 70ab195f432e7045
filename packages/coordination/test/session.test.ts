import {expect} from 'chai';
import {TestCluster} from './test-cluster.js';

describe('HostSession', () => {
  it('starts, renews and publishes the applied revision', async () => {
    // Guards against sessions that lapse without any failure.
    const cluster = new TestCluster();
    const host = cluster.startHost('a');
    await cluster.advance(100);
    const sessionId = host.session.check().unwrap();
    host.session.setAppliedRevision(17);
    await cluster.advance(30_000);
    expect(host.session.check().unwrap()).to.equal(sessionId);
    expect(cluster.read('hosts/a')).to.include({sessionId, appliedRevision: 17, state: 'live'});
  });

  it('lapses by its own clock when renewals fail and starts a new session afterwards', async () => {
    // Guards against a partitioned host that continues to act on its authority.
    const cluster = new TestCluster();
    const host = cluster.startHost('a');
    await cluster.advance(100);
    const sessionId = host.session.check().unwrap();
    host.platform.faults.outage = 'silent';
    await cluster.advance(6100);
    expect(host.session.check().err).to.equal(true);
    host.platform.faults.outage = 'none';
    await cluster.advance(3000);
    expect(host.session.check().unwrap()).to.not.equal(sessionId);
  });

  it('keeps its session when only responses are lost', async () => {
    // Guards against treating the host's own renewal, after a lost response, as another process's.
    const cluster = new TestCluster();
    const host = cluster.startHost('a');
    await cluster.advance(100);
    const sessionId = host.session.check().unwrap();
    host.platform.faults.lostAnswerProbability = 0.1;
    await cluster.advance(60_000);
    expect(host.session.check().unwrap()).to.equal(sessionId);
  });

  it('removes its object on a planned end', async () => {
    // Guards against planned stops after which other hosts wait for the session to lapse.
    const cluster = new TestCluster();
    const host = cluster.startHost('a');
    await cluster.advance(5000);
    host.start(host.session.end());
    expect(host.session.check().err).to.equal(true);
    await cluster.advance(100);
    expect(cluster.read('hosts/a')).to.equal(undefined);
  });

  it('stops when a later process of the same host replaces it', async () => {
    // Guards against two processes that replace each other's session forever.
    const cluster = new TestCluster();
    const first = cluster.createHost('a');
    const task = first.start(first.session.run());
    await cluster.advance(1000);
    const second = cluster.startHost('a');
    await cluster.advance(1000);
    const sessionId = second.session.check().unwrap();
    await cluster.advance(20_000);
    expect(await task.done).to.equal('replaced');
    expect(first.session.check().err).to.equal(true);
    expect(second.session.check().unwrap()).to.equal(sessionId);
  });

  it('lists the session of an earlier process until it must have lapsed', async () => {
    // Guards against two holders when the earlier process of a restarted host still runs.
    const cluster = new TestCluster();
    const first = cluster.startHost('a');
    await cluster.advance(2500);
    const firstId = first.session.check().unwrap();
    const second = cluster.startHost('a');
    await cluster.advance(100);
    const other = cluster.startHost('b');
    expect(cluster.read('hosts/a')?.supersedes).to.deep.equal([firstId]);
    expect(first.role.check().ok).to.equal(true);
    first.kill();
    let bothHeld = false;
    for (let step = 0; step < 120; step++) {
      await cluster.advance(100);
      const holders = [first, second, other].filter(host => host.role.check().ok);
      bothHeld ||= holders.length > 1;
    }
    expect(bothHeld).to.equal(false);
    expect(second.role.check().ok || other.role.check().ok).to.equal(true);
    expect(cluster.read('hosts/a')?.supersedes).to.deep.equal([]);
  });
});

describe('Membership', () => {
  it('lists live hosts, marks leaving ones and removes lapsed ones', async () => {
    // Guards against placement on hosts that have left or are leaving.
    const cluster = new TestCluster();
    const [a, b] = [cluster.startHost('a'), cluster.startHost('b')];
    const c = cluster.startHost('c');
    await cluster.advance(2000);
    c.session.beginLeave();
    cluster.store.setListedHost(b.session.hostId, 'leaving');
    await cluster.advance(4000);
    const states = () => a.membership.members().map(member => [member.hostId, member.leaving]);
    expect(states()).to.deep.equal([
      ['a', false],
      ['b', true],
      ['c', true],
    ]);
    b.kill();
    await cluster.advance(10_000);
    expect(states().map(([hostId]) => hostId)).to.deep.equal(['a', 'c']);
  });

  it('keeps its view during an outage and does not evict live hosts after it', async () => {
    // Guards against losing all members when the platform becomes available again.
    const cluster = new TestCluster();
    const hosts = ['a', 'b', 'c'].map(name => cluster.startHost(name));
    await cluster.advance(3000);
    for (const host of hosts) host.platform.faults.outage = 'refused';
    await cluster.advance(60_000);
    expect(hosts[0].membership.members()).to.have.length(3);
    for (const host of hosts) host.platform.faults.outage = 'none';
    for (let step = 0; step < 100; step++) {
      await cluster.advance(100);
      expect(hosts[0].membership.members()).to.have.length(3);
    }
  });
});
