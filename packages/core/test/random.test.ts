import {expect} from 'chai';
import {createSeededRandom, createSystemRandom} from '../src/index.js';

describe('random sources', () => {
  it('give ids of the wanted length that do not repeat over block ends', () => {
    // Guards against bytes that are given out twice when a block is used up.
    const random = createSystemRandom();
    const ids = Array.from({length: 5000}, () => random.nextHex(7));
    expect(new Set(ids).size).to.equal(5000);
    expect(ids.every(id => id.length === 14)).to.equal(true);
    expect(random.nextHex(5000)).to.have.length(10_000);
  });

  it('give the same sequence for the same seed', () => {
    // Guards against runs that can't be repeated.
    const take = (seed: number) => {
      const random = createSeededRandom(seed);
      return [random.next(), random.nextInt(100), random.nextHex(4)];
    };
    expect(take(5)).to.deep.equal(take(5));
    expect(take(5)).not.to.deep.equal(take(6));
  });
});
