import {call, Clock, EventLog, HostId, Procedure, sleep} from '@radishgw/core';
import {CapacityKeeper} from './capacity-keeper.js';
import {readInstant} from './elapsed-clock.js';
import {
  BEAT_MS,
  HostBeat,
  HostRecord,
  HostRegistry,
  joinBeats,
  readyHosts,
  shortenRecord,
  takeBeat,
  updateHosts,
} from './host-registry.js';
import {
  acceptLease,
  createLeaseView,
  decideLease,
  heldTerm,
  LeaseTimes,
  LeaseView,
  observeLease,
} from './lease.js';
import {DutyClient} from './model.js';
import {SharedReads} from './shared-reads.js';
import {StageKeeper} from './stage-keeper.js';
import {DependencyMonitor, FrozenWindow, SharedState, SharedStore} from './store-sync.js';
import {sumWindow, windowIndexAt} from './usage-ledger.js';

/**
 * A window is complete this long after its end: a host hands on its counts each second, and the host
 * that writes them needs half a second more.
 */
const FREEZE_DELAY_MS = 2500;

/** Windows that are still looked at after their end. */
const OPEN_WINDOWS = 3;

/** Windows that are kept in the store after their report. */
const KEPT_WINDOWS = 12;

/** What the duties need. */
export interface DutyParts {
  readonly hostId: HostId;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly shared: SharedStore;
  readonly duties: DutyClient;
  readonly registry: HostRegistry;
  readonly monitor: DependencyMonitor;
  readonly reads: SharedReads;
  readonly leaseTimes: LeaseTimes;
  readonly usageWindowMs: number;
  readonly capacity: CapacityKeeper;
  readonly stages: StageKeeper;
  /** Called with the full records after a direct read. */
  onRecords(records: readonly HostRecord[]): void;
  /** Called when the registry has changed. */
  onHosts(): void;
  isStopping(): boolean;
}

/** Reads the records of hosts and keeps the lease and, while it is held, the duties. */
export class FleetDuties {
  readonly lease: LeaseView = createLeaseView();
  lastReadMs = -Infinity;
  private readonly reported = new Set<number>();
  private readonly firstWindow: number;
  private wasHolder = false;

  constructor(private readonly parts: DutyParts) {
    const {clock, usageWindowMs} = parts;
    this.firstWindow = windowIndexAt(clock.now().getTime(), usageWindowMs) - 1;
  }

  /** Runs until cancelled. */
  *run(): Procedure<void> {
    for (;;) {
      const startMs = this.parts.clock.nowMs();
      yield* this.step();
      const elapsedMs = this.parts.clock.nowMs() - startMs;
      yield* sleep(Math.max(BEAT_MS / 4, BEAT_MS - elapsedMs));
    }
  }

  /** Fencing token while this host may act for the fleet. */
  currentTerm(): number | undefined {
    return heldTerm(this.lease, this.parts.leaseTimes, readInstant(this.parts.clock));
  }

  private *step(): Procedure<void> {
    const {parts} = this;
    if (!this.mustReadDirectly() && (yield* this.readShared())) return;
    const sentAt = readInstant(parts.clock);
    const answer = yield* call(() => parts.shared.read());
    if (answer.err) {
      parts.monitor.note(answer.val);
      parts.registry.hasFailedRead = true;
      this.noteHolder();
      return;
    }
    parts.monitor.note(undefined);
    const state = answer.val;
    const readAt = readInstant(parts.clock);
    this.lastReadMs = readAt.monotonicMs;
    updateHosts(parts.registry, state.hosts, readAt);
    parts.onRecords(state.hosts);
    const hosts = readyHosts(parts.registry, this.lastReadMs);
    parts.reads.publish('hosts', state.hosts.map(shortenRecord), sentAt);
    parts.reads.publish('beats', state.hosts.map(takeBeat), sentAt);
    parts.onHosts();
    const now = readInstant(parts.clock);
    observeLease(this.lease, state.lease?.record, state.lease?.revision ?? 0, now);
    if (this.isCandidate()) yield* this.keepLease();
    this.noteHolder();
    if (this.currentTerm() === undefined) return;
    yield* this.reportUsage(state);
    yield* parts.capacity.step(hosts, () => this.currentTerm());
    yield* parts.stages.step(() => this.currentTerm());
  }

  /** Readers watch the lease and the holder acts on the full records. */
  private mustReadDirectly(): boolean {
    return this.parts.reads.isReader || this.lease.record?.holder === this.parts.hostId;
  }

  /** Reads the records from this host's reader; false if that isn't possible. */
  private *readShared(): Procedure<boolean> {
    const {parts} = this;
    const records = yield* parts.reads.fetch<readonly HostRecord[]>('hosts');
    const beats = records && (yield* parts.reads.fetch<readonly HostBeat[]>('beats'));
    if (!beats) return false;
    const asOfMs = beats.asOf.monotonicMs;
    // Two reads of one reader are as far apart as its own; the way here adds nothing to a silence.
    if (asOfMs > this.lastReadMs) {
      this.lastReadMs = asOfMs;
      updateHosts(parts.registry, joinBeats(records.value, beats.value), beats.asOf);
      parts.onHosts();
    }
    this.noteHolder();
    return true;
  }

  /**
   * The readers compete, one in each failure domain: they read the record anyway, and the loss of
   * a domain leaves others that have watched it. A holder goes on in any case.
   */
  private isCandidate(): boolean {
    const {parts, lease} = this;
    if (parts.isStopping()) return false;
    return lease.record?.holder === parts.hostId || parts.reads.isReader;
  }

  private *keepLease(): Procedure<void> {
    const {parts, lease} = this;
    const sentAt = readInstant(parts.clock);
    const step = decideLease(lease, parts, parts.leaseTimes, sentAt);
    if (step.type === 'wait') return;
    const answer = yield* call(() => parts.shared.writeLease(step.record, lease.revision));
    // A lost answer is settled by the next read: the record names its holder's incarnation.
    if (answer.ok) acceptLease(lease, step.record, answer.val, sentAt);
  }

  private noteHolder(): void {
    const term = this.currentTerm();
    const isHolder = term !== undefined;
    if (isHolder === this.wasHolder) return;
    this.wasHolder = isHolder;
    this.parts.log.write(isHolder ? 'leaseAcquired' : 'leaseLost', {
      term: this.lease.record?.term,
      holder: this.lease.record?.holder,
    });
  }

  private *reportUsage(state: SharedState): Procedure<void> {
    const {parts} = this;
    const wallMs = parts.clock.now().getTime();
    const lastIndex = windowIndexAt(wallMs - FREEZE_DELAY_MS, parts.usageWindowMs) - 1;
    const firstIndex = Math.max(this.firstWindow, lastIndex - OPEN_WINDOWS + 1);
    for (let index = firstIndex; index <= lastIndex; index++) {
      if (this.reported.has(index)) continue;
      const frozen = state.frozen.get(index) ?? (yield* this.freeze(state, index));
      if (frozen) yield* this.send(frozen);
    }
    for (const index of state.frozen.keys()) {
      if (index > lastIndex - KEPT_WINDOWS) continue;
      yield* call(() => parts.shared.removeWindow(index)); // A failed removal is tried again.
    }
  }

  private *freeze(state: SharedState, windowIndex: number): Procedure<FrozenWindow | undefined> {
    const {parts} = this;
    const counts = sumWindow(
      state.hosts.map(host => host.usage),
      windowIndex,
    );
    const window = {windowIndex, counts};
    const answer = yield* call(() => parts.shared.freezeWindow(window));
    if (answer.err) return undefined; // The next read shows what stands, also after a lost answer.
    parts.log.write('usageFrozen', {windowIndex, counts});
    return window;
  }

  private *send(window: FrozenWindow): Procedure<void> {
    const {parts} = this;
    const term = this.currentTerm();
    if (term === undefined) return;
    const {windowIndex, counts} = window;
    const answer = yield* call(() =>
      parts.duties.reportUsage(windowIndex, counts, parts.hostId, term),
    );
    if (answer !== 'accepted') {
      parts.log.write('usageReportFailed', {windowIndex, term, answer});
      return;
    }
    this.reported.add(windowIndex);
    parts.log.write('usageReported', {windowIndex, term});
  }
}
