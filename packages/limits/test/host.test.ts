import {HostId, RequestId, SessionId, TeamId, toId} from '@radishgw/core';
import {expect} from 'chai';
import {
  AcquireGrantResponse,
  applyShardRecord,
  createHost,
  DEFAULT_LIMIT_SETTINGS,
  dropReserves,
  HostAction,
  HostState,
  onAcquireResponse,
  onConfirmResponse,
  processHostTimers,
  requestTokens,
  settleRequest,
  shardOfTeam,
} from '../src/index.js';

const TEAM = toId<TeamId>('team');
const LIMIT = {tokensPerSecond: 100, burstTokens: 1000, revision: 1};
const SHARD = shardOfTeam(TEAM, DEFAULT_LIMIT_SETTINGS.shardCount);

function startHost(placed: boolean): HostState {
  const host = createHost({
    hostId: toId<HostId>('a'),
    sessionId: toId<SessionId>('s'),
    settings: DEFAULT_LIMIT_SETTINGS,
    findLimit: () => LIMIT,
  });
  const actions = applyShardRecord(host, {shard: SHARD, epoch: 1, isPlacementHost: placed}, 0);
  if (placed) fundReserve(host, actions);
  return host;
}

/** Gives the host a reserve of 200 tokens that is valid until 10 s. */
function fundReserve(host: HostState, actions: readonly HostAction[]): void {
  const confirm = actions.find(action => action.type === 'confirm')!;
  const {sequence} = confirm.request;
  const changes = [{teamId: TEAM, addTokens: 200, recall: false, stamp: 1}];
  const rest = {accepted: true, epoch: 1, validMs: 10_000, wantAll: false};
  onConfirmResponse(host, SHARD, sequence, {...rest, sequence, changes}, 5);
}

function request(host: HostState, name: string, costTokens: number, nowMs: number): HostAction[] {
  return requestTokens(host, {requestId: toId<RequestId>(name), teamId: TEAM, costTokens}, nowMs);
}

function findAcquire(actions: readonly HostAction[]) {
  return actions.find(action => action.type === 'acquire')!.request;
}

function answer(host: HostState, grantId: string, tokens: number, nowMs: number): HostAction[] {
  const response: AcquireGrantResponse = {
    outcome: tokens > 0 ? 'granted' : 'refused',
    grantedTokens: tokens,
    timeToLiveMs: 2000,
    retryAfterMs: 5000,
    epoch: 1,
    stamp: 7,
  };
  return onAcquireResponse(host, TEAM, grantId, response, nowMs);
}

function typesOf(actions: readonly HostAction[]): string[] {
  return actions.map(action => action.type);
}

describe('host side of limits', () => {
  it('counts the validity of a grant from before its request was sent', () => {
    // Guards against a slow answer that lets a grant outlive its end at the owner.
    const host = startHost(false);
    const requestId = toId<RequestId>('r1');
    const patient = {requestId, teamId: TEAM, costTokens: 10, maxWaitMs: 5000};
    const {grantId} = findAcquire(requestTokens(host, patient, 0));
    expect(typesOf(answer(host, grantId, 100, 1400))).to.include('admit');
    expect(typesOf(request(host, 'r2', 10, 1490))).to.include('admit');
    expect(typesOf(request(host, 'r3', 10, 2001))).to.not.include('admit');
  });

  it('admits from the reserve as soon as the owner has not answered', () => {
    // Guards against refusals after the crash of an owner while tokens are at hand.
    const host = startHost(true);
    findAcquire(request(host, 'r1', 150, 10));
    expect(typesOf(processHostTimers(host, 111))).to.include('admit');
  });

  it('does not use a reserve after its validity or after it was dropped', () => {
    // Guards against a cut-off host that spends what the owner has given out again.
    const lapsed = startHost(true);
    request(lapsed, 'r1', 150, 10_001);
    expect(typesOf(processHostTimers(lapsed, 10_102))).to.not.include('admit');
    const dropped = startHost(true);
    dropReserves(dropped, 10);
    request(dropped, 'r1', 150, 11);
    expect(typesOf(processHostTimers(dropped, 112))).to.not.include('admit');
  });

  it('refills the reserve only after the owner was silent for the lending time', () => {
    // Guards against a refill at the host that the owner gives out as well.
    const host = startHost(true);
    request(host, 'r1', 200, 10);
    expect(typesOf(processHostTimers(host, 111))).to.include('admit');
    // 20 tokens per second from 1505 ms on: 1.9 tokens at 1600 ms, 20.1 at 2510 ms.
    expect(typesOf(request(host, 'r2', 10, 1600))).to.not.include('admit');
    expect(typesOf(request(host, 'r3', 10, 2510))).to.include('admit');
  });

  it('refuses with the wait that the owner stated', () => {
    // Guards against refusals without a usable retry time.
    const host = startHost(false);
    const {grantId} = findAcquire(request(host, 'r1', 10, 0));
    expect(answer(host, grantId, 0, 3)).to.deep.equal([
      {type: 'refuse', requestId: 'r1', reason: 'rateExceeded', retryAfterMs: 5000},
    ]);
  });

  it('refuses a waiting request at its deadline and never admits it later', () => {
    // Guards against a process that admits after a pause what its caller has given up.
    const host = startHost(false);
    const {grantId} = findAcquire(request(host, 'r1', 10, 0));
    expect(typesOf(answer(host, grantId, 100, 1001))).to.not.include('admit');
  });

  it('gives unused tokens of a reported charge back to the owner with its stamp', () => {
    // Guards against estimates that stay charged.
    const host = startHost(false);
    const first = findAcquire(request(host, 'r1', 100, 0));
    answer(host, first.grantId, 100, 2);
    const second = findAcquire(request(host, 'r2', 100, 10));
    expect(second.reports).to.deep.equal([
      {grantId: first.grantId, spentTokens: 100, returnedTokens: 0, spentAgeMs: 8, closed: true},
    ]);
    answer(host, second.grantId, 100, 12);
    settleRequest(host, TEAM, toId<RequestId>('r1'), 30, 500);
    const third = findAcquire(request(host, 'r3', 100, 510));
    expect(third.refunds).to.deep.equal([{teamId: TEAM, tokens: 70, stamp: 7}]);
  });
});
