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
  it('does not take absence from a read that is older than the claim', () => {
    // Guards against taking a role from a session that a lagging read does not show yet.
    const observer = createObserver();
    observer.observeAll({objects: [], revision: 10}, 0);
    expect(observer.judge(HOST, SESSION, 11)).to.equal('unknown');
    expect(observer.judge(HOST, SESSION, 10)).to.equal('over');
  });

  it('judges a session lapsed only after the time to live and margin without a change', () => {
    // Guards against early takeovers, by renewals seen in between or by one old sight.
    const observer = createObserver();
    for (let nowMs = 0; nowMs <= 6000; nowMs += 1000) observer.observeAll(listWith(5, 5), nowMs);
    expect(observer.judge(HOST, SESSION, 5)).to.equal('live');
    observer.observeAll(listWith(6, 6), 6500);
    observer.observeAll(listWith(6, 6), 7500);
    expect(observer.judge(HOST, SESSION, 5)).to.equal('live');
    for (let nowMs = 8500; nowMs <= 13_500; nowMs += 1000)
      observer.observeAll(listWith(6, 6), nowMs);
    expect(observer.judge(HOST, SESSION, 5)).to.equal('lapsed');
  });

  it('starts counting anew after a gap in its reads', () => {
    // Guards against evicting every host after an outage during which none could renew.
    const observer = createObserver();
    observer.observeAll(listWith(5, 5), 0);
    observer.observeAll(listWith(5, 5), 20_000);
    expect(observer.judge(HOST, SESSION, 5)).to.equal('live');
  });

  it('keeps a superseded session alive while its successor names it', () => {
    // Guards against taking a role from an earlier process that still believes in its session.
    const observer = createObserver();
    const successor = {sessionId: 's2', supersedes: ['s1']};
    observer.observeAll(listWith(6, 6, successor), 0);
    expect(observer.judge(HOST, SESSION, 5)).to.equal('live');
    observer.observeAll(listWith(7, 7, {...successor, state: 'ended'}), 100);
    expect(observer.judge(HOST, SESSION, 5)).to.equal('live');
    expect(observer.judge(HOST, toId<SessionId>('s2'), 6)).to.equal('over');
    observer.observeAll(listWith(8, 8, {sessionId: 's2'}), 200);
    expect(observer.judge(HOST, SESSION, 5)).to.equal('over');
  });

  it('drops a list that is older than what it has seen', () => {
    // Guards against lists that overtake each other.
    const observer = createObserver();
    observer.observeAll(listWith(9, 9), 0);
    observer.observe(HOST, {objects: [], revision: 8}, 10);
    expect(observer.judge(HOST, SESSION, 5)).to.equal('live');
  });
});
