import {createServer, Server, Socket} from 'node:net';
import {AddressInfo} from 'node:net';
import {RequestFields, splitRequests} from './raw-requests.js';

/** Bytes that a server sends in answer to a request: a start, then a part that repeats. */
export interface EndlessAnswer {
  readonly start: string;
  readonly repeated: string;
  /** Time between repetitions; without it, they are sent as fast as the client reads. */
  readonly intervalMs?: number;
}

/** Size of a write of repeated bytes. */
const WRITE_BYTES = 64 * 1024;

/** Answers that never end in their heads, by description. */
export const ENDLESS_HEADS: Readonly<Record<string, EndlessAnswer>> = {
  'a status line': {start: 'HTTP/1.1 200 ', repeated: 'a'},
  'a header': {start: 'HTTP/1.1 200 OK\r\nx-a: ', repeated: 'a'},
  headers: {start: 'HTTP/1.1 200 OK\r\n', repeated: 'x-a: b\r\n'},
  'interim answers': {start: '', repeated: 'HTTP/1.1 102 Processing\r\n\r\n'},
  'a slow header': {start: 'HTTP/1.1 200 OK\r\nx-a: ', repeated: 'a', intervalMs: 50},
};

/** Creates answers that never end in their bodies, by description. */
export function createEndlessBodies(
  fields: readonly string[],
): Readonly<Record<string, EndlessAnswer>> {
  const start = (status: string, ...more: string[]) =>
    [`HTTP/1.1 ${status}`, ...fields, ...more, '', ''].join('\r\n');
  const chunked = start('200 OK', 'transfer-encoding: chunked');
  return {
    'a body without a length': {start: start('200 OK'), repeated: 'a'},
    'a body with a length': {
      start: start('200 OK', 'content-length: 1000000000000'),
      repeated: 'a',
    },
    chunks: {start: chunked, repeated: `1000\r\n${'a'.repeat(0x1000)}\r\n`},
    'a chunk extension': {start: `${chunked}5;`, repeated: 'a'},
    trailers: {start: `${chunked}0\r\n`, repeated: 'x-a: b\r\n'},
    lines: {start: start('200 OK'), repeated: 'data: a\n'},
    events: {start: start('200 OK'), repeated: 'id: 1\ndata: a\n\n'},
    'an error': {start: start('500 Internal Server Error'), repeated: 'a'},
    'a slow body': {start: start('200 OK'), repeated: 'a', intervalMs: 50},
    'a slow error': {start: start('503 Service Unavailable'), repeated: 'a', intervalMs: 50},
    'bytes after the end': {start: `${start('200 OK', 'content-length: 2')}ok`, repeated: 'a'},
  };
}

const SHORT_FIELD = 'a:\r\n';
/** Fewer characters of names and values than parsers usually allow, in as many fields. */
const SHORT_FIELDS = SHORT_FIELD.repeat(15_000);
const FIELD_INTERVAL_MS = 50;

/** Creates answers that never end and come in very small pieces, by description. */
export function createSmallPieces(
  fields: readonly string[],
): Readonly<Record<string, EndlessAnswer>> {
  const start = (status: string, ...more: string[]) =>
    [`HTTP/1.1 ${status}`, ...fields, ...more, '', ''].join('\r\n');
  const chunked = start('200 OK', 'transfer-encoding: chunked');
  const brokenChunked = start('500 Internal Server Error', 'transfer-encoding: chunked');
  return {
    'an error in chunks of one byte': {start: brokenChunked, repeated: '1\r\na\r\n'},
    'an error in chunks of seven bytes': {start: brokenChunked, repeated: '7\r\naaaaaaa\r\n'},
    'chunks of one byte': {start: chunked, repeated: '1\r\na\r\n'},
    'chunks of seven bytes': {start: chunked, repeated: '7\r\naaaaaaa\r\n'},
    'chunks of one line end': {start: chunked, repeated: '1\r\n\n\r\n'},
    'tiny events': {start: start('200 OK'), repeated: 'data:a\n\n'},
    comments: {start: start('200 OK'), repeated: ':\n\n'},
    'lines of one byte': {start: start('200 OK'), repeated: 'a\n'},
    'short fields of a head': {
      start: `HTTP/1.1 200 OK\r\n${SHORT_FIELDS}`,
      repeated: SHORT_FIELD,
      intervalMs: FIELD_INTERVAL_MS,
    },
    'short fields of a trailer': {
      start: `${chunked}0\r\n${SHORT_FIELDS}`,
      repeated: SHORT_FIELD,
      intervalMs: FIELD_INTERVAL_MS,
    },
  };
}

/** Creates whole answers of JSON that takes far more memory than its text, by description. */
export function createLargeDocuments(
  fields: readonly string[],
  maxBytes: number,
): Readonly<Record<string, EndlessAnswer>> {
  const repeat = (item: string) => `${item},`.repeat(maxBytes / (item.length + 1) - 10);
  const list = (item: string) => `[${repeat(item)}${item}]`;
  const makeFields = (_: unknown, i: number) => `"field-${i}":0`;
  const documents = {
    'a list of empty objects': list('{}'),
    'a list of empty lists': list('[]'),
    'a list of fractions': list('0.1'),
    'an object of many fields': `{${Array.from({length: maxBytes / 20}, makeFields).join()}}`,
    'a handle beside a list of empty lists': `{"cache-handle":"h","version":${list('[]')}}`,
    'a long handle': `{"cache-handle":"${'h'.repeat(maxBytes - 100)}"}`,
    'a handle of escapes': `{"cache-handle":"${'\\u0068'.repeat(maxBytes / 6 - 100)}"}`,
  };
  const answers = Object.entries(documents).map(([description, text]) => {
    const length = `content-length: ${Buffer.byteLength(text)}`;
    const head = ['HTTP/1.1 200 OK', ...fields, 'content-type: application/json', length];
    return [description, {start: [...head, '', text].join('\r\n'), repeated: ''}];
  });
  return Object.fromEntries(answers) as Record<string, EndlessAnswer>;
}

/** HTTP server whose answers never end. */
export class EndlessServer {
  readonly sockets = new Set<Socket>();
  /** Number of requests received. */
  requestCount = 0;
  /** Returns the answer to a request; a `repeated` part that is empty ends it. */
  answer: (fields: RequestFields) => EndlessAnswer = () => ({start: '', repeated: ''});
  private readonly server: Server = createServer(socket => this.handle(socket));

  /** Starts to listen; returns the address. */
  async start(): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private handle(socket: Socket): void {
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
    socket.on('error', () => undefined); // A `close` event follows.
    socket.on(
      'data',
      splitRequests(fields => {
        this.requestCount++;
        send(socket, this.answer(fields));
      }),
    );
  }
}

function send(socket: Socket, {start, repeated, intervalMs}: EndlessAnswer): void {
  socket.write(start);
  if (repeated === '') return;
  if (intervalMs !== undefined) {
    const timer = setInterval(() => socket.write(repeated), intervalMs);
    socket.once('close', () => clearInterval(timer));
    return;
  }
  const block = Buffer.from(repeated.repeat(Math.ceil(WRITE_BYTES / repeated.length)));
  const fill = () => {
    while (!socket.destroyed && socket.write(block));
  };
  socket.on('drain', fill);
  fill();
}
