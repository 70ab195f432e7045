import {expect} from 'chai';
import {boundId} from '../src/index.js';

describe('ids that are kept', () => {
  it('are the same if they are short, and digests of bounded length otherwise', () => {
    for (const id of ['', 'a', '5c1e07a2', 'x'.repeat(64), '\u00ff'.repeat(20)]) {
      expect(boundId(id)).to.equal(id);
    }
    const long = 'x'.repeat(65);
    expect(boundId(long)).to.match(/^sha256:[\w-]{43}$/);
    expect(boundId(long)).to.equal(boundId('x'.repeat(65)));
    expect(boundId(long)).not.to.equal(boundId(`${long}x`));
  });
});
