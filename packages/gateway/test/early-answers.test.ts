import {Agent, request} from 'node:http';
import {
  Deployment,
  EARLY_ENDS,
  EarlyAnswer,
  EarlyServer,
  formatAnswer,
  startDeployment,
} from '@radishgw/testkit';
import {expect} from 'chai';

/** More than the buffers of both ends of a connection hold. */
const UPLOAD_BYTES = 12 * 1024 * 1024;

/** Parts of answers that could be whole, by content type. */
const PARTS = {
  'text/plain': 'half',
  'text/event-stream': 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n',
};

/** Time for which the host is stopped; an answer and its end arrive in it. */
const HOST_PAUSE_MS = 100;

interface Outcome {
  readonly status: number;
  readonly body: string;
  readonly isComplete: boolean;
  readonly isReplay: boolean;
}

describe('early answers of plain services to uploads', () => {
  const service = new EarlyServer();
  let deployment: Deployment;
  let keyCount = 0;

  before(async () => {
    const url = `http://${await service.start()}`;
    deployment = await startDeployment({
      hosts: 1,
      engines: 0,
      // Each broken answer excludes a target for a while.
      services: 12,
      failureDomains: ['norte-bilbo'],
      decodeMsPerToken: 1,
      hostFlags: ['--max-body-bytes', String(16 * 1024 * 1024)],
      mapUrl: (name, mapped) => Promise.resolve(name.startsWith('service') ? url : mapped),
    });
  });
  after(async () => {
    await deployment.stop();
    service.stop();
  });
  beforeEach(() => {
    service.requestCount = 0;
    service.earlyResetCount = 0;
  });

  function send(method: string, path: string, idempotencyKey?: string): Promise<Outcome> {
    return new Promise((resolve, reject) => {
      const outgoing = request(
        `${deployment.hosts[0].entryUrl}${path}`,
        {
          method,
          agent: new Agent(),
          headers: {
            authorization: `Bearer ${deployment.key}`,
            'content-length': UPLOAD_BYTES,
            ...(idempotencyKey === undefined ? {} : {'idempotency-key': idempotencyKey}),
          },
        },
        response => {
          const chunks: Buffer[] = [];
          const finish = (isComplete: boolean) =>
            resolve({
              status: response.statusCode ?? 0,
              body: Buffer.concat(chunks).toString(),
              isComplete,
              isReplay: 'x-radishgw-idempotent-replay' in response.headers,
            });
          response.on('data', (chunk: Buffer) => chunks.push(chunk));
          response.on('end', () => finish(response.complete));
          response.on('error', () => finish(false));
        },
      );
      outgoing.on('error', reject);
      outgoing.end(Buffer.alloc(UPLOAD_BYTES, 'x'));
    });
  }

  for (const end of EARLY_ENDS) {
    for (const [type, part] of Object.entries(PARTS)) {
      const partial: EarlyAnswer = {
        bytes: formatAnswer('connection', [`content-type: ${type}`], part),
        end,
      };

      it(`does not complete part of an early answer of type ${type} (${end})`, async () => {
        service.answer = () => partial;
        const {status, isComplete} = await send('POST', '/orders');
        if (isComplete) expect(status).to.equal(502);
        expect(service.requestCount).to.equal(1);
        expect(service.earlyResetCount).to.equal(1);
      });

      it(`does not complete part of an early answer of type ${type} that arrives with its end (${end})`, async () => {
        const host = deployment.hosts[0].child;
        service.answer = () => {
          host.signal('SIGSTOP');
          setTimeout(() => host.signal('SIGCONT'), HOST_PAUSE_MS);
          return partial;
        };
        const {status, isComplete} = await send('POST', '/orders');
        if (isComplete) expect(status).to.equal(502);
        expect(service.requestCount).to.equal(1);
        expect(service.earlyResetCount).to.equal(1);
      });

      it(`does not store part of an early answer of type ${type} (${end})`, async () => {
        service.answer = () => partial;
        const key = `early-${keyCount++}`;
        await send('POST', '/orders', key);
        const {status, isReplay} = await send('POST', '/orders', key);
        expect({status, isReplay}).to.deep.equal({status: 502, isReplay: false});
        expect(service.requestCount).to.equal(1);
        expect(service.earlyResetCount).to.equal(1);
      });

      it(`does not take part of an early answer of type ${type} for whole if its call may be repeated (${end})`, async () => {
        const whole = `${part}id: 3\ndata: c\n\n`;
        service.answer = () =>
          service.requestCount === 1
            ? partial
            : {bytes: formatAnswer('length', [`content-type: ${type}`], whole), end: 'close'};
        const {status, body, isComplete} = await send('GET', '/catalogue');
        if (status === 200 && isComplete) expect(body).to.equal(whole);
        expect(service.earlyResetCount).to.equal(1);
      });
    }
  }
});
