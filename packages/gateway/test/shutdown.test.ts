import {once} from 'node:events';
import {copyFileSync, writeFileSync} from 'node:fs';
import {connect as connectTcp, Socket} from 'node:net';
import {connect as connectTls, TLSSocket} from 'node:tls';
import {expect} from 'chai';
import {
  createCertificate,
  CertificateFiles,
  Deployment,
  HostHandle,
  startDeployment,
  waitUntil,
} from '@radishgw/testkit';
import {
  chat,
  ChatOutcome,
  expectedText,
  findAttempts,
  findExecutions,
  setFaults,
  waitForAttempt,
} from './support.js';

const DOMAINS = ['hobart-a', 'hobart-b', 'kingston'];

describe('planned stops and crashes', () => {
  let deployment: Deployment;

  before(async () => {
    deployment = await startDeployment({
      hosts: 3,
      engines: 3,
      services: 2,
      failureDomains: DOMAINS,
      decodeMsPerToken: 10,
      hostFlags: ['--progress-timeout-ms', '500'],
    });
  });

  after(() => deployment.stop());

  function auth(): string {
    return `authorization: Bearer ${deployment.key}`;
  }

  async function setEngines(faults: object): Promise<void> {
    for (const {url} of deployment.engines) await setFaults(url, faults);
  }

  function sendOrder(
    marker: string,
    hostIndex: number,
    host: HostHandle = deployment.hosts[hostIndex],
  ): Promise<number> {
    return fetch(`${host.entryUrl}/orders`, {
      method: 'POST',
      headers: {authorization: `Bearer ${deployment.key}`},
      body: marker,
    }).then(async response => {
      await response.text();
      return response.status;
    });
  }

  /** Sends a streaming request on a separate connection, which the test can reuse afterwards. */
  function openStream(url: string, marker: string): {socket: Socket; received: Promise<string>} {
    const socket = connectTcp(Number(new URL(url).port), '127.0.0.1');
    const chunks: Buffer[] = [];
    socket.on('data', chunk => chunks.push(chunk));
    const body = JSON.stringify({
      model: deployment.model,
      stream: true,
      max_tokens: 60,
      messages: [{role: 'user', content: marker}],
    });
    const head = `POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n${auth()}\r\n`;
    socket.write(`${head}content-length: ${body.length}\r\n\r\n${body}`);
    const received = once(socket, 'close').then(() => Buffer.concat(chunks).toString('utf8'));
    return {socket, received};
  }

  it('a stopping host finishes requests in flight, refuses new connections and exits with 0', async () => {
    // Guards against requests cut off by a rollout, also when the signal is sent twice (G12).
    const host = await deployment.startHost(3);
    // The streams can't end before the test speeds up the engines.
    await setEngines({decodeMsPerToken: 200});
    await setFaults(deployment.services[0].url, {delayMs: 300});
    const streams = Array.from({length: 20}, (_, i) =>
      chat(deployment, {marker: `host stops ${i}.`, tokens: 60}, host),
    );
    const call = sendOrder('host stops', 0, host);
    const keepAlive = openStream(host.entryUrl, 'kept open');
    for (const marker of ['kept open', ...streams.map((_, i) => `host stops ${i}.`)]) {
      await waitForAttempt(deployment, marker);
    }
    await waitUntil(
      () => findExecutions(deployment, 'host stops'),
      found => found.length > 0,
    );
    const exited = host.child.stop('SIGTERM');
    await waitUntil(
      () => host.child.logLines.join('\n'),
      log => log.includes('hostStopping'),
    );
    host.child.signal('SIGTERM');
    expect((await fetch(`${host.operatorUrl}/readyz`)).status).to.equal(503);
    const refused = connectTcp(Number(new URL(host.entryUrl).port), '127.0.0.1');
    const [error] = (await once(refused, 'error')) as [Error & {code: string}];
    expect(error.code).to.equal('ECONNREFUSED');
    // A request on a connection that is still open is served with `connection: close`.
    keepAlive.socket.write(`GET /v1/models HTTP/1.1\r\nhost: x\r\n${auth()}\r\n\r\n`);
    await setEngines({decodeMsPerToken: 2});
    for (const outcome of await Promise.all(streams)) {
      expect(outcome).to.include({statusCode: 200, whole: true, text: expectedText(60)});
    }
    expect(await call).to.equal(200);
    const [first, second] = (await keepAlive.received).split(/(?=HTTP\/1\.1 )/);
    expect(first).to.include('data: [DONE]');
    expect(second.toLowerCase()).to.match(/^http\/1.1 200 [^]*\r\nconnection: close\r\n/);
    expect(await exited).to.equal(0);
    await setFaults(deployment.services[0].url, {delayMs: 0});
    await setEngines({decodeMsPerToken: 10});
    expect(await findExecutions(deployment, 'host stops')).to.have.length(1);
  });

  it('a stopping host ends open requests with an error event at the time limit', async () => {
    // Guards against a host that never stops because of one endless request.
    const host = await deployment.startHost(4, ['--shutdown-timeout-ms', '200']);
    const stream = chat(deployment, {marker: 'too long', tokens: 100_000}, host);
    await waitUntil(
      () => findAttempts(deployment, 'too long'),
      found => found.length > 0,
    );
    const exited = host.child.stop('SIGTERM');
    const outcome = await stream;
    expect(outcome.whole).to.equal(false);
    expect(outcome.error).to.include({code: 'shutting_down', execution: 'unknown'});
    expect(await exited).to.equal(0);
  });

  it('a stopping engine and a stopping service lose no request under load', async () => {
    // Guards against planned stops of targets that are visible to callers (G2, G12).
    let stopped: Promise<(number | null)[]> | undefined;
    const stopTargets = () =>
      (stopped ??= Promise.all([
        deployment.engines[2].child.stop('SIGTERM'),
        deployment.services[1].child.stop('SIGTERM'),
      ]));
    const chats: Promise<ChatOutcome>[] = [];
    const orders: Promise<number>[] = [];
    for (let i = 0; i < 12; i++) {
      const onChunk = (count: number) => {
        if (count === 5) void stopTargets();
      };
      chats.push(chat(deployment, {marker: `engine stops ${i}`, tokens: 40, onChunk}));
      orders.push(sendOrder(`service stops ${i} `, i % 3));
    }
    await Promise.all(chats.slice(0, 1));
    for (let i = 12; i < 24; i++) {
      chats.push(chat(deployment, {marker: `engine stops ${i}`, tokens: 5}));
      orders.push(sendOrder(`service stops ${i} `, i % 3));
    }
    for (const outcome of await Promise.all(chats)) {
      expect(outcome).to.include({statusCode: 200, whole: true});
    }
    expect(await Promise.all(orders)).to.deep.equal(Array.from({length: 24}, () => 200));
    expect(await stopped).to.deep.equal([0, 0]);
  });

  it('a crashed host loses only requests that were sent to it', async () => {
    // Guards against a crash that affects callers of other hosts, and orders executed twice.
    const outcomes: Promise<{host: number; marker: string; statusCode: number | undefined}>[] = [];
    const chats: Promise<{host: number; outcome: ChatOutcome | undefined}>[] = [];
    const crashedHost = 2;
    let killed: Promise<unknown> | undefined;
    await setFaults(deployment.services[0].url, {delayMs: 20});
    for (let i = 0; i < 60; i++) {
      const host = i % 3;
      if (i === 30) killed = deployment.hosts[crashedHost].child.stop('SIGKILL');
      const marker = `crash-${i}-`;
      outcomes.push(
        sendOrder(marker, host).then(
          statusCode => ({host, marker, statusCode}),
          () => ({host, marker, statusCode: undefined}),
        ),
      );
      const options = {marker: `crash ${i}`, tokens: 10};
      chats.push(
        chat(deployment, options, deployment.hosts[host]).then(
          outcome => ({host, outcome}),
          () => ({host, outcome: undefined}),
        ),
      );
    }
    await killed;
    for (const {host, marker, statusCode} of await Promise.all(outcomes)) {
      if (host !== crashedHost) expect(statusCode, marker).to.equal(200);
      const count = (await findExecutions(deployment, marker)).length;
      if (statusCode === 200) expect(count, marker).to.equal(1);
      expect(count, marker).to.be.at.most(1);
    }
    for (const {host, outcome} of await Promise.all(chats)) {
      if (host !== crashedHost) expect(outcome).to.include({whole: true, text: expectedText(10)});
      else if (outcome?.whole) expect(outcome.text).to.equal(expectedText(10));
    }
  });
});

describe('TLS for callers', () => {
  let deployment: Deployment;
  let files: CertificateFiles;
  let newFiles: CertificateFiles;

  before(async () => {
    files = await createCertificate('first');
    newFiles = await createCertificate('second');
    deployment = await startDeployment({
      hosts: 0,
      engines: 0,
      services: 0,
      failureDomains: DOMAINS,
      decodeMsPerToken: 1,
    });
  });

  after(async () => {
    await deployment.stop();
    await files.remove();
    await newFiles.remove();
  });

  async function open(url: string): Promise<{socket: TLSSocket; name: string}> {
    const port = Number(new URL(url).port);
    const socket = connectTls({port, host: '127.0.0.1', rejectUnauthorized: false});
    await once(socket, 'secureConnect');
    return {socket, name: String(socket.getPeerCertificate().subject.CN)};
  }

  async function request(socket: TLSSocket): Promise<string> {
    const answered = once(socket, 'data') as Promise<[Buffer]>;
    socket.write('GET /v1/models HTTP/1.1\r\nhost: x\r\n\r\n');
    return (await answered)[0].toString();
  }

  it('loads a new certificate on SIGHUP without dropping connections', async () => {
    // Guards against renewals of a certificate that need a restart or drop connections.
    const host = await deployment.startHost(0, [
      '--tls-certificate-file',
      files.certificateFile,
      '--tls-key-file',
      files.keyFile,
    ]);
    const first = await open(host.entryUrl);
    expect(first.name).to.equal('first');
    copyFileSync(newFiles.certificateFile, files.certificateFile);
    copyFileSync(newFiles.keyFile, files.keyFile);
    host.child.signal('SIGHUP');
    const second = await waitUntil(
      () => open(host.entryUrl),
      ({socket, name}) => {
        if (name !== 'second') socket.destroy();
        return name === 'second';
      },
    );
    expect(await request(first.socket)).to.match(/^HTTP\/1.1 401 /);
    expect(await request(second.socket)).to.match(/^HTTP\/1.1 401 /);
    writeFileSync(files.keyFile, 'not a key');
    host.child.signal('SIGHUP');
    await waitUntil(
      () => host.child.logLines.join('\n'),
      log => log.includes('settingInvalid'),
    );
    const third = await open(host.entryUrl);
    expect(third.name).to.equal('second');
    for (const {socket} of [first, second, third]) socket.destroy();
    expect(await host.child.stop()).to.equal(0);
  });
});
