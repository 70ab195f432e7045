import {FailureDomain, HostId} from '@radishgw/core';
import {Revision} from '@radishgw/coordination';

/** Times of the freshness rule, in milliseconds. */
export interface FreshnessSettings {
  /** How long a confirmation counts, and how old evidence of an outage may be. */
  readonly windowMs: number;
  /** How long keyed requests are served during an outage of the platform. */
  readonly outageLimitMs: number;
}

/**
 * A withdrawal must be in force within 8 s. A host that relays to others confirms every 3 s at the
 * latest and its peers ask every second, which leaves 2 s for slow answers.
 */
export const DEFAULT_FRESHNESS: FreshnessSettings = {windowMs: 6000, outageLimitMs: 3_600_000};

/** A peer's answer about its own configuration and its own calls to the platform. */
export interface PeerReport {
  /** Local monotonic time before the question was sent. */
  readonly sentMs: number;
  /** Highest revision of a configuration object that the peer knows. */
  readonly configRevision: Revision;
  /** Age of the peer's own confirmation when it answered; infinite if it has none. */
  readonly freshAgeMs: number;
  /** Age of its last failed call with no success since, when it answered; undefined if none. */
  readonly platformFailureAgeMs: number | undefined;
}

/** A host that counts for evidence. */
export interface KnownHost {
  readonly hostId: HostId;
  readonly failureDomain: FailureDomain;
}

/** Whether requests with a key may be served, and why. */
export type FreshnessVerdict =
  | {readonly kind: 'fresh'; readonly ageMs: number}
  | {readonly kind: 'outage'; readonly sinceMs: number}
  | {readonly kind: 'stale'; readonly reason: string};

/**
 * Decides whether the configuration in force here can be relied on. Accepting a withdrawal takes a
 * write to the platform, so a host may go on without confirmation only while the platform takes no
 * writes from anyone; it believes that only if every other failure domain says so.
 */
export class Freshness {
  private confirmedMs = -Infinity;
  private ownFailureMs: number | undefined;
  /** Live hosts at the last fresh moment; later losses can't shrink what evidence must cover. */
  private knownHosts: readonly KnownHost[] = [];
  private readonly reports = new Map<HostId, PeerReport>();

  constructor(
    private readonly self: KnownHost,
    private readonly settings: FreshnessSettings = DEFAULT_FRESHNESS,
  ) {}

  /** Records that the configuration in force here was current at `sentMs`. */
  confirm(sentMs: number): void {
    this.confirmedMs = Math.max(this.confirmedMs, sentMs);
  }

  /** Records the live hosts; ignored unless fresh, see `knownHosts`. */
  setKnownHosts(hosts: readonly KnownHost[], nowMs: number): void {
    if (this.isFresh(nowMs)) this.knownHosts = hosts;
  }

  recordPlatformFailure(nowMs: number): void {
    this.ownFailureMs = nowMs;
  }

  recordPlatformSuccess(): void {
    this.ownFailureMs = undefined;
  }

  /**
   * Takes in a peer's answer. A fresh peer confirms this host too if everything that the peer knows
   * has been applied here; `completeRevision` is the revision up to which that holds.
   */
  recordReport(hostId: HostId, report: PeerReport, completeRevision: Revision): void {
    this.reports.set(hostId, report);
    if (report.configRevision <= completeRevision && Number.isFinite(report.freshAgeMs)) {
      this.confirm(report.sentMs - report.freshAgeMs);
    }
  }

  /** Age of the confirmation, as told to peers. */
  getFreshAgeMs(nowMs: number): number {
    return nowMs - this.confirmedMs;
  }

  /** Age of this host's own failure, as told to peers; undefined while calls succeed. */
  getFailureAgeMs(nowMs: number): number | undefined {
    return this.ownFailureMs === undefined ? undefined : nowMs - this.ownFailureMs;
  }

  judge(nowMs: number, completeRevision: Revision): FreshnessVerdict {
    const ageMs = nowMs - this.confirmedMs;
    if (this.isFresh(nowMs)) return {kind: 'fresh', ageMs};
    if (ageMs > this.settings.outageLimitMs) {
      return {kind: 'stale', reason: 'no confirmation within the outage limit'};
    }
    const missing = this.findMissingEvidence(nowMs, completeRevision);
    if (missing) return {kind: 'stale', reason: missing};
    return {kind: 'outage', sinceMs: ageMs};
  }

  private isFresh(nowMs: number): boolean {
    return nowMs - this.confirmedMs <= this.settings.windowMs;
  }

  private findMissingEvidence(nowMs: number, completeRevision: Revision): string | undefined {
    const {windowMs} = this.settings;
    if (this.ownFailureMs === undefined || nowMs - this.ownFailureMs > windowMs) {
      return 'own calls to the platform did not fail recently';
    }
    const uncovered = new Set<FailureDomain>();
    for (const host of this.knownHosts) uncovered.add(host.failureDomain);
    uncovered.delete(this.self.failureDomain);
    let agreeing = 1;
    for (const host of this.knownHosts) {
      if (host.hostId === this.self.hostId) continue;
      const report = this.reports.get(host.hostId);
      if (!report || nowMs - report.sentMs > windowMs) continue;
      if (report.configRevision > completeRevision) return `${host.hostId} knows a higher revision`;
      if (report.platformFailureAgeMs === undefined) return `${host.hostId} reaches the platform`;
      const failureMs = report.sentMs - report.platformFailureAgeMs;
      if (nowMs - failureMs > windowMs) continue;
      agreeing++;
      uncovered.delete(host.failureDomain);
    }
    if (uncovered.size > 0) return `no report from failure domain ${[...uncovered].join(', ')}`;
    if (agreeing * 2 < this.knownHosts.length) {
      return `${agreeing} of ${this.knownHosts.length} hosts report an outage`;
    }
    return undefined;
  }
}
