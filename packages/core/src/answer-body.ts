const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;

const EVENT_STREAM_TYPE = /^text\/event-stream\b/i;

/** JSON, but neither lists of JSON texts nor other types whose content may have no bytes. */
const JSON_TYPE = /^application\/(?:[\w.+-]+\+)?json\s*(?:;|$)/i;

/** Whether a content type is that of server-sent events. */
export function isEventStreamType(contentType: string | undefined): boolean {
  return EVENT_STREAM_TYPE.test(contentType ?? '');
}

/** Tracks whether the bytes of an event stream end between two events. */
export class EventBoundary {
  /** Whether a field has followed the last blank line. */
  private hasField = false;
  private hasCompleteEvent = false;
  private isLineEmpty = true;
  private isComment = false;
  private isAfterCarriageReturn = false;

  push(chunk: Uint8Array): void {
    for (const byte of chunk) {
      const endsPreviousLine = byte === LINE_FEED && this.isAfterCarriageReturn;
      this.isAfterCarriageReturn = byte === CARRIAGE_RETURN;
      if (endsPreviousLine) continue;
      if (byte === LINE_FEED || byte === CARRIAGE_RETURN) {
        if (this.isLineEmpty) {
          this.hasCompleteEvent ||= this.hasField;
          this.hasField = false;
        } else if (!this.isComment) {
          this.hasField = true;
        }
        this.isLineEmpty = true;
        continue;
      }
      if (this.isLineEmpty) this.isComment = byte === COLON;
      this.isLineEmpty = false;
    }
  }

  /** Whether the bytes so far have a complete event; a comment isn't one. */
  get hasEvent(): boolean {
    return this.hasCompleteEvent;
  }

  /** Whether the bytes so far end inside an event or a line. */
  get isInside(): boolean {
    return this.hasField || !this.isLineEmpty;
  }
}

/**
 * How the end of an answer's body is determined; `none` if the answer has no body whatever its fields
 * are.
 */
export type BodyFraming = 'none' | 'length' | 'chunks' | 'connection';

/** Statuses of answers without a body (RFC 9112, section 6.3). */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Codings of a transfer whose last one is chunks; the connection ends any others. */
const CHUNKED = /(?:^|,)\s*chunked\s*$/i;

/**
 * Determines the framing of the answer to a request; `findField` returns the value of a field of its
 * head, joined by commas if there are more.
 */
export function findFraming(
  method: string,
  status: number,
  findField: (name: string) => string | undefined,
): BodyFraming {
  if (method === 'HEAD' || BODILESS_STATUSES.has(status)) return 'none';
  const codings = findField('transfer-encoding');
  if (codings !== undefined) return CHUNKED.test(codings) ? 'chunks' : 'connection';
  return findField('content-length') === undefined ? 'connection' : 'length';
}

/** Parts of an answer's head that describe its body. */
export interface BodyFields {
  readonly status: number;
  readonly contentType: string | undefined;
  readonly contentEncoding: string | undefined;
}

/**
 * What the reader of a success needs: any body, a stream of at least one event, or what is left of a
 * stream, which may be nothing.
 */
export type ExpectedBody = 'any' | 'stream' | 'restOfStream';

/**
 * Decides whether the body of an answer is whole once its connection or framing has ended it. Any
 * reader of an answer that may be passed on, stored or acted on asks it.
 */
export class AnswerBody {
  private readonly events: EventBoundary | undefined;
  private readonly isSuccess: boolean;
  private readonly isEventStream: boolean;
  private readonly isJson: boolean;
  private hasBytes = false;
  private hasRecordedEvent = false;

  constructor(
    {status, contentType, contentEncoding}: BodyFields,
    private readonly expected: ExpectedBody = 'any',
  ) {
    this.isSuccess = status >= 200 && status < 300;
    this.isEventStream = isEventStreamType(contentType);
    this.isJson = JSON_TYPE.test(contentType ?? '');
    // The events of an encoded body can't be seen.
    const isPlain = contentEncoding === undefined || contentEncoding === 'identity';
    if (isPlain && this.isEventStream) this.events = new EventBoundary();
  }

  push(chunk: Uint8Array): void {
    if (chunk.length > 0) this.hasBytes = true;
    this.events?.push(chunk);
  }

  /**
   * Records a complete event whose bytes aren't pushed. A reader of a stream splits the events itself
   * and pushes only what follows the last one.
   */
  recordEvent(): void {
    this.hasBytes = true;
    this.hasRecordedEvent = true;
  }

  /** Whether the body so far ends inside an event. */
  get isInsideEvent(): boolean {
    return this.events?.isInside ?? false;
  }

  /** Why the body isn't whole although it has been ended; undefined if it is. */
  findFault(framing: BodyFraming): string | undefined {
    if (this.isInsideEvent) return 'event stream ended inside an event';
    if (!this.isSuccess || framing === 'none') return undefined;
    // A server that fails after the head of its answer closes the connection as one that has no body
    // to send. The status of an error says enough without its body.
    const isClosed = framing === 'connection';
    if (this.isEventStream) {
      const isNeeded = isClosed || this.expected === 'stream';
      return isNeeded && !this.hasEvent ? 'event stream ended without an event' : undefined;
    }
    const isNeeded = isClosed && (this.isJson || this.expected !== 'any');
    return isNeeded && !this.hasBytes ? 'answer was closed without a body' : undefined;
  }

  /** Whether the body has an event, or may have one if its events can't be seen. */
  private get hasEvent(): boolean {
    if (this.hasRecordedEvent) return true;
    if (this.expected !== 'any') return false;
    return this.events ? this.events.hasEvent : this.hasBytes;
  }
}
