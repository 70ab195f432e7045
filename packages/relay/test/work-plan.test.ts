import {expect} from 'chai';
import {createSeededRandom, FailureDomain, HostId, RandomSource, toId} from '@radishgw/core';
import {
  CapacityOrder,
  createCapacityState,
  decideCapacity,
  DEFAULT_CAPACITY_SETTINGS,
  HostRecord,
  recordAcceptedOrder,
  recordOrder,
  Service,
  TargetEntry,
} from '../src/index.js';
import {sumDemand} from '../src/duties/capacity-controller.js';
import {restartPlan} from '../src/duties/capacity-policy.js';
import {WorkDemand} from '../src/duties/work-plan.js';
import {ENGINES, makeEntry} from './fixtures.js';

const DOMAINS = ['domain-a', 'domain-b', 'domain-c'].map(id => toId<FailureDomain>(id));
const BOOT_MS = 4000;
const TRAFFIC_AT_MS = 16_000;
const STEP_MS = 1000;

/** Prompt tokens per second in the mean, and the part of them that isn't cached. */
const MEAN_DEMAND = 934_000;
const UNCACHED_SHARE = 0.3;

/** Prompt tokens per second that a prefill engine of mean speed can do; a quarter only decodes. */
const PREFILL_TOKENS_PER_SECOND = 49_600;
const PREFILL_SHARE = 0.75;

const SERVICE: Service = {
  name: ENGINES,
  connectionLimit: 100,
  engine: {cacheTokens: 500_000, handleTtlMs: 5000, stageSwitchMs: 3000},
  scaling: {
    minCount: 1,
    maxCount: 60,
    bootMs: BOOT_MS,
    cheapPriceRatio: 0.22,
    domainPrices: new Map(),
  },
};

/** A demand that follows a wave of 13 s with bursts of 3 s. */
class WavyDemand {
  private burstUntilMs = -Infinity;

  constructor(private readonly random: RandomSource) {}

  at(nowMs: number, mean = MEAN_DEMAND): number {
    if (nowMs < TRAFFIC_AT_MS) return 0;
    if (this.random.next() < 0.1) this.burstUntilMs = nowMs + 3000;
    const wave = 1 + 0.55 * Math.sin((2 * Math.PI * nowMs) / 13_000);
    return mean * wave * (nowMs < this.burstUntilMs ? 1.7 : 1);
  }
}

/** Plays the holder of the lease against a platform that starts engines `BOOT_MS` after an order. */
class Play {
  entries: TargetEntry[] = [];
  readonly orders: (CapacityOrder & {readonly atMs: number})[] = [];
  state = createCapacityState(0);
  nowMs = 0;
  hostCount = 60;
  /** Failure domain without preemptible engines. */
  withdrawn: FailureDomain | undefined;
  isOrderingDown = false;
  private booting: {readonly atMs: number; readonly entry: TargetEntry}[] = [];
  private nextId = 0;

  constructor(perDomain: number) {
    for (const domain of DOMAINS)
      for (let i = 0; i < perDomain; i++) this.entries.push(this.make(domain, false));
  }

  step(tokensPerSecond: number, uncachedShare = UNCACHED_SHARE): void {
    this.nowMs += STEP_MS;
    const started = this.booting.filter(item => item.atMs <= this.nowMs);
    this.booting = this.booting.filter(item => item.atMs > this.nowMs);
    this.entries.push(...started.map(item => item.entry));
    const {withdrawn} = this;
    if (withdrawn) {
      this.entries = this.entries.filter(e => !e.isCheap || e.failureDomain !== withdrawn);
    }
    const work: WorkDemand = {
      tokensPerSecond,
      uncachedPerSecond: tokensPerSecond * uncachedShare,
      hostCount: this.hostCount,
    };
    const settings = DEFAULT_CAPACITY_SETTINGS;
    const orders = decideCapacity(
      this.state,
      SERVICE,
      this.entries,
      tokensPerSecond,
      settings,
      this.nowMs,
      new Set(),
      work,
    );
    for (const order of orders) {
      recordOrder(this.state, order, this.nowMs, this.entries);
      this.orders.push({...order, atMs: this.nowMs});
      if (this.isOrderingDown) continue;
      recordAcceptedOrder(this.state, order);
      this.carryOut(order);
    }
  }

  /** Tokens per second that the ready engines can prefill. */
  get capacity(): number {
    return this.entries.length * PREFILL_SHARE * PREFILL_TOKENS_PER_SECOND;
  }

  private make(failureDomain: FailureDomain, isCheap: boolean): TargetEntry {
    return makeEntry(`t${this.nextId++}`, {failureDomain, isCheap});
  }

  private carryOut({failureDomain, isCheap, desiredCount}: CapacityOrder): void {
    const matches = (entry: TargetEntry) =>
      entry.failureDomain === failureDomain && entry.isCheap === isCheap;
    const isShort = isCheap && failureDomain === this.withdrawn;
    let count = this.entries.filter(matches).length;
    count += this.booting.filter(item => matches(item.entry)).length;
    for (; count < desiredCount && !isShort; count++) {
      const entry = this.make(failureDomain, isCheap);
      this.booting.push({atMs: this.nowMs + BOOT_MS, entry});
    }
    for (; count > desiredCount; count--) {
      const booting = this.booting.findIndex(item => matches(item.entry));
      if (booting >= 0) this.booting.splice(booting, 1);
      else this.entries.splice(this.entries.findIndex(matches), 1);
    }
  }
}

/** Plays some seconds of wavy demand; returns the highest utilization of the engines. */
function playWaves(play: Play, seconds: number, seed: number, mean = MEAN_DEMAND): number {
  const demand = new WavyDemand(createSeededRandom(seed));
  let highest = 0;
  for (let i = 0; i < seconds; i++) {
    const tokens = demand.at(play.nowMs + STEP_MS, mean);
    play.step(tokens);
    highest = Math.max(highest, (tokens * UNCACHED_SHARE) / play.capacity);
  }
  return highest;
}

describe('capacity by work', () => {
  it('carries waves and bursts with the engines that the work needs', () => {
    // Guards against prompts that wait for engines, and against paying for a fleet that has been
    // planned for tokens that are cached: the plan by all tokens has 135 engines before traffic and
    // 160 after it.
    for (let seed = 1; seed <= 10; seed++) {
      const play = new Play(30);
      expect(playWaves(play, 90, seed), `seed ${seed}`).to.be.at.most(0.7);
      expect(play.entries.length, `seed ${seed}`).to.be.at.most(95);
    }
  });

  it('sends few orders under a demand that goes up and down', () => {
    // Guards against an order for each second of a wave: 211 orders and stage changes in 40 s.
    const play = new Play(30);
    playWaves(play, 60, 3);
    const settledMs = 40_000;
    expect(play.orders.filter(order => order.atMs > settledMs).length).to.be.at.most(12);
    expect(play.orders.length).to.be.at.most(60);
  });

  it('keeps the initial capacity until demand is known', () => {
    // Guards against a fleet that is reduced before its clients have sent a request.
    const play = new Play(30);
    for (let i = 0; i < 60; i++) {
      play.step(0);
      expect(play.entries.length).to.be.at.least(90);
    }
    expect(play.entries.filter(entry => !entry.isCheap)).to.have.length(3);
    expect(play.entries).to.have.length(90);
  });

  it('shrinks in steps, and only after the demand was known for the whole window', () => {
    // Guards against a fleet that is halved in a lull and overloaded by the next burst.
    const play = new Play(30);
    playWaves(play, 60, 1);
    const before = play.entries.length;
    // A wave and a burst that go on until the lull.
    for (let i = 0; i < 4; i++) play.step(1.55 * 1.7 * MEAN_DEMAND);
    const counts: number[] = [];
    for (let i = 0; i < 60; i++) {
      play.step(100_000);
      counts.push(play.entries.length);
      const burst = 1.55 * 1.7 * MEAN_DEMAND * UNCACHED_SHARE;
      if (i >= 4 && i < 14) expect(burst / play.capacity).to.be.at.most(0.5);
    }
    expect(counts.at(-1)).to.be.lessThan(before / 2);
    counts.forEach((count, i) => {
      const earlier = counts[Math.max(0, i - 4)];
      expect(count).to.be.at.least(Math.floor(earlier * 0.7));
    });
    for (const domain of DOMAINS) {
      expect(play.entries.some(entry => entry.failureDomain === domain)).to.equal(true);
    }
  });

  it('does not shrink while the hosts whose demand it knows are fewer than before', () => {
    // Guards against engines that are released while half of the hosts serve their clients but are
    // cut off from the store.
    const play = new Play(30);
    playWaves(play, 60, 1);
    const before = play.entries.length;
    play.hostCount = 30;
    playWaves(play, 40, 2, MEAN_DEMAND / 2);
    expect(play.entries.length).to.be.at.least(before);
  });

  it('keeps the fleet of a predecessor until it has observed the demand', () => {
    // Guards against a fleet that shrinks with each new holder of the lease, also one that held it
    // before and remembers a smaller fleet.
    const play = new Play(30);
    playWaves(play, 40, 1);
    const before = play.entries.length;
    const remembered = play.state;
    play.state = createCapacityState(play.nowMs);
    for (let i = 0; i < 14; i++) play.step(100_000);
    expect(play.entries.length).to.be.at.least(before);
    play.state = remembered;
    remembered.desiredTotal = 10;
    restartPlan(remembered, play.entries);
    for (let i = 0; i < 14; i++) play.step(100_000);
    expect(play.entries.length).to.be.at.least(before);
    for (let i = 0; i < 40; i++) play.step(100_000);
    expect(play.entries.length).to.be.lessThan(before);
  });

  it('keeps the fleet when the demand is lost', () => {
    // Guards against a fleet that is released when all hosts restart at once.
    const play = new Play(30);
    playWaves(play, 60, 1);
    const before = play.entries.length;
    for (let i = 0; i < 30; i++) play.step(0);
    expect(play.entries.length).to.be.at.least(before);
    // The demand comes back little by little, as clients find the hosts again.
    for (let i = 0; i < 13; i++) play.step(10_000 * i + 1);
    expect(play.entries.length).to.be.at.least(before);
  });

  it('carries the demand while a failure domain loses its preemptible engines', () => {
    // Guards against overload when all preemptible engines of a domain are withdrawn together.
    for (const domain of DOMAINS) {
      const play = new Play(30);
      playWaves(play, 60, 1);
      play.withdrawn = domain;
      expect(playWaves(play, 30, 2)).to.be.at.most(1);
      play.withdrawn = undefined;
      const before = play.entries.length;
      playWaves(play, 15, 3);
      expect(play.entries.length).to.be.greaterThan(before);
    }
  });

  it('grows within seconds when the demand doubles', () => {
    // Guards against growth that waits for the window.
    const play = new Play(30);
    playWaves(play, 60, 1);
    const before = play.entries.length;
    for (let i = 0; i < 8; i++) play.step(5_000_000);
    expect(play.entries.length).to.be.at.least(1.5 * before);
  });

  it('sends an order again that was not accepted, and waits for one that was', () => {
    // Guards against a fleet that stays small after an outage of the ordering interface, and against
    // orders for engines that are starting already.
    const play = new Play(30);
    play.isOrderingDown = true;
    for (let i = 0; i < 10; i++) play.step(0);
    const failed = play.orders.length;
    expect(failed).to.be.at.least(9);
    play.isOrderingDown = false;
    for (let i = 0; i < 6; i++) play.step(0);
    const cheap = play.orders.slice(failed).filter(order => order.isCheap);
    expect(cheap).to.have.length(3);
  });

  it('counts all tokens as not cached when caches are cold', () => {
    // Guards against too few engines after the caches of the fleet were lost.
    const play = new Play(30);
    playWaves(play, 60, 1);
    const before = play.entries.length;
    for (let i = 0; i < 10; i++) play.step(MEAN_DEMAND * 2, 1);
    expect(play.entries.length).to.be.greaterThan(before * 1.3);
  });
});

describe('demand of the hosts', () => {
  const host = (id: string, demand?: number, uncached?: number): HostRecord =>
    ({
      hostId: toId<HostId>(id),
      demand: demand === undefined ? undefined : {[ENGINES]: demand},
      uncachedDemand: uncached === undefined ? undefined : {[ENGINES]: uncached},
    }) as Partial<HostRecord> as HostRecord;

  it('uses the share of the hosts that know it for all', () => {
    // Guards against a burst of orders while most hosts haven't had an answer yet.
    const hosts = [host('a', 1000, 300), host('b', 3000), host('c')];
    expect(sumDemand(hosts, ENGINES)).to.deep.equal({
      tokensPerSecond: 4000,
      uncachedPerSecond: 1200,
      hostCount: 3,
      isReported: true,
    });
  });

  it('is not planned by work where no host has seen the targets report how long work takes', () => {
    // Guards against other deployments whose fleet is planned differently.
    const sum = sumDemand([host('a', 1000), host('b', 3000)], ENGINES);
    expect(sum.isReported).to.equal(false);
    expect(sum.uncachedPerSecond).to.equal(4000);
  });
});
