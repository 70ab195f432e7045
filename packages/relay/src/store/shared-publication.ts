import {Instant} from '../instant.js';
import {KINDS, SharedKind} from './shared-kinds.js';

/** Maximum number of tracked removals; a host that has missed more gets the whole value. */
const MAX_REMOVED = 500;

/** Version of a reader's value of one kind. */
export interface SharedVersion {
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
  /** Era of the store at which the value was read; missing if the store has only one. */
  readonly era?: number;
  /** Whether `changed` contains all entries. */
  readonly isWhole: boolean;
  /** Key and JSON content of each changed entry. */
  readonly changed: readonly (readonly [string, string])[];
  /** Keys of removed entries. */
  readonly removed: readonly string[];
  /** Answer to the question that came along; undefined if the reader has no value of that kind. */
  readonly companion?: SharedReadAnswer;
}

interface PublishedEntry {
  readonly content: string;
  /** Number of the version that introduced this content. */
  readonly changedInVersion: number;
}

/** A value that a reader shares, with the versions of its entries. */
export interface Published {
  value: unknown;
  number: number;
  readAt: Instant;
  revision: number | undefined;
  era: number;
  readonly entries: Map<string, PublishedEntry>;
  /** Numbers of the versions in which entries were removed, oldest first. */
  readonly removed: Map<string, number>;
  /** Removals up to this version are no longer tracked. */
  prunedThroughVersion: number;
}

/** Selects what a reader sends to a host. */
export function selectContent(
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

/** Creates the publication of a kind of which nothing has been read yet. */
export function createPublished(readAt: Instant): Published {
  const entries = new Map<string, PublishedEntry>();
  return {
    value: undefined,
    number: 0,
    readAt,
    revision: undefined,
    era: 0,
    entries,
    removed: new Map(),
    prunedThroughVersion: 0,
  };
}

/** Applies a value that was read; only entries whose content has changed get a new version. */
export function updatePublished(
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
