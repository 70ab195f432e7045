import {setTimeout as wait} from 'node:timers/promises';
import {
  Child,
  countDescriptors,
  CROWDS,
  CrowdName,
  Deployment,
  HostHandle,
  readPeakMemoryMib,
  startCrowd,
  startDeployment,
} from '@radishgw/testkit';
import {expect} from 'chai';
import {setFaults} from './support.js';

/** Memory of the host. Its process, idle, has about 110 MiB. */
const MEMORY_MIB = 260;
/** Heap of the host, so that objects that are kept for callers end it early. */
const HEAP_MIB = 112;
const DESCRIPTORS = 400;
const BODY_BYTES = 4 * 1024 * 1024;
const LARGE_ANSWER_BYTES = 3 * 1024 * 1024;
/** Time after which an ordinary request is sent again. */
const ANSWER_TIMEOUT_MS = 3000;

describe('a host beside callers that exceed the limits', function () {
  this.timeout(20_000);
  let deployment: Deployment;
  let host: HostHandle;
  let crowd: Child | undefined;

  before(async () => {
    deployment = await startDeployment({
      hosts: 0,
      engines: 1,
      services: 1,
      failureDomains: ['norte-bilbo'],
      decodeMsPerToken: 1,
      maxInFlight: 1000,
      hostFlags: [
        ['--max-body-bytes', String(BODY_BYTES)],
        ['--memory-mb', String(MEMORY_MIB)],
        ['--file-descriptors', String(DESCRIPTORS)],
      ].flat(),
      hostEnv: {NODE_OPTIONS: `--max-old-space-size=${HEAP_MIB}`},
    });
  });
  after(() => deployment.stop());

  beforeEach(async () => (host = await deployment.startHost(0)));
  afterEach(async () => {
    if (crowd?.isRunning()) await crowd.stop('SIGKILL');
    crowd = undefined;
    // A planned stop, as the next host of this name waits until a lost session has ended.
    if (host.child.isRunning()) await host.child.stop();
  });

  /** Sends ordinary requests until one is served; returns if the process ends. */
  async function waitUntilServing(): Promise<void> {
    while (host.child.isRunning()) {
      const isServed = await fetch(`${host.entryUrl}/orders`, {
        method: 'POST',
        body: '{}',
        headers: {authorization: `Bearer ${deployment.key}`},
        signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
      }).then(
        async response => (await response.text(), response.ok),
        () => false,
      );
      if (isServed) return;
      await wait(50);
    }
  }

  for (const name of Object.keys(CROWDS) as CrowdName[]) {
    it(`survives ${name}`, async () => {
      // Guards against callers that use up the memory or the descriptors of the process.
      await waitUntilServing();
      const isLarge = name === 'requests whose large answers are not read';
      await setFaults(deployment.services[0].url, {fillerBytes: isLarge ? LARGE_ANSWER_BYTES : 0});
      const head = `POST /orders HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${deployment.key}\r\n`;
      crowd = await startCrowd(name, {
        port: Number(new URL(host.entryUrl).port),
        head,
        largeHead: head,
        bodyBytes: BODY_BYTES,
      });
      const {child} = host;
      const descriptorCount = child.isRunning() ? countDescriptors(child.pid) : 0;
      await setFaults(deployment.services[0].url, {fillerBytes: 0});
      await waitUntilServing();
      expect(child.isRunning(), 'the process runs').to.equal(true);
      expect(readPeakMemoryMib(child.pid), 'memory in MiB').to.be.at.most(MEMORY_MIB);
      expect(descriptorCount, 'descriptors').to.be.at.most(DESCRIPTORS - 200 + 50);
    });
  }
});
