import {setTimeout as wait} from 'node:timers/promises';
import {Deployment, HostHandle, readPeakMemoryMib, startDeployment} from '@radishgw/testkit';
import {expect} from 'chai';

/** Memory of the host. Its process, idle, has about 110 MiB. */
const MEMORY_MIB = 260;
/** Heap of the host, so that values that are decoded end it early. */
const HEAP_MIB = 112;
const BODY_BYTES = 4 * 1024 * 1024;
const REQUESTS_AT_ONCE = 12;
const MESSAGE = '{"role":"user","content":"Hello"}';

/** Statuses of a body whose values are too large, and of one that others leave no memory for. */
const REFUSAL_STATUSES = [413, 503];

function list(item: string): string {
  return `[${`${item},`.repeat(BODY_BYTES / (item.length + 1) - 100)}${item}]`;
}

/** Bodies within the limit whose values take far more memory than their text, by description. */
const BODIES: Readonly<Record<string, (model: string) => string>> = {
  'numbers for messages': model => `{"model":"${model}","messages":${list('1')}}`,
  'empty objects for messages': model => `{"model":"${model}","messages":${list('{}')}}`,
  'empty lists for messages': model => `{"model":"${model}","messages":${list('[]')}}`,
  'an unknown field of empty objects': model =>
    `{"model":"${model}","messages":[${MESSAGE}],"unknown":${list('{}')}}`,
  'an unknown field of short texts': model =>
    `{"model":"${model}","messages":[${MESSAGE}],"unknown":${list('"ab"')}}`,
};

describe('bodies of callers that are large documents', function () {
  this.timeout(30_000);
  let deployment: Deployment;
  let host: HostHandle;

  before(async () => {
    deployment = await startDeployment({
      hosts: 0,
      engines: 1,
      services: 0,
      failureDomains: ['norte-bilbo'],
      decodeMsPerToken: 1,
      hostFlags: [
        ['--max-body-bytes', String(BODY_BYTES)],
        ['--memory-mb', String(MEMORY_MIB)],
      ].flat(),
      hostEnv: {NODE_OPTIONS: `--max-old-space-size=${HEAP_MIB}`},
    });
  });
  after(() => deployment.stop());
  beforeEach(async () => (host = await deployment.startHost(0)));
  afterEach(async () => {
    if (host.child.isRunning()) await host.child.stop();
  });

  /** Status of the answer to a chat request; 0 if there is none. */
  function send(body: string): Promise<number> {
    return fetch(`${host.entryUrl}/v1/chat/completions`, {
      method: 'POST',
      body,
      headers: {
        authorization: `Bearer ${deployment.key}`,
        'content-type': 'application/json',
      },
    }).then(
      async response => (await response.text(), response.status),
      () => 0,
    );
  }

  async function waitUntilServing(): Promise<void> {
    const body = `{"model":"${deployment.model}","max_tokens":2,"messages":[${MESSAGE}]}`;
    while (host.child.isRunning() && (await send(body)) !== 200) await wait(50);
  }

  for (const [description, makeBody] of Object.entries(BODIES)) {
    it(`(${description}) leave the host its memory`, async () => {
      // Guards against bounds on the text of bodies that don't limit the memory they decode to.
      await waitUntilServing();
      const body = makeBody(deployment.model);
      const sending = Array.from({length: REQUESTS_AT_ONCE}, () => send(body));
      const statuses = await Promise.all(sending);
      await waitUntilServing();
      const {child} = host;
      expect(child.isRunning(), 'the process runs').to.equal(true);
      expect(readPeakMemoryMib(child.pid), 'memory in MiB').to.be.at.most(MEMORY_MIB);
      for (const status of statuses) expect(status).to.be.oneOf(REFUSAL_STATUSES);
    });
  }
});
