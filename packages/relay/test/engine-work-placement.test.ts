import {expect} from 'chai';
import {createSeededRandom, FailureDomain, TargetId, toId} from '@radishgw/core';
import {DEFAULT_ENGINE_ESTIMATES, placePrompt} from '../src/placing/engine-placement.js';
import {placePromptByWork, WorkPlacementContext} from '../src/placing/engine-work-placement.js';
import {createPendingAverage} from '../src/placing/pending-average.js';
import {createWaitCalibration} from '../src/placing/wait-calibration.js';
import {WorkModel} from '../src/placing/work-model.js';
import {createTargetState, recordLoad, TargetState} from '../src/targets/target-state.js';
import {ENGINES, makeEntry, makeParts} from './fixtures.js';
import {EngineLoad, playEngineLoad, PromptKind} from './placement-load.js';

function makeContext(work = new WorkModel('work'), seed = 1, hostCount = 60): WorkPlacementContext {
  return {
    hostCount,
    nowMs: 100_000,
    allowsStaging: true,
    calibration: createWaitCalibration(),
    pending: createPendingAverage(),
    estimates: DEFAULT_ENGINE_ESTIMATES,
    random: createSeededRandom(seed),
    work,
    service: work.ofService(ENGINES),
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

const KINDS: readonly PromptKind[] = [
  {
    perSecond: 66,
    sharedTokens: 13_300,
    ownTokens: 3720,
    outputTokens: 40,
    objectiveMs: 627,
    promptsPerPrefix: 6,
  },
  {
    perSecond: 105,
    sharedTokens: 6300,
    ownTokens: 2890,
    outputTokens: 40,
    objectiveMs: 519,
    promptsPerPrefix: 6,
  },
  {
    perSecond: 180,
    sharedTokens: 350,
    ownTokens: 1110,
    outputTokens: 20,
    objectiveMs: 411,
    promptsPerPrefix: 6,
  },
];

/** Engines of unequal speed, of which each host sees one less than once in 10 s. */
const LARGE_FLEET: EngineLoad = {
  seed: 1,
  hosts: 60,
  engines: 90,
  speeds: [0.6, 1, 1.6],
  durationMs: 15_000,
  kinds: KINDS,
};

/** Largest difference to a scheduler that knows everything. */
const MAX_LOSS = 0.05;

/** Checks that placement by work is close to complete information, and that by slots isn't. */
function expectNearComplete(load: EngineLoad): void {
  const complete = playEngineLoad(load, 'complete').inTimeShare;
  expect(playEngineLoad(load, 'work').inTimeShare).to.be.greaterThan(complete - MAX_LOSS);
  expect(playEngineLoad(load, 'slots').inTimeShare).to.be.lessThan(complete - MAX_LOSS);
}

describe('placement of prompts by expected work', function () {
  this.timeout(60_000);

  it('serves a large fleet of engines of unequal speed in time', () => {
    // Guards against slow engines that get as many prompts as fast ones.
    expectNearComplete(LARGE_FLEET);
  });

  it('serves it in time while half of the hosts are lost', () => {
    // Guards against estimates that count the load of hosts that are gone.
    expectNearComplete({...LARGE_FLEET, seed: 2, lossAtMs: 6000});
  });

  it('is no worse than placement by slots if the reports of the hosts are old', () => {
    // Guards against all hosts moving their prompts to an engine that was idle seconds ago.
    const load = {...LARGE_FLEET, reportDelayMs: 5000};
    const bySlots = playEngineLoad(load, 'slots').inTimeShare;
    expect(playEngineLoad(load, 'work').inTimeShare).to.be.greaterThan(bySlots);
  });

  it('serves a burst of long prompts better than placement by slots', () => {
    // Guards against short prompts that wait behind long ones at the same engines.
    const load = {...LARGE_FLEET, kinds: [{...KINDS[0], perSecond: 150}, KINDS[2]]};
    const bySlots = playEngineLoad(load, 'slots').inTimeShare;
    expect(playEngineLoad(load, 'work').inTimeShare).to.be.greaterThan(bySlots + 0.02);
  });

  it('prefills few shared prefixes more than once', () => {
    // Guards against hosts that prefill the same prefix at different engines: one prompt in six is
    // the first with its prefix.
    const kinds = KINDS.map(kind => ({...kind, perSecond: kind.perSecond / 3}));
    const {coldShare} = playEngineLoad({...LARGE_FLEET, durationMs: 20_000, kinds}, 'work');
    expect(coldShare).to.be.lessThan(1.35 / 6);
  });

  it('spreads prompts over the decode engines of all failure domains', () => {
    // Guards against the only decode engine of a domain taking all prompts prefilled there.
    const engines = makeEngines(6, 12);
    engines.forEach((engine, index) => {
      const isFirst = engine.entry.id === 'd0' || index >= 6;
      const failureDomain = toId<FailureDomain>(isFirst ? 'domain-a' : 'domain-b');
      engine.entry = {...engine.entry, failureDomain};
    });
    const decoded = (place: typeof placePromptByWork | typeof placePrompt) => {
      let first = 0;
      const context = makeContext();
      for (const engine of engines) engine.ownRequests = 0;
      for (let i = 0; i < 100; i++) {
        const work = {parts: makeParts([`own${i}`, 3000]), promptTokens: 3000, urgency: 0};
        const placement = place(engines, work, new Set<TargetId>(), context);
        if (placement.type === 'none') continue;
        if (placement.decode.entry.id === 'd0') first++;
        // Short streams, of which few are in progress at once.
        placement.decode.ownRequests += 0.12;
      }
      return first;
    };
    expect(decoded(placePromptByWork)).to.be.lessThan(60);
    expect(decoded(placePrompt)).to.be.greaterThan(90);
  });

  it('prefers the second engine of a prefix if the first is slow, on all hosts', () => {
    // Guards against prefixes that are prefilled for too long at the engine that hashing gives.
    const keys = makeEngines(2, 12).map(engine => new WorkModel().keyOf(engine));
    const place = (work: WorkModel, seed: number) => {
      const parts = makeParts(['shared', 13_300], ['own', 3720]);
      const prompt = {parts, promptTokens: 17_020, urgency: 0};
      const engines = makeEngines(2, 12);
      const placement = placePromptByWork(engines, prompt, new Set(), makeContext(work, seed));
      if (placement.type !== 'staged') throw new Error(placement.type);
      return placement.prefill;
    };
    const usual = place(new WorkModel('work'), 1);
    const report = Object.fromEntries(
      keys.map(key => {
        const ratio = key === new WorkModel().keyOf(usual) ? 5 : 1;
        return [key, [1000, Math.round(1000 * Math.log(ratio)), 0] as const];
      }),
    );
    const chosen = new Set<string>();
    for (let host = 0; host < 20; host++) {
      const work = new WorkModel('work');
      work.applyReports([{services: [], targets: report}], 100_000);
      chosen.add(place(work, host).entry.id);
    }
    expect(chosen.size).to.equal(1);
    expect([...chosen]).not.to.include(usual.entry.id);
  });

  it('avoids an engine while it reports that work takes longer', () => {
    // Guards against prompts at an engine that shares its machine with other work at the moment.
    const engines = makeEngines(1, 2);
    const load = {running: 0, waiting: 0, slots: 64, slowdown: 2.5};
    recordLoad(engines[1], load, 99_900);
    for (let seed = 0; seed < 20; seed++) {
      const prompt = {parts: [], promptTokens: 3000, urgency: 0};
      const context = makeContext(undefined, seed);
      const placement = placePromptByWork(engines, prompt, new Set(), context);
      expect(placement.type === 'staged' && placement.prefill.entry.id).to.equal('p1');
    }
  });

  it('finds an engine whatever the number of engines is', () => {
    // Guards against a prompt that is refused as no engine was considered.
    for (let count = 1; count < 40; count++) {
      const engines = makeEngines(count, 0);
      for (let seed = 0; seed < 5; seed++) {
        const prompt = {parts: [], promptTokens: 300, urgency: 0};
        const context = makeContext(undefined, seed);
        const tried = new Set(engines.slice(1).map(engine => engine.entry.id));
        expect(placePromptByWork(engines, prompt, tried, context).type).to.equal('direct');
        expect(placePromptByWork(engines, prompt, new Set(), context).type).to.equal('direct');
      }
    }
  });
});

describe('choice between placement by work and by slots', () => {
  const load = {running: 0, waiting: 0, slots: 64};

  it('goes by the reports of the targets', () => {
    // Guards against a deployment that is placed differently although nothing in it calls for it.
    const work = new WorkModel();
    const [target] = makeEngines(1, 0);
    recordLoad(target, load, 0);
    work.recordReport(target);
    expect(work.isPlacedByWork(ENGINES)).to.equal(false);
    expect(work.report(0)).to.equal(undefined);
    recordLoad(target, {...load, slowdown: 1}, 1);
    work.recordReport(target);
    expect(work.isPlacedByWork(ENGINES)).to.equal(true);
    const other = new WorkModel();
    other.applyReports([work.report(1)!], 1);
    expect(other.isPlacedByWork(ENGINES)).to.equal(true);
  });

  it('goes by the setting if there is one', () => {
    // Guards against a setting that is ignored once a target reports.
    const [target] = makeEngines(1, 0);
    recordLoad(target, {...load, slowdown: 1}, 1);
    const bySlots = new WorkModel('slots');
    bySlots.recordReport(target);
    expect(bySlots.isPlacedByWork(ENGINES)).to.equal(false);
    expect(bySlots.report(1)).to.equal(undefined);
    expect(new WorkModel('work').isPlacedByWork(ENGINES)).to.equal(true);
  });
});
