import {ConfigStore, Freshness} from '@radishgw/config';
import {call, Clock, EventLog, HostId, Procedure, sleep} from '@radishgw/core';
import {HostSession, Member, Membership} from '@radishgw/coordination';
import {
  create,
  HeartbeatRequestSchema,
  HostReport,
  HostReportSchema,
  INNER_SERVICE,
} from '@radishgw/protocol';
import {PeerClients} from './peer-clients.js';

const HEARTBEAT_INTERVAL_MS = 1000;
const HEARTBEAT_TIMEOUT_MS = 1000;
/** Time without a response after which a peer is not used as an entry host or a relay. */
const UNREACHABLE_AFTER_MS = 3000;
const UNKNOWN_AGE_MS = -1;

/** Dependencies of {@link Peers}. */
export interface PeerDependencies {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly session: HostSession;
  readonly membership: Membership;
  readonly clients: PeerClients;
  readonly config: ConfigStore;
  readonly freshness: Freshness;
  readonly failureDomain: string;
  /** Called when a peer reports a configuration revision that this host has not applied. */
  onHigherRevision(hostId: HostId, revision: number): void;
}

/**
 * Monitors the liveness of the other hosts by heartbeats. The result is a hint; ownership of shards
 * and roles doesn't depend on it.
 */
export class Peers {
  private readonly lastResponseMs = new Map<HostId, number>();
  private readonly unreachable = new Set<HostId>();

  constructor(private readonly dependencies: PeerDependencies) {}

  /** Whether a peer has responded recently; true for a peer that joined too recently to judge. */
  isReachable(hostId: HostId): boolean {
    return !this.unreachable.has(hostId);
  }

  /** Builds the report that this host sends to its peers. */
  buildReport(): HostReport {
    const {clock, config, freshness, session, failureDomain} = this.dependencies;
    const nowMs = clock.nowMs();
    const freshAgeMs = freshness.getFreshAgeMs(nowMs);
    return create(HostReportSchema, {
      hostId: session.hostId,
      failureDomain,
      configRevision: config.configRevision,
      freshAgeMs: Number.isFinite(freshAgeMs) ? freshAgeMs : UNKNOWN_AGE_MS,
      platformFailureAgeMs: freshness.getPlatformFailureAgeMs(nowMs) ?? UNKNOWN_AGE_MS,
      leaving: session.isLeaving,
    });
  }

  /** Sends a heartbeat to all peers once a second. */
  *run(): Procedure<never> {
    for (;;) {
      const {membership, clock, session, clients} = this.dependencies;
      const others = membership.members().filter(member => member.hostId !== session.hostId);
      clients.closeUnused(others);
      for (const hostId of this.lastResponseMs.keys()) {
        if (!others.some(member => member.hostId === hostId)) this.removePeer(hostId);
      }
      const startMs = clock.nowMs();
      yield* call(() => Promise.all(others.map(member => this.sendHeartbeat(member))));
      yield* sleep(Math.max(0, HEARTBEAT_INTERVAL_MS - (clock.nowMs() - startMs)));
    }
  }

  private removePeer(hostId: HostId): void {
    this.lastResponseMs.delete(hostId);
    this.unreachable.delete(hostId);
  }

  private async sendHeartbeat(member: Member): Promise<void> {
    const {clock, clients} = this.dependencies;
    const sentMs = clock.nowMs();
    if (!this.lastResponseMs.has(member.hostId)) this.lastResponseMs.set(member.hostId, sentMs);
    const result = await clients.call(
      member.hostId,
      INNER_SERVICE.heartbeat,
      create(HeartbeatRequestSchema, {report: this.buildReport()}),
      HEARTBEAT_TIMEOUT_MS,
    );
    if (result.ok && result.val.report) this.applyReport(member, sentMs, result.val.report);
    else this.recordFailedHeartbeat(member.hostId);
  }

  private applyReport(member: Member, sentMs: number, report: HostReport): void {
    const {config, freshness, clock, log, onHigherRevision} = this.dependencies;
    this.lastResponseMs.set(member.hostId, clock.nowMs());
    if (this.unreachable.delete(member.hostId)) log.write('peerReachable', {hostId: member.hostId});
    freshness.recordReport(
      member.hostId,
      {
        sentMs,
        configRevision: report.configRevision,
        freshAgeMs: report.freshAgeMs < 0 ? Infinity : report.freshAgeMs,
        platformFailureAgeMs:
          report.platformFailureAgeMs < 0 ? undefined : report.platformFailureAgeMs,
      },
      config.completeRevision,
    );
    if (report.configRevision > config.completeRevision) {
      onHigherRevision(member.hostId, report.configRevision);
    }
  }

  private recordFailedHeartbeat(hostId: HostId): void {
    const {clock, log} = this.dependencies;
    const sinceMs = clock.nowMs() - (this.lastResponseMs.get(hostId) ?? clock.nowMs());
    if (sinceMs < UNREACHABLE_AFTER_MS || this.unreachable.has(hostId)) return;
    this.unreachable.add(hostId);
    log.write('peerUnreachable', {hostId, sinceMs});
  }
}
