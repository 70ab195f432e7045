import {FailureDomain, HostId, toId} from '@radishgw/core';
import {expect} from 'chai';
import {Freshness, KnownHost, PeerReport} from '../src/index.js';

function host(hostId: string, failureDomain: string): KnownHost {
  return {hostId: toId<HostId>(hostId), failureDomain: toId<FailureDomain>(failureDomain)};
}

const HOSTS = [host('a1', 'a'), host('a2', 'a'), host('b1', 'b'), host('c1', 'c')];

function createFreshHost(): Freshness {
  const freshness = new Freshness(HOSTS[0]);
  freshness.confirm(0);
  freshness.setKnownHosts(HOSTS, 0);
  return freshness;
}

function createOutageReport(sentMs: number, changes: Partial<PeerReport> = {}): PeerReport {
  return {
    sentMs,
    configRevision: 5,
    freshAgeMs: sentMs,
    platformFailureAgeMs: 100,
    ...changes,
  };
}

describe('Freshness', () => {
  it('becomes stale after the window when both the platform and the peers are unreachable', () => {
    // Guards against an isolated host that keeps accepting withdrawn keys.
    const freshness = createFreshHost();
    freshness.recordPlatformFailure(9_000);
    expect(freshness.evaluate(6_000, 5).kind).to.equal('fresh');
    expect(freshness.evaluate(9_000, 5).kind).to.equal('stale');
  });

  it('keeps serving while every other failure domain reports the outage', () => {
    // Guards against a platform outage that makes all hosts reject requests with a key.
    const freshness = createFreshHost();
    freshness.recordPlatformFailure(9_500);
    for (const peer of HOSTS.slice(1)) {
      freshness.recordReport(peer.hostId, createOutageReport(9_500), 5);
    }
    expect(freshness.evaluate(10_000, 5).kind).to.equal('outage');
  });

  it('is stale without recent evidence of the outage from every other failure domain', () => {
    // Guards against a key withdrawal that is accepted elsewhere without this host learning of it.
    const cases: [string, Partial<PeerReport> | undefined][] = [
      ['silent', undefined],
      ['reaches the platform', {platformFailureAgeMs: undefined}],
      ['knows more', {configRevision: 6, freshAgeMs: Infinity}],
      ['old failure', {platformFailureAgeMs: 9_000}],
    ];
    for (const [name, changes] of cases) {
      const freshness = createFreshHost();
      freshness.recordPlatformFailure(9_500);
      freshness.recordReport(HOSTS[1].hostId, createOutageReport(9_500), 5);
      freshness.recordReport(HOSTS[2].hostId, createOutageReport(9_500), 5);
      if (changes) freshness.recordReport(HOSTS[3].hostId, createOutageReport(9_500, changes), 5);
      expect(freshness.evaluate(10_000, 5).kind, name).to.equal('stale');
    }
  });

  it('still requires reports from hosts that were lost after the last fresh state', () => {
    // Guards against an isolated host that forgets its peers and so infers an outage by itself.
    const freshness = createFreshHost();
    freshness.setKnownHosts([HOSTS[0]], 9_000);
    freshness.recordPlatformFailure(9_500);
    expect(freshness.evaluate(9_500, 5).kind).to.equal('stale');
  });

  it("counts the age of a peer's confirmation from its own time, not from the report", () => {
    // Guards against two hosts that confirm each other indefinitely without the platform.
    const first = createFreshHost();
    const second = new Freshness(HOSTS[2]);
    second.confirm(0);
    for (let nowMs = 500; nowMs <= 20_000; nowMs += 500) {
      const ages = [first.getFreshAgeMs(nowMs), second.getFreshAgeMs(nowMs)];
      first.recordReport(HOSTS[2].hostId, createOutageReport(nowMs, {freshAgeMs: ages[1]}), 5);
      second.recordReport(HOSTS[0].hostId, createOutageReport(nowMs, {freshAgeMs: ages[0]}), 5);
    }
    expect(first.getFreshAgeMs(20_000)).to.equal(20_000);
  });

  it('becomes stale after the outage limit', () => {
    // Guards against withdrawn keys that stay valid for as long as an outage lasts.
    const freshness = new Freshness(HOSTS[0], {windowMs: 6000, outageLimitMs: 60_000});
    freshness.confirm(0);
    freshness.setKnownHosts(HOSTS, 0);
    freshness.recordPlatformFailure(61_000);
    for (const peer of HOSTS.slice(1)) {
      freshness.recordReport(peer.hostId, createOutageReport(61_000), 5);
    }
    expect(freshness.evaluate(61_000, 5).kind).to.equal('stale');
  });
});
