const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** A whole event of a stream, with the blank line that ends it. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Value of its `id` field, if it has one. */
  readonly id: string | undefined;
}

/** Cuts a byte stream into whole events; what is left of the last one waits for more bytes. */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);
  private scannedBytes = 0;

  /** Whether bytes of an event that hasn't ended are waiting. */
  get hasPartialEvent(): boolean {
    return this.rest.length > 0;
  }

  /** Takes in bytes and gives the events that they complete. */
  push(chunk: Buffer): StreamEvent[] {
    this.rest = this.rest.length > 0 ? Buffer.concat([this.rest, chunk]) : chunk;
    const events: StreamEvent[] = [];
    for (let end = this.findEnd(); end > 0; end = this.findEnd()) {
      const bytes = this.rest.subarray(0, end);
      events.push({bytes, id: readEventId(bytes)});
      this.rest = this.rest.subarray(end);
      this.scannedBytes = 0;
    }
    return events;
  }

  /** Bytes after the last whole event. */
  takeRest(): Buffer {
    const {rest} = this;
    this.rest = Buffer.alloc(0);
    this.scannedBytes = 0;
    return rest;
  }

  /** Offset after the blank line that ends the first event; 0 if there is none yet. */
  private findEnd(): number {
    const {rest} = this;
    for (;;) {
      const at = rest.indexOf(LINE_FEED, this.scannedBytes);
      if (at < 0) return 0;
      if (rest[at + 1] === LINE_FEED) return at + 2;
      if (rest[at + 1] === CARRIAGE_RETURN && rest[at + 2] === LINE_FEED) return at + 3;
      if (at + 2 >= rest.length) return 0;
      this.scannedBytes = at + 1;
    }
  }
}

function readEventId(bytes: Buffer): string | undefined {
  const match = /(?:^|\n)id: ?([^\r\n]*)/.exec(bytes.toString('latin1'));
  return match?.[1];
}
