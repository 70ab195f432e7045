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

  /** Checks that the response is complete and ran in one attempt; returns the number of resumptions. */
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
      // Guards against requests that hang or run again when their connection is dead.
      await setEngineFaults(faults);
      expect(await expectSingleExecution(`silent ${name}`, true)).to.be.at.least(1);
      expect(await expectSingleExecution(`silent ${name}, not streamed`, false)).to.be.at.least(1);
    });
  }

  it('are resumed each time their connections freeze or are cut', async () => {
    // Guards against resumptions that work only once, and against lost or repeated chunks.
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

  it('deliver each event once when the engine repeats, omits or mixes up events', async () => {
    // Guards against events that are repeated, lost or from another request (G8).
    await setEngineFaults({duplicateEvents: true, crossEvents: true, skipEvent: 4});
    expect(await expectSingleExecution('mixed up events', true)).to.be.at.least(1);
  });

  it('wait for a long prefill while the engine responds', async () => {
    // Guards against long prompts that are rerun on another engine because prefill is slow.
    await setEngineFaults({prefillMsPerToken: 100});
    expect(await expectSingleExecution('a long prompt', true, 3)).to.be.at.least(4);
  });

  it('run on another engine when the first ones refuse them', async () => {
    // Guards against requests that fail because an engine is being stopped (G2).
    await setFaults(deployment.engines[0].url, {refuseNew: true});
    await setFaults(deployment.engines[1].url, {refuseNew: true});
    await expectSingleExecution('refused twice', true);
  });

  it('are reported as "not run" when every engine refuses', async () => {
    // Guards against "unknown" for a request that every engine reported as not run (G9).
    await setEngineFaults({refuseNew: true});
    const outcome = await chat(deployment, {marker: 'refused by all', tokens: 3});
    expect(outcome.statusCode).to.equal(503);
    expect(outcome.error?.execution).to.equal('not_run');
    expect(await findAttempts(deployment, 'refused by all')).to.have.length(0);
  });

  it('are cancelled at the engine when the caller disconnects', async () => {
    // Guards against engines that continue a request without a caller.
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
    // Guards against responses after the deadline, and against a wrong "not run".
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

  /** Kills or pauses the engine that runs a request, and speeds up the others. */
  async function signalEngineOf(marker: string, signal: 'SIGSTOP' | 'SIGKILL'): Promise<number> {
    const {engine} = await waitForAttempt(deployment, marker);
    deployment.engines[engine].child.signal(signal);
    for (const [index, {child, url}] of deployment.engines.entries()) {
      if (index !== engine && child.isRunning()) await setFaults(url, {decodeMsPerToken: 2});
    }
    return engine;
  }

  /** Pauses the engine that runs a request after some chunks and resumes it at the end. */
  async function pauseEngine(marker: string, options: {stream: boolean; fields?: object}) {
    // Decoding is slow enough that the engine is paused long before it has finished.
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

  it('continue on another engine when theirs is paused, and drop late responses', async () => {
    // Guards against responses that are cut, repeated, or also completed by the paused engine.
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

  it('end with an error event when no other engine can continue them', async () => {
    // Guards against a response that looks complete but combines two different completions.
    const fields = {tools: [{type: 'function', function: {name: 'find_thread'}}]};
    const {outcome} = await pauseEngine('paused with tools', {stream: true, fields});
    expect(outcome.whole).to.equal(false);
    expect(outcome.error).to.include({code: 'target_failed', execution: 'unknown'});
    expect(expectedText(80).startsWith(outcome.text)).to.equal(true);
  });

  it('restart from the beginning when nothing was delivered', async () => {
    // Guards against non-streaming calls that fail or mix two completions when an engine is lost.
    const {outcome} = await pauseEngine('paused, not streamed', {stream: false});
    expect(outcome).to.include({statusCode: 200, whole: true, text: expectedText(80)});
    expect(outcome.usage).to.include({completion_tokens: 80});
  });

  it('continue on another engine when theirs is killed', async () => {
    // Guards against responses that are cut because an engine crashed.
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
