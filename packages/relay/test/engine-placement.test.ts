import {expect} from 'chai';
import {createSeededRandom, toId} from '@radishgw/core';
import {createTargetState, recordParts, TargetState} from '../src/targets/target-state.js';
import {DEFAULT_ENGINE_ESTIMATES, PlacementContext, placePrompt} from '../src/index.js';
import {createPendingAverage} from '../src/placing/pending-average.js';
import {createWaitCalibration, recordWait, waitFactor} from '../src/placing/wait-calibration.js';
import {makeEntry, makeParts} from './fixtures.js';

function makeContext(fields: Partial<PlacementContext> = {}): PlacementContext {
  return {
    hostCount: 1,
    nowMs: 100_000,
    allowsStaging: true,
    calibration: createWaitCalibration(),
    pending: createPendingAverage(),
    estimates: DEFAULT_ENGINE_ESTIMATES,
    random: createSeededRandom(1),
    ...fields,
  };
}

function makeEngines(decode: number, prefill: number): TargetState[] {
  const engines: TargetState[] = [];
  for (let i = 0; i < decode; i++) engines.push(createTargetState(makeEntry(`d${i}`), 0));
  for (let i = 0; i < prefill; i++) {
    engines.push(createTargetState(makeEntry(`p${i}`, {stage: 'prefill'}), 0));
  }
  return engines;
}

describe('engine placement', () => {
  it('sends prompts with the same shared prefix to one engine from all hosts', () => {
    // Guards against shared prefixes that are prefilled again at each engine.
    const chosen = new Set<string>();
    for (let host = 0; host < 6; host++) {
      const parts = makeParts(['shared', 13_300], [`own${host}`, 3700]);
      const work = {parts, promptTokens: 17_000, urgency: 2};
      const placement = placePrompt(
        makeEngines(8, 0),
        work,
        new Set(),
        makeContext({hostCount: 6}),
      );
      if (placement.type !== 'none') chosen.add(placement.decode.entry.id);
    }
    expect(chosen.size).to.equal(1);
  });

  it('prefills at one engine for all hosts and decodes in the same failure domain', () => {
    // Guards against decode engines that stall their streams to prefill prompts.
    const prefillIds = new Set<string>();
    for (let host = 0; host < 6; host++) {
      const engines = makeEngines(2, 4);
      for (const engine of engines) {
        const isFirst = engine.entry.id === 'd0' || /p[01]/.test(engine.entry.id);
        engine.entry = {...engine.entry, failureDomain: toId(isFirst ? 'domain-a' : 'domain-b')};
      }
      const parts = makeParts(['shared', 13_300], [`own${host}`, 3700]);
      const work = {parts, promptTokens: 17_000, urgency: 2};
      const placement = placePrompt(engines, work, new Set(), makeContext({hostCount: 6}));
      if (placement.type !== 'staged') throw new Error(placement.type);
      prefillIds.add(placement.prefill.entry.id);
      const {prefill, decode} = placement;
      expect(decode.entry.failureDomain).to.equal(prefill.entry.failureDomain);
    }
    expect(prefillIds.size).to.equal(1);
  });

  it('prefills at a decode engine when the prefill engines have a long backlog', () => {
    // Guards against idle decode engines while prompts wait in a long queue.
    const engines = makeEngines(2, 2);
    for (const engine of engines.slice(2)) engine.ownPromptTokens = 60_000;
    const work = {parts: makeParts(['own', 1000]), promptTokens: 1000, urgency: 0};
    expect(placePrompt(engines, work, new Set(), makeContext()).type).to.equal('direct');
  });

  it('does not prefill a long prompt at a decode engine despite a backlog', () => {
    // Guards against other streams that are stalled for a second.
    const engines = makeEngines(2, 2);
    for (const engine of engines.slice(2)) engine.ownPromptTokens = 60_000;
    const work = {parts: makeParts(['own', 20_000]), promptTokens: 20_000, urgency: 0};
    expect(placePrompt(engines, work, new Set(), makeContext()).type).to.equal('staged');
  });

  it('spreads a popular prefix when its affinity engine is busy', () => {
    // Guards against one engine with a long queue while others are idle.
    const engines = makeEngines(6, 0);
    const parts = makeParts(['hot', 13_300], ['own', 3700]);
    const work = {parts, promptTokens: 17_000, urgency: 2};
    const used = new Set<string>();
    for (let i = 0; i < 30; i++) {
      const placement = placePrompt(engines, work, new Set(), makeContext());
      if (placement.type === 'none') continue;
      placement.decode.ownPromptTokens += 17_000;
      placement.decode.ownRequests++;
      recordParts(placement.decode, parts, 100_000);
      used.add(placement.decode.entry.id);
    }
    expect(used.size).to.equal(6);
  });

  it('reports the queueing time, so that overload is refused at once', () => {
    // Guards against prompts that wait until their deadline in a queue whose length was known.
    const engines = makeEngines(2, 0);
    for (const engine of engines) engine.ownPromptTokens = 60_000;
    const work = {parts: makeParts(['own', 1000]), promptTokens: 1000, urgency: 0};
    const placement = placePrompt(engines, work, new Set(), makeContext());
    expect(placement.type !== 'none' && placement.queueMs).to.be.greaterThan(1900);
  });

  it('skips draining, excluded and already tried engines', () => {
    // Guards against requests that are sent to an engine that will not run them.
    const engines = makeEngines(3, 0);
    engines[0].entry = makeEntry('d0', {isDraining: true});
    engines[1].health.excludedUntilMs = 200_000;
    const work = {parts: [], promptTokens: 100, urgency: 0};
    const placement = placePrompt(engines, work, new Set(), makeContext());
    expect(placement.type !== 'none' && placement.decode.entry.id).to.equal('d2');
    const tried = new Set([engines[2].entry.id]);
    expect(placePrompt(engines, work, tried, makeContext()).type).to.equal('none');
  });

  it('estimates the load of other hosts while it has no pending requests', () => {
    // Guards against hosts of a large fleet that assume an idle stage whenever they have no pending
    // requests themselves.
    const engines = makeEngines(4, 0);
    const pending = createPendingAverage();
    const work = {parts: makeParts(['own', 1000]), promptTokens: 1000, urgency: 0};
    engines[0].ownPromptTokens = 20_000;
    const place = (nowMs: number) =>
      placePrompt(engines, work, new Set(), makeContext({hostCount: 74, pending, nowMs}));
    for (let nowMs = 100_000; nowMs < 102_000; nowMs += 100) place(nowMs);
    engines[0].ownPromptTokens = 0;
    const placement = place(102_050);
    expect(placement.type !== 'none' && placement.queueMs).to.be.greaterThan(5000);
  });

  it('calibrates the wait estimates of a stage', () => {
    // Guards against wrong waits in deployments whose engines are slower than the estimates.
    const calibration = createWaitCalibration();
    const random = createSeededRandom(3);
    for (let i = 0; i < 200; i++)
      recordWait(calibration, 'decode', 1, 100, 200 + random.nextInt(100));
    expect(waitFactor(calibration, 'decode', 1)).to.be.within(2, 3);
    expect(waitFactor(calibration, 'decode', 0)).to.equal(1);
  });
});
