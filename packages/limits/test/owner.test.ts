import {HostId, SessionId, TeamId, toId} from '@radishgw/core';
import {expect} from 'chai';
import {
  AcquireGrantRequest,
  createOwner,
  DEFAULT_LIMIT_SETTINGS,
  describeTeam,
  handleAcquire,
  handOverOwnership,
  OwnerOptions,
  reserveCapTokens,
} from '../src/index.js';

const TEAM = toId<TeamId>('team');
const HOSTS = ['a', 'b', 'c'].map(name => toId<HostId>(name));
const LIMIT = {tokensPerSecond: 100, burstTokens: 1000, revision: 1};

function startOwner(changes: Partial<OwnerOptions> = {}) {
  return createOwner({
    shard: 0,
    epoch: 1,
    settings: DEFAULT_LIMIT_SETTINGS,
    findLimit: () => LIMIT,
    nowMs: 0,
    authorityUntilMs: 60_000,
    unownedMs: 600_000,
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
    expect(describeTeam(owner, TEAM, 890)).to.include({levelTokens: 400, outstandingTokens: 600});
  });

  it('states the expected wait with a refusal', () => {
    // Guards against callers that retry too early or far too late.
    const owner = startOwner();
    handleAcquire(owner, ask(1000), 0);
    const {response} = handleAcquire(owner, ask(500, {grantId: 'h'}), 3000);
    expect(response.outcome).to.equal('refused');
    // The grant ended after 900.9 ms and 209.91 tokens have come since.
    expect(response.retryAfterMs).to.be.closeTo(2900.9, 0.1);
  });

  it('issues nothing after its authority ended or was handed over', () => {
    // Guards against a paused or stopped owner that goes on granting beside its successor.
    const owner = startOwner({authorityUntilMs: 1000});
    expect(handleAcquire(owner, ask(1), 1000).response.outcome).to.equal('notOwner');
    const stopped = startOwner();
    const from = {hostId: HOSTS[0], sessionId: toId<SessionId>('s')};
    handOverOwnership(stopped, from, 10);
    expect(handleAcquire(stopped, ask(1), 10).response.outcome).to.equal('notOwner');
  });

  it('withholds the reserves of holders that have not confirmed', () => {
    // Guards against a new owner that gives out what a cut-off host may still spend.
    const owner = startOwner({formerHolders: HOSTS.slice(0, 1), unownedMs: 60_000});
    const reserve = reserveCapTokens(LIMIT, DEFAULT_LIMIT_SETTINGS);
    expect(describeTeam(owner, TEAM, 0)?.levelTokens).to.be.closeTo(1000 - reserve, 1e-6);
  });

  it('assumes after a takeover that the grants of the former owner are unspent', () => {
    // Guards against grants of two owners that together exceed the burst.
    const lapsed = startOwner({unownedMs: 1000});
    expect(describeTeam(lapsed, TEAM, 990)?.capTokens).to.equal(500);
    expect(describeTeam(lapsed, TEAM, 1010)?.capTokens).to.equal(1000);
    // Without a margin also large grants may still be in use.
    const ended = startOwner({unownedMs: 0});
    expect(describeTeam(ended, TEAM, 890)?.capTokens).to.equal(0);
    expect(handleAcquire(ended, ask(1), 890).response.outcome).to.equal('refused');
    expect(describeTeam(ended, TEAM, 1990)?.capTokens).to.equal(500);
  });

  it('gives a grant above the ordinary share a time to live below the takeover margin', () => {
    // Guards against a request of the whole burst that is never granted, and against a successor
    // that doesn't count such a grant.
    const {response} = handleAcquire(startOwner(), ask(1000), 0);
    expect(response).to.include({grantedTokens: 1000, timeToLiveMs: 900});
  });

  it('credits a refund only as far as the bucket was below its burst since the charge', () => {
    // Guards against late refunds that add up to more than rate × t + burst.
    const owner = startOwner();
    handleAcquire(owner, ask(400), 0);
    const spent = {grantId: 'g', spentTokens: 400, returnedTokens: 0, spentAgeMs: 0, closed: true};
    const {stamp} = handleAcquire(owner, ask(0, {reports: [spent]}), 10).response;
    const refunds = [{teamId: TEAM, tokens: 400, stamp}];
    // 200 tokens have come since, so 200 of the refund fit at 2010 ms and none after the refill.
    handleAcquire(owner, ask(0, {refunds}), 2010);
    expect(describeTeam(owner, TEAM, 2010)?.levelTokens).to.equal(1000);
    const late = startOwner();
    handleAcquire(late, ask(400), 0);
    const reported = handleAcquire(late, ask(0, {reports: [spent]}), 10).response;
    handleAcquire(late, ask(900, {grantId: 'h'}), 10_000);
    const second = {grantId: 'h', spentTokens: 900, returnedTokens: 0, spentAgeMs: 0, closed: true};
    const lateRefunds = [{teamId: TEAM, tokens: 400, stamp: reported.stamp}];
    handleAcquire(late, ask(0, {reports: [second], refunds: lateRefunds}), 10_000);
    expect(describeTeam(late, TEAM, 10_000)?.levelTokens).to.equal(100);
  });

  it('credits refill that was lost while spent tokens counted as outstanding', () => {
    // Guards against refusals within the rate: seeds 270, 500 and 700 of the soak.
    const levelAfter = (spentAgeMs: number, spentTokens = 400) => {
      const owner = startOwner();
      handleAcquire(owner, ask(400), 0);
      const report = {grantId: 'g', spentTokens, returnedTokens: 0, spentAgeMs, closed: false};
      for (let i = 0; i < 2; i++) {
        handleAcquire(owner, ask(0, {grantId: `h${i}`, reports: [report]}), 100);
      }
      return describeTeam(owner, TEAM, 100)!.levelTokens;
    };
    // 100 tokens per second come, and those of 100 ms found no room; clocks may differ by 0.1 %.
    expect(levelAfter(100)).to.be.within(609.9, 610);
    expect(levelAfter(40)).to.be.within(603.9, 604);
    expect(levelAfter(0)).to.equal(600);
    // No more than the spending made room for.
    expect(levelAfter(100, 5)).to.be.within(604.9, 605);
  });

  it('credits lost refill once', () => {
    // Guards against two reports that each claim the same refill: seed 387 of the soak.
    const owner = startOwner();
    handleAcquire(owner, ask(200), 0);
    handleAcquire(owner, ask(200, {grantId: 'late'}), 0);
    const report = (grantId: string, spentAgeMs: number) => {
      const spent = {grantId, spentTokens: 8, returnedTokens: 0, spentAgeMs, closed: false};
      handleAcquire(owner, ask(0, {grantId: `report ${grantId}`, reports: [spent]}), 100);
      return describeTeam(owner, TEAM, 100)!.levelTokens;
    };
    // Of 10 lost tokens the first takes the oldest 8, and 2 of the last 4 are left.
    expect(report('g', 100)).to.be.closeTo(608, 0.02);
    expect(report('late', 40)).to.be.closeTo(610, 0.02);
  });

  it('applies a lower burst at once', () => {
    // Guards against tokens of the old burst that stay usable after the change.
    let limit = LIMIT;
    const owner = startOwner({findLimit: () => limit});
    expect(describeTeam(owner, TEAM, 0)?.levelTokens).to.equal(1000);
    limit = {tokensPerSecond: 50, burstTokens: 300, revision: 2};
    expect(describeTeam(owner, TEAM, 1)?.levelTokens).to.equal(300);
  });

  it('hands over level and outstanding grants on a planned stop', () => {
    // Guards against refusals and against a second burst after a planned stop.
    const owner = startOwner();
    handleAcquire(owner, ask(600), 0);
    const from = {hostId: HOSTS[0], sessionId: toId<SessionId>('s')};
    const handOver = handOverOwnership(owner, from, 100)!;
    const next = startOwner({epoch: 2, nowMs: 500_000, authorityUntilMs: 600_000, handOver});
    expect(describeTeam(next, TEAM, 500_000)?.levelTokens).to.be.closeTo(400, 1e-6);
    expect(describeTeam(next, TEAM, 500_000)?.capTokens).to.be.closeTo(400, 1e-6);
    const again = handleAcquire(next, ask(500, {epoch: 2}), 500_001);
    expect(again.response.outcome).to.equal('refused');
  });
});
