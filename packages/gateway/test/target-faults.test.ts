import {Deployment, formatAnswer, RawAnswer, RawServer, startDeployment} from '@radishgw/testkit';
import {expect} from 'chai';
import {CallerError, chat} from './support.js';

/** Answers that can't be read, with what the caller is told of them. */
const FAULTS: Readonly<Record<string, RawAnswer>> = {
  'connection was reset': {bytes: '', end: 'reset'},
  'connection was closed': {bytes: '', end: 'close'},
  'answer is not valid HTTP': {bytes: 'hello\r\n\r\n', end: 'keepOpen'},
  'head of the answer is too large': {
    bytes: formatAnswer('length', [`x-filler: ${'a'.repeat(100_000)}`], ''),
    end: 'keepOpen',
  },
};

const EVENT_STREAM = ['content-type: text/event-stream'];

describe('faults of targets', () => {
  const service = new RawServer();
  const engine = new RawServer();
  let deployment: Deployment;

  before(async () => {
    const serviceUrl = `http://${await service.start()}`;
    const engineUrl = `http://${await engine.start()}`;
    deployment = await startDeployment({
      hosts: 1,
      engines: 4,
      // Each answer that can't be read excludes a target for a while.
      services: 6,
      failureDomains: ['norte-bilbo'],
      decodeMsPerToken: 1,
      hostFlags: ['--progress-timeout-ms', '1000'],
      mapUrl: (name, mapped) => {
        if (name.startsWith('service')) return Promise.resolve(serviceUrl);
        return Promise.resolve(name.startsWith('engine') ? engineUrl : mapped);
      },
    });
  });
  after(async () => {
    await deployment.stop();
    service.stop();
    engine.stop();
  });

  it('are told to callers of services without the texts of libraries', async () => {
    const messages: string[] = [];
    for (const answer of Object.values(FAULTS)) {
      service.answer = () => answer;
      const response = await fetch(`${deployment.hosts[0].entryUrl}/orders`, {
        method: 'POST',
        headers: {authorization: `Bearer ${deployment.key}`},
        body: '{}',
      });
      const {error} = (await response.json()) as {error: CallerError};
      messages.push(error.message);
    }
    expect(messages).to.deep.equal(Object.keys(FAULTS).map(fault => `target failed: ${fault}`));
  });

  it('are told to callers of engines without the texts of libraries', async () => {
    engine.answer = fields => {
      const id = fields['x-radishgw-attempt-id'];
      if (id === undefined) return {bytes: formatAnswer('length', [], ''), end: 'keepOpen'};
      const event = `id: ${id}:1\ndata: {nonsense\n\n`;
      return {bytes: formatAnswer('length', EVENT_STREAM, event), end: 'keepOpen'};
    };
    const {error} = await chat(deployment, {marker: 'a', tokens: 3, stream: false});
    expect(error!.message).to.equal(
      'target failed: engine is lost after event 0: event is not JSON',
    );
  });
});
