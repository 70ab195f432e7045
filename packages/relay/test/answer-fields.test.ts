import {expect} from 'chai';
import {AnswerFields} from '../src/targets/answer-fields.js';

const FIELD = 'a: b\r\n';

/** Pushes a text in chunks; returns whether all of it may be parsed. */
function push(fields: AnswerFields, text: string, chunkBytes = text.length): boolean {
  const bytes = Buffer.from(text);
  for (let i = 0; i < bytes.length; i += chunkBytes) {
    if (!fields.push(bytes.subarray(i, i + chunkBytes))) return false;
  }
  return true;
}

describe('AnswerFields', () => {
  let fields: AnswerFields;
  beforeEach(() => {
    fields = new AnswerFields();
    fields.expectHead();
  });

  for (const chunkBytes of [1, 7, 10_000]) {
    it(`bounds the fields of a head (chunks of ${chunkBytes} bytes)`, () => {
      // Guards against fields that the parser keeps until their head ends.
      expect(push(fields, `HTTP/1.1 200 OK\r\n${FIELD.repeat(200)}`, chunkBytes)).to.equal(true);
      expect(push(fields, FIELD.repeat(100), chunkBytes)).to.equal(false);
    });

    it(`bounds the fields of a trailer (chunks of ${chunkBytes} bytes)`, () => {
      fields.recordReport();
      expect(push(fields, FIELD.repeat(200), chunkBytes)).to.equal(true);
      // The parser has it once more bytes are read.
      push(fields, FIELD.repeat(100), chunkBytes);
      expect(push(fields, 'x')).to.equal(false);
    });
  }

  it('counts the fields of interim heads with those of the head that follows', () => {
    // Guards against a limit that begins anew with each interim head.
    const interim = `HTTP/1.1 103 Early Hints\r\n${FIELD.repeat(100)}\r\n`;
    expect(push(fields, interim)).to.equal(true);
    expect(push(fields, interim)).to.equal(true);
    expect(push(fields, interim)).to.equal(false);
  });

  it('counts no lines of a body', () => {
    // Guards against answers and streams that fail because of their length.
    const lines = 'data: a\n'.repeat(500);
    expect(push(fields, `HTTP/1.1 200 OK\r\n${FIELD}\r\n${lines}`)).to.equal(true);
    fields.recordReport();
    for (let i = 0; i < 100; i++) {
      expect(push(fields, lines)).to.equal(true);
      fields.recordReport();
    }
  });
});
