import {expect} from 'chai';
import {Deployment, startDeployment, waitUntil} from '@radishgw/testkit';
import {
  chat,
  createProxies,
  expectedText,
  findAttempts,
  readEngine,
  setFaults,
  waitForAttempt,
} from './support.js';

const NO_ENGINE_FAULTS = {
  muteAfterEvents: 0,
  muteHeads: false,
  duplicateEvents: false,
  skipEvent: 0,
  crossEvents: false,
  refuseNew: false,
  prefillMsPerToken: 0,
  decodeMsPerToken: 2,
};

describe('engine streams', () => {
  const faultProxies = createProxies(11);
  let deployment: Deployment;

  before(async () => {
    deployment = await startDeployment({
      hosts: 1,
      engines: 3,
      services: 0,
      failureDomains: ['norte-bilbo', 'norte-iruna', 'norte-oviedo'],
      decodeMsPerToken: 2,
      hostFlags: ['--progress-timeout-ms', '200'],
      mapUrl: faultProxies.mapUrl,
    });
  });

  after(async () => {
    faultProxies.clear();
    await deployment.stop();
    await faultProxies.stop();
  });

  afterEach(async () => {
    faultProxies.clear();
    await setEngineFaults(NO_ENGINE_FAULTS);
  });

  async function setEngineFaults(faults: object): Promise<void> {
    for (const {child, url} of deployment.engines) {
      if (child.isRunning()) await setFaults(url, faults);
    }
  }

  /** Checks that the answer is whole and that one engine ran it once. */
  async function expectSingleExecution(
    marker: string,
    stream: boolean,
    tokens = 30,
  ): Promise<number> {
    const outcome = await chat(deployment, {marker, tokens, stream});
    expect(outcome).to.include({statusCode: 200, whole: true, text: expectedText(tokens)});
    const attempts = await findAttempts(deployment, marker);
    expect(attempts).to.have.length(1);
    const [{attemptId, record}] = attempts;
    return record.resumed.filter(entry => entry.attemptId === attemptId).length;
  }

  for (const [name, faults] of Object.entries({
    'before the response head': {muteHeads: true},
    'before the first event': {muteAfterEvents: -1},
    'in mid-stream': {muteAfterEvents: 7},
  })) {
    it(`that go silent ${name} are resumed`, async () => {
      // Guards against requests that hang, or are run again, when their connection is dead.
      await setEngineFaults(faults);
      expect(await expectSingleExecution(`silent ${name}`, true)).to.be.at.least(1);
      expect(await expectSingleExecution(`silent ${name}, not streamed`, false)).to.be.at.least(1);
    });
  }

  it('whose connections freeze or are cut again and again are resumed each time', async () => {
    // Guards against a resumption that works only once, and against lost or repeated chunks.
    for (const [marker, faults] of Object.entries({
      frozen: {freezeAfterBytes: 3000},
      reset: {cutAfterBytes: 3000, cutWith: 'rst' as const},
      closed: {cutAfterBytes: 3000, cutWith: 'fin' as const},
    })) {
      for (const proxy of faultProxies.proxies.values()) proxy.setFaults('toClient', faults);
      expect(await expectSingleExecution(`repeatedly ${marker}`, true)).to.be.at.least(2);
      faultProxies.clear();
    }
  });

  it('deliver each event once although the engine repeats, omits or mixes up events', async () => {
    // Guards against G8: callers that get events twice, not at all, or of another request.
    await setEngineFaults({duplicateEvents: true, crossEvents: true, skipEvent: 4});
    expect(await expectSingleExecution('mixed up events', true)).to.be.at.least(1);
  });

  it('wait for a long prefill as long as the engine answers', async () => {
    // Guards against long prompts that are run again elsewhere because they take their time.
    await setEngineFaults({prefillMsPerToken: 100});
    expect(await expectSingleExecution('a long prompt', true, 3)).to.be.at.least(4);
  });

  it('are run by another engine when the first refuses them', async () => {
    // Guards against G2: a request that fails because an engine is being stopped.
    await setFaults(deployment.engines[0].url, {refuseNew: true});
    await setFaults(deployment.engines[1].url, {refuseNew: true});
    await expectSingleExecution('refused twice', true);
  });

  it('say "not run" when every engine refuses', async () => {
    // Guards against G9: a refusal that doesn't say what the engines said.
    await setEngineFaults({refuseNew: true});
    const outcome = await chat(deployment, {marker: 'refused by all', tokens: 3});
    expect(outcome.statusCode).to.equal(503);
    expect(outcome.error?.execution).to.equal('not_run');
    expect(await findAttempts(deployment, 'refused by all')).to.have.length(0);
  });

  it('are cancelled at the engine when the caller disconnects', async () => {
    // Guards against engines that go on working for nobody.
    await setEngineFaults({decodeMsPerToken: 20});
    const abort = new AbortController();
    const marker = 'caller leaves';
    const options = {marker, tokens: 5000, signal: abort.signal};
    const failure = chat(deployment, {
      ...options,
      onChunk: count => count === 3 && abort.abort(),
    }).then(
      () => undefined,
      error => error as Error,
    );
    expect((await failure)?.name).to.equal('AbortError');
    const {engine, attemptId} = await waitForAttempt(deployment, marker);
    await waitUntil(
      () => readEngine(deployment.engines[engine].url),
      record => record.cancelled.includes(attemptId),
    );
  });

  it('end at the deadline with execution "unknown" and are cancelled', async () => {
    // Guards against answers that come when nobody waits any more, and untruthful "not run".
    await setEngineFaults({decodeMsPerToken: 20});
    for (const stream of [true, false]) {
      const marker = `deadline ${stream}`;
      const headers = {'x-radishgw-deadline-ms': '300'};
      const outcome = await chat(deployment, {marker, tokens: 5000, stream, headers});
      expect(outcome.whole).to.equal(false);
      expect(outcome.error).to.include({code: 'deadline_exceeded', execution: 'unknown'});
      expect(outcome.statusCode).to.equal(stream ? 200 : 504);
      const {engine, attemptId} = await waitForAttempt(deployment, marker);
      await waitUntil(
        () => readEngine(deployment.engines[engine].url),
        record => record.cancelled.includes(attemptId),
      );
    }
  });

  /** Ends or pauses the engine that runs a request; the others then work quickly. */
  async function signalEngineOf(marker: string, signal: 'SIGSTOP' | 'SIGKILL'): Promise<number> {
    const {engine} = await waitForAttempt(deployment, marker);
    deployment.engines[engine].child.signal(signal);
    for (const [index, {child, url}] of deployment.engines.entries()) {
      if (index !== engine && child.isRunning()) await setFaults(url, {decodeMsPerToken: 2});
    }
    return engine;
  }

  /** Pauses the engine that runs a request after some chunks and lets it go on at the end. */
  async function pauseEngine(marker: string, options: {stream: boolean; fields?: object}) {
    // Slow enough for the engine to be paused long before it has finished.
    await setEngineFaults({decodeMsPerToken: 50});
    let paused: Promise<number> | undefined;
    const pause = () => signalEngineOf(marker, 'SIGSTOP');
    const answer = chat(deployment, {
      marker,
      tokens: 80,
      ...options,
      onChunk: count => {
        if (count === 5) paused = pause();
      },
    });
    if (!options.stream) paused = pause();
    const outcome = await answer;
    const engine = await paused!;
    deployment.engines[engine].child.signal('SIGCONT');
    return {outcome, engine};
  }

  it('go on at another engine when theirs is paused, and late answers are dropped', async () => {
    // Guards against answers that are cut, repeated, or completed by a late engine as well.
    const {outcome, engine} = await pauseEngine('paused engine', {stream: true});
    expect(outcome).to.include({statusCode: 200, whole: true, text: expectedText(80)});
    expect(outcome.usage).to.include({completion_tokens: 80});
    expect(outcome.ids.size).to.equal(1);
    const attempts = await findAttempts(deployment, 'paused engine');
    const second = attempts.find(attempt => attempt.engine !== engine)!;
    const body = JSON.parse(second.body) as {
      continue_final_message: boolean;
      max_tokens: number;
      messages: {content: string}[];
    };
    const delivered = body.messages.at(-1)!.content;
    expect(body.continue_final_message).to.equal(true);
    expect(delivered).to.equal(expectedText(80 - body.max_tokens));
  });

  it('end with an error event when no engine can continue them truthfully', async () => {
    // Guards against an answer that passes for whole although it was put together from two.
    const fields = {tools: [{type: 'function', function: {name: 'find_thread'}}]};
    const {outcome} = await pauseEngine('paused with tools', {stream: true, fields});
    expect(outcome.whole).to.equal(false);
    expect(outcome.error).to.include({code: 'target_failed', execution: 'unknown'});
    expect(expectedText(80).startsWith(outcome.text)).to.equal(true);
  });

  it('are run again from the beginning when nothing was delivered', async () => {
    // Guards against non-streaming calls that fail or mix two answers when an engine is lost.
    const {outcome} = await pauseEngine('paused, not streamed', {stream: false});
    expect(outcome).to.include({statusCode: 200, whole: true, text: expectedText(80)});
    expect(outcome.usage).to.include({completion_tokens: 80});
  });

  it('go on at another engine when theirs is killed', async () => {
    // Guards against answers that are cut because an engine crashed.
    await setEngineFaults({decodeMsPerToken: 50});
    let killed: Promise<number> | undefined;
    const outcome = await chat(deployment, {
      marker: 'killed engine',
      tokens: 60,
      onChunk: count => {
        if (count === 5) killed = signalEngineOf('killed engine', 'SIGKILL');
      },
    });
    await killed;
    expect(outcome).to.include({statusCode: 200, whole: true, text: expectedText(60)});
  });
});
