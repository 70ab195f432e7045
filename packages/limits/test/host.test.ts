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
  if (placed) topUpReserve(host, actions);
  return host;
}

/** Gives the host a reserve of 200 tokens that is valid until 10 s. */
function topUpReserve(host: HostState, actions: readonly HostAction[]): void {
  const confirm = actions.find(action => action.type === 'confirm')!;
  const {sequence} = confirm.request;
  const changes = [{teamId: TEAM, addTokens: 200, recall: false, stamp: 1}];
  const rest = {accepted: true, epoch: 1, validMs: 10_000, wantAll: false};
  onConfirmResponse(host, SHARD, sequence, {...rest, sequence, changes}, 5);
}

function sendRequest(
  host: HostState,
  name: string,
  costTokens: number,
  nowMs: number,
): HostAction[] {
  return requestTokens(host, {requestId: toId<RequestId>(name), teamId: TEAM, costTokens}, nowMs);
}

function findAcquire(actions: readonly HostAction[]) {
  return actions.find(action => action.type === 'acquire')!.request;
}

function respond(host: HostState, grantId: string, tokens: number, nowMs: number): HostAction[] {
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

describe('rate limiter at a host', () => {
  it('counts the validity of a grant from when its request was sent', () => {
    // Guards against a slow response after which a grant is used after its expiry at the owner.
    const host = startHost(false);
    const requestId = toId<RequestId>('r1');
    const limitRequest = {requestId, teamId: TEAM, costTokens: 10, maxWaitMs: 5000};
    const {grantId} = findAcquire(requestTokens(host, limitRequest, 0));
    expect(typesOf(respond(host, grantId, 100, 1400))).to.include('admit');
    expect(typesOf(sendRequest(host, 'r2', 10, 1490))).to.include('admit');
    expect(typesOf(sendRequest(host, 'r3', 10, 2001))).to.not.include('admit');
  });

  it('admits from the reserve once a call to the owner has timed out', () => {
    // Guards against refusals after an owner crash while the host still holds tokens.
    const host = startHost(true);
    findAcquire(sendRequest(host, 'r1', 150, 10));
    expect(typesOf(processHostTimers(host, 111))).to.include('admit');
  });

  it('does not use a reserve that has expired or was dropped', () => {
    // Guards against a partitioned host that spends tokens the owner has granted elsewhere.
    const expired = startHost(true);
    sendRequest(expired, 'r1', 150, 10_001);
    expect(typesOf(processHostTimers(expired, 10_102))).to.not.include('admit');
    const dropped = startHost(true);
    dropReserves(dropped, 10);
    sendRequest(dropped, 'r1', 150, 11);
    expect(typesOf(processHostTimers(dropped, 112))).to.not.include('admit');
  });

  it('refills the reserve locally only after the refill pause', () => {
    // Guards against refill at the host that the owner also grants to others.
    const host = startHost(true);
    sendRequest(host, 'r1', 200, 10);
    expect(typesOf(processHostTimers(host, 111))).to.include('admit');
    // 20 tokens per second from 1505 ms on: 1.9 tokens at 1600 ms, 20.1 at 2510 ms.
    expect(typesOf(sendRequest(host, 'r2', 10, 1600))).to.not.include('admit');
    expect(typesOf(sendRequest(host, 'r3', 10, 2510))).to.include('admit');
  });

  it('refuses with the retry time from the owner', () => {
    // Guards against refusals without a usable retry time.
    const host = startHost(false);
    const {grantId} = findAcquire(sendRequest(host, 'r1', 10, 0));
    expect(respond(host, grantId, 0, 3)).to.deep.equal([
      {type: 'refuse', requestId: 'r1', reason: 'rateExceeded', retryAfterMs: 5000},
    ]);
  });

  it('refuses a waiting request at its deadline and never admits it later', () => {
    // Guards against a paused process that admits a request after its caller has given up.
    const host = startHost(false);
    const {grantId} = findAcquire(sendRequest(host, 'r1', 10, 0));
    expect(typesOf(respond(host, grantId, 100, 1001))).to.not.include('admit');
  });

  it('refunds unused tokens of a reported charge to the owner with its stamp', () => {
    // Guards against estimates that stay charged.
    const host = startHost(false);
    const first = findAcquire(sendRequest(host, 'r1', 100, 0));
    respond(host, first.grantId, 100, 2);
    const second = findAcquire(sendRequest(host, 'r2', 100, 10));
    expect(second.reports).to.deep.equal([
      {grantId: first.grantId, spentTokens: 100, returnedTokens: 0, spentAgeMs: 8, closed: true},
    ]);
    respond(host, second.grantId, 100, 12);
    settleRequest(host, TEAM, toId<RequestId>('r1'), 30, 500);
    const third = findAcquire(sendRequest(host, 'r3', 100, 510));
    expect(third.refunds).to.deep.equal([{teamId: TEAM, tokens: 70, stamp: 7}]);
  });
});
