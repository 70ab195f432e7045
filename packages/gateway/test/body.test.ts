import {expect} from 'chai';
import {parseModelRequest} from '../src/request/body.js';
import {Refusal} from '../src/request/refusal.js';

const parse = (messages: unknown) =>
  parseModelRequest('/v1/chat/completions', Buffer.from(JSON.stringify({model: 'm', messages})));

describe('body of a chat request', () => {
  it('keeps its messages as they are', () => {
    const messages = [{role: 'user', content: 'a', unknown: [1]}, {}];
    expect(parse(messages)).to.deep.equal({model: 'm', messages});
  });

  it('is refused with the first of its messages that is no object', () => {
    // Guards against a report of each invalid message, which takes far more memory than the body.
    for (const [invalid, type] of [
      [1, 'number'],
      ['a', 'string'],
      [null, 'null'],
      [[], 'array'],
    ] as const) {
      const detail = `messages.1: Invalid input: expected object, received ${type}`;
      expect(() => parse([{}, invalid, invalid])).to.throw(Refusal, detail);
    }
    expect(() => parse([])).to.throw(Refusal, 'messages: Too small');
    expect(() => parse('a')).to.throw(Refusal, 'messages: Invalid input: expected array');
  });
});
