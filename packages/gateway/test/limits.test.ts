import {Deployment, DEMO_ROUTE, HostHandle, startDeployment} from '@radishgw/testkit';
import {expect} from 'chai';
import {request} from 'undici';

const TOKENS_PER_SECOND = 50;
const BURST_TOKENS = 1000;
/** Cost of a call to the route that `startDeployment` configures. */
const CALL_TOKENS = 10;
const MS_PER_SECOND = 1000;
const POLL_MS = 100;

interface Status {
  readonly shards: number;
  readonly members: readonly string[];
}

describe('rate and burst across all hosts', () => {
  let deployment: Deployment;

  beforeEach(async () => {
    deployment = await startDeployment({
      hosts: 3,
      engines: 0,
      services: 2,
      failureDomains: ['hobart-a', 'hobart-b', 'kingston'],
      decodeMsPerToken: 1,
      tokensPerSecond: TOKENS_PER_SECOND,
      burstTokens: BURST_TOKENS,
      hostFlags: ['--shard-count', '8'],
    });
    await waitForShards();
  });

  afterEach(() => deployment.stop());

  async function waitForShards(): Promise<void> {
    for (;;) {
      const statuses = await Promise.all(deployment.hosts.map(readStatus));
      const owned = statuses.reduce((sum, status) => sum + status.shards, 0);
      if (owned === 8) return;
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
  }

  async function readStatus(host: HostHandle): Promise<Status> {
    const response = await request(`${host.operatorUrl}/status`);
    return (await response.body.json()) as Status;
  }

  async function callHost(host: HostHandle): Promise<number> {
    const response = await request(host.entryUrl + DEMO_ROUTE, {
      method: 'POST',
      headers: {authorization: `Bearer ${deployment.key}`},
      body: '{}',
    });
    await response.body.dump();
    if (response.statusCode === 429) {
      expect(Number(response.headers['retry-after'])).to.be.greaterThan(0);
    }
    return response.statusCode;
  }

  it('admit every request within the burst, whichever host receives it', async () => {
    // Guards against a host that refuses a request while other hosts still have tokens.
    for (let i = 0; i < 60; i++) {
      expect(await callHost(deployment.hosts[i % 3]), `call ${i}`).to.equal(200);
    }
  });

  it('are not exceeded when all hosts are flooded at once', async () => {
    // Guards against each host admitting a full burst of its own.
    const startMs = performance.now();
    const statuses = await Promise.all(
      Array.from({length: 400}, (_, i) => callHost(deployment.hosts[i % 3])),
    );
    const elapsedSeconds = (performance.now() - startMs) / MS_PER_SECOND;
    const admittedTokens = statuses.filter(status => status === 200).length * CALL_TOKENS;
    expect(statuses.filter(status => status !== 200 && status !== 429)).to.deep.equal([]);
    expect(admittedTokens).to.be.at.most(BURST_TOKENS + TOKENS_PER_SECOND * elapsedSeconds);
    // The reserves of the hosts and the owner's pool add up to one burst.
    expect(admittedTokens).to.be.at.least(BURST_TOKENS * 0.9);
  });

  it('hold when a host is killed, and requests are admitted again after the takeover', async () => {
    // Guards against a new owner that starts with full buckets, and against one that never starts.
    const startMs = performance.now();
    let admittedTokens = 0;
    const flood = async (hosts: readonly HostHandle[]) => {
      const calls = Array.from({length: 240}, (_, i) => callHost(hosts[i % hosts.length]));
      const admitted = (await Promise.all(calls)).filter(status => status === 200).length;
      admittedTokens += admitted * CALL_TOKENS;
      return admitted;
    };
    await flood(deployment.hosts);
    const [killed, ...others] = deployment.hosts;
    await killed.child.stop('SIGKILL');
    await flood(others);
    for (;;) {
      const statuses = await Promise.all(others.map(readStatus));
      if (statuses.reduce((sum, status) => sum + status.shards, 0) === 8) break;
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
    while ((await flood(others)) === 0) await new Promise(resolve => setTimeout(resolve, POLL_MS));
    const elapsedSeconds = (performance.now() - startMs) / MS_PER_SECOND;
    expect(admittedTokens).to.be.at.most(BURST_TOKENS + TOKENS_PER_SECOND * elapsedSeconds);
  });
});

describe('a starting host', () => {
  it('is ready only once the owner of each shard is known', async () => {
    // Guards against refusals of the first requests, while shards have no owner yet.
    const deployment = await startDeployment({
      hosts: 1,
      engines: 0,
      services: 1,
      failureDomains: ['hobart-a'],
      decodeMsPerToken: 1,
      tokensPerSecond: TOKENS_PER_SECOND,
      burstTokens: BURST_TOKENS,
    });
    try {
      const response = await request(`${deployment.hosts[0].operatorUrl}/status`);
      expect(await response.body.json()).to.include({ready: true, knowsOwners: true});
    } finally {
      await deployment.stop();
    }
  });
});
