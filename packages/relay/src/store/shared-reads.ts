import {call, Clock, Err, EventLog, HostId, Ok, Procedure, Result} from '@radishgw/core';
import {PlatformAnswer, PlatformError, StoreEra} from '@radishgw/coordination';
import {Instant, maxElapsedMs, readInstant} from '../instant.js';
import {HostRecord} from './host-registry.js';
import {PeerClient} from './peer-client.js';
import {ReadIntervals} from './read-intervals.js';
import {KINDS, SharedKind} from './shared-kinds.js';
import {
  createPublished,
  decodeShared,
  Published,
  selectContent,
  SharedReadAnswer,
  SharedReadQuestion,
  SharedVersion,
  updatePublished,
} from './shared-publication.js';

/** Path at which a reader shares what it has read with other hosts. */
export const SHARED_READ_PATH = '/reads';

/**
 * Timeout of a request to the reader. A reader in the same failure domain answers within a few ms,
 * or within 400 ms if it is a small, busy host.
 */
const READER_TIMEOUT_MS = 400;

/** Time after a failed or stale answer of the reader during which the store is read directly. */
const READER_BACKOFF_MS = 1000;

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
  /** Era of the store at which the value was read, or an earlier one. */
  readonly era: number;
  /** Whether another host read the value. */
  readonly isShared: boolean;
}

interface Received {
  version: SharedVersion;
  readonly entries: Map<string, unknown>;
  revision: number | undefined;
  era: number | undefined;
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
  /** Eras of the store. */
  readonly era: StoreEra;
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
    const sentEra = this.deps.era.current;
    const answer = yield* call(readDirectly);
    this.asked.delete(kind);
    if (answer.err) return answer;
    if (KINDS[kind].isIdentifiedByRevision) this.direct.set(kind, answer.val);
    const era = KINDS[kind].eraOf?.(answer.val) ?? sentEra;
    this.publish(kind, answer.val, asOf, era);
    return Ok({value: answer.val, asOf, era, isShared: false});
  }

  /** Fetches a value from this host's reader; undefined if there is no reader or fresh value. */
  *fetch<T>(kind: SharedKind): Procedure<DatedValue<T> | undefined> {
    const {clock, hostId, intervals, log} = this.deps;
    const reader = this.deps.findReader();
    if (!reader || reader.hostId === hostId) return undefined;
    if (clock.nowMs() < (this.retryAtMs.get(kind) ?? -Infinity)) return undefined;
    const {sentAt, result: answer} = yield* call(() => this.askOnce(kind, reader.peerAddress));
    let cause = answer.ok ? `read is ${Math.round(answer.val.ageMs)} ms old` : answer.val;
    if (answer.ok && !this.isOfEra(answer.val)) {
      cause = `read is of era ${answer.val.era} of the store`;
    } else if (answer.ok && answer.val.ageMs <= KINDS[kind].maxAgeMs(intervals)) {
      if (answer.val.content === 'withheld') return undefined;
      try {
        const value = this.applyAnswer<T>(kind, answer.val);
        const asOf = subtractMs(sentAt, answer.val.ageMs);
        return {value, asOf, era: answer.val.era ?? 0, isShared: true};
      } catch (error) {
        this.received.delete(kind); // It may have been changed in part.
        cause = `answer can't be used: ${String(error)}`;
      }
    }
    this.retryAtMs.set(kind, clock.nowMs() + READER_BACKOFF_MS);
    log.write('sharedReadFailed', {kind, reader: reader.hostId, cause});
    return undefined;
  }

  /**
   * Shares a value that this host has read in an era of the store; `readAt` is before the read was
   * sent.
   */
  publish(kind: SharedKind, value: unknown, readAt: Instant, era: number): void {
    let published = this.published.get(kind);
    if (!published) {
      published = createPublished(readAt);
      this.published.set(kind, published);
    }
    published.readAt = readAt;
    published.revision = KINDS[kind].revisionOf?.(value);
    published.era = era;
    if (published.value === value) return;
    published.value = value;
    updatePublished(published, KINDS[kind].split(value));
  }

  /** Whether a reader's value is of the latest era; one of a version without eras may be older. */
  private isOfEra({era}: SharedReadAnswer): boolean {
    return era === undefined ? this.deps.era.current === 0 : this.deps.era.observe(era);
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
    const {number, readAt, revision, era} = published;
    return {
      version: {incarnation, number},
      ageMs: maxElapsedMs(readAt, readInstant(clock)),
      revision,
      era: era > 0 ? era : undefined,
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
    const question = {
      ...this.createQuestion(kind),
      companion: companion && this.createQuestion(companion),
    };
    const answered = ask(peers, address, question).then(result => ({sentAt, result}));
    if (!companion) return answered;
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
  private adoptDirectValue(kind: SharedKind, {version, era}: SharedReadAnswer): void {
    const value = this.direct.get(kind);
    if (value === undefined) return;
    const {split, revisionOf} = KINDS[kind];
    const entries = new Map(split(value));
    this.received.set(kind, {version, entries, revision: revisionOf?.(value), era, value});
  }

  private applyAnswer<T>(kind: SharedKind, answer: SharedReadAnswer): T {
    const {version, isWhole, changed, removed, revision, era} = answer;
    if (answer.content === 'known') this.adoptDirectValue(kind, answer);
    this.direct.delete(kind);
    let received = this.received.get(kind);
    const isSame = !isWhole && changed.length + removed.length === 0;
    const isSamePosition = received?.revision === revision && received?.era === era;
    if (received && isSame && isSamePosition) return received.value as T;
    if (!received || isWhole) {
      received = {version, entries: new Map(), revision, era, value: undefined};
      this.received.set(kind, received);
    }
    for (const key of removed) received.entries.delete(key);
    for (const [key, content] of changed) received.entries.set(key, decodeShared(content));
    received.version = version;
    received.revision = revision;
    received.era = era;
    received.value = KINDS[kind].join(received.entries, revision, era);
    return received.value as T;
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
