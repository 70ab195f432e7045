import {Clock, Err, HostId, Ok, Result} from '@radishgw/core';
import {
  ListedHost,
  ObjectList,
  PlatformError,
  PlatformEvent,
  PlatformObject,
  Revision,
  TargetOrder,
  UpdateCondition,
  UsageReport,
  WatchResult,
} from '../platform.js';

/** Largest size of an object's value, as the platform specifies it. */
export const MAX_VALUE_BYTES = 1_000_000;

const DEFAULT_RETENTION_MS = 120_000;

interface Version extends PlatformEvent {
  readonly atMs: number;
}

/** A target order or usage report as the platform received it. */
export interface Received<T> {
  readonly atMs: number;
  /** Name of the client that sent it. */
  readonly client: string;
  readonly body: T;
}

interface HostListVersion {
  readonly atMs: number;
  readonly hosts: readonly ListedHost[];
}

/** Options of {@link MemoryStore}. */
export interface MemoryStoreOptions {
  /** How long old versions are kept for watches and stale reads. */
  readonly retentionMs?: number;
}

/** State of an in-memory platform, shared by its clients. Operations take effect immediately. */
export class MemoryStore {
  /** All target orders received, including repeated ones. */
  readonly targetOrders: Received<TargetOrder>[] = [];
  /** All usage reports received, including repeated ones. */
  readonly usageReports: Received<UsageReport>[] = [];
  /** Number of calls received, by operation. */
  readonly callCounts = new Map<string, number>();

  private lastRevision: Revision = 0;
  private compactedRevision: Revision = 0;
  private readonly versions = new Map<string, Version[]>();
  private readonly events: Version[] = [];
  private readonly listeners = new Set<(key: string) => void>();
  private hostLists: HostListVersion[] = [];
  private readonly retentionMs: number;

  constructor(
    private readonly clock: Clock,
    options: MemoryStoreOptions = {},
  ) {
    this.retentionMs = options.retentionMs ?? DEFAULT_RETENTION_MS;
  }

  get revision(): Revision {
    return this.lastRevision;
  }

  /** Counts a received call. */
  countCall(operation: string): void {
    this.callCounts.set(operation, (this.callCounts.get(operation) ?? 0) + 1);
  }

  /** The object as it was `lagMs` ago; undefined if absent. */
  read(key: string, lagMs = 0): PlatformObject | undefined {
    const version = this.versionAt(key, this.clock.nowMs() - lagMs);
    return version && !version.removed ? toObject(version) : undefined;
  }

  /** Objects under `prefix` as they were `lagMs` ago, sorted by key. */
  readAll(prefix: string, lagMs = 0): ObjectList {
    const atMs = this.clock.nowMs() - lagMs;
    const objects: PlatformObject[] = [];
    for (const key of this.versions.keys()) {
      if (!key.startsWith(prefix)) continue;
      const version = this.versionAt(key, atMs);
      if (version && !version.removed) objects.push(toObject(version));
    }
    objects.sort((a, b) => (a.key < b.key ? -1 : 1));
    return {objects, revision: this.revisionAt(atMs)};
  }

  write(key: string, value: string, condition?: UpdateCondition): Result<Revision, PlatformError> {
    if (Buffer.byteLength(value) > MAX_VALUE_BYTES) {
      return Err({kind: 'rejected', detail: `value of ${key} exceeds ${MAX_VALUE_BYTES} bytes`});
    }
    const current = this.read(key);
    const conflict = findConflict(current, condition);
    return conflict ? Err(conflict) : Ok(this.append(key, value, false));
  }

  delete(key: string, condition?: UpdateCondition): Result<Revision, PlatformError> {
    const current = this.read(key);
    const conflict = findConflict(current, condition);
    if (conflict) return Err(conflict);
    if (!current) return Err({kind: 'notFound'});
    return Ok(this.append(key, '', true));
  }

  /** Changes under `prefix` after `afterRevision` that were made at least `lagMs` ago. */
  changesAfter(prefix: string, afterRevision: Revision, lagMs = 0): WatchResult {
    const atMs = this.clock.nowMs() - lagMs;
    if (afterRevision < this.compactedRevision) {
      return {events: [], revision: this.lastRevision, compacted: true};
    }
    const first = lowerBound(this.events, event => event.revision > afterRevision);
    const events: PlatformEvent[] = [];
    for (const event of this.events.slice(first)) {
      if (event.atMs > atMs) break;
      if (!event.key.startsWith(prefix)) continue;
      events.push({...toObject(event), removed: event.removed});
    }
    const revision = Math.max(afterRevision, this.revisionAt(atMs));
    return {events, revision, compacted: false};
  }

  /** Calls `listener` with the key after each change; the returned function unsubscribes it. */
  subscribe(listener: (key: string) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Discards all events so far, so that watches from earlier revisions must list again. */
  compact(): void {
    this.compactedRevision = this.lastRevision;
    this.events.length = 0;
  }

  /** Sets the platform's own list of hosts. */
  setListedHosts(hosts: readonly ListedHost[]): void {
    const atMs = this.clock.nowMs();
    this.hostLists = this.hostLists.filter(list => list.atMs >= atMs - this.retentionMs);
    this.hostLists.push({atMs, hosts: [...hosts]});
  }

  /** Changes one entry of the platform's list of hosts; `undefined` removes it. */
  setListedHost(hostId: HostId, state: ListedHost['state'] | undefined): void {
    const others = this.listedHosts().filter(host => host.hostId !== hostId);
    this.setListedHosts(state ? [...others, {hostId, state}] : others);
  }

  /** The platform's list of hosts as it was `lagMs` ago. */
  listedHosts(lagMs = 0): readonly ListedHost[] {
    const atMs = this.clock.nowMs() - lagMs;
    return this.hostLists.findLast(list => list.atMs <= atMs)?.hosts ?? [];
  }

  private append(key: string, value: string, removed: boolean): Revision {
    const atMs = this.clock.nowMs();
    const version: Version = {key, revision: ++this.lastRevision, value, removed, atMs};
    const versions = this.versions.get(key) ?? [];
    versions.push(version);
    this.versions.set(key, versions);
    this.events.push(version);
    this.prune(versions, atMs - this.retentionMs);
    for (const listener of [...this.listeners]) listener(key);
    return version.revision;
  }

  private prune(versions: Version[], beforeMs: number): void {
    while (versions.length > 1 && versions[1].atMs < beforeMs) versions.shift();
    const firstKeptIndex = lowerBound(this.events, event => event.atMs >= beforeMs);
    // Removing events in blocks keeps the amortized cost of a write constant.
    if (firstKeptIndex < 1024) return;
    this.compactedRevision = this.events[firstKeptIndex - 1].revision;
    this.events.splice(0, firstKeptIndex);
  }

  private versionAt(key: string, atMs: number): Version | undefined {
    return this.versions.get(key)?.findLast(version => version.atMs <= atMs);
  }

  private revisionAt(atMs: number): Revision {
    if (atMs >= this.clock.nowMs()) return this.lastRevision;
    const next = lowerBound(this.events, event => event.atMs > atMs);
    return next > 0 ? this.events[next - 1].revision : this.compactedRevision;
  }
}

function toObject({key, revision, value}: PlatformObject): PlatformObject {
  return {key, revision, value};
}

function findConflict(
  current: PlatformObject | undefined,
  condition: UpdateCondition | undefined,
): PlatformError | undefined {
  const revision = current?.revision ?? 0;
  if (!condition || condition.ifRevision === revision) return undefined;
  return {kind: 'conflict', revision};
}

/** First index whose item satisfies `matches`; all matching items must follow the others. */
function lowerBound<T>(items: readonly T[], matches: (item: T) => boolean): number {
  let low = 0;
  let high = items.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (matches(items[middle])) high = middle;
    else low = middle + 1;
  }
  return low;
}
