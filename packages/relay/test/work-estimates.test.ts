import {expect} from 'chai';
import {recordCall, recordCallSent, placeCallByWork} from '../src/placing/call-work-placement.js';
import {kindsOf} from '../src/placing/cost-model.js';
import {
  estimateCompletion,
  estimateErrorMs,
  isPlacedByWork,
} from '../src/placing/work-estimates.js';
import {WorkModel} from '../src/placing/work-model.js';
import {createTargetState, recordLoad, recordParts} from '../src/targets/target-state.js';
import {createSeededRandom} from '@radishgw/core';
import {ENGINES, makeEntry, makeParts} from './fixtures.js';

const KINDS = kindsOf({
  service: ENGINES,
  route: 'route',
  pathPrefix: '/a/',
  path: '/a/x',
  bodyBytes: 10,
  team: undefined,
});

describe('estimates of work', () => {
  const targets = [0, 1, 2].map(i => createTargetState(makeEntry(`t${i}`, {stage: 'prefill'}), 0));

  it('have the wait and the prefill of a prompt at an engine', () => {
    // Guards against an admission that takes cached tokens or the queue into account twice.
    const model = new WorkModel('work');
    const context = {model, targets, hostCount: 1, nowMs: 10_000};
    const parts = makeParts(['shared', 13_300], ['own', 3720]);
    const prompt = {type: 'prompt', parts, promptTokens: 17_020} as const;
    const estimates = targets.map(target => estimateCompletion(target, prompt, context)!);
    // The prefix is assumed to be cached at the first engine in its order, and half at the second.
    const works = estimates.map(({workMs}) => Math.round(workMs)).sort((a, b) => a - b);
    expect(works).to.deep.equal([70, 181, 292]);
    expect(estimates.map(({waitMs}) => waitMs)).to.deep.equal([0, 0, 0]);
    const cold = targets[estimates.findIndex(({workMs}) => workMs > 290)];
    cold.ownPromptTokens = 6000;
    recordLoad(cold, {running: 0, waiting: 0, slots: 64, slowdown: 2}, 10_000);
    const slowed = estimateCompletion(cold, prompt, context)!;
    expect(slowed.waitMs).to.equal(200);
    expect(Math.round(slowed.workMs)).to.be.within(583, 584);
    recordParts(cold, parts, 9900);
    expect(Math.round(estimateCompletion(cold, prompt, context)!.workMs)).to.equal(140);
    expect(estimateCompletion(createTargetState(makeEntry('x'), 0), prompt, context)).to.equal(
      undefined,
    );
  });

  it('have the wait and the work of a call, once one has been answered', () => {
    // Guards against refusals by an estimate that rests on nothing.
    const model = new WorkModel('work');
    const plain = [0, 1].map(i => createTargetState(makeEntry(`p${i}`, {slots: 1}), 0));
    const context = {model, targets: plain, hostCount: 1, nowMs: 1000};
    const call = {type: 'call', kinds: KINDS} as const;
    expect(estimateCompletion(plain[0], call, context)).to.equal(undefined);
    recordCall(model, plain[0], KINDS, undefined, 50, 900);
    expect(estimateCompletion(plain[0], call, context)).to.include({waitMs: 0, workMs: 50});
    model.backlog.add(plain[0], 80, 1000);
    expect(estimateCompletion(plain[0], call, context)).to.include({waitMs: 80, workMs: 50});
  });

  it('have an error once enough responses are known', () => {
    // Guards against a single exact estimate that counts as reliable.
    const model = new WorkModel();
    const plain = [createTargetState(makeEntry('p', {slots: 4}), 0)];
    expect(isPlacedByWork(model, ENGINES)).to.equal(false);
    recordCall(model, plain[0], KINDS, undefined, 50, 0);
    for (let i = 0; i < 30; i++) {
      if (i < 20) expect(estimateErrorMs(model, ENGINES)).to.equal(Infinity);
      const nowMs = 100 * i;
      const context = {work: model, hostCount: 1, nowMs, random: createSeededRandom(1)};
      const {target, expectation} = placeCallByWork(plain, KINDS, new Set(), context)!;
      recordCallSent(model, target, expectation, nowMs)();
      recordCall(model, target, KINDS, expectation, 50 + 20 * (i % 2), nowMs + 60);
    }
    expect(estimateErrorMs(model, ENGINES)).to.be.within(5, 25);
  });
});
