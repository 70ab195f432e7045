import {call, Clock, Err, EventLog, HostId, Ok, Procedure, Result, toId} from '@radishgw/core';
import {PlatformAnswer, PlatformError} from '@radishgw/coordination';

import {Instant, maxElapsedMs, readInstant} from './instant.js';
import {HostHeartbeat, HostRecord} from './host-registry.js';
import {RelayConfig, TargetList} from './model.js';
import {PeerClient} from './peer-client.js';
import {CrashEvidence} from './prompt-quarantine.js';
import {ReadIntervals} from './read-intervals.js';
import {joinConfig, splitConfig} from './shared-config.js';

/** Path at which a reader shares what it has read with other hosts. */
export const SHARED_READ_PATH = '/reads';

/** Kinds of values that readers share. */
export type SharedKind = 'config' | 'targets' | 'hosts' | 'beats';

/** Splits values of a kind into entries, so that only changed entries are sent. */
interface KindHandler {
  /** Maximum age of a read that is accepted from a reader: its interval plus one slow call. */
  maxAgeMs(intervals: ReadIntervals): number;
  /** Kind that is fetched at about the same times; both are fetched with one call. */
  readonly companion: SharedKind;
  split(value: unknown): readonly (readonly [string, unknown])[];
  join(entries: ReadonlyMap<string, unknown>, revision: number | undefined): unknown;
  /** Revision of a value, where it has one; a newer value has no lower one. */
  revisionOf?(value: unknown): number;
  /** Whether values with the same revision are the same. */
  readonly isIdentifiedByRevision?: boolean;
  /**
   * Maximum length of the changed entries that a reader sends, in characters. Sending more to each
   * host of the failure domain would take longer than the timeout of a small reader's followers.
   */
  readonly maxChangedChars?: number;
}

/** Records of the hosts and their evidence on crashes of engines. */
export interface SharedHosts {
  readonly records: readonly HostRecord[];
  readonly evidence: ReadonlyMap<HostId, CrashEvidence>;
}

const RECORD_PREFIX = 'record/';
const EVIDENCE_PREFIX = 'evidence/';

function splitHosts({records, evidence}: SharedHosts): (readonly [string, unknown])[] {
  return [
    ...records.map(record => [RECORD_PREFIX + record.hostId, record] as const),
    ...[...evidence].map(([hostId, entry]) => [EVIDENCE_PREFIX + hostId, entry] as const),
  ];
}

function joinHosts(entries: ReadonlyMap<string, unknown>): SharedHosts {
  const records: HostRecord[] = [];
  const evidence = new Map<HostId, CrashEvidence>();
  for (const [key, entry] of entries) {
    if (key.startsWith(RECORD_PREFIX)) records.push(entry as HostRecord);
    else evidence.set(toId<HostId>(key.slice(EVIDENCE_PREFIX.length)), entry as CrashEvidence);
  }
  return {records, evidence};
}

/** Duration of a slow call to the store that still succeeds. */
const SLOW_CALL_MS = 400;

/** Maximum age of the hosts' records, which are read each second. */
const MAX_RECORDS_AGE_MS = 2500;

const KINDS: Readonly<Record<SharedKind, KindHandler>> = {
  config: {
    maxAgeMs: ({directMs}) => directMs + SLOW_CALL_MS,
    companion: 'targets',
    split: value => splitConfig(value as RelayConfig),
    join: entries => joinConfig(entries),
    revisionOf: value => (value as RelayConfig).version,
    isIdentifiedByRevision: true,
    maxChangedChars: 16 * 1024,
  },
  targets: {
    maxAgeMs: ({directMs}) => directMs + SLOW_CALL_MS,
    companion: 'config',
    split: value => (value as TargetList).entries.map(entry => [entry.id, entry]),
    join: (entries, revision) => ({entries: [...entries.values()], revision}),
    revisionOf: value => (value as TargetList).revision,
  },
  hosts: {
    maxAgeMs: () => MAX_RECORDS_AGE_MS,
    companion: 'beats',
    split: value => splitHosts(value as SharedHosts),
    join: entries => joinHosts(entries),
  },
  beats: {
    maxAgeMs: () => MAX_RECORDS_AGE_MS,
    companion: 'hosts',
    split: value => (value as readonly HostHeartbeat[]).map(beat => [beat.hostId, beat]),
    join: entries => [...entries.values()],
  },
};

/**
 * Timeout of a request to the reader. A reader in the same failure domain answers within a few ms,
 * or within 400 ms if it is a small, busy host.
 */
const READER_TIMEOUT_MS = 400;

/** Time after a failed or stale answer of the reader during which the store is read directly. */
const READER_BACKOFF_MS = 1000;

/** Maximum number of tracked removals; a host that has missed more gets the whole value. */
const MAX_REMOVED = 500;

/** Version of a reader's value of one kind. */
interface SharedVersion {
  /** Incarnation of the reader, which numbers its own versions. */
  readonly incarnation: string;
  /** Increases with each change. */
  readonly number: number;
}

/** Request of a host; `version` is the version that it already has. */
export interface SharedReadQuestion {
  readonly kind: SharedKind;
  readonly version: SharedVersion | undefined;
  /** Revision of a value that the host has read directly since it got `version`. */
  readonly directRevision?: number;
  /** Question about another kind that is answered along with this one. */
  readonly companion?: SharedReadQuestion;
}

/** Answer of a reader. */
export interface SharedReadAnswer {
  readonly version: SharedVersion;
  /**
   * `changes`: the changed entries; `known`: the value is the one that the host has read directly;
   * `withheld`: the host must read directly, as the reader's value is older or too large to send.
   */
  readonly content: 'changes' | 'known' | 'withheld';
  /** Time since the read of the store was sent. */
  readonly ageMs: number;
  /** Revision of the value, where it has one. */
  readonly revision?: number;
  /** Whether `changed` contains all entries. */
  readonly isWhole: boolean;
  /** Key and JSON content of each changed entry. */
  readonly changed: readonly (readonly [string, string])[];
  /** Keys of removed entries. */
  readonly removed: readonly string[];
  /** Answer to the question that came along; undefined if the reader has no value of that kind. */
  readonly companion?: SharedReadAnswer;
}

/** Answer of a reader with the time at which it was asked. */
interface TimedAnswer {
  readonly sentAt: Instant;
  readonly result: Result<SharedReadAnswer, string>;
}

/** A value that was read from the store. */
export interface DatedValue<T> {
  readonly value: T;
  /** Time at which the value was current in the store, or earlier. */
  readonly asOf: Instant;
  /** Whether another host read the value. */
  readonly isShared: boolean;
}

interface PublishedEntry {
  readonly content: string;
  /** Number of the version that introduced this content. */
  readonly changedInVersion: number;
}

interface Published {
  value: unknown;
  number: number;
  readAt: Instant;
  revision: number | undefined;
  readonly entries: Map<string, PublishedEntry>;
  /** Numbers of the versions in which entries were removed, oldest first. */
  readonly removed: Map<string, number>;
  /** Removals up to this version are no longer tracked. */
  prunedThroughVersion: number;
}

interface Received {
  version: SharedVersion;
  readonly entries: Map<string, unknown>;
  revision: number | undefined;
  value: unknown;
}

/** Dependencies of {@link SharedReads}. */
export interface SharedReadsDependencies {
  readonly hostId: HostId;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly peers: PeerClient;
  readonly intervals: ReadIntervals;
  /** The host that reads for this host; undefined if none is known. */
  findReader(): HostRecord | undefined;
}

/**
 * Shares reads of the store among the hosts of a failure domain: one host reads and the others
 * fetch from it, so that the number of calls to the store grows with the number of domains instead
 * of hosts. A host that gets no fresh answer reads directly at once; only direct reads are shared.
 */
export class SharedReads {
  private readonly published = new Map<SharedKind, Published>();
  private readonly received = new Map<SharedKind, Received>();
  /** Values that were read directly since the latest one was received. */
  private readonly direct = new Map<SharedKind, unknown>();
  /** Times before which the store is read directly. */
  private readonly retryAtMs = new Map<SharedKind, number>();
  /** Calls in progress, and answers that came along with one, by the kinds that they are about. */
  private readonly asked = new Map<SharedKind, Promise<TimedAnswer | undefined>>();

  constructor(private readonly deps: SharedReadsDependencies) {}

  /** Whether this host reads directly, for itself and for others. */
  get isReader(): boolean {
    const reader = this.deps.findReader();
    return !reader || reader.hostId === this.deps.hostId;
  }

  /** Fetches a value from this host's reader or, if that isn't possible, calls `readDirectly`. */
  *read<T>(
    kind: SharedKind,
    readDirectly: () => PlatformAnswer<T>,
  ): Procedure<Result<DatedValue<T>, PlatformError>> {
    const shared = yield* this.fetch<T>(kind);
    if (shared) return Ok(shared);
    const asOf = readInstant(this.deps.clock);
    const answer = yield* call(readDirectly);
    this.asked.delete(kind);
    if (answer.err) return answer;
    if (KINDS[kind].isIdentifiedByRevision) this.direct.set(kind, answer.val);
    this.publish(kind, answer.val, asOf);
    return Ok({value: answer.val, asOf, isShared: false});
  }

  /** Fetches a value from this host's reader; undefined if there is no reader or fresh value. */
  *fetch<T>(kind: SharedKind): Procedure<DatedValue<T> | undefined> {
    const {clock, hostId, intervals, log} = this.deps;
    const reader = this.deps.findReader();
    if (!reader || reader.hostId === hostId) return undefined;
    if (clock.nowMs() < (this.retryAtMs.get(kind) ?? -Infinity)) return undefined;
    const {sentAt, result: answer} = yield* call(() => this.askOnce(kind, reader.peerAddress));
    let cause = answer.ok ? `read is ${Math.round(answer.val.ageMs)} ms old` : answer.val;
    if (answer.ok && answer.val.ageMs <= KINDS[kind].maxAgeMs(intervals)) {
      if (answer.val.content === 'withheld') return undefined;
      try {
        const value = this.applyAnswer<T>(kind, answer.val);
        return {value, asOf: subtractMs(sentAt, answer.val.ageMs), isShared: true};
      } catch (error) {
        this.received.delete(kind); // It may have been changed in part.
        cause = `answer can't be used: ${String(error)}`;
      }
    }
    this.retryAtMs.set(kind, clock.nowMs() + READER_BACKOFF_MS);
    log.write('sharedReadFailed', {kind, reader: reader.hostId, cause});
    return undefined;
  }

  /** Shares a value that this host has read; `readAt` is before the read was sent. */
  publish(kind: SharedKind, value: unknown, readAt: Instant): void {
    let published = this.published.get(kind);
    if (!published) {
      published = createPublished(readAt);
      this.published.set(kind, published);
    }
    published.readAt = readAt;
    published.revision = KINDS[kind].revisionOf?.(value);
    if (published.value === value) return;
    published.value = value;
    updatePublished(published, KINDS[kind].split(value));
  }

  /** Answers another host; undefined if this host hasn't read a value of that kind. */
  answer(question: SharedReadQuestion): SharedReadAnswer | undefined {
    const own = this.answerOne(question);
    const companion = question.companion && this.answerOne(question.companion);
    return own && {...own, companion};
  }

  private answerOne(question: SharedReadQuestion): SharedReadAnswer | undefined {
    const published = this.published.get(question.kind);
    if (!published) return undefined;
    const {incarnation, clock} = this.deps;
    const {number, readAt, revision} = published;
    return {
      version: {incarnation, number},
      ageMs: maxElapsedMs(readAt, readInstant(clock)),
      revision,
      ...selectContent(published, question, incarnation),
    };
  }

  /** Asks the reader, unless a call about this kind is in progress or has just been answered. */
  private async askOnce(kind: SharedKind, address: string): Promise<TimedAnswer> {
    const {clock, peers, intervals} = this.deps;
    const asked = this.asked.get(kind);
    if (asked) {
      this.asked.delete(kind);
      const earlier = await asked;
      const maxAgeMs = intervals.sharedMs / 2;
      if (earlier && clock.nowMs() - earlier.sentAt.monotonicMs <= maxAgeMs) return earlier;
    }
    const {companion} = KINDS[kind];
    const sentAt = readInstant(clock);
    const question = {...this.createQuestion(kind), companion: this.createQuestion(companion)};
    const answered = ask(peers, address, question).then(result => ({sentAt, result}));
    this.asked.set(
      companion,
      answered.then(({result}) =>
        result.ok && result.val.companion ? {sentAt, result: Ok(result.val.companion)} : undefined,
      ),
    );
    return answered;
  }

  private createQuestion(kind: SharedKind): SharedReadQuestion {
    const direct = this.direct.get(kind);
    return {
      kind,
      version: this.received.get(kind)?.version,
      directRevision: direct === undefined ? undefined : KINDS[kind].revisionOf?.(direct),
    };
  }

  /** Continues from the value that was read directly, which the reader has as `version`. */
  private adoptDirectValue(kind: SharedKind, version: SharedVersion): void {
    const value = this.direct.get(kind);
    if (value === undefined) return;
    const {split, revisionOf} = KINDS[kind];
    const entries = new Map(split(value));
    this.received.set(kind, {version, entries, revision: revisionOf?.(value), value});
  }

  private applyAnswer<T>(kind: SharedKind, answer: SharedReadAnswer): T {
    const {version, isWhole, changed, removed, revision} = answer;
    if (answer.content === 'known') this.adoptDirectValue(kind, version);
    this.direct.delete(kind);
    let received = this.received.get(kind);
    const isSame = !isWhole && changed.length + removed.length === 0;
    if (received && isSame && received.revision === revision) return received.value as T;
    if (!received || isWhole) {
      received = {version, entries: new Map(), revision, value: undefined};
      this.received.set(kind, received);
    }
    for (const key of removed) received.entries.delete(key);
    for (const [key, content] of changed) received.entries.set(key, decodeShared(content));
    received.version = version;
    received.revision = revision;
    received.value = KINDS[kind].join(received.entries, revision);
    return received.value as T;
  }
}

/** Selects what a reader sends to a host. */
function selectContent(
  {entries, removed, prunedThroughVersion, revision}: Published,
  {kind, version, directRevision}: SharedReadQuestion,
  incarnation: string,
): Pick<SharedReadAnswer, 'content' | 'isWhole' | 'changed' | 'removed'> {
  const none = {isWhole: false, changed: [], removed: []};
  if (directRevision !== undefined && revision !== undefined) {
    if (directRevision === revision) return {content: 'known', ...none};
    if (directRevision > revision) return {content: 'withheld', ...none};
  }
  const isWhole = version?.incarnation !== incarnation || version.number < prunedThroughVersion;
  const since = isWhole ? -Infinity : version.number;
  const changed = [...entries]
    .filter(([, entry]) => entry.changedInVersion > since)
    .map(([key, entry]) => [key, entry.content] as const);
  const chars = changed.reduce((sum, [key, content]) => sum + key.length + content.length, 0);
  if (chars > (KINDS[kind].maxChangedChars ?? Infinity)) return {content: 'withheld', ...none};
  return {
    content: 'changes',
    isWhole,
    changed,
    removed: isWhole ? [] : [...removed].filter(([, at]) => at > since).map(([key]) => key),
  };
}

function createPublished(readAt: Instant): Published {
  const entries = new Map<string, PublishedEntry>();
  return {
    value: undefined,
    number: 0,
    readAt,
    revision: undefined,
    entries,
    removed: new Map(),
    prunedThroughVersion: 0,
  };
}

function updatePublished(
  published: Published,
  next: readonly (readonly [string, unknown])[],
): void {
  const {entries, removed} = published;
  const number = published.number + 1;
  const present = new Set<string>();
  for (const [key, value] of next) {
    present.add(key);
    const content = encodeShared(value);
    if (entries.get(key)?.content === content) continue;
    entries.set(key, {content, changedInVersion: number});
    removed.delete(key);
    published.number = number;
  }
  for (const key of entries.keys()) {
    if (present.has(key)) continue;
    entries.delete(key);
    removed.delete(key);
    removed.set(key, number);
    published.number = number;
  }
  for (const [key, at] of removed) {
    if (removed.size <= MAX_REMOVED) break;
    removed.delete(key);
    published.prunedThroughVersion = at;
  }
}

async function ask(
  peers: PeerClient,
  address: string,
  question: SharedReadQuestion,
): Promise<Result<SharedReadAnswer, string>> {
  try {
    return Ok(
      await peers.ask<SharedReadAnswer>(address, SHARED_READ_PATH, question, READER_TIMEOUT_MS),
    );
  } catch (error) {
    return Err(String(error));
  }
}

function subtractMs({monotonicMs, wallMs}: Instant, durationMs: number): Instant {
  return {monotonicMs: monotonicMs - durationMs, wallMs: wallMs - durationMs};
}

/** JSON encoding of a map. */
interface EncodedMap {
  readonly mapEntries: readonly (readonly [unknown, unknown])[];
}

/** Encodes a value that may contain maps as JSON. */
export function encodeShared(value: unknown): string {
  return JSON.stringify(value, (_, part: unknown) =>
    part instanceof Map ? ({mapEntries: [...part]} satisfies EncodedMap) : part,
  );
}

/** Decodes a value that was encoded by {@link encodeShared}. */
export function decodeShared(text: string): unknown {
  return JSON.parse(text, (_, part: unknown) =>
    isEncodedMap(part) ? new Map(part.mapEntries) : part,
  );
}

function isEncodedMap(part: unknown): part is EncodedMap {
  return typeof part === 'object' && part !== null && 'mapEntries' in part;
}
