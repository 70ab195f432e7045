import {expect} from 'chai';
import {createSeededRandom, VirtualClock} from '@radishgw/core';
import {DEFAULT_ENGINE, EngineRequest, FakeEngine} from '../src/fake-engine.js';
import {DEPLOYMENTS, generateTrace} from '../src/traces.js';

function setUp(options = DEFAULT_ENGINE) {
  const clock = new VirtualClock();
  return {clock, engine: new FakeEngine('e', clock, createSeededRandom(1), options)};
}

function work(id: string, promptTokens: number, outputTokens: number, priority = 1): EngineRequest {
  const blocks = Array.from({length: Math.floor(promptTokens / 2000)}, (_, i) => `${id}/${i}`);
  return {id, promptTokens, outputTokens, priority, blocks};
}

describe('FakeEngine', () => {
  it('slows decoding while it prefills', () => {
    // Guards against benchmarks in which long prompts don't slow down running streams.
    const {clock, engine} = setUp();
    const times: number[] = [];
    engine.submit(work('a', 16, 200), {onToken: () => times.push(clock.nowMs())});
    clock.advance(500);
    const before = times[times.length - 1] - times[times.length - 2];
    engine.submit(work('b', 8000, 1), {});
    clock.advance(200);
    const during = times[times.length - 1] - times[times.length - 2];
    expect(before).to.be.closeTo(12.25, 0.01);
    expect(during).to.be.closeTo(44.25, 0.01);
  });

  it('skips cached blocks, and loses the cache and all requests in a crash', () => {
    // Guards against a crash that leaves requests running or prefixes cached.
    const {clock, engine} = setUp();
    const failures: string[] = [];
    engine.submit(work('a', 8000, 4), {});
    clock.advance(5000);
    engine.submit(work('a', 8000, 4), {});
    clock.advance(5000);
    expect(engine.totals.cachedTokens).to.equal(8000);
    engine.submit(work('a', 8000, 400), {onFail: failure => failures.push(failure)});
    clock.advance(50);
    engine.crash();
    engine.submit(work('a', 8000, 4), {onFail: failure => failures.push(failure)});
    clock.advance(5000);
    expect(failures).to.deep.equal(['crashed', 'refused']);
    engine.restart();
    const cached = engine.totals.cachedTokens;
    engine.submit(work('a', 8000, 4), {});
    clock.advance(5000);
    expect(engine.totals.cachedTokens).to.equal(cached);
    expect(engine.outstanding).to.equal(0);
  });

  it('admits by priority when all slots are taken', () => {
    // Guards against an engine that ignores the priority of its requests.
    const {clock, engine} = setUp({...DEFAULT_ENGINE, slots: 1});
    const finished: string[] = [];
    for (const [id, priority] of [
      ['first', 1],
      ['late', 2],
      ['urgent', 0],
    ] as const) {
      engine.submit(work(id, 100, 5, priority), {onFinish: () => finished.push(id)});
    }
    clock.advance(5000);
    expect(finished).to.deep.equal(['first', 'urgent', 'late']);
  });
});

describe('generateTrace', () => {
  it("keeps other teams' requests unchanged when one team's rate changes", () => {
    // Guards against comparisons in which the rate of one team also changes the requests of others.
    const options = {seed: 3, durationMs: 60_000, requestsPerSecond: 20};
    const base = generateTrace(DEPLOYMENTS.huon, options);
    const rates = {buying: {maxFactor: 5, factorAt: () => 5}};
    const loaded = generateTrace(DEPLOYMENTS.huon, {...options, rates});
    const others = (trace: typeof base) => trace.filter(arrival => arrival.team !== 'buying');
    expect(others(loaded)).to.deep.equal(others(base));
    expect(loaded.length).to.be.greaterThan(base.length * 1.8);
  });
});
