import {expect} from 'chai';
import {createSeededRandom, createSystemRandom} from '../src/index.js';

describe('random sources', () => {
  it('return ids of the requested length without repeats across blocks', () => {
    // Guards against bytes that are returned twice when a block is exhausted.
    const random = createSystemRandom();
    const ids = Array.from({length: 5000}, () => random.nextHex(7));
    expect(new Set(ids).size).to.equal(5000);
    expect(ids.every(id => id.length === 14)).to.equal(true);
    expect(random.nextHex(5000)).to.have.length(10_000);
  });

  it('return the same sequence for the same seed', () => {
    // Guards against runs that aren't reproducible.
    const drawSequence = (seed: number) => {
      const random = createSeededRandom(seed);
      return [random.next(), random.nextInt(100), random.nextHex(4)];
    };
    expect(drawSequence(5)).to.deep.equal(drawSequence(5));
    expect(drawSequence(5)).not.to.deep.equal(drawSequence(6));
  });
});
