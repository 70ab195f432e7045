import {Socket} from 'node:net';

/** Maximum number of lines of a head or a trailer; servers send some dozen fields. */
const MAX_LINES = 256;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/**
 * Bounds the header fields of answers on a connection. The parser bounds the characters of their
 * names and values, but keeps some hundred bytes for each field until the head or the trailer ends.
 */
export class AnswerFields {
  private isInHead = false;
  /** Lines of what the parser hasn't reported yet. */
  private lineCount = 0;
  /** Bytes that the parser got last, unless it has reported something since. */
  private latest: Buffer | undefined;

  /** Called when a request is sent, whose answer begins with a head. */
  expectHead(): void {
    this.isInHead = true;
    this.lineCount = 0;
    this.latest = undefined;
  }

  /** Called when the parser has reported a head, a part of a body or the end of an answer. */
  recordReport(): void {
    this.isInHead = false;
    this.lineCount = 0;
    this.latest = undefined;
  }

  /** Adds bytes that the parser gets next; false if there are too many lines. */
  push(chunk: Buffer): boolean {
    if (this.isInHead) {
      this.lineCount += countLines(chunk, true);
    } else {
      // A trailer can't be told from the content of a body before the parser has had it.
      this.lineCount += this.latest ? countLines(this.latest, false) : 0;
      this.latest = chunk;
    }
    return this.lineCount <= MAX_LINES;
  }
}

/** Has a socket fail instead of passing on more fields than `fields` allows. */
export function boundFields(socket: Socket, fields: AnswerFields): Socket {
  const read = socket.read.bind(socket) as (size?: number) => Buffer | null;
  socket.read = (size?: number): Buffer | null => {
    const chunk = read(size);
    if (!chunk || fields.push(chunk)) return chunk;
    socket.destroy(new Error('answer has too many header fields'));
    return null;
  };
  return socket;
}

/** Counts line ends; those of a head only up to an empty line, behind which a body may follow. */
function countLines(chunk: Buffer, isHead: boolean): number {
  let count = 0;
  let isEmpty = false;
  for (const byte of chunk) {
    if (byte === LINE_FEED) {
      if (isHead && isEmpty) break;
      count++;
      isEmpty = true;
    } else if (byte !== CARRIAGE_RETURN) {
      isEmpty = false;
    }
  }
  return count;
}
