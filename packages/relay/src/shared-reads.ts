import {call, Clock, Err, EventLog, HostId, Ok, Procedure, Result} from '@radishgw/core';
import {PlatformAnswer, PlatformError} from '@radishgw/coordination';

import {Instant, maxElapsedMs, readInstant} from './elapsed-clock.js';
import {HostBeat, HostRecord} from './host-registry.js';
import {TargetEntry} from './model.js';
import {PeerClient} from './peer-client.js';

/** Path between hosts at which a reader hands on what it has read. */
export const SHARED_READ_PATH = '/reads';

/** What readers hand on. */
export type SharedKind = 'config' | 'targets' | 'hosts' | 'beats';

/** How a kind is taken apart, so that only entries that have changed are sent. */
interface KindHandler {
  /**
   * Oldest read that is taken from a reader: its interval and time for one slow call. A change
   * that comes just after such a read is still known within the 2 s that configurations have.
   */
  readonly maxAgeMs: number;
  split(value: unknown): readonly (readonly [string, unknown])[];
  join(entries: ReadonlyMap<string, unknown>): unknown;
}

/** A configuration is one entry. */
const ONLY_KEY = 'only';

const KINDS: Readonly<Record<SharedKind, KindHandler>> = {
  config: {
    maxAgeMs: 1000,
    split: value => [[ONLY_KEY, value]],
    join: entries => entries.get(ONLY_KEY),
  },
  targets: {
    maxAgeMs: 1000,
    split: value => (value as readonly TargetEntry[]).map(entry => [entry.id, entry]),
    join: entries => [...entries.values()],
  },
  hosts: {
    maxAgeMs: 2500,
    split: value => (value as readonly HostRecord[]).map(record => [record.hostId, record]),
    join: entries => [...entries.values()],
  },
  beats: {
    maxAgeMs: 2500,
    split: value => (value as readonly HostBeat[]).map(beat => [beat.hostId, beat]),
    join: entries => [...entries.values()],
  },
};

/** A reader in the same failure domain answers within some ms, a busy small one within 400. */
const READER_TIMEOUT_MS = 400;

/** After a failure the reader isn't asked for this long, and the store is read directly. */
const READER_PAUSE_MS = 1000;

/** Removed entries that are remembered; a host that has missed more gets the whole value. */
const MAX_REMOVED = 500;

/** A reader's state of a kind. */
interface SharedVersion {
  /** Incarnation of the reader: its versions mean nothing to another. */
  readonly incarnation: string;
  /** Rises with each change. */
  readonly number: number;
}

/** A question of a host; `version` is that of the content it has. */
export interface SharedReadQuestion {
  readonly kind: SharedKind;
  readonly version: SharedVersion | undefined;
}

/** A reader's answer. */
export interface SharedReadAnswer {
  readonly version: SharedVersion;
  /** Time since the read of the store was sent. */
  readonly ageMs: number;
  /** Whether `changed` holds all entries. */
  readonly isWhole: boolean;
  /** Key and content of entries. */
  readonly changed: readonly (readonly [string, string])[];
  /** Keys of entries that are gone. */
  readonly removed: readonly string[];
}

/** Something that was read from the store. */
export interface DatedValue<T> {
  readonly value: T;
  /** Not later than the moment at which the store held the value. */
  readonly asOf: Instant;
  /** Whether another host has read it. */
  readonly isShared: boolean;
}

interface PublishedEntry {
  readonly content: string;
  /** Number of the version that brought this content. */
  readonly changedIn: number;
}

interface Published {
  value: unknown;
  number: number;
  readAt: Instant;
  readonly entries: Map<string, PublishedEntry>;
  /** Numbers of the versions in which entries were removed, oldest first. */
  readonly removed: Map<string, number>;
  /** Removals up to this version aren't remembered. */
  forgottenIn: number;
}

interface Received {
  version: SharedVersion;
  readonly entries: Map<string, unknown>;
  value: unknown;
}

/** What sharing needs. */
export interface SharedReadParts {
  readonly hostId: HostId;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly peers: PeerClient;
  /** The host that reads for this one; undefined if none is known. */
  findReader(): HostRecord | undefined;
}

/**
 * Reads of the store that the hosts of a failure domain share: one of them reads and the others
 * ask it, so that the number of calls to the store grows with the domains and not with the hosts.
 * Whoever gets no fresh answer reads directly at once; only direct reads are handed on.
 */
export class SharedReads {
  private readonly published = new Map<SharedKind, Published>();
  private readonly received = new Map<SharedKind, Received>();
  private pausedUntilMs = -Infinity;

  constructor(private readonly parts: SharedReadParts) {}

  /** Whether this host reads directly, for itself and for others. */
  get isReader(): boolean {
    const reader = this.parts.findReader();
    return !reader || reader.hostId === this.parts.hostId;
  }

  /** Reads a value from this host's reader or, if that isn't possible, with `readDirectly`. */
  *read<T>(
    kind: SharedKind,
    readDirectly: () => PlatformAnswer<T>,
  ): Procedure<Result<DatedValue<T>, PlatformError>> {
    const shared = yield* this.fetch<T>(kind);
    if (shared) return Ok(shared);
    const asOf = readInstant(this.parts.clock);
    const answer = yield* call(readDirectly);
    if (answer.err) return answer;
    this.publish(kind, answer.val, asOf);
    return Ok({value: answer.val, asOf, isShared: false});
  }

  /** Asks this host's reader; undefined if there is none or it has nothing fresh. */
  *fetch<T>(kind: SharedKind): Procedure<DatedValue<T> | undefined> {
    const {clock, hostId, peers, log} = this.parts;
    const reader = this.parts.findReader();
    if (!reader || reader.hostId === hostId || clock.nowMs() < this.pausedUntilMs) return undefined;
    const sentAt = readInstant(clock);
    const question: SharedReadQuestion = {kind, version: this.received.get(kind)?.version};
    const answer = yield* call(() => ask(peers, reader.peerAddress, question));
    if (answer.ok && answer.val.ageMs <= KINDS[kind].maxAgeMs) {
      const value = this.takeIn<T>(kind, answer.val);
      return {value, asOf: shiftBack(sentAt, answer.val.ageMs), isShared: true};
    }
    this.pausedUntilMs = clock.nowMs() + READER_PAUSE_MS;
    const cause = answer.ok ? `read is ${Math.round(answer.val.ageMs)} ms old` : answer.val;
    log.write('sharedReadFailed', {kind, reader: reader.hostId, cause});
    return undefined;
  }

  /** Hands on what this host has read; `readAt` is before the read was sent. */
  publish(kind: SharedKind, value: unknown, readAt: Instant): void {
    let published = this.published.get(kind);
    if (!published) {
      published = createPublished(readAt);
      this.published.set(kind, published);
    }
    published.readAt = readAt;
    if (published.value === value) return;
    published.value = value;
    updatePublished(published, KINDS[kind].split(value));
  }

  /** Answers another host; undefined if this host hasn't read that. */
  answer({kind, version}: SharedReadQuestion): SharedReadAnswer | undefined {
    const published = this.published.get(kind);
    if (!published) return undefined;
    const {incarnation, clock} = this.parts;
    const {number, entries, removed, forgottenIn, readAt} = published;
    const isWhole = version?.incarnation !== incarnation || version.number < forgottenIn;
    const since = isWhole ? -Infinity : version.number;
    return {
      version: {incarnation, number},
      ageMs: maxElapsedMs(readAt, readInstant(clock)),
      isWhole,
      changed: [...entries]
        .filter(([, entry]) => entry.changedIn > since)
        .map(([key, entry]) => [key, entry.content]),
      removed: isWhole ? [] : [...removed].filter(([, at]) => at > since).map(([key]) => key),
    };
  }

  private takeIn<T>(kind: SharedKind, answer: SharedReadAnswer): T {
    const {version, isWhole, changed, removed} = answer;
    let received = this.received.get(kind);
    if (received && !isWhole && changed.length + removed.length === 0) return received.value as T;
    if (!received || isWhole) {
      received = {version, entries: new Map(), value: undefined};
      this.received.set(kind, received);
    }
    for (const key of removed) received.entries.delete(key);
    for (const [key, content] of changed) received.entries.set(key, decodeShared(content));
    received.version = version;
    received.value = KINDS[kind].join(received.entries);
    return received.value as T;
  }
}

function createPublished(readAt: Instant): Published {
  const entries = new Map<string, PublishedEntry>();
  return {value: undefined, number: 0, readAt, entries, removed: new Map(), forgottenIn: 0};
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
    entries.set(key, {content, changedIn: number});
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
    published.forgottenIn = at;
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

function shiftBack({monotonicMs, wallMs}: Instant, byMs: number): Instant {
  return {monotonicMs: monotonicMs - byMs, wallMs: wallMs - byMs};
}

/** A map as it is handed on; JSON has none. */
interface EncodedMap {
  readonly mapEntries: readonly (readonly [unknown, unknown])[];
}

/** JSON text of a value that may contain maps. */
export function encodeShared(value: unknown): string {
  return JSON.stringify(value, (_, part: unknown) =>
    part instanceof Map ? ({mapEntries: [...part]} satisfies EncodedMap) : part,
  );
}

/** Reverses {@link encodeShared}. */
export function decodeShared(text: string): unknown {
  return JSON.parse(text, (_, part: unknown) =>
    isEncodedMap(part) ? new Map(part.mapEntries) : part,
  );
}

function isEncodedMap(part: unknown): part is EncodedMap {
  return typeof part === 'object' && part !== null && 'mapEntries' in part;
}
