import {expect} from 'chai';
import fc from 'fast-check';
import {AttemptId, createSeededRandom, TargetId, toId} from '@radishgw/core';
import {
  Attempt,
  createPool,
  estimateLoad,
  findExclusion,
  hasCapacity,
  Pool,
  PoolSettings,
  recordCacheEvent,
  recordDispatch,
  recordEnd,
  recordFirstToken,
  recordReport,
  removeTarget,
  RouteRequest,
  routeRequest,
  ROUTING_POLICIES,
  RoutingPolicyName,
  setTarget,
  setTargetStatus,
} from '../src/index.js';

const random = createSeededRandom(7);
let nextAttempt = 0;

function target(index: number): TargetId {
  return toId<TargetId>(`t${index}`);
}

function makePool(targets: number, settings: Partial<PoolSettings> = {}): Pool {
  const pool = createPool({urgentReservedSlots: 0, ...settings});
  for (let i = 0; i < targets; i++) setTarget(pool, target(i), 4);
  return pool;
}

const SHORT: RouteRequest = {
  workClass: 'standard',
  promptTokens: 6000,
  isLong: false,
  blocks: ['p0', 'p1', 'p2'],
  isIdempotent: true,
};

function makeAttempt(fields: Partial<Attempt> = {}): Attempt {
  return {...SHORT, id: toId<AttemptId>(`a${nextAttempt++}`), ...fields};
}

/** Routes a request and records the dispatch; undefined if no target was selected. */
function dispatch(
  pool: Pool,
  nowMs: number,
  fields: Partial<RouteRequest> = {},
  policy?: RoutingPolicyName,
) {
  const decision = routeRequest(pool, {...SHORT, ...fields}, nowMs, random, policy);
  if (decision.type === 'none') return undefined;
  const attempt = makeAttempt({isLong: fields.isLong ?? false});
  recordDispatch(pool, decision.target, attempt, nowMs);
  return {target: decision.target, attempt: attempt.id, reason: decision.reason};
}

describe('routing', () => {
  const policies = Object.keys(ROUTING_POLICIES) as RoutingPolicyName[];

  it('never selects an excluded target and selects one whenever there is capacity', () => {
    // Guards against dispatches to leaving, failed or full targets, and against false refusals.
    const action = fc.record({
      type: fc.constantFrom('status', 'remove', 'report', 'end', 'fail', 'route'),
      index: fc.nat(3),
      status: fc.constantFrom('serving' as const, 'draining' as const, 'leaving' as const),
      outstanding: fc.nat(6),
      isLong: fc.boolean(),
      byMs: fc.nat(700),
    });
    fc.assert(
      fc.property(
        fc.constantFrom(...policies),
        fc.array(action, {maxLength: 80}),
        (policy, actions) => {
          const pool = makePool(4);
          const open: {target: TargetId; attempt: AttemptId}[] = [];
          let nowMs = 0;
          for (const {type, index, status, outstanding, isLong, byMs} of actions) {
            nowMs += byMs;
            const id = target(index);
            if (type === 'status') setTargetStatus(pool, id, status);
            if (type === 'remove' && outstanding === 0) removeTarget(pool, id);
            if (type === 'report') {
              const report = {sampledAtMs: nowMs - 300, outstanding, pendingPrefillTokens: 0};
              recordReport(pool, id, report);
            }
            if (type === 'end' || type === 'fail') {
              const ended = open.pop();
              const outcome = type === 'end' ? 'finished' : 'unreachable';
              if (ended) recordEnd(pool, ended.target, ended.attempt, outcome, nowMs);
            }
            if (type !== 'route') continue;
            const couldRun = hasCapacity(pool, {workClass: 'standard', isLong}, nowMs);
            const before = pool.order.filter(
              state =>
                findExclusion(pool, state, {...SHORT, isLong}, nowMs) === undefined ||
                findExclusion(pool, state, {...SHORT, isLong}, nowMs, true) === undefined,
            );
            const chosen = dispatch(pool, nowMs, {isLong}, policy);
            if (couldRun) expect(chosen).not.to.equal(undefined);
            if (!chosen) continue;
            expect(before.map(state => state.id)).to.include(chosen.target);
            open.push(chosen);
          }
        },
      ),
      {seed: 3, numRuns: 400},
    );
  });

  it('prefers the prefix holder until its load outweighs the cached tokens', () => {
    // Guards against a popular prompt that overloads the only target that holds its prefix.
    const pool = makePool(6, {tokensPerOutstanding: 2000});
    const first = dispatch(pool, 0)!;
    recordFirstToken(pool, first.target, first.attempt, 100);
    const second = dispatch(pool, 200)!;
    expect(second.target).to.equal(first.target);
    expect(second.reason.rule).to.equal('prefix');
    const report = {sampledAtMs: 300, outstanding: 3, pendingPrefillTokens: 40_000};
    recordReport(pool, first.target, report);
    expect(dispatch(pool, 350)!.target).not.to.equal(first.target);
  });

  it('counts local attempts since a stale report once', () => {
    // Guards against counting local load twice, and against ignoring it between reports.
    const pool = makePool(1);
    dispatch(pool, 0);
    dispatch(pool, 100);
    // The sample at 50 ms includes the first dispatch and one request from another host.
    recordReport(pool, target(0), {sampledAtMs: 50, outstanding: 2, pendingPrefillTokens: 0});
    const decision = routeRequest(pool, {...SHORT, promptTokens: 1}, 150, random);
    expect(decision.type === 'target' && decision.reason.candidates[0].outstanding).to.equal(3);
    dispatch(pool, 150);
    const full = routeRequest(pool, SHORT, 160, random);
    expect(full).to.deep.equal({type: 'none', excluded: {slots: 1}});
  });

  it('excludes a crashed target, probes it with one request at a time and readmits it', () => {
    // Guards against a crashed engine that fails quickly, looks idle and attracts all requests.
    const pool = makePool(2);
    const crashed = target(0);
    const attempt = makeAttempt();
    recordDispatch(pool, crashed, attempt, 0);
    recordEnd(pool, crashed, attempt.id, 'unreachable', 10);
    for (let i = 0; i < 4; i++) expect(dispatch(pool, 500)!.target).to.equal(target(1));
    expect(dispatch(pool, 500)).to.equal(undefined);
    expect(routeRequest(pool, {...SHORT, workClass: 'urgent'}, 1100, random).type).to.equal('none');
    const probe = dispatch(pool, 1100)!;
    expect(probe.reason.rule).to.equal('probe');
    expect(dispatch(pool, 1100)).to.equal(undefined);
    recordEnd(pool, crashed, probe.attempt, 'unreachable', 1110);
    expect(dispatch(pool, 2200)).to.equal(undefined);
    const second = dispatch(pool, 3200)!;
    recordFirstToken(pool, crashed, second.attempt, 3300);
    expect(dispatch(pool, 3300)!.target).to.equal(crashed);
  });

  it('excludes a target that aborts every response', () => {
    // Guards against failure points that are reset by the first token of each failed response.
    const pool = makePool(2);
    for (let i = 0; i < 3; i++) {
      const attempt = makeAttempt();
      recordDispatch(pool, target(0), attempt, i);
      recordFirstToken(pool, target(0), attempt.id, i);
      recordEnd(pool, target(0), attempt.id, 'failed', i);
    }
    expect(findExclusion(pool, pool.targets.get(target(0))!, SHORT, 10)).to.equal('health');
  });

  it('reserves slots for urgent requests and limits concurrent long prefills', () => {
    // Guards against long prompts and summaries that occupy all slots needed by urgent requests.
    const pool = makePool(1, {urgentReservedSlots: 2});
    const long = dispatch(pool, 0, {isLong: true})!;
    expect(hasCapacity(pool, {workClass: 'standard', isLong: true}, 0)).to.equal(false);
    recordFirstToken(pool, long.target, long.attempt, 10);
    expect(dispatch(pool, 20, {isLong: true})).not.to.equal(undefined);
    expect(hasCapacity(pool, {workClass: 'standard', isLong: false}, 30)).to.equal(false);
    expect(dispatch(pool, 30, {workClass: 'urgent'})).not.to.equal(undefined);
  });

  it('reserves a third of the usable targets for short prompts as targets drain', () => {
    // Guards against long engine steps on all targets, and against long prompts that wait for
    // targets that are draining.
    const pool = makePool(6, {maxLongPrefills: 1});
    const long: (TargetId | undefined)[] = [];
    for (let i = 0; i < 5; i++) long.push(dispatch(pool, 0, {isLong: true})?.target);
    expect(new Set(long.slice(0, 4)).size).to.equal(4);
    expect(long[4]).to.equal(undefined);
    const lagging = {workClass: 'standard', isLong: true, isLagging: true} as const;
    expect(hasCapacity(pool, lagging, 0)).to.equal(true);
    for (const id of long.slice(0, 3)) setTargetStatus(pool, id!, 'draining');
    // Three targets remain, of which two accept long prompts; one of these has one in flight.
    expect(dispatch(pool, 0, {isLong: true})).not.to.equal(undefined);
    expect(dispatch(pool, 0, {isLong: true})).to.equal(undefined);
  });

  it('decays a stale report towards the mean of the pool', () => {
    // Guards against herding: hosts that all choose the same target because of a stale report.
    const pool = makePool(2, {reportDecayMs: 3000});
    recordReport(pool, target(0), {sampledAtMs: 0, outstanding: 3, pendingPrefillTokens: 0});
    recordReport(pool, target(1), {sampledAtMs: 0, outstanding: 1, pendingPrefillTokens: 0});
    const estimateAt = (nowMs: number) =>
      [0, 1].map(i => estimateLoad(pool, pool.targets.get(target(i))!, nowMs).outstanding);
    expect(estimateAt(0)).to.deep.equal([3, 1]);
    expect(estimateAt(1500)).to.deep.equal([2.5, 1.5]);
    expect(estimateAt(5000)).to.deep.equal([2, 2]);
  });

  it('drops the hints of a target after too many lost cache events', () => {
    // Guards against prefix hints for evicted blocks whose removal events were lost.
    const pool = makePool(2, {hints: {maxBlocksPerTarget: 4, maxLostEvents: 10}});
    const add = (sequence: number, block: string) =>
      recordCacheEvent(pool, target(0), {sequence, kind: 'added', block});
    for (let i = 0; i < 6; i++) add(i, `b${i}`);
    expect(pool.hints.countCachedBlocks(target(0), ['b1'])).to.equal(0);
    expect(pool.hints.countCachedBlocks(target(0), ['b2', 'b3', 'b4', 'b5'])).to.equal(4);
    add(9, 'c');
    expect(pool.hints.countCachedBlocks(target(0), ['b5'])).to.equal(1);
    add(30, 'd');
    expect(pool.hints.countCachedBlocks(target(0), ['b5'])).to.equal(0);
    expect(pool.hints.countCachedBlocks(target(0), ['d'])).to.equal(1);
    recordCacheEvent(pool, target(0), {sequence: 30, kind: 'removed', block: 'd'});
    expect(pool.hints.countCachedBlocks(target(0), ['d'])).to.equal(1);
  });
});
