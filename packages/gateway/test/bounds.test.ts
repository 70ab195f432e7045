import {expect} from 'chai';
import {Deployment, HostHandle, startDeployment, waitUntil} from '@radishgw/testkit';
import {CallerError, chat, findExecutions, parseRawAnswer, sendRaw, setFaults} from './support.js';

const MAX_BODY_BYTES = 20_000;
const MAX_TEAM_IN_FLIGHT = 3;
const MAX_HOST_IN_FLIGHT = 5;

describe('a host with limits on its input', () => {
  let deployment: Deployment;
  let host: HostHandle;
  let auth: string;
  let secret: string;

  before(async () => {
    deployment = await startDeployment({
      hosts: 1,
      engines: 1,
      services: 1,
      failureDomains: ['norte-bilbo'],
      decodeMsPerToken: 1,
      maxInFlight: MAX_TEAM_IN_FLIGHT,
      hostFlags: [
        '--max-body-bytes',
        String(MAX_BODY_BYTES),
        '--max-in-flight',
        String(MAX_HOST_IN_FLIGHT),
        '--request-timeout-ms',
        '300',
      ],
    });
    host = deployment.hosts[0];
    secret = deployment.key.split('_').at(-1)!;
    auth = `authorization: Bearer ${deployment.key}`;
  });

  after(() => deployment.stop());

  afterEach(async () => {
    // Whatever the input was, the process must serve the next request.
    const outcome = await chat(deployment, {marker: 'next request', tokens: 3});
    expect(outcome).to.include({statusCode: 200, whole: true});
    expect(host.child.isRunning()).to.equal(true);
  });

  async function expectRefusal(
    parts: readonly (string | Buffer)[],
    statusCode: number,
    code: string,
  ): Promise<string> {
    const answer = parseRawAnswer(await sendRaw(host.entryUrl, parts));
    expect(answer.statusCode).to.equal(statusCode);
    expect(answer.error).to.include({code, execution: 'not_run'});
    expect(answer.head).to.include('x-radishgw-execution: not_run');
    return answer.error.message;
  }

  function post(path: string, headers: readonly string[], body = ''): string {
    const lines = [`POST ${path} HTTP/1.1`, 'host: gateway', 'connection: close', ...headers];
    return `${lines.join('\r\n')}\r\n\r\n${body}`;
  }

  it('refuses ambiguous message lengths', async () => {
    // Guards against request smuggling: a target must not see a request that the host didn't see.
    const smuggled = 'POST /orders HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n';
    for (const headers of [
      ['content-length: 5', 'transfer-encoding: chunked'],
      ['transfer-encoding: chunked', 'content-length: 5'],
      ['content-length: 5', 'content-length: 6'],
      ['content-length: +5'],
      ['transfer-encoding: identity, chunked, gzip'],
    ]) {
      const request = post('/orders', [auth, ...headers], `0\r\n\r\n${smuggled}`);
      await expectRefusal([request], 400, 'malformed_request');
    }
    expect(await findExecutions(deployment, '/orders')).to.have.length(0);
  });

  it('refuses malformed chunks', async () => {
    // Guards against bodies for which two parsers disagree on the length.
    const head = post('/orders', [auth, 'transfer-encoding: chunked']);
    for (const chunk of ['zz\r\nabc\r\n0\r\n\r\n', '3\r\nabcdef\r\n0\r\n\r\n', '-1\r\n\r\n']) {
      await expectRefusal([head, chunk], 400, 'malformed_request');
    }
    expect(await findExecutions(deployment, '/orders')).to.have.length(0);
  });

  it('refuses bytes that are not HTTP, unknown methods and CONNECT', async () => {
    // Guards against connections that hang or are closed without a response.
    await expectRefusal(['\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03'], 400, 'malformed_request');
    await expectRefusal(['BREW /orders HTTP/1.1\r\nhost: x\r\n\r\n'], 400, 'malformed_request');
    const connect = 'CONNECT target:80 HTTP/1.1\r\nhost: target:80\r\n\r\n';
    await expectRefusal([connect], 405, 'method_not_allowed');
    const known = post('/orders', [auth]).replace('POST', 'PROPFIND');
    await expectRefusal([known], 404, 'route_not_found');
  });

  it('refuses paths that leave their route or cannot be decoded', async () => {
    // Guards against a call that reaches a path at the target that the route doesn't allow.
    await expectRefusal([post('/orders%2', [auth])], 400, 'malformed_request');
    await expectRefusal([post('/orders/../admin', [auth])], 404, 'route_not_found');
  });

  it('refuses headers over the limit', async () => {
    // Guards against a caller that exhausts memory with headers.
    const headers = [`x-large: ${'a'.repeat(40_000)}`];
    await expectRefusal([post('/orders', [auth, ...headers])], 431, 'request_too_large');
  });

  it('refuses bodies over the limit, with content-length or chunked', async () => {
    // Guards against a caller that exhausts memory with a body, and refusals lost to a reset.
    const body = 'b'.repeat(MAX_BODY_BYTES + 1);
    const announced = post('/orders', [auth, `content-length: ${body.length}`], body);
    await expectRefusal([announced], 413, 'request_too_large');
    const chunked = post('/orders', [auth, 'transfer-encoding: chunked']);
    const chunk = `${body.length.toString(16)}\r\n${body}\r\n`;
    await expectRefusal([chunked, chunk, '0\r\n\r\n'], 413, 'request_too_large');
  });

  it('closes the connection of a caller that keeps sending after a refusal', async () => {
    // Guards against a caller that occupies a connection with an endless body.
    const chunked = post('/orders', [auth, 'transfer-encoding: chunked']);
    const chunk = `${MAX_BODY_BYTES.toString(16)}\r\n${'b'.repeat(MAX_BODY_BYTES)}\r\n`;
    const answer = await sendRaw(host.entryUrl, [chunked, chunk, chunk, chunk, chunk]);
    // The connection reset that ends the endless body may arrive before the refusal.
    expect(answer).to.match(/^(HTTP\/1.1 413 |$)/);
  });

  it('refuses headers and bodies that arrive too slowly', async () => {
    // Guards against in-flight slots occupied by callers that never finish their request.
    await expectRefusal(['POST /orders HTTP/1.1\r\nhost: x\r\n'], 408, 'request_timeout');
    const slowBody = post('/orders', [auth, 'content-length: 100'], 'begins');
    await expectRefusal([slowBody], 408, 'request_timeout');
    expect(await findExecutions(deployment, 'begins')).to.have.length(0);
  });

  it('names the field when it refuses a malformed model request', async () => {
    // Guards against requests that fail at the engine, or as a server error, without a reason.
    const cases: [string, RegExp][] = [
      ['{', /not JSON/],
      ['null', /body/],
      ['[]', /body/],
      [JSON.stringify({model: 'stitch-small'}), /messages/],
      [JSON.stringify({model: 7, messages: [{}]}), /model/],
      [JSON.stringify({model: 'stitch-small', messages: [{}], max_tokens: -1}), /max_tokens/],
      [JSON.stringify({model: 'stitch-small', messages: [{}], n: 1.5}), /^n:/],
    ];
    for (const [body, message] of cases) {
      const headers = [auth, `content-length: ${body.length}`];
      const text = post('/v1/chat/completions', headers, body);
      expect(await expectRefusal([text], 400, 'malformed_request')).to.match(message);
    }
  });

  it('refuses malformed deadlines and idempotency keys', async () => {
    // Guards against headers that are silently ignored although the caller relies on them.
    const body = ['content-length: 2'];
    for (const value of ['-1', '0', '1.5', 'soon', '1e3', '']) {
      const headers = [auth, `x-radishgw-deadline-ms: ${value}`, ...body];
      const message = await expectRefusal(
        [post('/orders', headers, '{}')],
        400,
        'malformed_request',
      );
      expect(message).to.include('x-radishgw-deadline-ms');
    }
    for (const value of ['', 'a b', 'k'.repeat(256), 'k\u00e9']) {
      const headers = [auth, `idempotency-key: ${value}`, ...body];
      const message = await expectRefusal(
        [post('/orders', headers, '{}')],
        400,
        'malformed_request',
      );
      expect(message).to.include('idempotency-key');
    }
    expect(await findExecutions(deployment, '/orders')).to.have.length(0);
  });

  it('requests the body only after the checks that do not need it', async () => {
    // Guards against callers that send a large body only to be refused, or wait for
    // "100 Continue" forever.
    const expectation = ['content-length: 2', 'expect: 100-continue'];
    const refused = post('/orders', expectation, '');
    await expectRefusal([refused], 401, 'key_missing');
    const accepted = await sendRaw(host.entryUrl, [post('/orders', [auth, ...expectation], '{}')]);
    expect(accepted).to.match(/^HTTP\/1.1 100 Continue\r\n\r\nHTTP\/1.1 200 /);
    const other = post('/orders', [auth, 'content-length: 0', 'expect: magic']);
    await expectRefusal([other], 400, 'malformed_request');
  });

  it('refuses requests over the in-flight limit of a team, then of the host', async () => {
    // Guards against one team, or all teams together, exceeding the capacity of a host.
    await setFaults(deployment.services[0].url, {delayMs: 400});
    const call = async (path: string, method: string) => {
      const response = await fetch(`${host.entryUrl}${path}`, {
        method,
        headers: {authorization: `Bearer ${deployment.key}`},
      });
      const {error} = (await response.json()) as {error?: CallerError};
      return {statusCode: response.status, error, retryAfter: response.headers.get('retry-after')};
    };
    const open = async (path: string, method: string, count: number) => {
      const calls = Array.from({length: count}, () => call(path, method));
      await waitUntil(
        async () =>
          (await fetch(`${host.operatorUrl}/status`)).json() as Promise<{inFlight: number}>,
        status => status.inFlight >= count,
      );
      return calls;
    };
    const calls = await open('/orders?bound', 'POST', MAX_TEAM_IN_FLIGHT);
    const overTeam = await call('/orders', 'POST');
    expect(overTeam).to.deep.include({statusCode: 503, retryAfter: '1'});
    expect(overTeam.error).to.include({code: 'too_many_in_flight', execution: 'not_run'});
    const rest = Array.from({length: MAX_HOST_IN_FLIGHT - MAX_TEAM_IN_FLIGHT}, () =>
      call('/catalogue?bound', 'GET'),
    );
    await waitUntil(
      async () => (await fetch(`${host.operatorUrl}/status`)).json() as Promise<{inFlight: number}>,
      status => status.inFlight >= MAX_HOST_IN_FLIGHT,
    );
    const overHost = await call('/catalogue', 'GET');
    expect(overHost.error).to.include({code: 'too_many_in_flight', execution: 'not_run'});
    for (const {statusCode} of await Promise.all([...calls, ...rest])) {
      expect(statusCode).to.equal(200);
    }
    await setFaults(deployment.services[0].url, {delayMs: 0});
    expect(await findExecutions(deployment, 'bound')).to.have.length(MAX_HOST_IN_FLIGHT);
  });

  it('closes the connection when a malformed request follows one in progress', async () => {
    // Guards against an error response that is taken for the response to the request in progress.
    await setFaults(deployment.services[0].url, {delayMs: 300});
    const first = post('/orders', [auth, 'content-length: 9'], 'pipelined').replace(
      'connection: close\r\n',
      '',
    );
    const answer = await sendRaw(host.entryUrl, [first, 'not http\r\n\r\n']);
    await setFaults(deployment.services[0].url, {delayMs: 0});
    expect(answer).to.equal('');
  });

  it('removes the key from forwarded requests, wherever the caller put it', async () => {
    // Guards against a target that learns a key (G4).
    const encoded = [...secret].map(c => `%${c.charCodeAt(0).toString(16)}`).join('');
    const twice = encoded.replaceAll('%', '%25');
    const path =
      `/orders?api_key=${deployment.key}&a=1&b=x${secret}y&c=${encoded}` +
      `&d=${twice}&${secret}=e&f=2`;
    const headers = {
      host: 'gateway',
      authorization: `Bearer ${deployment.key}`,
      'x-api-key': deployment.key,
      cookie: `key=${deployment.key}`,
      'x-plain': 'kept',
      'x-part': `before ${deployment.key} after`,
      'x-encoded': `v=${encoded}`,
      'x-upper': secret.toUpperCase(),
      'x-twice': twice,
      [`x-${secret}`]: 'name',
      connection: 'close, x-hop',
      'x-hop': 'dropped',
      'content-length': '8',
    };
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
    const answer = await sendRaw(host.entryUrl, [
      [`POST ${path} HTTP/1.1`, ...lines, '', 'key hunt'].join('\r\n'),
    ]);
    expect(answer).to.match(/^HTTP\/1.1 200 /);
    const [execution] = await findExecutions(deployment, 'key hunt');
    expect(execution.url).to.equal('/orders?a=1&f=2');
    expect(execution.headers).to.include({'x-plain': 'kept'});
    const seen = decodeURIComponent(decodeURIComponent(JSON.stringify(execution))).toLowerCase();
    expect(seen).not.to.include(secret);
    expect(Object.keys(execution.headers).join()).not.to.match(/x-(part|encoded|upper|twice|hop)/);
  });

  it('refuses a body or a path that contains the key', async () => {
    // Guards against a target that learns a key (G4) from a part of the request that can't be
    // removed without changing its meaning.
    const escaped = `\\u${secret.charCodeAt(0).toString(16).padStart(4, '0')}${secret.slice(1)}`;
    for (const text of [deployment.key, encodeURIComponent(`"${secret}"`), escaped]) {
      const response = await fetch(`${host.entryUrl}/orders`, {
        method: 'POST',
        headers: {authorization: `Bearer ${deployment.key}`},
        body: `key in body ${text}`,
      });
      expect(response.status).to.equal(400);
      const {error} = (await response.json()) as {error: CallerError};
      expect(error).to.include({code: 'malformed_request', execution: 'not_run'});
      expect(error.message).not.to.include(secret);
    }
    for (const path of [`/orders/${secret}`, `/orders/${encodeURIComponent(deployment.key)}`]) {
      await expectRefusal([post(path, [auth])], 404, 'route_not_found');
    }
    expect(await findExecutions(deployment, 'key in body')).to.have.length(0);
  });
});
