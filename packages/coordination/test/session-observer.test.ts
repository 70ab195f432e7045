import {expect} from 'chai';
import {HostId, SessionId, toId} from '@radishgw/core';
import {DEFAULT_LEASE_TIMES, ObjectList, SessionObserver} from '../src/index.js';

const HOST = toId<HostId>('a');
const SESSION = toId<SessionId>('s1');

function listWith(listRevision: number, revision: number, fields: object = {}): ObjectList {
  const record = {
    attemptId: 's1.0',
    hostId: HOST,
    sessionId: SESSION,
    failureDomain: 'd',
    callerAddress: '',
    innerAddress: '',
    operatorAddress: '',
    state: 'live',
    appliedRevision: 0,
    renewal: 0,
    supersedes: [],
    ...fields,
  };
  const object = {key: 'hosts/a', revision, value: JSON.stringify(record)};
  return {objects: [object], revision: listRevision};
}

function createObserver(): SessionObserver {
  return new SessionObserver(DEFAULT_LEASE_TIMES, 3000);
}

describe('SessionObserver', () => {
  it('does not infer that a session ended from a read older than the claim', () => {
    // Guards against taking a role from a session that a stale read does not return yet.
    const observer = createObserver();
    observer.observeAll({objects: [], revision: 10}, 0);
    expect(observer.sessionStatus(HOST, SESSION, 11)).to.equal('unknown');
    expect(observer.sessionStatus(HOST, SESSION, 10)).to.equal('ended');
  });

  it('reports a lapse only after the time to live and margin without a change', () => {
    // Guards against early takeovers, despite an observed renewal or after one read of an old
    // object.
    const observer = createObserver();
    for (let nowMs = 0; nowMs <= 6000; nowMs += 1000) observer.observeAll(listWith(5, 5), nowMs);
    expect(observer.sessionStatus(HOST, SESSION, 5)).to.equal('live');
    observer.observeAll(listWith(6, 6), 6500);
    observer.observeAll(listWith(6, 6), 7500);
    expect(observer.sessionStatus(HOST, SESSION, 5)).to.equal('live');
    for (let nowMs = 8500; nowMs <= 13_500; nowMs += 1000)
      observer.observeAll(listWith(6, 6), nowMs);
    expect(observer.sessionStatus(HOST, SESSION, 5)).to.equal('lapsed');
  });

  it('restarts the count towards a lapse after a gap in its reads', () => {
    // Guards against evicting all hosts after an outage during which none could renew.
    const observer = createObserver();
    observer.observeAll(listWith(5, 5), 0);
    observer.observeAll(listWith(5, 5), 20_000);
    expect(observer.sessionStatus(HOST, SESSION, 5)).to.equal('live');
  });

  it('reports a superseded session as live while its successor lists it', () => {
    // Guards against taking a role from an earlier process that still considers its session valid.
    const observer = createObserver();
    const successor = {sessionId: 's2', supersedes: ['s1']};
    observer.observeAll(listWith(6, 6, successor), 0);
    expect(observer.sessionStatus(HOST, SESSION, 5)).to.equal('live');
    observer.observeAll(listWith(7, 7, {...successor, state: 'ended'}), 100);
    expect(observer.sessionStatus(HOST, SESSION, 5)).to.equal('live');
    expect(observer.sessionStatus(HOST, toId<SessionId>('s2'), 6)).to.equal('ended');
    observer.observeAll(listWith(8, 8, {sessionId: 's2'}), 200);
    expect(observer.sessionStatus(HOST, SESSION, 5)).to.equal('ended');
  });

  it('ignores a list that is older than one already observed', () => {
    // Guards against lists that arrive out of order.
    const observer = createObserver();
    observer.observeAll(listWith(9, 9), 0);
    observer.observe(HOST, {objects: [], revision: 8}, 10);
    expect(observer.sessionStatus(HOST, SESSION, 5)).to.equal('live');
  });
});
