import {expect} from 'chai';
import {TargetId, toId} from '@radishgw/core';
import {createKnownEntries, keepUnreadable} from '../src/store/unreadable-entries.js';
import {makeEntry} from './fixtures.js';

describe('targets whose entries can not be used any more', () => {
  const entry = makeEntry('t');
  const id = toId<TargetId>('t');
  const ids = (list: {entries: readonly {id: TargetId}[]}) => list.entries.map(item => item.id);

  it('count as they were for two seconds', () => {
    // Guards against a target that is dropped because another writer replaced its entry.
    const known = createKnownEntries();
    keepUnreadable(known, {revision: 1, entries: [entry]}, 0);
    const list = {revision: 2, entries: [], unreadable: [id]};
    expect(keepUnreadable(known, list, 1000).entries).to.deep.equal([entry]);
    expect(ids(keepUnreadable(known, list, 2900))).to.deep.equal([id]);
    expect(ids(keepUnreadable(known, list, 3000))).to.deep.equal([]);
    expect(ids(keepUnreadable(known, list, 3100))).to.deep.equal([]);
  });

  it('have that time again after they were usable', () => {
    // Guards against a target whose entry is replaced twice.
    const known = createKnownEntries();
    const broken = {revision: 2, entries: [], unreadable: [id]};
    keepUnreadable(known, {revision: 1, entries: [entry]}, 0);
    keepUnreadable(known, broken, 1000);
    keepUnreadable(known, {revision: 3, entries: [entry]}, 2500);
    expect(ids(keepUnreadable(known, broken, 4000))).to.deep.equal([id]);
  });

  it('include one that lacks the start time that its target has stated', () => {
    // Guards against a draining target that gets requests again under an entry of another writer.
    const known = createKnownEntries();
    const draining = {...entry, isDraining: true};
    const foreign = {...entry, bornMs: undefined};
    keepUnreadable(known, {revision: 1, entries: [draining]}, 0);
    const list = {revision: 2, entries: [foreign]};
    expect(keepUnreadable(known, list, 1000).entries).to.deep.equal([draining]);
    expect(keepUnreadable(known, list, 2900).entries).to.deep.equal([draining]);
    expect(keepUnreadable(known, list, 3000).entries).to.deep.equal([]);
    expect(keepUnreadable(known, list, 3100).entries).to.deep.equal([]);
    const own = {revision: 3, entries: [draining]};
    expect(keepUnreadable(known, own, 3200).entries).to.deep.equal([draining]);
  });

  it('do not include those of targets that never state their start time', () => {
    // Guards against targets that are left out where none states it.
    const known = createKnownEntries();
    const list = {revision: 1, entries: [{...entry, bornMs: undefined}]};
    for (const nowMs of [0, 1000, 5000]) {
      expect(keepUnreadable(known, list, nowMs).entries).to.deep.equal(list.entries);
    }
  });

  it('are no targets if they never were, or if their entry is gone', () => {
    // Guards against targets that are made up, and against those that have left.
    const known = createKnownEntries();
    expect(
      ids(keepUnreadable(known, {revision: 1, entries: [], unreadable: [id]}, 0)),
    ).to.deep.equal([]);
    keepUnreadable(known, {revision: 2, entries: [entry]}, 100);
    expect(ids(keepUnreadable(known, {revision: 3, entries: []}, 200))).to.deep.equal([]);
  });
});
