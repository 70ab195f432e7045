import {call, Clock, EventLog, HostId, Procedure, sleep} from '@radishgw/core';
import {Instant, maxElapsedMs, readInstant} from '../instant.js';
import {HEARTBEAT_INTERVAL_MS, compareRecords, HostRecord} from './host-registry.js';
import {PeerClient} from './peer-client.js';
import {DependencyMonitor, SharedStore} from './store-sync.js';

/** Path at which a reader accepts the records of other hosts. */
export const RECORD_PATH = '/record';

/**
 * Write interval of a host that writes for others: half of the interval at which they send their
 * records.
 */
const FORWARDED_WRITE_INTERVAL_MS = HEARTBEAT_INTERVAL_MS / 2;

/** Interval at which a started host checks whether its previous record has been read. */
const INITIALIZATION_POLL_MS = 50;

/**
 * Timeout of forwarding a record. A reader in the same failure domain answers within a few ms, or
 * within 400 ms if it is a small, busy host.
 */
const FORWARD_TIMEOUT_MS = 400;

/** Time after a failure to forward during which records are written directly. */
const FORWARD_BACKOFF_MS = 1000;

/**
 * A host whose newest stored record is older than this writes directly: the reader may be
 * disconnected from the store, and the host is considered lost after three missed records.
 */
const MAX_STORED_AGE_MS = 1800;

/**
 * Time after which a reader stops writing the record of a host that has sent it no newer one: the
 * host writes its own records or is lost.
 */
const MEMBER_TTL_MS = 2500;

/** Maximum number of tracked records that aren't yet known to be stored. */
const MAX_PENDING = 16;

/** Answer to a host that forwarded its record. */
export interface RecordReceipt {
  /** Beat of the newest record of this incarnation that the reader has stored; 0 if none. */
  readonly storedBeat: number;
}

/** Start of an incarnation of a host; see {@link HostRecord}. */
export type HostStart = Pick<HostRecord, 'era' | 'generation'>;

interface Member {
  record: HostRecord;
  receivedMs: number;
  storedBeat: number;
}

/** Dependencies of {@link RecordWriter}. */
export interface RecordWriterDependencies {
  readonly hostId: HostId;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly peers: PeerClient;
  readonly shared: Pick<SharedStore, 'writeHost'>;
  readonly monitor: DependencyMonitor;
  /** The host that reads and writes for this host; undefined if none is known. */
  findReader(): HostRecord | undefined;
  makeRecord(start: HostStart, beat: number): HostRecord;
  /** Called when a record that was created at `madeAt` is known to be stored. */
  onStored(madeAt: Instant): void;
  isStopping(): boolean;
}

/**
 * Writes this host's record. The reader of a failure domain writes the records of the domain's
 * hosts along with its own, so that the number of writes grows with the number of domains instead
 * of hosts. A host whose reader doesn't store its record in time writes directly.
 */
export class RecordWriter {
  private start: HostStart | undefined;
  private beat = 0;
  private readonly members = new Map<HostId, Member>();
  /** Creation times of the records that aren't yet known to be stored, by beat. */
  private readonly pending = new Map<number, Instant>();
  private storedAt: Instant | undefined;
  private retryAtMs = -Infinity;

  constructor(private readonly deps: RecordWriterDependencies) {}

  /**
   * Sets the generation from the newest record of this host's earlier incarnations, undefined if
   * there is none, as it was read in an era of the store. Nothing is written before this call.
   */
  initialize(earlier: HostRecord | undefined, era = 0): void {
    this.start ??= {...(era > 0 && {era}), generation: (earlier?.generation ?? 0) + 1};
  }

  get isInitialized(): boolean {
    return this.start !== undefined;
  }

  /** Writes until cancelled. */
  *run(): Procedure<void> {
    const {clock} = this.deps;
    for (;;) {
      const startMs = clock.nowMs();
      yield* this.write();
      const intervalMs = this.intervalMs();
      yield* sleep(Math.max(intervalMs / 4, intervalMs - (clock.nowMs() - startMs)));
    }
  }

  private intervalMs(): number {
    if (!this.isInitialized) return INITIALIZATION_POLL_MS;
    return this.members.size > 0 ? FORWARDED_WRITE_INTERVAL_MS : HEARTBEAT_INTERVAL_MS;
  }

  /** Forwards this host's record to the reader or, if that isn't possible, writes it directly. */
  *write(): Procedure<void> {
    const record = this.makeRecord();
    if (!record) return;
    const {clock, hostId} = this.deps;
    const reader = this.deps.findReader();
    const canForward = reader && reader.hostId !== hostId && clock.nowMs() >= this.retryAtMs;
    if (canForward && (yield* this.forward(reader, record))) return;
    yield* this.writeDirectly(record);
  }

  /** Writes this host's record directly. */
  *writeNow(): Procedure<void> {
    const record = this.makeRecord();
    if (record) yield* this.writeDirectly(record);
  }

  /** Accepts a record of another host; undefined if this host doesn't write for others. */
  accept(record: HostRecord): RecordReceipt | undefined {
    const {clock, hostId, findReader, isStopping} = this.deps;
    if (!this.isInitialized || isStopping() || findReader()?.hostId !== hostId) return undefined;
    const known = this.members.get(record.hostId);
    if (!known || compareRecords(record, known.record) > 0) {
      const isSame = known?.record.incarnation === record.incarnation;
      const storedBeat = isSame ? known.storedBeat : 0;
      this.members.set(record.hostId, {record, receivedMs: clock.nowMs(), storedBeat});
    }
    return {storedBeat: this.members.get(record.hostId)!.storedBeat};
  }

  private makeRecord(): HostRecord | undefined {
    if (!this.start) return undefined;
    this.beat++;
    this.pending.set(this.beat, readInstant(this.deps.clock));
    for (const beat of this.pending.keys()) {
      if (this.pending.size <= MAX_PENDING) break;
      this.pending.delete(beat);
    }
    return this.deps.makeRecord(this.start, this.beat);
  }

  /** Forwards a record to the reader; false if it must be written directly. */
  private *forward(reader: HostRecord, record: HostRecord): Procedure<boolean> {
    const {clock, log, peers} = this.deps;
    try {
      const receipt = yield* call(() =>
        peers.ask<RecordReceipt>(reader.peerAddress, RECORD_PATH, record, FORWARD_TIMEOUT_MS),
      );
      this.confirmStored(receipt.storedBeat);
    } catch (error) {
      this.retryAtMs = clock.nowMs() + FORWARD_BACKOFF_MS;
      log.write('recordNotRelayed', {
        reader: reader.hostId,
        beat: record.beat,
        cause: String(error),
      });
      return false;
    }
    const ageMs = this.storedAt ? maxElapsedMs(this.storedAt, readInstant(clock)) : Infinity;
    if (ageMs <= MAX_STORED_AGE_MS) return true;
    const cause = `the newest stored record is ${Math.round(ageMs)} ms old`;
    log.write('recordNotRelayed', {reader: reader.hostId, beat: record.beat, cause});
    return false;
  }

  private *writeDirectly(record: HostRecord): Procedure<void> {
    const {clock, shared, monitor} = this.deps;
    for (const [hostId, {receivedMs}] of this.members) {
      if (clock.nowMs() - receivedMs > MEMBER_TTL_MS) this.members.delete(hostId);
    }
    const members = [...this.members.values()].map(member => member.record);
    const answer = yield* call(() => shared.writeHost({record, members}));
    if (answer.err) {
      monitor.recordOutcome(answer.val);
      return;
    }
    this.confirmStored(record.beat);
    for (const stored of members) {
      const member = this.members.get(stored.hostId);
      if (member?.record.incarnation === stored.incarnation) member.storedBeat = stored.beat;
    }
  }

  private confirmStored(beat: number): void {
    const madeAt = this.pending.get(beat);
    for (const earlier of this.pending.keys()) if (earlier <= beat) this.pending.delete(earlier);
    if (!madeAt) return;
    if (this.storedAt && madeAt.monotonicMs < this.storedAt.monotonicMs) return;
    this.storedAt = madeAt;
    this.deps.onStored(madeAt);
  }
}
