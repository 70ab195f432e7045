import {expect} from 'chai';
import {
  createLeavingTargets,
  incarnationKey,
  isLeaving,
  listShared,
  recordLeaving,
} from '../src/targets/leaving-targets.js';
import {makeEntry} from './fixtures.js';

describe('targets that have said that they leave', () => {
  const entry = makeEntry('t');
  const key = incarnationKey(entry);

  it('are other incarnations than their successors', () => {
    // Guards against a restarted target that gets no calls.
    const state = createLeavingTargets();
    expect(recordLeaving(state, key, true, 0)).to.equal(true);
    expect(recordLeaving(state, key, true, 10)).to.equal(false);
    expect(isLeaving(state, entry)).to.equal(true);
    expect(isLeaving(state, {...entry, slots: 1})).to.equal(true);
    expect(isLeaving(state, {...entry, bornMs: 2})).to.equal(false);
    expect(isLeaving(state, {...entry, address: '127.0.0.1:2'})).to.equal(false);
  });

  it('are named by hosts that have heard it and by those that read for others', () => {
    // Guards against records that grow with the hosts, and against hosts that never learn of it.
    const state = createLeavingTargets();
    recordLeaving(state, 'own', true, 0);
    recordLeaving(state, 'heard', false, 0);
    expect(listShared(state, false, 1000)).to.deep.equal(['own']);
    expect(listShared(state, true, 1000)).to.deep.equal(['own', 'heard']);
    expect(listShared(state, true, 61_000)).to.deep.equal([]);
  });

  it('are remembered in bounded number', () => {
    // Guards against memory that grows with the targets that come and go.
    const state = createLeavingTargets();
    for (let i = 0; i < 5000; i++) recordLeaving(state, `t${i}`, true, i);
    expect(state.announcements.size).to.be.at.most(2000);
    expect(state.announcements.has('t4999')).to.equal(true);
  });
});
