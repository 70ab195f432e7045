import {call, Clock, EventLog, HostId, Procedure, sleep} from '@radishgw/core';
import {Instant, maxElapsedMs, readInstant} from './elapsed-clock.js';
import {BEAT_MS, compareAge, HostRecord} from './host-registry.js';
import {PeerClient} from './peer-client.js';
import {DependencyMonitor, SharedStore} from './store-sync.js';

/** Path between hosts at which a reader takes records that it is to write. */
export const RECORD_PATH = '/record';

/** A host that writes for others writes twice in the interval in which they send their records. */
const RELAY_INTERVAL_MS = BEAT_MS / 2;

/** How often a host that has just started looks whether its history was read. */
const BEGIN_POLL_MS = 50;

/** A reader in the same failure domain answers within some ms, a busy small one within 400. */
const RELAY_TIMEOUT_MS = 400;

/** After a failure the reader isn't asked for this long, and records are written directly. */
const RELAY_PAUSE_MS = 1000;

/**
 * A host whose newest record in the store is older writes directly: the reader may be cut off from
 * the store, and this host counts as lost after three missed records.
 */
const MAX_STORED_AGE_MS = 1800;

/** A host that has sent no record for this long writes for itself or is lost. */
const MEMBER_KEPT_MS = 2500;

/** Records whose fate in the store isn't known yet. */
const MAX_PENDING = 16;

/** Answer to a host whose record is to be written. */
export interface RecordReceipt {
  /** Newest record of this incarnation that the store has taken from this host; 0 if none. */
  readonly storedBeat: number;
}

interface Member {
  record: HostRecord;
  receivedMs: number;
  storedBeat: number;
}

/** What writing records needs. */
export interface RecordWriterParts {
  readonly hostId: HostId;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly peers: PeerClient;
  readonly shared: Pick<SharedStore, 'writeHost'>;
  readonly monitor: DependencyMonitor;
  /** The host that reads and writes for this one; undefined if none is known. */
  findReader(): HostRecord | undefined;
  makeRecord(generation: number, beat: number): HostRecord;
  /** Called when the store is known to hold a record that was made at `madeAt`. */
  onStored(madeAt: Instant): void;
  isStopping(): boolean;
}

/**
 * Writes this host's record. The reader of a failure domain writes the records of its hosts with its
 * own, so that the number of writes grows with the domains and not with the hosts. A host whose record
 * isn't stored in time by its reader writes directly.
 */
export class RecordWriter {
  private generation: number | undefined;
  private beat = 0;
  private readonly members = new Map<HostId, Member>();
  /** When the records were made whose fate isn't known. */
  private readonly pending = new Map<number, Instant>();
  private storedAt: Instant | undefined;
  private pausedUntilMs = -Infinity;

  constructor(private readonly parts: RecordWriterParts) {}

  /**
   * Takes in the newest record of this host's earlier incarnations; undefined if there is none.
   * Nothing is written before.
   */
  begin(earlier: HostRecord | undefined): void {
    this.generation ??= (earlier?.generation ?? 0) + 1;
  }

  get hasBegun(): boolean {
    return this.generation !== undefined;
  }

  /** Writes until cancelled. */
  *run(): Procedure<void> {
    const {clock} = this.parts;
    for (;;) {
      const startMs = clock.nowMs();
      yield* this.write();
      const intervalMs = this.intervalMs();
      yield* sleep(Math.max(intervalMs / 4, intervalMs - (clock.nowMs() - startMs)));
    }
  }

  private intervalMs(): number {
    if (!this.hasBegun) return BEGIN_POLL_MS;
    return this.members.size > 0 ? RELAY_INTERVAL_MS : BEAT_MS;
  }

  /** Has the reader write this host's record or, if that isn't possible, writes it. */
  *write(): Procedure<void> {
    const record = this.makeRecord();
    if (!record) return;
    const {clock, hostId} = this.parts;
    const reader = this.parts.findReader();
    const isRelayed = reader && reader.hostId !== hostId && clock.nowMs() >= this.pausedUntilMs;
    if (isRelayed && (yield* this.handOver(reader, record))) return;
    yield* this.writeDirectly(record);
  }

  /** Writes this host's record at once, without its reader. */
  *writeNow(): Procedure<void> {
    const record = this.makeRecord();
    if (record) yield* this.writeDirectly(record);
  }

  /** Takes a record of another host; undefined if this host doesn't write for others. */
  accept(record: HostRecord): RecordReceipt | undefined {
    const {clock, hostId, findReader, isStopping} = this.parts;
    if (!this.hasBegun || isStopping() || findReader()?.hostId !== hostId) return undefined;
    const known = this.members.get(record.hostId);
    if (!known || compareAge(record, known.record) > 0) {
      const isSame = known?.record.generation === record.generation;
      const storedBeat = isSame ? known.storedBeat : 0;
      this.members.set(record.hostId, {record, receivedMs: clock.nowMs(), storedBeat});
    }
    return {storedBeat: this.members.get(record.hostId)!.storedBeat};
  }

  private makeRecord(): HostRecord | undefined {
    if (this.generation === undefined) return undefined;
    this.beat++;
    this.pending.set(this.beat, readInstant(this.parts.clock));
    for (const beat of this.pending.keys()) {
      if (this.pending.size <= MAX_PENDING) break;
      this.pending.delete(beat);
    }
    return this.parts.makeRecord(this.generation, this.beat);
  }

  /** Sends a record to the reader; false if it must be written directly. */
  private *handOver(reader: HostRecord, record: HostRecord): Procedure<boolean> {
    const {clock, log, peers} = this.parts;
    try {
      const receipt = yield* call(() =>
        peers.ask<RecordReceipt>(reader.peerAddress, RECORD_PATH, record, RELAY_TIMEOUT_MS),
      );
      this.noteStored(receipt.storedBeat);
    } catch (error) {
      this.pausedUntilMs = clock.nowMs() + RELAY_PAUSE_MS;
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
    const {clock, shared, monitor} = this.parts;
    for (const [hostId, {receivedMs}] of this.members) {
      if (clock.nowMs() - receivedMs > MEMBER_KEPT_MS) this.members.delete(hostId);
    }
    const members = [...this.members.values()].map(member => member.record);
    const answer = yield* call(() => shared.writeHost({record, members}));
    if (answer.err) {
      monitor.note(answer.val);
      return;
    }
    this.noteStored(record.beat);
    for (const stored of members) {
      const member = this.members.get(stored.hostId);
      if (member?.record.generation === stored.generation) member.storedBeat = stored.beat;
    }
  }

  private noteStored(beat: number): void {
    const madeAt = this.pending.get(beat);
    for (const earlier of this.pending.keys()) if (earlier <= beat) this.pending.delete(earlier);
    if (!madeAt) return;
    if (this.storedAt && madeAt.monotonicMs < this.storedAt.monotonicMs) return;
    this.storedAt = madeAt;
    this.parts.onStored(madeAt);
  }
}
