import {teamKey} from '@radishgw/config';
import {Deployment, HostHandle, startDeployment} from '@radishgw/testkit';
import {expect} from 'chai';
import {request} from 'undici';

const POLL_MS = 50;

interface Status {
  readonly subscribers: number;
  readonly completeRevision: number;
  readonly freshness: {readonly kind: string};
}

describe('configuration relays', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await startDeployment({
      hosts: 5,
      engines: 0,
      services: 1,
      failureDomains: ['norte-oviedo'],
      decodeMsPerToken: 1,
    });
  });

  after(() => deployment.stop());

  async function readStatus(host: HostHandle): Promise<Status> {
    const response = await request(`${host.operatorUrl}/status`);
    return (await response.body.json()) as Status;
  }

  async function waitUntil(hosts: readonly HostHandle[], isDone: (status: Status) => boolean) {
    for (;;) {
      const statuses = await Promise.all(hosts.map(readStatus));
      if (statuses.every(isDone)) return;
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
  }

  async function changeBurst(burstTokens: number): Promise<number> {
    const {platform, teamId} = deployment;
    const object = (await platform.get(teamKey(teamId))).unwrap();
    const team = JSON.parse(object.value) as {parameters: object};
    const value = JSON.stringify({...team, parameters: {...team.parameters, burstTokens}});
    return (await platform.put(object.key, value, {ifRevision: object.revision})).unwrap();
  }

  async function findRelay(hosts: readonly HostHandle[]): Promise<HostHandle> {
    for (;;) {
      for (const host of hosts) {
        if ((await readStatus(host)).subscribers > 0) return host;
      }
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
  }

  it('forward changes to the other hosts, also after a relay is killed', async () => {
    // Guards against hosts that stay subscribed to a dead relay and receive no further changes.
    const relay = await findRelay(deployment.hosts);
    const first = await changeBurst(1111);
    await waitUntil(deployment.hosts, status => status.completeRevision >= first);
    await relay.child.stop('SIGKILL');
    const remaining = deployment.hosts.filter(host => host !== relay);
    const second = await changeBurst(2222);
    await waitUntil(remaining, status => status.completeRevision >= second);
    await waitUntil(remaining, status => status.freshness.kind === 'fresh');
    expect(await findRelay(remaining)).not.to.equal(relay);
  });
});
