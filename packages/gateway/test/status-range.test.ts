import {Deployment, formatAnswer, RawServer, startDeployment} from '@radishgw/testkit';
import {expect} from 'chai';
import {CallerError, chat} from './support.js';

const OUT_OF_RANGE = 'answer has an invalid status';
const MALFORMED = 'answer is not valid HTTP';

/**
 * Statuses outside 100 to 599 (RFC 9110, section 15), and others that no status line may have, with
 * what callers are told of them.
 */
const INVALID_STATUSES = {
  '600': OUT_OF_RANGE,
  '999': OUT_OF_RANGE,
  '000': OUT_OF_RANGE,
  '099': OUT_OF_RANGE,
  '1000': MALFORMED,
  abc: MALFORMED,
};

const BODY = '{"items": []}';

/** Resumptions of a stream are spread over a part of this time. */
const PROGRESS_TIMEOUT_MS = 1000;

const answerWith = (status: string, moreFields: readonly string[] = []) => ({
  bytes: formatAnswer(
    'length',
    ['content-type: application/json', ...moreFields],
    BODY,
    `${status} Status`,
  ),
  end: 'keepOpen' as const,
});

describe('statuses out of range', () => {
  const server = new RawServer();
  let deployment: Deployment;
  let keyCount = 0;

  before(async () => {
    const url = `http://${await server.start()}`;
    deployment = await startDeployment({
      hosts: 1,
      // Each answer that can't be used excludes a target for a while.
      engines: 8,
      services: 20,
      failureDomains: ['norte-bilbo'],
      decodeMsPerToken: 1,
      hostFlags: ['--progress-timeout-ms', String(PROGRESS_TIMEOUT_MS)],
      mapUrl: (name, mapped) => Promise.resolve(/^(service|engine)/.test(name) ? url : mapped),
    });
  });
  after(async () => {
    await deployment.stop();
    server.stop();
  });

  async function send(method: string, path: string, idempotencyKey?: string) {
    const response = await fetch(`${deployment.hosts[0].entryUrl}${path}`, {
      method,
      headers: {
        authorization: `Bearer ${deployment.key}`,
        ...(idempotencyKey === undefined ? {} : {'idempotency-key': idempotencyKey}),
      },
      ...(method === 'POST' ? {body: '{}'} : {}),
    });
    const {error} = (await response.json()) as {error?: CallerError};
    return {
      status: response.status,
      code: error?.code,
      execution: error?.execution,
      message: error?.message,
      isReplay: response.headers.has('x-radishgw-idempotent-replay'),
    };
  }

  /** Sends requests for each status and compares what callers got. */
  async function expectEach(
    play: (status: string) => Promise<object>,
    expected: (fault: string) => object,
  ): Promise<void> {
    const outcomes: Record<string, object> = {};
    const expectedOutcomes: Record<string, object> = {};
    for (const [status, fault] of Object.entries(INVALID_STATUSES)) {
      server.requestCount = 0;
      outcomes[status] = await play(status);
      expectedOutcomes[status] = expected(fault);
    }
    expect(outcomes).to.deep.equal(expectedOutcomes);
  }

  const unknown = {status: 502, code: 'outcome_unknown', execution: 'unknown'};

  it('do not reach the caller of a service', async () => {
    await expectEach(
      async status => {
        server.answer = () => answerWith(status);
        const outcome = await send('POST', '/orders');
        return {...outcome, requestCount: server.requestCount};
      },
      fault => ({
        ...unknown,
        message: `target failed: ${fault}`,
        isReplay: false,
        requestCount: 1,
      }),
    );
  });

  const cases = {
    'are not stored for repetitions': [],
    'are not taken for refusals of a service': ['x-radishgw-execution: not_run'],
  };
  for (const [title, fields] of Object.entries(cases)) {
    it(title, async () => {
      await expectEach(
        async status => {
          server.answer = () => answerWith(status, fields);
          const key = `status-${keyCount++}`;
          const first = await send('POST', '/orders', key);
          const second = await send('POST', '/orders', key);
          return {
            codes: [first.code, second.code],
            isReplay: second.isReplay,
            requestCount: server.requestCount,
          };
        },
        () => ({codes: [unknown.code, unknown.code], isReplay: false, requestCount: 1}),
      );
    });
  }

  it('lead to another target for a call that may be repeated', async () => {
    await expectEach(
      async status => {
        server.answer = () => answerWith(server.requestCount === 1 ? status : '200');
        const {status: received} = await send('GET', '/catalogue');
        return {received, requestCount: server.requestCount};
      },
      () => ({received: 200, requestCount: 2}),
    );
  });

  it('do not reach the caller of an engine', async () => {
    await expectEach(
      async status => {
        server.answer = fields =>
          fields['x-radishgw-attempt-id'] === undefined ? answerWith('200') : answerWith(status);
        const {statusCode, error} = await chat(deployment, {
          marker: 'a',
          tokens: 3,
          stream: false,
        });
        const {code, execution, message} = error!;
        const text = message.replace('engine is lost after event 0: ', '');
        return {statusCode, code, execution, text};
      },
      fault => ({
        statusCode: 502,
        code: 'target_failed',
        execution: 'unknown',
        text: `target failed: ${fault}`,
      }),
    );
  });
});
