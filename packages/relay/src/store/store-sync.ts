import {Clock, EventLog, HostId, Procedure, sleep, toId} from '@radishgw/core';
import {ObjectStore, PlatformAnswer, PlatformError} from '@radishgw/coordination';
import {confirmConfig, ConfigView} from './config-view.js';
import {HostRecord, selectNewestRecords} from './host-registry.js';
import {LeaseRecord} from './lease.js';
import {EvacuationList, RelayConfig, TargetList, WindowCounts} from '../model.js';
import {ReadIntervals} from './read-intervals.js';
import {RejectedEntries} from './rejected-entries.js';
import {decodeHostObject, decodeLease, decodeWindow} from './state-schemas.js';
import {CrashEvidence, parseEvidence} from '../quarantine/quarantine.js';
import {DatedValue, SharedReads} from './shared-reads.js';
import {createKnownEntries, keepUnreadable} from './unreadable-entries.js';

/** Reads the objects that other processes write to the store. All reads are linearizable. */
export interface FleetSource {
  readConfig(): PlatformAnswer<RelayConfig>;
  /** Returns the entries that can be decoded. */
  readTargets(): PlatformAnswer<TargetList>;
  /** Returns all evacuations; one counts by its name, whatever its entry contains. */
  readEvacuations(): PlatformAnswer<EvacuationList>;
  /** Number of entries that can't be decoded. */
  readonly rejectedCount: number;
}

/** Delay after a failed read; short, so that the end of an outage is detected soon. */
const RETRY_DELAY_MS = 200;

/**
 * Whether an error indicates an outage. A rejected or malformed answer doesn't; the next read may
 * be well-formed.
 */
const isUnavailable = (error: PlatformError) =>
  error.kind === 'unavailable' || error.kind === 'outcomeUnknown';

/** Logs when calls to a dependency start to fail and when they succeed again. */
export class DependencyMonitor {
  private lostAtMs: number | undefined;

  constructor(
    private readonly name: string,
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {}

  /** Records the outcome of a call; `error` is undefined if it succeeded. */
  recordOutcome(error: PlatformError | undefined): void {
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

/** Dependencies of the read loops. */
export interface SyncDependencies {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly source: FleetSource;
  readonly reads: SharedReads;
  readonly configView: ConfigView;
  readonly monitor: DependencyMonitor;
  readonly intervals: ReadIntervals;
  onConfig(config: RelayConfig): void;
  /**
   * `asOfMs` is the monotonic time at which the list was current in the store; `isShared` says
   * whether another host read it.
   */
  onTargets(list: TargetList, asOfMs: number, isShared: boolean): void;
  onEvacuations(list: EvacuationList): void;
  /** Called when the list of targets could not be read. */
  onTargetsUnavailable(): void;
}

/** Ignores shared reads, as they don't show that this host itself can reach the store. */
function recordReadSuccess(deps: SyncDependencies, read: DatedValue<unknown>): void {
  if (!read.isShared) deps.monitor.recordOutcome(undefined);
}

function intervalAfter({intervals}: SyncDependencies, read: DatedValue<unknown>): number {
  return read.isShared ? intervals.sharedMs : intervals.directMs;
}

/** Polls the configuration until cancelled. */
export function* syncConfig(deps: SyncDependencies): Procedure<void> {
  for (;;) {
    const answer = yield* deps.reads.read('config', () => deps.source.readConfig());
    if (answer.ok) {
      recordReadSuccess(deps, answer.val);
      const {value, asOf, era, isShared} = answer.val;
      const {awaitsRewrite} = deps.configView;
      if (confirmConfig(deps.configView, value, asOf, era)) {
        deps.log.write('configApplied', {version: value.version, isShared});
        deps.onConfig(value);
      } else if (deps.configView.awaitsRewrite && !awaitsRewrite) {
        const {version: known} = deps.configView.config!;
        deps.log.write('configLost', {version: value.version, known, era, isShared});
      }
      yield* sleep(intervalAfter(deps, answer.val));
      continue;
    }
    if (isUnavailable(answer.val)) deps.monitor.recordOutcome(answer.val);
    else deps.log.write('configRejected', {cause: answer.val});
    yield* sleep(RETRY_DELAY_MS);
  }
}

/** Polls the list of targets until cancelled. */
export function* syncTargets(deps: SyncDependencies): Procedure<void> {
  const known = createKnownEntries();
  const readTargets = async () => {
    const answer = await deps.source.readTargets();
    return answer.map(list => keepUnreadable(known, list, deps.clock.nowMs()));
  };
  for (;;) {
    const answer = yield* deps.reads.read('targets', readTargets);
    if (answer.ok) {
      recordReadSuccess(deps, answer.val);
      const {value, asOf, isShared} = answer.val;
      deps.onTargets(value, asOf.monotonicMs, isShared);
      yield* sleep(intervalAfter(deps, answer.val));
      continue;
    }
    deps.monitor.recordOutcome(answer.val);
    deps.onTargetsUnavailable();
    yield* sleep(RETRY_DELAY_MS);
  }
}

/** Polls the evacuations until cancelled; what is known stays in force while they can't be read. */
export function* syncEvacuations(deps: SyncDependencies): Procedure<void> {
  for (;;) {
    const answer = yield* deps.reads.read('evacuations', () => deps.source.readEvacuations());
    if (answer.ok) {
      recordReadSuccess(deps, answer.val);
      deps.onEvacuations(answer.val.value);
      yield* sleep(intervalAfter(deps, answer.val));
      continue;
    }
    deps.monitor.recordOutcome(answer.val);
    yield* sleep(RETRY_DELAY_MS);
  }
}

/** A usage window whose counts are final, so that all reports of it are the same. */
export interface FrozenWindow {
  readonly windowIndex: number;
  readonly counts: WindowCounts;
}

/** Object that a host writes to the store. */
export interface HostObject {
  readonly record: HostRecord;
  /** Records of the other hosts of its failure domain that it writes for. */
  readonly members: readonly HostRecord[];
}

/** Contents of the objects that the hosts write to the store. */
export interface SharedState {
  /** Era of the store at which they were read. */
  readonly era: number;
  /** The newest record of each host. */
  readonly hosts: readonly HostRecord[];
  /** `record` is undefined if the object can't be used. */
  readonly lease: {readonly record: LeaseRecord | undefined; readonly revision: number} | undefined;
  readonly frozen: ReadonlyMap<number, FrozenWindow>;
  /** Evidence on crashes of engines, by the host that has written it. */
  readonly evidence: ReadonlyMap<HostId, CrashEvidence>;
}

const STATE_PREFIX = 'radishgw/';
const HOST_PREFIX = `${STATE_PREFIX}host.`;
const LEASE_KEY = `${STATE_PREFIX}lease`;
const WINDOW_PREFIX = `${STATE_PREFIX}window.`;
const CRASHES_PREFIX = `${STATE_PREFIX}crashes.`;

/** Reads and writes the hosts' objects in the store. */
export class SharedStore {
  private readonly rejected: RejectedEntries;

  constructor(
    private readonly store: ObjectStore,
    log: EventLog,
  ) {
    this.rejected = new RejectedEntries(log);
  }

  /** Number of objects that can't be used. */
  get rejectedCount(): number {
    return this.rejected.count;
  }

  async read(): PlatformAnswer<SharedState> {
    const answer = await this.store.list(STATE_PREFIX);
    return answer.map(({objects, era = 0, unreadable = []}) => {
      const hosts: HostRecord[] = [];
      const frozen = new Map<number, FrozenWindow>();
      const evidence = new Map<HostId, CrashEvidence>();
      let lease: SharedState['lease'];
      const broken = unreadable.find(({key}) => key === LEASE_KEY);
      if (broken) lease = {record: undefined, revision: broken.revision};
      for (const {key, revision, value} of objects) {
        try {
          const record: unknown = JSON.parse(value);
          if (key === LEASE_KEY) {
            lease = {record: undefined, revision};
            lease = {record: decodeLease(record), revision};
          } else if (key.startsWith(HOST_PREFIX)) {
            const {records, rejectedCount} = decodeHostObject(record);
            hosts.push(...records);
            if (rejectedCount > 0) throw new TypeError(`${rejectedCount} records can't be used`);
          } else if (key.startsWith(WINDOW_PREFIX)) {
            const window = decodeWindow(record);
            frozen.set(window.windowIndex, window);
          } else if (key.startsWith(CRASHES_PREFIX)) {
            const hostId = toId<HostId>(key.slice(CRASHES_PREFIX.length));
            evidence.set(hostId, parseEvidence(record));
          }
          this.rejected.accept(key);
        } catch (error) {
          this.rejected.reject(key, summarize(error));
        }
      }
      return {era, hosts: selectNewestRecords(hosts), lease, frozen, evidence};
    });
  }

  writeHost(object: HostObject): PlatformAnswer<number> {
    return this.store.put(HOST_PREFIX + object.record.hostId, JSON.stringify(object));
  }

  writeLease(record: LeaseRecord, ifRevision: number): PlatformAnswer<number> {
    return this.store.put(LEASE_KEY, JSON.stringify(record), {ifRevision});
  }

  /** Stores the final counts of a window; fails with a conflict if they are already stored. */
  freezeWindow(window: FrozenWindow): PlatformAnswer<number> {
    const key = WINDOW_PREFIX + window.windowIndex;
    return this.store.put(key, JSON.stringify(window), {ifRevision: 0});
  }

  writeEvidence(hostId: HostId, evidence: CrashEvidence): PlatformAnswer<number> {
    return this.store.put(CRASHES_PREFIX + hostId, JSON.stringify(evidence));
  }

  removeEvidence(hostId: HostId): PlatformAnswer<number> {
    return this.store.remove(CRASHES_PREFIX + hostId);
  }

  removeWindow(windowIndex: number): PlatformAnswer<number> {
    return this.store.remove(WINDOW_PREFIX + windowIndex);
  }
}

/** Maximum length of the reason for which an object can't be used, in the log. */
const MAX_CAUSE_LENGTH = 200;

function summarize(error: unknown): string {
  return String(error).replace(/\s+/g, ' ').slice(0, MAX_CAUSE_LENGTH);
}
