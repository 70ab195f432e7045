import {StoreEra} from '@radishgw/coordination';
import {call, Clock, EventLog, HostId, Procedure, sleep} from '@radishgw/core';
import {CapacityController} from './capacity-controller.js';
import {Instant, readInstant} from '../instant.js';
import {
  HEARTBEAT_INTERVAL_MS,
  HostHeartbeat,
  HostRecord,
  HostRegistry,
  mergeHeartbeats,
  readyHosts,
  omitVolatileFields,
  toHeartbeat,
  updateHosts,
} from '../store/host-registry.js';
import {
  acceptLease,
  createLeaseView,
  decideLease,
  heldToken,
  LeaseTimes,
  LeaseView,
  observeLease,
} from '../store/lease.js';
import {DutyClient, WorkReport} from '../model.js';
import {CrashEvidence} from '../quarantine/quarantine.js';
import {hasExpired} from '../quarantine/quarantine-service.js';
import {SharedHosts} from '../store/shared-kinds.js';
import {SharedReads} from '../store/shared-reads.js';
import {StageController} from './stage-controller.js';
import {DependencyMonitor, FrozenWindow, SharedState, SharedStore} from '../store/store-sync.js';
import {sumWindow, windowIndexAt} from './usage-ledger.js';
import {
  createUsageMemory,
  FREEZE_DELAY_MS,
  listUsageRecords,
  mayFreeze,
  rememberUsage,
  RETAINED_WINDOWS,
} from './usage-memory.js';

/** Number of latest complete windows that are still reported. */
const REPORTABLE_WINDOWS = 3;

/** Dependencies of {@link FleetDuties}. */
export interface FleetDutiesDependencies {
  readonly hostId: HostId;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly shared: SharedStore;
  readonly duties: DutyClient;
  readonly registry: HostRegistry;
  readonly monitor: DependencyMonitor;
  readonly reads: SharedReads;
  /** Eras of the store. */
  readonly era: StoreEra;
  readonly leaseTimes: LeaseTimes;
  readonly usageWindowMs: number;
  readonly capacity: CapacityController;
  readonly stages: StageController;
  /** Called with the complete records after a direct read in an era of the store. */
  onRecords(records: readonly HostRecord[], era: number): void;
  /** Called with the records without what changes often, after a read that another host made. */
  onSharedRecords(records: readonly HostRecord[]): void;
  /** Sum of what the hosts have observed of targets, for the hosts that this one reads for. */
  summarizeWork?(): WorkReport | undefined;
  /** Called with the evidence on crashes of engines, by host, after each read. */
  onEvidence(evidence: ReadonlyMap<HostId, CrashEvidence>): void;
  /** Called with the records that have been renewed when the registry has been updated. */
  onRenewedRecords(records: readonly HostRecord[]): void;
  /** Time of day in milliseconds since the Unix epoch, as the hosts agree on it. */
  fleetNowMs(): number;
  /** Called when the registry has changed. */
  onHosts(): void;
  isStopping(): boolean;
}

/**
 * Reads the records of the hosts and maintains the fleet lease. While this host holds the lease, it
 * reports usage and orders targets and stages.
 */
export class FleetDuties {
  readonly lease: LeaseView = createLeaseView();
  lastReadMs = -Infinity;
  private readonly reported = new Set<number>();
  /** What the store may have lost of what this host has read. */
  private readonly memory = createUsageMemory();
  private readonly firstWindow: number;
  private wasHolder = false;

  constructor(private readonly deps: FleetDutiesDependencies) {
    this.firstWindow = windowIndexAt(deps.fleetNowMs(), deps.usageWindowMs) - 1;
  }

  /** Runs until cancelled. */
  *run(): Procedure<void> {
    for (;;) {
      const startMs = this.deps.clock.nowMs();
      yield* this.step();
      const elapsedMs = this.deps.clock.nowMs() - startMs;
      yield* sleep(Math.max(HEARTBEAT_INTERVAL_MS / 4, HEARTBEAT_INTERVAL_MS - elapsedMs));
    }
  }

  /** Returns the fencing token while this host may act for the fleet, otherwise undefined. */
  currentTerm(): number | undefined {
    return heldToken(this.lease, this.deps.leaseTimes, readInstant(this.deps.clock));
  }

  private *step(): Procedure<void> {
    const {deps} = this;
    if (!this.mustReadDirectly() && (yield* this.readShared())) return;
    const sentAt = readInstant(deps.clock);
    const answer = yield* call(() => deps.shared.read());
    if (answer.err) {
      deps.monitor.recordOutcome(answer.val);
      deps.registry.hasFailedRead = true;
      this.logHolderChange();
      return;
    }
    deps.monitor.recordOutcome(undefined);
    const state = answer.val;
    const readAt = this.readFleetInstant();
    this.lastReadMs = readAt.monotonicMs;
    deps.onRenewedRecords(updateHosts(deps.registry, state.hosts, readAt, state.era));
    deps.onRecords(state.hosts, state.era);
    const hosts = readyHosts(deps.registry, this.lastReadMs);
    deps.onEvidence(state.evidence);
    const work = deps.summarizeWork?.();
    const records = state.hosts.map(record => ({
      ...omitVolatileFields(record),
      ...(work && record.hostId === deps.hostId && {work}),
    }));
    deps.reads.publish('hosts', {records, evidence: state.evidence}, sentAt, state.era);
    deps.reads.publish('beats', state.hosts.map(toHeartbeat), sentAt, state.era);
    deps.onHosts();
    const now = readInstant(deps.clock);
    const {record, revision = 0} = state.lease ?? {};
    observeLease(this.lease, record, revision, now, state.era);
    // A host that has started in an earlier era shows that the store came back from a copy.
    this.lease.mayLackRecord ||= state.hosts.some(({era = 0}) => era < state.era);
    const lost = rememberUsage(this.memory, state, now);
    if (this.isCandidate()) yield* this.maintainLease();
    for (const window of lost.slice(-REPORTABLE_WINDOWS)) yield* this.restoreWindow(window);
    this.logHolderChange();
    if (this.currentTerm() === undefined) return;
    yield* this.reportUsage(state);
    yield* this.removeExpiredEvidence(state);
    yield* deps.capacity.step(hosts, () => this.currentTerm());
    yield* deps.stages.step(() => this.currentTerm());
  }

  /**
   * Whether this host reads the records from the store: readers watch the lease, and its holder
   * needs the complete records.
   */
  private mustReadDirectly(): boolean {
    return this.deps.reads.isReader || this.lease.record?.holder === this.deps.hostId;
  }

  /** The current time with the time of day on which the hosts agree. */
  private readFleetInstant(): Instant {
    return {monotonicMs: this.deps.clock.nowMs(), wallMs: this.deps.fleetNowMs()};
  }

  /** Fetches the records from this host's reader; false if that isn't possible. */
  private *readShared(): Procedure<boolean> {
    const {deps} = this;
    const hosts = yield* deps.reads.fetch<SharedHosts>('hosts');
    const heartbeats = hosts && (yield* deps.reads.fetch<readonly HostHeartbeat[]>('beats'));
    if (!heartbeats) return false;
    deps.onEvidence(hosts.value.evidence);
    deps.onSharedRecords(hosts.value.records);
    const asOfMs = heartbeats.asOf.monotonicMs;
    // Records are dated by the reader's own read, so that the fetch doesn't add to their age.
    if (asOfMs > this.lastReadMs) {
      this.lastReadMs = asOfMs;
      const {monotonicMs, wallMs} = this.readFleetInstant();
      const asOf = {monotonicMs: asOfMs, wallMs: wallMs - (monotonicMs - asOfMs)};
      const records = mergeHeartbeats(hosts.value.records, heartbeats.value);
      const renewed = updateHosts(deps.registry, records, asOf, heartbeats.era);
      deps.onRenewedRecords(renewed);
      deps.onHosts();
    }
    this.logHolderChange();
    return true;
  }

  /**
   * Whether this host competes for the lease. The reader of each failure domain does: readers read
   * the lease record anyway, and if a domain is lost the other readers have watched the record. The
   * current holder continues even if it is no longer a reader. A stopping host doesn't compete.
   */
  private isCandidate(): boolean {
    const {deps, lease} = this;
    if (deps.isStopping()) return false;
    return lease.record?.holder === deps.hostId || deps.reads.isReader;
  }

  private *maintainLease(): Procedure<void> {
    const {deps, lease} = this;
    const sentAt = readInstant(deps.clock);
    const step = decideLease(lease, deps, deps.leaseTimes, sentAt);
    if (step.type === 'wait') return;
    const answer = yield* call(() => deps.shared.writeLease(step.record, lease.revision));
    // If the answer is lost, the next read shows whether the write succeeded, because the record
    // names its holder's incarnation.
    if (answer.ok) acceptLease(lease, step.record, answer.val, sentAt, deps.era.current);
  }

  private logHolderChange(): void {
    const term = this.currentTerm();
    const isHolder = term !== undefined;
    if (isHolder === this.wasHolder) return;
    this.wasHolder = isHolder;
    this.deps.log.write(isHolder ? 'leaseAcquired' : 'leaseLost', {
      era: this.lease.record?.era,
      term: this.lease.record?.term,
      holder: this.lease.record?.holder,
    });
  }

  private *reportUsage(state: SharedState): Procedure<void> {
    const {deps} = this;
    const lastIndex = windowIndexAt(deps.fleetNowMs() - FREEZE_DELAY_MS, deps.usageWindowMs) - 1;
    const firstIndex = Math.max(this.firstWindow, lastIndex - REPORTABLE_WINDOWS + 1);
    for (let index = firstIndex; index <= lastIndex; index++) {
      if (this.reported.has(index)) continue;
      const known = state.frozen.get(index) ?? this.memory.frozen.get(index);
      const frozen = known ?? (yield* this.freeze(index));
      if (frozen) yield* this.reportWindow(frozen);
    }
    for (const index of state.frozen.keys()) {
      if (index > lastIndex - RETAINED_WINDOWS) continue;
      yield* call(() => deps.shared.removeWindow(index)); // Failed removals are retried.
    }
  }

  private *removeExpiredEvidence({evidence}: SharedState): Procedure<void> {
    const {fleetNowMs, shared} = this.deps;
    const nowMs = fleetNowMs();
    for (const [hostId, entry] of evidence) {
      if (hasExpired(entry, nowMs)) yield* call(() => shared.removeEvidence(hostId));
    }
  }

  private *freeze(windowIndex: number): Procedure<FrozenWindow | undefined> {
    const {deps, memory} = this;
    if (!mayFreeze(memory, readInstant(deps.clock))) return undefined;
    const records = listUsageRecords(memory);
    const counts = sumWindow(
      records.map(record => record.usage),
      windowIndex,
    );
    const window = {windowIndex, counts};
    const answer = yield* call(() => deps.shared.freezeWindow(window));
    if (answer.err) return undefined; // The next read shows the outcome, even of a lost answer.
    memory.frozen.set(windowIndex, window);
    deps.log.write('usageFrozen', {windowIndex, counts, records: records.length});
    return window;
  }

  /** Writes the counts of a window again that an older copy of the store lacks. */
  private *restoreWindow(window: FrozenWindow): Procedure<void> {
    const {deps} = this;
    const answer = yield* call(() => deps.shared.freezeWindow(window));
    // Another host may have written them first.
    const error = answer.err ? answer.val.kind : undefined;
    deps.log.write('usageRestored', {...window, error});
  }

  private *reportWindow(window: FrozenWindow): Procedure<void> {
    const {deps} = this;
    const term = this.currentTerm();
    if (term === undefined) return;
    const {windowIndex, counts} = window;
    const mayAct = () => this.currentTerm() === term;
    const answer = yield* call(() =>
      deps.duties.reportUsage(windowIndex, counts, deps.hostId, term, mayAct),
    );
    if (answer !== 'accepted') {
      deps.log.write('usageReportFailed', {windowIndex, term, answer});
      return;
    }
    this.reported.add(windowIndex);
    deps.log.write('usageReported', {windowIndex, term});
  }
}
