import {expect} from 'chai';
import fc from 'fast-check';
import {RequestId, TeamId, toId} from '@radishgw/core';
import {
  cancelItem,
  createQueue,
  enqueue,
  expireItems,
  Gate,
  nextDeadlineMs,
  QueueItem,
  recordProgress,
  RequestQueue,
  returnItem,
  settleItem,
  setTeamWeight,
  takeNext,
  WorkClass,
} from '../src/index.js';

const OPEN: Gate = () => true;
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

/** Takes `count` items and settles each with its expected tokens; gives the teams in order. */
function takeTeams(queue: RequestQueue, count: number, nowMs = 0): string[] {
  return Array.from({length: count}, () => {
    const taken = takeNext(queue, nowMs, OPEN);
    if (!taken) return 'none';
    settleItem(queue, taken.item.id, {
      promptTokens: taken.item.promptTokens,
      outputTokens: taken.item.maxOutputTokens,
    });
    return taken.item.team;
  });
}

function countOf(teams: readonly string[], team: string): number {
  return teams.filter(other => other === team).length;
}

describe('request queue', () => {
  it('keeps the service of two busy teams within the bound of start-time fair queueing', () => {
    // Guards against a team that gets more than its weight while another one waits: the
    // difference of normalised service may be at most one largest item of each team.
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
            const {item} = takeNext(queue, 0, OPEN)!;
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

  it('gives each item exactly one way out, and none to dispatch after its deadline', () => {
    // Guards against lost or doubled requests when arrivals, cancels, returns and deadlines mix.
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
            if (decision.type === 'queued' && decision.displaced) leave(decision.displaced);
          } else if (current.type === 'advance') {
            nowMs += current.byMs;
            expireItems(queue, nowMs).forEach(leave);
            expect(nextDeadlineMs(queue) ?? Infinity).to.be.greaterThan(nowMs);
          } else if (current.type === 'take') {
            const taken = takeNext(queue, nowMs, (_class, isLong) => !(isLong && current.shut));
            if (!taken) continue;
            leave(taken.item);
            expect(taken.item.deadlineMs).to.be.greaterThan(nowMs);
            expect(taken.isLong && current.shut).to.equal(false);
            running.push(taken.item);
          } else if (current.type === 'return') {
            const item = running.pop();
            if (!item) continue;
            expect(returnItem(queue, item.id)).to.equal(true);
            expect(returnItem(queue, item.id)).to.equal(false);
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

  it("doesn't punish a team for idle capacity it used, as Virtual Clock does", () => {
    // Guards against a discipline that makes a team pay later for service nobody else wanted.
    const shares = (['startTime', 'virtualClock'] as const).map(discipline => {
      const queue = createQueue({discipline});
      for (const team of ['early', 'late']) setTeamWeight(queue, toId<TeamId>(team), 1000);
      // 100 s of its rate within 10 s, alone.
      fill(queue, 'early', 1000);
      takeTeams(queue, 1000, 0);
      for (const team of ['early', 'late']) {
        for (let i = 0; i < 100; i++) enqueue(queue, makeItem(team), 10_000);
      }
      return countOf(takeTeams(queue, 100, 10_000), 'early') / 100;
    });
    expect(shares[0]).to.be.closeTo(0.5, 0.02);
    expect(shares[1]).to.equal(0);
  });

  it('corrects the charge while tokens come out and at the end', () => {
    // Guards against teams that gain by announcing less than they use, or lose by announcing more.
    const queue = createQueue();
    fill(queue, 'a', 100, {maxOutputTokens: 300});
    fill(queue, 'b', 100, {maxOutputTokens: 300});
    const served = {a: 0, b: 0};
    for (let i = 0; i < 100; i++) {
      const {item} = takeNext(queue, 0, OPEN)!;
      const team = item.team as string as 'a' | 'b';
      const outputTokens = team === 'a' ? 1000 : 100;
      recordProgress(queue, item.id, outputTokens);
      settleItem(queue, item.id, {promptTokens: 100, outputTokens});
      served[team] += 100 + outputTokens;
    }
    expect(served.a / served.b).to.be.closeTo(1, 0.12);
  });

  it('refuses the flooding team, not the others, when the queue is full', () => {
    // Guards against wrongful refusals caused by another team's flood.
    const queue = createQueue({maxItems: 50});
    fill(queue, 'flood', 50);
    const decision = enqueue(queue, makeItem('steady'), 0);
    expect(decision.type === 'queued' && decision.displaced?.team).to.equal('flood');
    expect(enqueue(queue, makeItem('flood'), 0).type).to.equal('refused');
  });

  it('serves urgent work first, but only within the lead of its team', () => {
    // Guards against a team that takes all service by marking its work urgent.
    const queue = createQueue({creditSeconds: 0});
    fill(queue, 'patient', 400);
    fill(queue, 'pushy', 400, {workClass: 'urgent'});
    const teams = takeTeams(queue, 400);
    // 10 s at the default weight of 1,000 tokens per second are 100 items of 100 tokens.
    expect(countOf(teams.slice(0, 100), 'pushy')).to.equal(100);
    expect(countOf(teams.slice(200), 'pushy')).to.be.within(98, 102);
  });

  it('serves the burst of a team that used less than its share, up to its credit', () => {
    // Guards against a team within its rate whose bursts wait behind a team that always floods.
    const queue = createQueue({creditSeconds: 5});
    fill(queue, 'flood', 1000);
    takeTeams(queue, 200);
    fill(queue, 'steady', 200);
    const teams = takeTeams(queue, 200);
    // 5 s at the default weight of 1,000 tokens per second are 50 items of 100 tokens.
    expect(countOf(teams.slice(0, 50), 'steady')).to.equal(50);
    expect(countOf(teams.slice(50), 'steady')).to.be.within(73, 77);
  });

  it('says when a team is far behind because its work had no room', () => {
    // Guards against a team with long prompts that falls behind for as long as others are busy.
    const queue = createQueue({owedSeconds: 8, creditSeconds: 0});
    fill(queue, 'long', 1, {promptTokens: 50_000});
    fill(queue, 'short', 200);
    const asked: boolean[] = [];
    const gate: Gate = (_class, isLong, isOwed) => {
      if (isLong) asked.push(isOwed);
      return !isLong || isOwed;
    };
    const taken = Array.from({length: 100}, () => takeNext(queue, 0, gate)!);
    const position = taken.findIndex(({item}) => item.promptTokens === 50_000);
    // 8 s at the default weight of 1,000 tokens per second are 80 items of 100 tokens.
    expect(position).to.be.within(81, 83);
    expect(taken[position].isOwed).to.equal(true);
    expect(asked.slice(0, 50)).to.not.include(true);
  });

  it('lets short prompts pass long ones that have no room', () => {
    // Guards against a long prompt at the head that keeps the slots of all targets empty.
    const queue = createQueue();
    fill(queue, 'a', 1, {promptTokens: 50_000});
    fill(queue, 'a', 1);
    const taken = takeNext(queue, 0, (_class, isLong) => !isLong);
    expect(taken?.item.promptTokens).to.equal(100);
    expect(taken?.reason).to.include({rule: 'onlyTeam', team: 'a', competingTeams: 1});
  });

  it('forgets teams without work or debt', () => {
    // Guards against memory that grows with every team ever seen.
    const queue = createQueue();
    for (let i = 0; i < 1000; i++) {
      fill(queue, `team-${i}`, 1);
      takeTeams(queue, 1);
    }
    fill(queue, 'last', 1, {promptTokens: 1000});
    takeTeams(queue, 1);
    expect(queue.teams.size).to.be.at.most(2);
  });
});
