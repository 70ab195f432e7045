import {expect} from 'chai';
import fc from 'fast-check';
import {EventSplitter} from '../src/index.js';

function split(chunks: readonly Buffer[]): {events: string[]; ids: unknown[]; rest: string} {
  const splitter = new EventSplitter();
  const found = chunks.flatMap(chunk => splitter.push(chunk));
  return {
    events: found.map(event => event.bytes.toString()),
    ids: found.map(event => event.id),
    rest: splitter.takeRemainder().toString(),
  };
}

describe('event splitter', () => {
  it('returns the same events for any division into chunks', () => {
    // Guards against losing events or forwarding parts of them when a read ends within an event.
    const text =
      'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nversion: 3\nid: 3\ndata: c\n\nid: 4\nda';
    const whole = split([Buffer.from(text)]);
    expect(whole.ids).to.deep.equal(['1', '2', '3']);
    expect(whole.rest).to.equal('id: 4\nda');
    fc.assert(
      fc.property(fc.array(fc.integer({min: 0, max: text.length})), cuts => {
        const points = [0, ...cuts.sort((a, b) => a - b), text.length];
        const chunks = points.slice(1).map((end, i) => Buffer.from(text.slice(points[i], end)));
        expect(split(chunks)).to.deep.equal(whole);
      }),
    );
  });
});
