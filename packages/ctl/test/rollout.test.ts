import {execFile} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {teamKey} from '@radishgw/config';
import {DEMO_ROUTE, Deployment, HostHandle, startDeployment} from '@radishgw/testkit';
import {expect} from 'chai';
import {Agent, request} from 'undici';

const MAIN = fileURLToPath(new URL('../src/main.js', import.meta.url));
const POLL_MS = 50;

/** Polls until `isDone` resolves to true; mocha's timeout limits the whole test. */
async function waitUntil(isDone: () => Promise<boolean>): Promise<void> {
  while (!(await isDone())) await new Promise(resolve => setTimeout(resolve, POLL_MS));
}

describe('configuration on all hosts', () => {
  let deployment: Deployment;
  let agent: Agent;

  before(async () => {
    deployment = await startDeployment({
      hosts: 3,
      engines: 1,
      services: 1,
      failureDomains: ['hobart-a', 'hobart-b', 'kingston'],
      decodeMsPerToken: 1,
      proxied: true,
    });
    agent = new Agent({connections: 1, keepAliveTimeout: 600_000});
  });

  after(async () => {
    await agent.destroy();
    await deployment.stop();
  });

  function radishctl(...args: string[]): Promise<{code: number; stdout: string; stderr: string}> {
    const env = {...process.env, RADISHCTL_PLATFORM_URL: deployment.platformUrl};
    return new Promise(resolve => {
      execFile(process.execPath, [MAIN, ...args], {env}, (error, stdout, stderr) => {
        resolve({code: error ? Number((error as {code?: number}).code) : 0, stdout, stderr});
      });
    });
  }

  async function callWith(host: HostHandle, key: string): Promise<{status: number; code?: string}> {
    const response = await request(`${host.entryUrl}/v1/models`, {
      dispatcher: agent,
      headers: {authorization: `Bearer ${key}`},
    });
    const body = (await response.body.json()) as {error?: {code: string; execution: string}};
    if (body.error) expect(body.error.execution).to.equal('not_run');
    return {status: response.statusCode, code: body.error?.code};
  }

  async function readStatus(host: HostHandle) {
    const response = await request(`${host.operatorUrl}/status`);
    return (await response.body.json()) as {freshness: {kind: string}; completeRevision: number};
  }

  async function setFaults(faults: object): Promise<void> {
    const response = await request(`${deployment.platformUrl}/faults`, {
      method: 'POST',
      body: JSON.stringify(faults),
    });
    await response.body.dump();
  }

  async function issueKey(): Promise<{keyId: string; key: string}> {
    const issued = await radishctl('key', 'issue', deployment.teamId, '--wait', '--output', 'json');
    expect(issued.code, issued.stderr).to.equal(0);
    return JSON.parse(issued.stdout) as {keyId: string; key: string};
  }

  it('puts an issued or withdrawn key into effect on every host before --wait returns', async () => {
    // Guards against a withdrawn key that is still accepted on open connections of some host.
    const {keyId, key} = await issueKey();
    for (const host of deployment.hosts) {
      expect(await callWith(host, key)).to.deep.equal({status: 200, code: undefined});
    }
    const withdrawn = await radishctl('key', 'withdraw', deployment.teamId, keyId, '--wait');
    expect(withdrawn.code, withdrawn.stderr).to.equal(0);
    for (const host of deployment.hosts) {
      expect(await callWith(host, key)).to.deep.equal({status: 401, code: 'invalid_api_key'});
    }
  });

  it('shows hosts and roles as one JSON document, and the reason for a decision', async () => {
    // Guards against output that scripts can't parse, and against decisions without a reason.
    const status = await radishctl('status', '--output', 'json');
    expect(status.code, status.stderr).to.equal(0);
    const {hosts} = JSON.parse(status.stdout) as {hosts: {host: string; ready: boolean}[]};
    expect(hosts.map(row => row.host).sort()).to.deep.equal(['host-1', 'host-2', 'host-3']);
    expect(hosts.every(row => row.ready)).to.equal(true);
    const response = await request(deployment.hosts[1].entryUrl + DEMO_ROUTE, {
      method: 'POST',
      headers: {authorization: `Bearer ${deployment.key}`},
      body: '{}',
    });
    await response.body.dump();
    const requestId = String(response.headers['x-request-id']);
    const explained = await radishctl('explain', requestId, '--output', 'json');
    const [record] = JSON.parse(explained.stdout) as {decision: string; reason: object}[];
    expect(record.decision).to.equal('send to service-1');
    expect(record.reason).to.have.keys('queue', 'route');
    expect((await radishctl('explain', 'no-such-id')).code).to.equal(1);
    const refused = await request(`${deployment.hosts[2].entryUrl}/v1/chat/completions`, {
      method: 'POST',
      headers: {authorization: `Bearer ${deployment.key}`, 'content-type': 'application/json'},
      body: JSON.stringify({model: 'none', messages: [{role: 'user', content: 'x'}]}),
    });
    await refused.body.dump();
    const refusedId = String(refused.headers['x-request-id']);
    const reason = await radishctl('explain', refusedId, '--output', 'json');
    expect(JSON.parse(reason.stdout)[0]).to.include({
      kind: 'refusal',
      decision: 'model_not_found',
    });
  });

  it('changes a rate on every host under traffic with apply --wait', async () => {
    // Guards against hosts that still apply the old rate after the change is reported in force.
    const directory = await mkdtemp(join(tmpdir(), 'radishgw-apply-'));
    const applyBurst = async (burstTokens: number) => {
      const {base, team} = deployment;
      const teams = [
        {
          teamId: team.teamId,
          template: team.template,
          parameters: {...team.parameters, burstTokens},
        },
      ];
      // JSON is also valid YAML.
      const file = join(directory, 'deployment.yaml');
      await writeFile(file, JSON.stringify({...base, teams}));
      const outcome = await radishctl('apply', file, '--wait');
      expect(outcome.code, outcome.stderr).to.equal(0);
    };
    const call = async (host: HostHandle) => {
      const response = await request(host.entryUrl + DEMO_ROUTE, {
        method: 'POST',
        headers: {authorization: `Bearer ${deployment.key}`},
        body: '{}',
      });
      await response.body.dump();
      return response.statusCode;
    };
    let isStopped = false;
    const statusCodes = new Set<number>();
    const traffic = deployment.hosts.map(async host => {
      while (!isStopped) statusCodes.add(await call(host));
    });
    // A call of the route costs 10 tokens, more than this burst.
    await applyBurst(5);
    for (const host of deployment.hosts) expect(await call(host), host.hostId).to.equal(429);
    await applyBurst(500_000);
    for (const host of deployment.hosts) await waitUntil(async () => (await call(host)) === 200);
    isStopped = true;
    await Promise.all(traffic);
    expect([...statusCodes].filter(status => status !== 200 && status !== 429)).to.deep.equal([]);
    await rm(directory, {recursive: true});
  });

  it('stops keyed requests on a host that is cut off from platform and peers', async () => {
    // Guards against an isolated host that continues to accept withdrawn keys.
    const {keyId, key} = await issueKey();
    const isolated = deployment.hosts[2];
    for (const host of deployment.hosts) {
      host.proxies!.inner.setFaults('both', {frozen: true});
    }
    isolated.proxies!.platform.setFaults('both', {frozen: true});
    const object = (await deployment.platform.get(teamKey(deployment.teamId))).unwrap();
    const team = JSON.parse(object.value) as {keys: {keyId: string}[]};
    team.keys = team.keys.filter(record => record.keyId !== keyId);
    const condition = {ifRevision: object.revision};
    (await deployment.platform.put(object.key, JSON.stringify(team), condition)).unwrap();
    await waitUntil(async () => (await callWith(isolated, key)).code === 'config_not_fresh');
    for (const host of deployment.hosts.slice(0, 2)) {
      await waitUntil(async () => (await callWith(host, key)).code === 'invalid_api_key');
      expect((await callWith(host, deployment.key)).status).to.equal(200);
    }
    for (const host of deployment.hosts) host.proxies!.inner.clearFaults();
    isolated.proxies!.platform.clearFaults();
    await waitUntil(async () => (await callWith(isolated, key)).code === 'invalid_api_key');
    await waitUntil(async () => (await callWith(isolated, deployment.key)).status === 200);
    const events = isolated.child.logLines.join('\n');
    expect(events).to.include('"name":"configStale"');
  });

  it('lets a long stream finish while its key, rate and target are changed', async () => {
    // Guards against planned changes that interrupt requests in flight.
    const {keyId, key} = await issueKey();
    const [host] = deployment.hosts;
    const response = await request(`${host.entryUrl}/v1/chat/completions`, {
      method: 'POST',
      headers: {authorization: `Bearer ${key}`, 'content-type': 'application/json'},
      body: JSON.stringify({
        model: deployment.model,
        stream: true,
        max_tokens: 4000,
        messages: [{role: 'user', content: 'Summarise the catalogue.'}],
      }),
    });
    expect(response.statusCode).to.equal(200);
    const textPromise = response.body.text();
    for (const args of [
      ['drain', 'target', 'engine-1', '--wait'],
      ['key', 'withdraw', deployment.teamId, keyId, '--wait'],
      ['drain', 'target', 'engine-1', '--undo', '--wait'],
    ]) {
      const outcome = await radishctl(...args);
      expect(outcome.code, outcome.stderr).to.equal(0);
    }
    expect((await callWith(host, key)).status).to.equal(401);
    const text = await textPromise;
    expect(text.trimEnd().endsWith('data: [DONE]')).to.equal(true);
    expect(text.match(/"content":"w\d+ "/g)).to.have.length(4000);
  });

  it('sends no new work to a target that the platform lists as leaving', async () => {
    // Guards against work that is sent to a target shortly before it is removed.
    const sendRequest = () =>
      request(`${deployment.hosts[0].entryUrl}/v1/chat/completions`, {
        method: 'POST',
        headers: {
          authorization: `Bearer ${deployment.key}`,
          'content-type': 'application/json',
        },
        body: JSON.stringify({
          model: deployment.model,
          max_tokens: 1,
          messages: [{role: 'user', content: 'x'}],
        }),
      }).then(async response => {
        await response.body.dump();
        return response.statusCode;
      });
    const setLeaving = (hostIds: string[]) =>
      request(`${deployment.platformUrl}/leaving-hosts`, {
        method: 'POST',
        body: JSON.stringify({hostIds}),
      }).then(response => response.body.dump());
    expect(await sendRequest()).to.equal(200);
    await setLeaving(['engine-1']);
    await waitUntil(async () => (await sendRequest()) === 503);
    await setLeaving([]);
    await waitUntil(async () => (await sendRequest()) === 200);
  });

  it('continues to serve requests during a platform outage that all hosts observe', async () => {
    // Guards against a platform outage that stops all hosts from serving requests.
    await setFaults({outage: true});
    for (const host of deployment.hosts) {
      await waitUntil(async () => (await readStatus(host)).freshness.kind === 'outage');
      expect((await callWith(host, deployment.key)).status).to.equal(200);
    }
    await setFaults({outage: false});
    for (const host of deployment.hosts) {
      await waitUntil(async () => (await readStatus(host)).freshness.kind === 'fresh');
    }
  });

  it('stops keyed requests when only some of the hosts lose the platform and their peers', async () => {
    // Guards against isolated hosts that take lost contact with each other for a platform outage.
    const [first, second] = deployment.hosts;
    for (const host of [first, second]) {
      host.proxies!.platform.setFaults('both', {frozen: true});
    }
    deployment.hosts[2].proxies!.inner.setFaults('both', {frozen: true});
    for (const host of [first, second]) {
      await waitUntil(async () => (await readStatus(host)).freshness.kind === 'stale');
    }
    expect((await callWith(deployment.hosts[2], deployment.key)).status).to.equal(200);
    for (const host of deployment.hosts) {
      host.proxies!.platform.clearFaults();
      host.proxies!.inner.clearFaults();
    }
    for (const host of [first, second]) {
      await waitUntil(async () => (await readStatus(host)).freshness.kind === 'fresh');
    }
  });
});
