import {expect} from 'chai';
import {BodyTooLargeError, readText} from '../src/index.js';

describe('reading a body', () => {
  it('joins characters that are split between chunks', async () => {
    // Guards against text that is damaged where a chunk ends.
    const bytes = Buffer.from('a\u00e9');
    async function* chunks() {
      yield* [bytes.subarray(0, 2), bytes.subarray(2)];
    }
    expect(await readText(chunks(), 3)).to.equal('a\u00e9');
  });

  it('ends as soon as the body is too large', async () => {
    // Guards against a body without an end that fills the memory.
    let count = 0;
    let isClosed = false;
    async function* endless() {
      try {
        for (;;) {
          count++;
          yield Buffer.alloc(10);
        }
      } finally {
        isClosed = true;
      }
    }
    const error = await readText(endless(), 45).catch((reason: unknown) => reason);
    expect(error).to.be.instanceOf(BodyTooLargeError);
    expect(count).to.equal(5);
    expect(isClosed).to.equal(true);
  });
});
