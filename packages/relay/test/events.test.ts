import {expect} from 'chai';
import fc from 'fast-check';
import {EventSplitter} from '../src/index.js';

const TEXT = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nversion: 3\nid: 3\ndata: c\n\nid: 4\nda';
/** Offsets at which the events of the text end. */
const ENDS = [TEXT.indexOf('id: 2'), TEXT.indexOf('version'), TEXT.indexOf('id: 4')];

/** What a splitter has returned in all, after each chunk. */
function split(chunks: readonly Buffer[]) {
  const splitter = new EventSplitter();
  let text = '';
  let count = 0;
  let lastId: string | undefined;
  const states = chunks.map(chunk => {
    for (const events of splitter.push(chunk)) {
      text += events.bytes.toString();
      count += events.count;
      lastId = events.lastId ?? lastId;
    }
    return {text, count, lastId};
  });
  return {states, rest: splitter.takeRemainder().toString()};
}

describe('event splitter', () => {
  it('returns the same events for any division into chunks', () => {
    // Guards against losing events or forwarding parts of them when a read ends within an event.
    const whole = split([Buffer.from(TEXT)]);
    expect(whole.states).to.deep.equal([{text: TEXT.slice(0, ENDS[2]), count: 3, lastId: '3'}]);
    expect(whole.rest).to.equal('id: 4\nda');
    fc.assert(
      fc.property(fc.array(fc.integer({min: 0, max: TEXT.length})), cuts => {
        const points = [0, ...cuts.sort((a, b) => a - b), TEXT.length];
        const chunks = points.slice(1).map((end, i) => Buffer.from(TEXT.slice(points[i], end)));
        const {states, rest} = split(chunks);
        for (const [i, state] of states.entries()) {
          const ended = ENDS.filter(end => end <= points[i + 1]);
          const lastId = ended.length > 0 ? String(ended.length) : undefined;
          const text = TEXT.slice(0, ended.at(-1) ?? 0);
          expect(state).to.deep.equal({text, count: ended.length, lastId});
        }
        expect(rest).to.equal(whole.rest);
      }),
    );
  });

  it('finds the id of the last event that has one', () => {
    // Guards against a stream that is resumed at the wrong event.
    const lastIdOf = (text: string) => split([Buffer.from(text)]).states[0].lastId;
    expect(lastIdOf('id: 7\n\n:\n\ndata: id: 8\n\n')).to.equal('7');
    expect(lastIdOf('data: x\nid:9\n\n')).to.equal('9');
    expect(lastIdOf(':\n\ndata: id:\n\n')).to.equal(undefined);
  });
});
