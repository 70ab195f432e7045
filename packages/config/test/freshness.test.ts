import {FailureDomain, HostId, toId} from '@radishgw/core';
import {expect} from 'chai';
import {Freshness, KnownHost, PeerReport} from '../src/index.js';

function host(hostId: string, failureDomain: string): KnownHost {
  return {hostId: toId<HostId>(hostId), failureDomain: toId<FailureDomain>(failureDomain)};
}

const HOSTS = [host('a1', 'a'), host('a2', 'a'), host('b1', 'b'), host('c1', 'c')];

function createFresh(): Freshness {
  const freshness = new Freshness(HOSTS[0]);
  freshness.confirm(0);
  freshness.setKnownHosts(HOSTS, 0);
  return freshness;
}

function reportOutage(sentMs: number, changes: Partial<PeerReport> = {}): PeerReport {
  return {
    sentMs,
    configRevision: 5,
    freshAgeMs: sentMs,
    platformFailureAgeMs: 100,
    ...changes,
  };
}

describe('Freshness', () => {
  it('stops within the window when the host is cut off from platform and peers', () => {
    // Guards against an isolated host that goes on accepting withdrawn keys.
    const freshness = createFresh();
    freshness.recordPlatformFailure(9_000);
    expect(freshness.judge(6_000, 5).kind).to.equal('fresh');
    expect(freshness.judge(9_000, 5).kind).to.equal('stale');
  });

  it('goes on while every other failure domain reports the outage', () => {
    // Guards against a platform outage that stops all service.
    const freshness = createFresh();
    freshness.recordPlatformFailure(9_500);
    for (const peer of HOSTS.slice(1)) {
      freshness.recordReport(peer.hostId, reportOutage(9_500), 5);
    }
    expect(freshness.judge(10_000, 5).kind).to.equal('outage');
  });

  it('stops when one failure domain is silent, reaches the platform or knows more', () => {
    // Guards against a withdrawal that is accepted where this host can't see it.
    const cases: [string, Partial<PeerReport> | undefined][] = [
      ['silent', undefined],
      ['reaches the platform', {platformFailureAgeMs: undefined}],
      ['knows more', {configRevision: 6, freshAgeMs: Infinity}],
      ['old failure', {platformFailureAgeMs: 9_000}],
    ];
    for (const [name, changes] of cases) {
      const freshness = createFresh();
      freshness.recordPlatformFailure(9_500);
      freshness.recordReport(HOSTS[1].hostId, reportOutage(9_500), 5);
      freshness.recordReport(HOSTS[2].hostId, reportOutage(9_500), 5);
      if (changes) freshness.recordReport(HOSTS[3].hostId, reportOutage(9_500, changes), 5);
      expect(freshness.judge(10_000, 5).kind, name).to.equal('stale');
    }
  });

  it('keeps counting hosts that were lost after the last fresh moment', () => {
    // Guards against a shrinking membership view that makes an isolated host its own majority.
    const freshness = createFresh();
    freshness.setKnownHosts([HOSTS[0]], 9_000);
    freshness.recordPlatformFailure(9_500);
    expect(freshness.judge(9_500, 5).kind).to.equal('stale');
  });

  it('is confirmed by a fresh peer only up to the age that the peer states', () => {
    // Guards against two hosts that keep each other fresh for ever.
    const first = createFresh();
    const second = new Freshness(HOSTS[2]);
    second.confirm(0);
    for (let nowMs = 500; nowMs <= 20_000; nowMs += 500) {
      const ages = [first.getFreshAgeMs(nowMs), second.getFreshAgeMs(nowMs)];
      first.recordReport(HOSTS[2].hostId, reportOutage(nowMs, {freshAgeMs: ages[1]}), 5);
      second.recordReport(HOSTS[0].hostId, reportOutage(nowMs, {freshAgeMs: ages[0]}), 5);
    }
    expect(first.getFreshAgeMs(20_000)).to.equal(20_000);
  });

  it('ends service after the outage limit', () => {
    // Guards against an outage that keeps old keys alive without end.
    const freshness = new Freshness(HOSTS[0], {windowMs: 6000, outageLimitMs: 60_000});
    freshness.confirm(0);
    freshness.setKnownHosts(HOSTS, 0);
    freshness.recordPlatformFailure(61_000);
    for (const peer of HOSTS.slice(1)) {
      freshness.recordReport(peer.hostId, reportOutage(61_000), 5);
    }
    expect(freshness.judge(61_000, 5).kind).to.equal('stale');
  });
});
