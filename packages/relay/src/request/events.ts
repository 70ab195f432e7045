const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

const ID_FIELD = Buffer.from('id:');

/** Complete events of a stream that follow each other, including the blank lines that end them. */
export interface StreamEvents {
  readonly bytes: Buffer;
  /** Number of events. */
  readonly count: number;
  /** Value of the last `id` field; undefined if none of the events has one. */
  readonly lastId: string | undefined;
}

/** Minimum size of a buffer for an incomplete event. */
const MIN_BUFFER_BYTES = 1024;

/** Splits a byte stream into complete events; buffers an incomplete one until more bytes arrive. */
export class EventSplitter {
  private remainder: Buffer = Buffer.alloc(0);
  /** Unused bytes that follow the remainder in its buffer. */
  private spare: Buffer = Buffer.alloc(0);
  private scannedBytes = 0;

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.remainder.length;
  }

  /** The bytes after the last complete event. */
  get pending(): Buffer {
    return this.remainder;
  }

  /**
   * Adds bytes and returns the events that they complete, as one entry if there are any: an event may
   * have three bytes, far less than an object for it.
   */
  push(chunk: Buffer): StreamEvents[] {
    this.append(chunk);
    const {remainder} = this;
    let count = 0;
    let start = 0;
    let idOffset = -1;
    let lastId: string | undefined;
    for (let end = this.findEventEnd(); end > 0; end = this.findEventEnd()) {
      if (idOffset < start) {
        idOffset = remainder.indexOf(ID_FIELD, start);
        if (idOffset < 0) idOffset = Infinity;
      }
      if (idOffset < end) lastId = readEventId(remainder.subarray(start, end)) ?? lastId;
      count++;
      start = end;
      this.scannedBytes = end;
    }
    if (count === 0) return [];
    this.remainder = remainder.subarray(start);
    this.scannedBytes -= start;
    return [{bytes: remainder.subarray(0, start), count, lastId}];
  }

  /** Removes and returns the bytes after the last complete event. */
  takeRemainder(): Buffer {
    const {remainder} = this;
    this.remainder = Buffer.alloc(0);
    this.spare = Buffer.alloc(0);
    this.scannedBytes = 0;
    return remainder;
  }

  /** The buffer grows by factors, so that small chunks don't copy a large event again and again. */
  private append(chunk: Buffer): void {
    const {remainder} = this;
    if (remainder.length === 0) {
      this.remainder = chunk;
      this.spare = Buffer.alloc(0);
      return;
    }
    if (chunk.length > this.spare.length) {
      const capacityBytes = Math.max(MIN_BUFFER_BYTES, 2 * (remainder.length + chunk.length));
      const buffer = Buffer.allocUnsafeSlow(capacityBytes);
      buffer.set(remainder);
      this.remainder = buffer.subarray(0, remainder.length);
      this.spare = buffer.subarray(remainder.length);
    }
    this.spare.set(chunk);
    const {buffer, byteOffset, length} = this.remainder;
    this.remainder = Buffer.from(buffer, byteOffset, length + chunk.length);
    this.spare = this.spare.subarray(chunk.length);
  }

  /** Offset after the next blank line that ends an event; 0 if there is none yet. */
  private findEventEnd(): number {
    const {remainder} = this;
    for (;;) {
      const lineEnd = remainder.indexOf(LINE_FEED, this.scannedBytes);
      if (lineEnd < 0) {
        this.scannedBytes = remainder.length;
        return 0;
      }
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
