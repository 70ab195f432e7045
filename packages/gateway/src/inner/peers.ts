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

const HEARTBEAT_MS = 1000;
const HEARTBEAT_TIMEOUT_MS = 1000;
/** A peer that has not answered for this long is left out of answers and of first choices. */
const SILENT_AFTER_MS = 3000;
const NO_AGE = -1;

/** What exchanging heartbeats needs. */
export interface PeerServices {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly session: HostSession;
  readonly membership: Membership;
  readonly clients: PeerClients;
  readonly config: ConfigStore;
  readonly freshness: Freshness;
  readonly failureDomain: string;
  /** Called when a peer knows a configuration revision that this host lacks. */
  onHigherRevision(hostId: HostId, revision: number): void;
}

/** Liveness of the other hosts as seen from here. It is a hint and moves no authority. */
export class Peers {
  private readonly lastAnswerMs = new Map<HostId, number>();
  private readonly silent = new Set<HostId>();

  constructor(private readonly services: PeerServices) {}

  /** Whether a peer answered lately, or is too new to tell. */
  isReachable(hostId: HostId): boolean {
    return !this.silent.has(hostId);
  }

  /** What this host tells its peers. */
  buildReport(): HostReport {
    const {clock, config, freshness, session, failureDomain} = this.services;
    const nowMs = clock.nowMs();
    const freshAgeMs = freshness.getFreshAgeMs(nowMs);
    return create(HostReportSchema, {
      hostId: session.hostId,
      failureDomain,
      configRevision: config.configRevision,
      freshAgeMs: Number.isFinite(freshAgeMs) ? freshAgeMs : NO_AGE,
      platformFailureAgeMs: freshness.getPlatformFailureAgeMs(nowMs) ?? NO_AGE,
      leaving: session.isLeaving,
    });
  }

  /** Asks all peers once a second. */
  *run(): Procedure<never> {
    for (;;) {
      const {membership, clock, session, clients} = this.services;
      const others = membership.members().filter(member => member.hostId !== session.hostId);
      clients.forgetAllBut(others);
      for (const hostId of this.lastAnswerMs.keys()) {
        if (!others.some(member => member.hostId === hostId)) this.forget(hostId);
      }
      const startMs = clock.nowMs();
      yield* call(() => Promise.all(others.map(member => this.exchange(member))));
      yield* sleep(Math.max(0, HEARTBEAT_MS - (clock.nowMs() - startMs)));
    }
  }

  private forget(hostId: HostId): void {
    this.lastAnswerMs.delete(hostId);
    this.silent.delete(hostId);
  }

  private async exchange(member: Member): Promise<void> {
    const {clock, clients} = this.services;
    const sentMs = clock.nowMs();
    if (!this.lastAnswerMs.has(member.hostId)) this.lastAnswerMs.set(member.hostId, sentMs);
    const answer = await clients.call(
      member.hostId,
      INNER_SERVICE.heartbeat,
      create(HeartbeatRequestSchema, {report: this.buildReport()}),
      HEARTBEAT_TIMEOUT_MS,
    );
    if (answer.ok && answer.val.report) this.takeReport(member, sentMs, answer.val.report);
    else this.noteSilence(member.hostId);
  }

  private takeReport(member: Member, sentMs: number, report: HostReport): void {
    const {config, freshness, clock, log, onHigherRevision} = this.services;
    this.lastAnswerMs.set(member.hostId, clock.nowMs());
    if (this.silent.delete(member.hostId)) log.write('peerReachable', {hostId: member.hostId});
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

  private noteSilence(hostId: HostId): void {
    const {clock, log} = this.services;
    const sinceMs = clock.nowMs() - (this.lastAnswerMs.get(hostId) ?? clock.nowMs());
    if (sinceMs < SILENT_AFTER_MS || this.silent.has(hostId)) return;
    this.silent.add(hostId);
    log.write('peerUnreachable', {hostId, sinceMs});
  }
}
