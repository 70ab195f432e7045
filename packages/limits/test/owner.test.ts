import {HostId, SessionId, TeamId, toId} from '@radishgw/core';
import {expect} from 'chai';
import {
  AcquireGrantRequest,
  createOwner,
  DEFAULT_LIMIT_SETTINGS,
  describeTeam,
  handleAcquire,
  handOverOwner,
  OwnerStart,
  reserveCapTokens,
} from '../src/index.js';

const TEAM = toId<TeamId>('team');
const HOSTS = ['a', 'b', 'c'].map(name => toId<HostId>(name));
const LIMIT = {tokensPerSecond: 100, burstTokens: 1000, revision: 1};

function startOwner(changes: Partial<OwnerStart> = {}) {
  return createOwner({
    shard: 0,
    epoch: 1,
    settings: DEFAULT_LIMIT_SETTINGS,
    findLimit: () => LIMIT,
    nowMs: 0,
    authorityUntilMs: 60_000,
    silentMs: 600_000,
    formerHolders: [],
    placement: HOSTS,
    ...changes,
  });
}

function ask(neededTokens: number, changes: Partial<AcquireGrantRequest> = {}) {
  return {
    hostId: HOSTS[0],
    sessionId: toId<SessionId>('s'),
    shard: 0,
    epoch: 1,
    grantId: 'g',
    teamId: TEAM,
    neededTokens,
    wantedTokens: neededTokens,
    reports: [],
    refunds: [],
    configRevision: 1,
    ...changes,
  };
}

describe('shard owner', () => {
  it('counts unspent grants against the burst', () => {
    // Guards against a burst at the owner plus a second one from grants that hosts still hold.
    const owner = startOwner();
    expect(handleAcquire(owner, ask(600), 0).response.grantedTokens).to.equal(600);
    expect(describeTeam(owner, TEAM, 1900)).to.include({levelTokens: 400, outstandingTokens: 600});
  });

  it('states the expected wait with a refusal', () => {
    // Guards against callers that retry too early or far too late.
    const owner = startOwner();
    handleAcquire(owner, ask(1000), 0);
    const {response} = handleAcquire(owner, ask(500, {grantId: 'h'}), 3000);
    expect(response.outcome).to.equal('refused');
    // The grant ended 2 ms after its time to live and 99.8 tokens have come since.
    expect(response.retryAfterMs).to.be.closeTo(4002, 1);
  });

  it('issues nothing after its authority ended or was handed over', () => {
    // Guards against a paused or stopped owner that goes on granting beside its successor.
    const owner = startOwner({authorityUntilMs: 1000});
    expect(handleAcquire(owner, ask(1), 1000).response.outcome).to.equal('notOwner');
    const stopped = startOwner();
    const from = {hostId: HOSTS[0], sessionId: toId<SessionId>('s')};
    handOverOwner(stopped, from, 10);
    expect(handleAcquire(stopped, ask(1), 10).response.outcome).to.equal('notOwner');
  });

  it('withholds the reserves of holders that have not confirmed', () => {
    // Guards against a new owner that gives out what a cut-off host may still spend.
    const owner = startOwner({formerHolders: HOSTS.slice(0, 1), silentMs: 60_000});
    const reserve = reserveCapTokens(LIMIT, DEFAULT_LIMIT_SETTINGS);
    expect(describeTeam(owner, TEAM, 0)?.levelTokens).to.be.closeTo(1000 - reserve, 1e-6);
  });

  it('assumes after a takeover that the grants of the former owner are unspent', () => {
    // Guards against grants of two owners that together exceed the burst.
    const owner = startOwner({silentMs: 1000});
    expect(handleAcquire(owner, ask(10), 500).response.outcome).to.equal('refused');
    expect(handleAcquire(owner, ask(10), 1200).response.outcome).to.equal('granted');
  });

  it('hands over level and outstanding grants on a planned stop', () => {
    // Guards against refusals and against a second burst after a planned stop.
    const owner = startOwner();
    handleAcquire(owner, ask(600), 0);
    const from = {hostId: HOSTS[0], sessionId: toId<SessionId>('s')};
    const handOver = handOverOwner(owner, from, 100)!;
    const next = startOwner({epoch: 2, nowMs: 500_000, authorityUntilMs: 600_000, handOver});
    expect(describeTeam(next, TEAM, 500_000)?.levelTokens).to.be.closeTo(400, 1e-6);
    const again = handleAcquire(next, ask(500, {epoch: 2}), 500_001);
    expect(again.response.outcome).to.equal('refused');
  });
});
