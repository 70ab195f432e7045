import {expect} from 'chai';
import {createSeededRandom} from '@radishgw/core';
import {
  createExtraAttempts,
  createQuotaState,
  recordRequest,
  returnQuota,
  takeExtraAttempt,
  takeQuota,
  Team,
} from '../src/index.js';
import {TEAM} from './fixtures.js';

const RATE = 47_000;
const team: Team = {
  id: TEAM,
  priority: undefined,
  limit: {costPerSecond: RATE, burstCost: RATE, countsTokens: true, plainTokens: 200},
};

describe('team quota', () => {
  it('keeps every window of eight seconds within the limit and one request', () => {
    // Guards against overshoot by a team that sends several times its rate.
    const random = createSeededRandom(7);
    const state = createQuotaState(1);
    const granted: {atMs: number; cost: number}[] = [];
    for (let nowMs = 0; nowMs < 60_000; nowMs += 20) {
      const cost = 1000 + random.nextInt(40_000);
      if (takeQuota(state, team, cost, 1, nowMs).granted) granted.push({atMs: nowMs, cost});
    }
    for (const {atMs} of granted) {
      const window = granted.filter(item => item.atMs >= atMs && item.atMs < atMs + 8000);
      const sum = window.reduce((total, item) => total + item.cost, 0);
      expect(sum).to.be.at.most(RATE * 9 + 41_000);
    }
  });

  it('admits a request that costs more than the burst', () => {
    // Guards against long prompts that could never be served.
    const state = createQuotaState(1);
    expect(takeQuota(state, team, 90_000, 1, 0).granted).to.equal(true);
    const refused = takeQuota(state, team, 1, 1, 0);
    expect(refused.granted === false && refused.retryAfterMs).to.be.closeTo(914.9, 1);
  });

  it('tells refused clients to come back one after the other', () => {
    // Guards against clients that all come back at the same moment and are refused again.
    const state = createQuotaState(1);
    takeQuota(state, team, 60_000, 1, 0);
    const waits = [1, 2, 3].map(() => {
      const answer = takeQuota(state, team, 10_000, 1, 0);
      return answer.granted ? 0 : answer.retryAfterMs;
    });
    expect(waits[1] - waits[0]).to.be.closeTo((10_000 / RATE) * 1000, 1);
    expect(waits[2] - waits[1]).to.be.closeTo((10_000 / RATE) * 1000, 1);
    expect(takeQuota(state, team, 10_000, 1, waits[0] + 1).granted).to.equal(true);
  });

  it('gives back what a request that has not run was charged', () => {
    // Guards against wrongful refusals after work that failed.
    const state = createQuotaState(1);
    takeQuota(state, team, 90_000, 1, 0);
    returnQuota(state, TEAM, 90_000);
    expect(takeQuota(state, team, 1, 1, 0).granted).to.equal(true);
  });
});

describe('extra attempts', () => {
  it('keep within the bound over all hosts when every request fails', () => {
    // Guards against a retry storm: the bound counts what targets reject as well.
    const settings = {ratio: 0.2, windowMs: 10_000, slack: 52};
    const hosts = Array.from({length: 6}, () => createExtraAttempts());
    const taken: number[] = [];
    const requests: number[] = [];
    for (let nowMs = 0; nowMs < 60_000; nowMs += 10) {
      const host = hosts[(nowMs / 10) % hosts.length];
      recordRequest(host, nowMs);
      requests.push(nowMs);
      if (takeExtraAttempt(host, settings, hosts.length, nowMs)) taken.push(nowMs);
    }
    for (let startMs = 0; startMs < 50_000; startMs += 500) {
      const within = (timeMs: number) => timeMs >= startMs && timeMs < startMs + 10_000;
      const allowed = 0.2 * requests.filter(within).length + 52;
      expect(taken.filter(within).length).to.be.at.most(allowed);
    }
  });
});
