import {execFileSync} from 'node:child_process';
import {expect} from 'chai';
import fc from 'fast-check';
import {DecodedTooLargeError, estimateDecodedBytes, parseJson} from '../src/index.js';

/** Texts of about a megabyte whose values take far more memory, by description. */
const LARGE_TEXTS: Readonly<Record<string, string>> = {
  'empty objects': `[${'{},'.repeat(300_000)}{}]`,
  'empty lists': `[${'[],'.repeat(300_000)}[]]`,
  'short texts': `[${'"ab",'.repeat(200_000)}""]`,
  fractions: `[${'0.1,'.repeat(250_000)}0]`,
  'mixed values': `[${'{"a":[0.1,"b"]},'.repeat(60_000)}0]`,
  'many fields': `{${Array.from({length: 70_000}, (_, i) => `"field-${i}":0`).join()}}`,
};

/** Prints the memory that decoding a text takes; in a process of its own, whose heap is quiet. */
const MEASURE = `
  const text = require('node:fs').readFileSync(0, 'utf8');
  global.gc();
  const before = process.memoryUsage().heapUsed;
  const value = JSON.parse(text);
  global.gc();
  console.log(process.memoryUsage().heapUsed - before, value && 1);
`;

describe('decoding JSON text', () => {
  for (const [description, text] of Object.entries(LARGE_TEXTS)) {
    it(`takes no more memory than estimated (${description})`, () => {
      // Guards against an estimate that lets small values fill the heap.
      const options = {input: text, encoding: 'utf8', maxBuffer: 1024} as const;
      const output = execFileSync(process.execPath, ['--expose-gc', '-e', MEASURE], options);
      const measuredBytes = Number(output.split(' ')[0]);
      expect(measuredBytes).to.be.greaterThan(0);
      expect(measuredBytes).to.be.at.most(estimateDecodedBytes(text) + text.length);
    });
  }

  it('counts nothing within strings', () => {
    // Guards against long prompts that are refused because of their punctuation.
    fc.assert(
      fc.property(fc.string(), text => {
        expect(estimateDecodedBytes(JSON.stringify(text))).to.equal(0);
      }),
    );
    expect(estimateDecodedBytes('"never ends, [')).to.equal(0);
  });

  it('is done as by JSON.parse within the bound', () => {
    fc.assert(
      fc.property(fc.jsonValue(), value => {
        const text = JSON.stringify(value);
        expect(parseJson(text, Infinity)).to.deep.equal(JSON.parse(text));
        expect(parseJson(text, estimateDecodedBytes(text))).to.deep.equal(JSON.parse(text));
      }),
    );
  });

  it('is not begun for a text that would take too much', () => {
    // Guards against text that is bounded while what it decodes to isn't.
    const text = LARGE_TEXTS['empty objects'];
    expect(() => parseJson(text, 1_000_000)).to.throw(DecodedTooLargeError);
    expect(() => parseJson(`${text}]`, 1_000_000)).to.throw(DecodedTooLargeError);
    expect(() => parseJson(`${text}]`, Infinity)).to.throw(SyntaxError);
  });
});
