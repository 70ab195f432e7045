import {expect} from 'chai';
import fc from 'fast-check';
import {RequestId, TeamId, toId} from '@radishgw/core';
import {
  cancelItem,
  createQueue,
  dequeue,
  enqueue,
  expireItems,
  nextDeadlineMs,
  PlacementCheck,
  QueueItem,
  recordProgress,
  RequestQueue,
  requeueItem,
  setTeamWeight,
  settleItem,
  WorkClass,
} from '../src/index.js';

const ALWAYS: PlacementCheck = () => true;
let nextId = 0;

function makeItem(team: string, fields: Partial<QueueItem> = {}): QueueItem {
  return {
    id: toId<RequestId>(`r${nextId++}`),
    team: toId<TeamId>(team),
    workClass: 'standard',
    promptTokens: 100,
    maxOutputTokens: 0,
    deadlineMs: Infinity,
    ...fields,
  };
}

function fill(queue: RequestQueue, team: string, count: number, fields?: Partial<QueueItem>) {
  for (let i = 0; i < count; i++) enqueue(queue, makeItem(team, fields), 0);
}

/** Dequeues `count` items, settles each with its expected tokens and returns their teams. */
function dequeueTeams(queue: RequestQueue, count: number, nowMs = 0): string[] {
  return Array.from({length: count}, () => {
    const taken = dequeue(queue, nowMs, ALWAYS);
    if (!taken) return 'none';
    settleItem(queue, taken.item.id, {
      promptTokens: taken.item.promptTokens,
      outputTokens: taken.item.maxOutputTokens,
    });
    return taken.item.team;
  });
}

function countTeam(teams: readonly string[], team: string): number {
  return teams.filter(other => other === team).length;
}

describe('request queue', () => {
  it('keeps the service of two backlogged teams within the start-time fair queueing bound', () => {
    // Guards against a team that gets more than its weighted share while another one waits: the
    // difference in normalised service may be at most the largest item of each team.
    fc.assert(
      fc.property(
        fc.array(fc.integer({min: 1, max: 9000}), {minLength: 40, maxLength: 60}),
        fc.array(fc.integer({min: 1, max: 9000}), {minLength: 40, maxLength: 60}),
        fc.integer({min: 1, max: 20}),
        (costsA, costsB, weightB) => {
          const queue = createQueue();
          setTeamWeight(queue, toId<TeamId>('a'), 10);
          setTeamWeight(queue, toId<TeamId>('b'), weightB);
          for (const promptTokens of costsA) enqueue(queue, makeItem('a', {promptTokens}), 0);
          for (const promptTokens of costsB) enqueue(queue, makeItem('b', {promptTokens}), 0);
          const left = new Map([
            ['a', costsA.length],
            ['b', costsB.length],
          ]);
          const served = new Map([
            ['a', 0],
            ['b', 0],
          ]);
          const bound = Math.max(...costsA) / 10 + Math.max(...costsB) / weightB + 1e-6;
          while (left.get('a')! > 0 && left.get('b')! > 0) {
            const {item} = dequeue(queue, 0, ALWAYS)!;
            left.set(item.team, left.get(item.team)! - 1);
            served.set(item.team, served.get(item.team)! + item.promptTokens);
            const difference = served.get('a')! / 10 - served.get('b')! / weightB;
            expect(Math.abs(difference)).to.be.at.most(bound);
          }
        },
      ),
      {seed: 1, numRuns: 200},
    );
  });

  it('removes each item exactly once and never dispatches one after its deadline', () => {
    // Guards against lost or duplicated requests when arrivals, cancellations, requeues and expiry
    // interleave.
    const step = fc.oneof(
      fc.record({
        type: fc.constant('add' as const),
        team: fc.constantFrom('a', 'b', 'c'),
        workClass: fc.constantFrom<WorkClass>('urgent', 'standard', 'batch'),
        promptTokens: fc.integer({min: 1, max: 20_000}),
        waitMs: fc.integer({min: 1, max: 50}),
      }),
      fc.record({
        type: fc.constantFrom('take' as const, 'return' as const, 'cancel' as const),
        shut: fc.boolean(),
      }),
      fc.record({type: fc.constant('advance' as const), byMs: fc.integer({min: 1, max: 20})}),
    );
    fc.assert(
      fc.property(fc.array(step, {maxLength: 120}), steps => {
        const queue = createQueue({maxItems: 8});
        const waiting = new Set<RequestId>();
        let running: QueueItem[] = [];
        let nowMs = 0;
        const leave = (item: QueueItem) => expect(waiting.delete(item.id)).to.equal(true);
        for (const current of steps) {
          if (current.type === 'add') {
            const {team, workClass, promptTokens, waitMs} = current;
            const item = makeItem(team, {workClass, promptTokens, deadlineMs: nowMs + waitMs});
            const decision = enqueue(queue, item, nowMs);
            if (decision.type === 'queued') waiting.add(item.id);
            if (decision.type === 'queued' && decision.evicted) leave(decision.evicted);
          } else if (current.type === 'advance') {
            nowMs += current.byMs;
            expireItems(queue, nowMs).forEach(leave);
            expect(nextDeadlineMs(queue) ?? Infinity).to.be.greaterThan(nowMs);
          } else if (current.type === 'take') {
            const taken = dequeue(queue, nowMs, (_class, isLong) => !(isLong && current.shut));
            if (!taken) continue;
            leave(taken.item);
            expect(taken.item.deadlineMs).to.be.greaterThan(nowMs);
            expect(taken.isLong && current.shut).to.equal(false);
            running.push(taken.item);
          } else if (current.type === 'return') {
            const item = running.pop();
            if (!item) continue;
            expect(requeueItem(queue, item.id)).to.equal(true);
            expect(requeueItem(queue, item.id)).to.equal(false);
            waiting.add(item.id);
          } else {
            const [id] = waiting;
            if (id !== undefined) leave(cancelItem(queue, id)!);
          }
          expect(new Set(queue.entries.keys())).to.deep.equal(waiting);
        }
        for (const item of running) {
          settleItem(queue, item.id, {promptTokens: 1, outputTokens: 0});
        }
        running = [];
        for (const id of [...waiting]) cancelItem(queue, id);
        expect(queue.charges.size).to.equal(0);
        for (const state of queue.teams.values()) {
          expect([state.queued, state.inFlight]).to.deep.equal([0, 0]);
        }
      }),
      {seed: 2, numRuns: 300},
    );
  });

  it("doesn't charge a team later for idle capacity it used, unlike Virtual Clock", () => {
    // Guards against a discipline that starves a team because it used capacity that was idle.
    const shares = (['startTime', 'virtualClock'] as const).map(discipline => {
      const queue = createQueue({discipline});
      for (const team of ['early', 'late']) setTeamWeight(queue, toId<TeamId>(team), 1000);
      // The early team alone gets 100 s of service at its rate within 10 s.
      fill(queue, 'early', 1000);
      dequeueTeams(queue, 1000, 0);
      for (const team of ['early', 'late']) {
        for (let i = 0; i < 100; i++) enqueue(queue, makeItem(team), 10_000);
      }
      return countTeam(dequeueTeams(queue, 100, 10_000), 'early') / 100;
    });
    expect(shares[0]).to.be.closeTo(0.5, 0.02);
    expect(shares[1]).to.equal(0);
  });

  it('corrects the charge during the response and when it ends', () => {
    // Guards against teams that gain by declaring fewer tokens than they use, or lose by declaring
    // more.
    const queue = createQueue();
    fill(queue, 'a', 100, {maxOutputTokens: 300});
    fill(queue, 'b', 100, {maxOutputTokens: 300});
    const served = {a: 0, b: 0};
    for (let i = 0; i < 100; i++) {
      const {item} = dequeue(queue, 0, ALWAYS)!;
      const team = item.team as string as 'a' | 'b';
      const outputTokens = team === 'a' ? 1000 : 100;
      recordProgress(queue, item.id, outputTokens);
      settleItem(queue, item.id, {promptTokens: 100, outputTokens});
      served[team] += 100 + outputTokens;
    }
    expect(served.a / served.b).to.be.closeTo(1, 0.12);
  });

  it('evicts from the team with the largest backlog when the queue is full', () => {
    // Guards against a team whose requests are refused because another team floods the queue.
    const queue = createQueue({maxItems: 50});
    fill(queue, 'flood', 50);
    const decision = enqueue(queue, makeItem('steady'), 0);
    expect(decision.type === 'queued' && decision.evicted?.team).to.equal('flood');
    expect(enqueue(queue, makeItem('flood'), 0).type).to.equal('refused');
  });

  it('serves urgent items first, up to the maximum lead of their team', () => {
    // Guards against a team that starves others by marking all its items urgent.
    const queue = createQueue({creditSeconds: 0});
    fill(queue, 'standard', 400);
    fill(queue, 'urgent', 400, {workClass: 'urgent'});
    const teams = dequeueTeams(queue, 400);
    // 10 s at the default weight of 1,000 tokens per second are 100 items of 100 tokens.
    expect(countTeam(teams.slice(0, 100), 'urgent')).to.equal(100);
    expect(countTeam(teams.slice(200), 'urgent')).to.be.within(98, 102);
  });

  it('serves the burst of a team that used less than its share, up to its credit', () => {
    // Guards against bursts of a team within its rate that wait behind an always backlogged team.
    const queue = createQueue({creditSeconds: 5});
    fill(queue, 'flood', 1000);
    dequeueTeams(queue, 200);
    fill(queue, 'steady', 200);
    const teams = dequeueTeams(queue, 200);
    // 5 s at the default weight of 1,000 tokens per second are 50 items of 100 tokens.
    expect(countTeam(teams.slice(0, 50), 'steady')).to.equal(50);
    expect(countTeam(teams.slice(50), 'steady')).to.be.within(73, 77);
  });

  it('reports a team as lagging when its items could not be placed', () => {
    // Guards against a team with long prompts that lags for as long as other teams are backlogged.
    const queue = createQueue({lagThresholdSeconds: 8, creditSeconds: 0});
    fill(queue, 'long', 1, {promptTokens: 50_000});
    fill(queue, 'short', 200);
    const laggingFlags: boolean[] = [];
    const canPlace: PlacementCheck = (_class, isLong, isLagging) => {
      if (isLong) laggingFlags.push(isLagging);
      return !isLong || isLagging;
    };
    const taken = Array.from({length: 100}, () => dequeue(queue, 0, canPlace)!);
    const position = taken.findIndex(({item}) => item.promptTokens === 50_000);
    // 8 s at the default weight of 1,000 tokens per second are 80 items of 100 tokens.
    expect(position).to.be.within(81, 83);
    expect(taken[position].isLagging).to.equal(true);
    expect(laggingFlags.slice(0, 50)).to.not.include(true);
  });

  it('dequeues short prompts ahead of long ones that cannot be placed', () => {
    // Guards against head-of-line blocking by a long prompt, which leaves all targets' slots idle.
    const queue = createQueue();
    fill(queue, 'a', 1, {promptTokens: 50_000});
    fill(queue, 'a', 1);
    const taken = dequeue(queue, 0, (_class, isLong) => !isLong);
    expect(taken?.item.promptTokens).to.equal(100);
    expect(taken?.reason).to.include({rule: 'onlyTeam', team: 'a', competingTeams: 1});
  });

  it('removes the state of idle teams that have caught up', () => {
    // Guards against memory use that grows with the number of teams ever seen.
    const queue = createQueue();
    for (let i = 0; i < 1000; i++) {
      fill(queue, `team-${i}`, 1);
      dequeueTeams(queue, 1);
    }
    fill(queue, 'last', 1, {promptTokens: 1000});
    dequeueTeams(queue, 1);
    expect(queue.teams.size).to.be.at.most(2);
  });
});
