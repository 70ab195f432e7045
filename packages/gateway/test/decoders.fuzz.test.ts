import {IncomingHttpHeaders} from 'node:http';
import {expect} from 'chai';
import {AttemptId, RadishError, toId} from '@radishgw/core';
import {Deployment, startDeployment} from '@radishgw/testkit';
import fc from 'fast-check';
import {CompletionBuilder, parseChunk} from '../src/engine/completion.js';
import {EngineEvent, EventDecoder, EventFormatError} from '../src/engine/event-decoder.js';
import {parseModelRequest} from '../src/request/body.js';
import {
  MAX_DEADLINE_MS,
  parseDeadlineMs,
  parseIdempotencyKey,
} from '../src/request/caller-headers.js';
import {
  filterRequestHeaders,
  filterResponseHeaders,
  findKey,
  sanitizePath,
} from '../src/request/headers.js';
import {parseClaim} from '../src/request/idempotency.js';
import {Refusal} from '../src/request/refusal.js';
import {chat, sendRaw} from './support.js';

const SEED = 71;
const FUZZ_OPTIONS = {seed: SEED, numRuns: 500};
const ATTEMPT = toId<AttemptId>('a1b2');
const SECRET = '0123456789abcdef'.repeat(4);

/** Runs a decoder. Any error other than the documented one fails the test. */
function allowError<T>(errorType: new (...args: never[]) => Error, decode: () => T): T | undefined {
  try {
    return decode();
  } catch (error) {
    if (error instanceof errorType) return undefined;
    throw error;
  }
}

function decodeEvents(pieces: readonly Uint8Array[]): EngineEvent[] {
  const events: EngineEvent[] = [];
  const decoder = new EventDecoder(ATTEMPT, event => events.push(event), 4096);
  for (const piece of pieces) decoder.feed(piece);
  return events;
}

describe('decoders of untrusted input', () => {
  it('of engine events return the same events however the bytes are split', () => {
    // Guards against chunks that are lost or split at the boundary between two reads.
    const event = fc.record({
      attempt: fc.constantFrom<string>(ATTEMPT, 'other'),
      sequence: fc.integer({min: 1, max: 1e9}),
      data: fc.string({unit: 'grapheme'}).map(text => JSON.stringify(text)),
    });
    fc.assert(
      fc.property(fc.array(event), fc.array(fc.nat(300)), (sent, cuts) => {
        const bytes = Buffer.from(
          sent.map(e => `id: ${e.attempt}:${e.sequence}\ndata: ${e.data}\n\n`).join(''),
        );
        const ends = [...cuts, bytes.length].sort((a, b) => a - b);
        const pieces = ends.map((end, i) => bytes.subarray(i === 0 ? 0 : ends[i - 1], end));
        const wanted = sent.filter(e => e.attempt === ATTEMPT);
        expect(decodeEvents(pieces)).to.deep.equal(
          wanted.map(({sequence, data}) => ({sequence, data})),
        );
      }),
      FUZZ_OPTIONS,
    );
  });

  it('of engine events reject or drop invalid bytes', () => {
    // Guards against engine bytes that crash the process or are taken for this request's response.
    const line = fc.oneof(
      fc.string(),
      fc.constantFrom('id: a1b2:1', 'id: a1b2:x', 'id: 7', 'data: {}', 'data', '', ':', '\r'),
    );
    const input = fc.oneof(
      fc.uint8Array({maxLength: 9000}),
      fc.array(line).map(lines => Buffer.from(lines.join('\n'))),
    );
    fc.assert(
      fc.property(fc.array(input), pieces => {
        const events = allowError(EventFormatError, () => decodeEvents(pieces)) ?? [];
        for (const {sequence} of events) expect(Number.isSafeInteger(sequence)).to.equal(true);
      }),
      FUZZ_OPTIONS,
    );
  });

  it('of engine chunks reject invalid chunks', () => {
    // Guards against a chunk of an unexpected shape that crashes the process.
    const shaped = fc.record(
      {
        id: fc.oneof(fc.string(), fc.jsonValue()),
        choices: fc.array(
          fc.record(
            {
              index: fc.oneof(fc.nat(3), fc.jsonValue()),
              delta: fc.oneof(
                fc.record(
                  {content: fc.jsonValue(), tool_calls: fc.array(fc.jsonValue())},
                  {requiredKeys: []},
                ),
                fc.jsonValue(),
              ),
              text: fc.jsonValue(),
              finish_reason: fc.jsonValue(),
            },
            {requiredKeys: []},
          ),
        ),
        usage: fc.jsonValue(),
      },
      {requiredKeys: []},
    );
    const input = fc.oneof(
      fc.string(),
      fc.json(),
      shaped.map(value => JSON.stringify(value)),
    );
    fc.assert(
      fc.property(fc.array(input), inputs => {
        const builder = new CompletionBuilder('chat.completion');
        for (const data of inputs) allowError(Error, () => builder.add(parseChunk(data)));
        JSON.stringify(builder.build());
      }),
      FUZZ_OPTIONS,
    );
  });

  it('of model requests refuse invalid bodies', () => {
    // Guards against JSON that bypasses the schema or fails as a server error.
    const shaped = fc.record(
      {
        model: fc.oneof(fc.string(), fc.jsonValue()),
        messages: fc.oneof(fc.array(fc.object()), fc.jsonValue()),
        prompt: fc.oneof(fc.string(), fc.jsonValue()),
        max_tokens: fc.oneof(fc.integer(), fc.double(), fc.jsonValue()),
        stream: fc.oneof(fc.boolean(), fc.jsonValue()),
        n: fc.oneof(fc.integer(), fc.jsonValue()),
      },
      {requiredKeys: []},
    );
    const body = fc.oneof(
      fc.uint8Array().map(bytes => Buffer.from(bytes)),
      fc.json().map(text => Buffer.from(text)),
      shaped.map(value => Buffer.from(JSON.stringify(value))),
    );
    const path = fc.constantFrom('/v1/chat/completions' as const, '/v1/completions' as const);
    fc.assert(
      fc.property(path, body, (kind, bytes) => {
        const request = allowError(Refusal, () => parseModelRequest(kind, bytes));
        if (request) expect(request.model).to.be.a('string').and.not.equal('');
      }),
      FUZZ_OPTIONS,
    );
  });

  it('of deadlines and idempotency keys return a valid value or refuse', () => {
    // Guards against a timer that overflows and fires at once, or a key that can't be stored.
    const value = fc.oneof(fc.string(), fc.integer().map(String), fc.double().map(String));
    fc.assert(
      fc.property(value, text => {
        const deadline = allowError(RadishError, () =>
          parseDeadlineMs({'x-radishgw-deadline-ms': text}),
        );
        if (deadline !== undefined) expect(deadline).to.be.within(1, MAX_DEADLINE_MS);
        const key = allowError(RadishError, () => parseIdempotencyKey({'idempotency-key': text}));
        if (key !== undefined) expect(key).to.match(/^[!-~]{1,255}$/);
      }),
      FUZZ_OPTIONS,
    );
  });

  it('of headers and paths forward no key', () => {
    // Guards against a key that is forwarded in an unexpected position or encoding (G4).
    const encode = (text: string) =>
      [...text].map(c => `%${c.charCodeAt(0).toString(16)}`).join('');
    const secret = fc.constantFrom(SECRET, SECRET.toUpperCase(), encode(SECRET), `rk_x_${SECRET}`);
    const affix = fc.stringMatching(/^[a-z0-9%=&;+._~-]{0,20}$/);
    const text = fc.tuple(affix, secret, affix).map(parts => parts.join(''));
    fc.assert(
      fc.property(text, affix, (withSecret, name) => {
        const headers: IncomingHttpHeaders = {
          [`x-${name}`]: withSecret,
          [`y-${withSecret}`]: 'v',
          z: 'kept',
        };
        expect(filterRequestHeaders(headers, SECRET)).to.deep.equal({z: 'kept'});
        const path = allowError(Refusal, () =>
          sanitizePath(`/orders?a=1&${name}=${withSecret}`, SECRET),
        );
        expect(decodePath(path ?? '')).not.to.include(SECRET);
        expect(() => sanitizePath(`/orders/${withSecret}`, SECRET)).to.throw(Refusal);
      }),
      FUZZ_OPTIONS,
    );
  });

  it('of paths refuse dot segments in any encoding', () => {
    // Guards against a call that escapes its route's prefix at the target.
    const dot = fc.constantFrom('.', '%2e', '%2E', '%252e');
    const slash = fc.constantFrom('/', '%2f', '\\', '%5c');
    fc.assert(
      fc.property(fc.array(dot, {minLength: 1, maxLength: 2}), slash, (dots, separator) => {
        const path = `/orders/${dots.join('')}${separator}admin`;
        expect(() => sanitizePath(path, undefined)).to.throw(Refusal);
      }),
      FUZZ_OPTIONS,
    );
  });

  it('of headers and claims throw no undocumented error', () => {
    // Guards against input that crashes the process.
    const headers = fc.dictionary(
      fc.string().map(name => name.toLowerCase()),
      fc.oneof(fc.string(), fc.array(fc.string())),
    );
    fc.assert(
      fc.property(headers, fc.string(), fc.json(), (given, url, value) => {
        findKey(given);
        filterRequestHeaders(given, SECRET);
        filterResponseHeaders(given);
        allowError(Refusal, () => sanitizePath(url, SECRET));
        parseClaim({key: 'idempotency/t/d', revision: 1, value});
        parseClaim({key: 'idempotency/t/d', revision: 1, value: url});
      }),
      FUZZ_OPTIONS,
    );
  });

  describe('at the HTTP port', () => {
    let deployment: Deployment;

    before(async () => {
      deployment = await startDeployment({
        hosts: 1,
        engines: 1,
        services: 1,
        failureDomains: ['norte-bilbo'],
        decodeMsPerToken: 1,
        hostFlags: ['--request-timeout-ms', '200', '--log-level', 'error'],
      });
    });

    after(() => deployment.stop());

    it('survive arbitrary bytes', async () => {
      // Guards against bytes that crash the process or stop it from serving other callers.
      const auth = `authorization: Bearer ${deployment.key}`;
      const line = fc.constantFrom(
        'POST /v1/chat/completions HTTP/1.1',
        'GET /catalogue HTTP/1.1',
        'host: x',
        'content-length: 3',
        'transfer-encoding: chunked',
        'expect: 100-continue',
        'connection: upgrade',
        'upgrade: websocket',
        'x-radishgw-deadline-ms: 9',
        auth,
        '',
        '{"',
        '3',
        '0',
      );
      const input = fc.oneof(
        fc.uint8Array({maxLength: 400}).map(bytes => Buffer.from(bytes)),
        fc.array(line, {maxLength: 12}).map(lines => Buffer.from(`${lines.join('\r\n')}\r\n`)),
      );
      await fc.assert(
        fc.asyncProperty(fc.array(input, {minLength: 20, maxLength: 20}), async inputs => {
          const {entryUrl, child} = deployment.hosts[0];
          await Promise.all(
            inputs.map(bytes =>
              sendRaw(entryUrl, [bytes, 'GET / HTTP/1.1\r\nconnection: close\r\n\r\n']),
            ),
          );
          expect(child.isRunning()).to.equal(true);
        }),
        {seed: SEED, numRuns: 10},
      );
      const outcome = await chat(deployment, {marker: 'after the fuzz', tokens: 3});
      expect(outcome).to.include({statusCode: 200, whole: true});
    });
  });
});

function decodePath(path: string): string {
  return path
    .replace(/%([0-9a-f]{2})/gi, (_, hex: string) => String.fromCharCode(Number.parseInt(hex, 16)))
    .toLowerCase();
}
