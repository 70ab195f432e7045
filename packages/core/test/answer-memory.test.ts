import {expect} from 'chai';
import {AnswerMemory} from '../src/index.js';

const KIBIBYTE = 1024;

describe('answer memory', () => {
  it('bounds all buffers together', () => {
    // Guards against a limit on each answer that doesn't limit the process.
    const memory = new AnswerMemory(100 * KIBIBYTE);
    const buffers = Array.from({length: 10}, () => memory.open());
    const accepted = buffers.filter(buffer => buffer.resize(48 * KIBIBYTE));
    expect(accepted).to.have.length(3);
    expect(memory.sharedBytes).to.be.at.most(100 * KIBIBYTE);
    for (const buffer of buffers) buffer.resize(0);
    expect(memory.sharedBytes).to.equal(0);
  });

  it('has room for small answers while large ones use it up', () => {
    // Guards against ordinary answers that fail because of an endless one.
    const memory = new AnswerMemory(100 * KIBIBYTE);
    const large = memory.open();
    expect(large.resize(116 * KIBIBYTE)).to.equal(true);
    expect(large.resize(117 * KIBIBYTE)).to.equal(false);
    expect(memory.open().resize(10 * KIBIBYTE)).to.equal(true);
  });
});
