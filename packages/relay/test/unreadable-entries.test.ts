import {expect} from 'chai';
import {TargetId, toId} from '@radishgw/core';
import {createKnownEntries, keepUnreadable} from '../src/unreadable-entries.js';
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
