import {FailureDomain, HostId} from '@radishgw/core';
import {Revision} from '@radishgw/coordination';

/** Time limits that decide whether the configuration may be relied on. */
export interface FreshnessSettings {
  /** Time for which a confirmation is valid, and the maximum age of evidence of an outage. */
  readonly windowMs: number;
  /** Maximum time for which requests with a key are served during a platform outage. */
  readonly outageLimitMs: number;
}

/**
 * A key withdrawal must take effect within 8 s. A host that relays the configuration to its peers
 * confirms it at least every 3 s and the peers poll that host every second, so a window of 6 s
 * leaves 2 s for slow responses.
 */
export const DEFAULT_FRESHNESS: FreshnessSettings = {windowMs: 6000, outageLimitMs: 3_600_000};

/** A peer's report on its configuration and on its calls to the platform. */
export interface PeerReport {
  /** Local monotonic time just before the request for the report was sent. */
  readonly sentMs: number;
  /** Highest revision of any configuration object known to the peer. */
  readonly configRevision: Revision;
  /** Age of the peer's last confirmation when it responded; infinite if it has none. */
  readonly freshAgeMs: number;
  /**
   * Age of the peer's last failed platform call when it responded; undefined if there was none
   * or if a call has succeeded since.
   */
  readonly platformFailureAgeMs: number | undefined;
}

/** A host whose reports are evidence of a platform outage. */
export interface KnownHost {
  readonly hostId: HostId;
  readonly failureDomain: FailureDomain;
}

/**
 * Whether requests with a key may be served: yes if `fresh` or during an `outage`, no if `stale`.
 */
export type FreshnessVerdict =
  | {readonly kind: 'fresh'; readonly ageMs: number}
  | {readonly kind: 'outage'; readonly sinceMs: number}
  | {readonly kind: 'stale'; readonly reason: string};

/**
 * Decides whether this host may rely on its configuration. A key withdrawal is accepted by writing
 * it to the platform, so a host may continue without a confirmation only while the platform accepts
 * no writes from any host. It assumes such an outage only if every other failure domain reports it.
 */
export class Freshness {
  private lastConfirmedMs = -Infinity;
  private lastPlatformFailureMs: number | undefined;
  /**
   * Live hosts when the configuration was last fresh. Hosts lost later stay in the list, so that a
   * shrinking membership doesn't reduce the evidence that is required.
   */
  private knownHosts: readonly KnownHost[] = [];
  private readonly peerReports = new Map<HostId, PeerReport>();

  constructor(
    private readonly self: KnownHost,
    private readonly settings: FreshnessSettings = DEFAULT_FRESHNESS,
  ) {}

  /** Records that this host's configuration was current at `sentMs`. */
  confirm(sentMs: number): void {
    this.lastConfirmedMs = Math.max(this.lastConfirmedMs, sentMs);
  }

  /** Records the live hosts; ignored unless the configuration is fresh, see `knownHosts`. */
  setKnownHosts(hosts: readonly KnownHost[], nowMs: number): void {
    if (this.isFresh(nowMs)) this.knownHosts = hosts;
  }

  recordPlatformFailure(nowMs: number): void {
    this.lastPlatformFailureMs = nowMs;
  }

  recordPlatformSuccess(): void {
    this.lastPlatformFailureMs = undefined;
  }

  /**
   * Records a peer's report. The peer's confirmation also counts for this host if this host has
   * applied all revisions known to the peer. `completeRevision` is the revision up to which this
   * host has applied all changes.
   */
  recordReport(hostId: HostId, report: PeerReport, completeRevision: Revision): void {
    this.peerReports.set(hostId, report);
    if (report.configRevision <= completeRevision && Number.isFinite(report.freshAgeMs)) {
      this.confirm(report.sentMs - report.freshAgeMs);
    }
  }

  /** Age of this host's last confirmation, as reported to peers. */
  getFreshAgeMs(nowMs: number): number {
    return nowMs - this.lastConfirmedMs;
  }

  /**
   * Age of this host's last failed platform call, as reported to peers; undefined if there was none
   * or if a call has succeeded since.
   */
  getPlatformFailureAgeMs(nowMs: number): number | undefined {
    return this.lastPlatformFailureMs === undefined
      ? undefined
      : nowMs - this.lastPlatformFailureMs;
  }

  evaluate(nowMs: number, completeRevision: Revision): FreshnessVerdict {
    const ageMs = nowMs - this.lastConfirmedMs;
    if (this.isFresh(nowMs)) return {kind: 'fresh', ageMs};
    if (ageMs > this.settings.outageLimitMs) {
      return {kind: 'stale', reason: 'no confirmation within the outage limit'};
    }
    const missing = this.findMissingOutageEvidence(nowMs, completeRevision);
    if (missing) return {kind: 'stale', reason: missing};
    return {kind: 'outage', sinceMs: ageMs};
  }

  private isFresh(nowMs: number): boolean {
    return nowMs - this.lastConfirmedMs <= this.settings.windowMs;
  }

  private findMissingOutageEvidence(nowMs: number, completeRevision: Revision): string | undefined {
    const {windowMs} = this.settings;
    if (this.lastPlatformFailureMs === undefined || nowMs - this.lastPlatformFailureMs > windowMs) {
      return 'own calls to the platform did not fail recently';
    }
    const missing = new Set<FailureDomain>();
    for (const host of this.knownHosts) missing.add(host.failureDomain);
    missing.delete(this.self.failureDomain);
    let hostsReportingOutage = 1;
    for (const host of this.knownHosts) {
      if (host.hostId === this.self.hostId) continue;
      const report = this.peerReports.get(host.hostId);
      if (!report || nowMs - report.sentMs > windowMs) continue;
      if (report.configRevision > completeRevision) return `${host.hostId} knows a higher revision`;
      if (report.platformFailureAgeMs === undefined) return `${host.hostId} reaches the platform`;
      const failureMs = report.sentMs - report.platformFailureAgeMs;
      if (nowMs - failureMs > windowMs) continue;
      hostsReportingOutage++;
      missing.delete(host.failureDomain);
    }
    if (missing.size > 0) return `no report from failure domain ${[...missing].join(', ')}`;
    if (hostsReportingOutage * 2 < this.knownHosts.length) {
      return `${hostsReportingOutage} of ${this.knownHosts.length} hosts report an outage`;
    }
    return undefined;
  }
}
