import {Clock, EventLog, Procedure, sleep} from '@radishgw/core';
import {ObjectStore, PlatformAnswer, PlatformError} from '@radishgw/coordination';
import {confirmConfig, ConfigView} from './config-view.js';
import {HostRecord, pickNewest} from './host-registry.js';
import {LeaseRecord} from './lease.js';
import {RelayConfig, TargetEntry, WindowCounts} from './model.js';
import {DatedValue, SharedReads} from './shared-reads.js';

/** Reads of what others write to the store. All reads are linearizable. */
export interface FleetSource {
  readConfig(): PlatformAnswer<RelayConfig>;
  /** The entries that can be understood. */
  readTargets(): PlatformAnswer<readonly TargetEntry[]>;
}

/** A change of configuration must be in force within 2 s and a target's leaving obeyed in 2 s. */
export const READ_INTERVAL_MS = 600;

/** Interval of questions to the host that reads for this one; they cost little. */
const SHARED_INTERVAL_MS = 300;

/** Pause after a failed call, so that an outage's end is noticed soon. */
const RETRY_MS = 200;

/** A rejected or malformed answer isn't an outage; the next read may be well formed. */
const isUnavailable = (error: PlatformError) =>
  error.kind === 'unavailable' || error.kind === 'outcomeUnknown';

/** Tells when calls to a dependency begin to fail and when they succeed again. */
export class DependencyMonitor {
  private lostAtMs: number | undefined;

  constructor(
    private readonly name: string,
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {}

  /** Notes the outcome of a call; `error` is undefined if it succeeded. */
  note(error: PlatformError | undefined): void {
    const nowMs = this.clock.nowMs();
    if (error && this.lostAtMs === undefined) {
      this.lostAtMs = nowMs;
      this.log.write('dependencyLost', {dependency: this.name, cause: error});
    } else if (!error && this.lostAtMs !== undefined) {
      const lostForMs = Math.round(nowMs - this.lostAtMs);
      this.lostAtMs = undefined;
      this.log.write('dependencyRegained', {dependency: this.name, lostForMs});
    }
  }
}

/** What the read loops need. */
export interface SyncParts {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly source: FleetSource;
  readonly reads: SharedReads;
  readonly configView: ConfigView;
  readonly monitor: DependencyMonitor;
  onConfig(config: RelayConfig): void;
  /** `asOfMs` is the monotonic time at which the store held the entries. */
  onTargets(entries: readonly TargetEntry[], asOfMs: number): void;
}

/** What another host has read says nothing of this host's way to the store. */
function noteSuccess(parts: SyncParts, read: DatedValue<unknown>): void {
  if (!read.isShared) parts.monitor.note(undefined);
}

function pauseAfter(read: DatedValue<unknown>): number {
  return read.isShared ? SHARED_INTERVAL_MS : READ_INTERVAL_MS;
}

/** Reads the configuration again and again. */
export function* syncConfig(parts: SyncParts): Procedure<void> {
  for (;;) {
    const answer = yield* parts.reads.read('config', () => parts.source.readConfig());
    if (answer.ok) {
      noteSuccess(parts, answer.val);
      const {value, asOf, isShared} = answer.val;
      if (confirmConfig(parts.configView, value, asOf)) {
        parts.log.write('configApplied', {version: value.version, isShared});
        parts.onConfig(value);
      }
      yield* sleep(pauseAfter(answer.val));
      continue;
    }
    if (isUnavailable(answer.val)) parts.monitor.note(answer.val);
    else parts.log.write('configRejected', {cause: answer.val});
    yield* sleep(RETRY_MS);
  }
}

/** Reads the list of targets again and again. */
export function* syncTargets(parts: SyncParts): Procedure<void> {
  for (;;) {
    const answer = yield* parts.reads.read('targets', () => parts.source.readTargets());
    if (answer.ok) {
      noteSuccess(parts, answer.val);
      parts.onTargets(answer.val.value, answer.val.asOf.monotonicMs);
      yield* sleep(pauseAfter(answer.val));
      continue;
    }
    parts.monitor.note(answer.val);
    yield* sleep(RETRY_MS);
  }
}

/** A window whose figures are fixed; every later report of it carries the same. */
export interface FrozenWindow {
  readonly windowIndex: number;
  readonly counts: WindowCounts;
}

/** What a host writes to the store. */
export interface HostObject {
  readonly record: HostRecord;
  /** Records of the hosts of its failure domain that it writes for. */
  readonly members: readonly HostRecord[];
}

/** The hosts' own objects in the store. */
export interface SharedState {
  /** The newest record of each host. */
  readonly hosts: readonly HostRecord[];
  readonly lease: {readonly record: LeaseRecord; readonly revision: number} | undefined;
  readonly frozen: ReadonlyMap<number, FrozenWindow>;
}

const STATE_PREFIX = 'radishgw/';
const HOST_PREFIX = `${STATE_PREFIX}host.`;
const LEASE_KEY = `${STATE_PREFIX}lease`;
const WINDOW_PREFIX = `${STATE_PREFIX}window.`;

/** Reads and writes the hosts' own objects. */
export class SharedStore {
  constructor(
    private readonly store: ObjectStore,
    private readonly log: EventLog,
  ) {}

  async read(): PlatformAnswer<SharedState> {
    const answer = await this.store.list(STATE_PREFIX);
    return answer.map(({objects}) => {
      const hosts: HostRecord[] = [];
      const frozen = new Map<number, FrozenWindow>();
      let lease: SharedState['lease'];
      for (const {key, revision, value} of objects) {
        try {
          const record: unknown = JSON.parse(value);
          if (key === LEASE_KEY) lease = {record: record as LeaseRecord, revision};
          else if (key.startsWith(HOST_PREFIX)) hosts.push(...listRecords(record as HostObject));
          else if (key.startsWith(WINDOW_PREFIX)) {
            const window = record as FrozenWindow;
            frozen.set(window.windowIndex, window);
          }
        } catch (error) {
          this.log.write('entryRejected', {key, cause: String(error)});
        }
      }
      return {hosts: pickNewest(hosts), lease, frozen};
    });
  }

  writeHost(object: HostObject): PlatformAnswer<number> {
    return this.store.put(HOST_PREFIX + object.record.hostId, JSON.stringify(object));
  }

  writeLease(record: LeaseRecord, ifRevision: number): PlatformAnswer<number> {
    return this.store.put(LEASE_KEY, JSON.stringify(record), {ifRevision});
  }

  /** Fixes a window's figures; fails with a conflict if they are fixed already. */
  freezeWindow(window: FrozenWindow): PlatformAnswer<number> {
    const key = WINDOW_PREFIX + window.windowIndex;
    return this.store.put(key, JSON.stringify(window), {ifRevision: 0});
  }

  removeWindow(windowIndex: number): PlatformAnswer<number> {
    return this.store.remove(WINDOW_PREFIX + windowIndex);
  }
}

function listRecords({record, members}: HostObject): HostRecord[] {
  return [record, ...members];
}
