const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** A complete event of a stream, including the blank line that ends it. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Value of its `id` field, if it has one. */
  readonly id: string | undefined;
}

/** Splits a byte stream into complete events; buffers an incomplete one until more bytes arrive. */
export class EventSplitter {
  private remainder: Buffer = Buffer.alloc(0);
  private scannedBytes = 0;

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.remainder.length;
  }

  /** The bytes after the last complete event. */
  get pending(): Buffer {
    return this.remainder;
  }

  /** Adds bytes and returns the events that they complete. */
  push(chunk: Buffer): StreamEvent[] {
    this.remainder = this.remainder.length > 0 ? Buffer.concat([this.remainder, chunk]) : chunk;
    const events: StreamEvent[] = [];
    for (let end = this.findEventEnd(); end > 0; end = this.findEventEnd()) {
      const bytes = this.remainder.subarray(0, end);
      events.push({bytes, id: readEventId(bytes)});
      this.remainder = this.remainder.subarray(end);
      this.scannedBytes = 0;
    }
    return events;
  }

  /** Removes and returns the bytes after the last complete event. */
  takeRemainder(): Buffer {
    const {remainder} = this;
    this.remainder = Buffer.alloc(0);
    this.scannedBytes = 0;
    return remainder;
  }

  /** Offset after the blank line that ends the first event; 0 if there is none yet. */
  private findEventEnd(): number {
    const {remainder} = this;
    for (;;) {
      const lineEnd = remainder.indexOf(LINE_FEED, this.scannedBytes);
      if (lineEnd < 0) return 0;
      if (remainder[lineEnd + 1] === LINE_FEED) return lineEnd + 2;
      if (remainder[lineEnd + 1] === CARRIAGE_RETURN && remainder[lineEnd + 2] === LINE_FEED)
        return lineEnd + 3;
      if (lineEnd + 2 >= remainder.length) return 0;
      this.scannedBytes = lineEnd + 1;
    }
  }
}

function readEventId(bytes: Buffer): string | undefined {
  const match = /(?:^|\n)id: ?([^\r\n]*)/.exec(bytes.toString('latin1'));
  return match?.[1];
}
