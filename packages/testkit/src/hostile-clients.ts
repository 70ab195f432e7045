import {connect, Socket} from 'node:net';

/** What one client sends: a start, then a part that repeats, both as fast as the server reads. */
interface Sending {
  readonly start: string;
  readonly part: Buffer;
  readonly partCount: number;
  /** Whether the client leaves what it is sent unread. */
  readonly isDeaf?: boolean;
}

/** A crowd of clients that exceed what a server can hold for them. */
interface Crowd {
  readonly clientCount: number;
  readonly sending: (target: HostileTarget) => Sending;
}

/** Where hostile clients send their requests. */
export interface HostileTarget {
  readonly port: number;
  /** Lines of the head of a request that the server would serve: method, path and fields. */
  readonly head: string;
  /** Lines of the head of a request for a large answer. */
  readonly largeHead: string;
  /** Maximum size of a body in bytes. */
  readonly bodyBytes: number;
}

const KIB = 1024;
const CHUNK_BYTES = 64 * KIB;
/** Bytes that are written at a time. */
const WRITE_BYTES = 64 * KIB;

const CHUNKED = 'transfer-encoding: chunked\r\n\r\n';

function formatChunk(bytes: number): string {
  return `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;
}

/** Joins repetitions of a text to a part of about {@link WRITE_BYTES}. */
function repeat(text: string, count: number): Pick<Sending, 'part' | 'partCount'> {
  const perPart = Math.min(count, Math.max(1, Math.floor(WRITE_BYTES / text.length)));
  return {part: Buffer.from(text.repeat(perPart)), partCount: Math.ceil(count / perPart)};
}

/** Crowds by name; their sizes are part of the tests that use them. */
export const CROWDS = {
  'bodies in large chunks that stop short of their end': {
    clientCount: 60,
    sending: ({head, bodyBytes}) => ({
      start: head + CHUNKED,
      ...repeat(formatChunk(CHUNK_BYTES), bodyBytes / CHUNK_BYTES),
    }),
  },
  'bodies of a stated length that stop short of their end': {
    clientCount: 60,
    sending: ({head, bodyBytes}) => ({
      start: `${head}content-length: ${bodyBytes}\r\n\r\n`,
      ...repeat('x'.repeat(CHUNK_BYTES), bodyBytes / CHUNK_BYTES - 1),
    }),
  },
  'bodies in chunks of one byte': {
    clientCount: 12,
    sending: ({head}) => ({start: head + CHUNKED, ...repeat(formatChunk(1), 150_000)}),
  },
  'bodies in chunks of sixteen bytes': {
    clientCount: 12,
    sending: ({head}) => ({start: head + CHUNKED, ...repeat(formatChunk(16), 150_000)}),
  },
  'bodies that state a length far over the limit': {
    clientCount: 60,
    sending: ({head, bodyBytes}) => ({
      start: `${head}content-length: ${16 * bodyBytes}\r\n\r\n`,
      ...repeat('x'.repeat(CHUNK_BYTES), (4 * bodyBytes) / CHUNK_BYTES),
    }),
  },
  'bodies far over the limit': {
    clientCount: 60,
    sending: ({head, bodyBytes}) => ({
      start: head + CHUNKED,
      ...repeat(formatChunk(CHUNK_BYTES), (4 * bodyBytes) / CHUNK_BYTES),
    }),
  },
  'small requests sent ahead without the usual headers': {
    clientCount: 20,
    sending: () => ({
      start: '',
      ...repeat('GET / HTTP/1.1\r\nhost: x\r\n\r\n', 30_000),
      isDeaf: true,
    }),
  },
  'requests with large heads sent ahead': {
    clientCount: 20,
    sending: () => ({
      start: '',
      ...repeat(`GET / HTTP/1.1\r\nhost: x\r\nx-large: ${'x'.repeat(9000)}\r\n\r\n`, 800),
      isDeaf: true,
    }),
  },
  'heads that stop short of their end': {
    clientCount: 200,
    sending: ({head}) => ({start: head, ...repeat(`x-a: ${'x'.repeat(1000)}\r\n`, 12)}),
  },
  'connections without a request': {
    clientCount: 400,
    sending: () => ({start: '', part: Buffer.alloc(0), partCount: 0}),
  },
  'requests whose large answers are not read': {
    clientCount: 40,
    sending: ({largeHead}) => ({
      start: `${largeHead}content-length: 0\r\n\r\n`,
      part: Buffer.alloc(0),
      partCount: 0,
      isDeaf: true,
    }),
  },
} as const satisfies Readonly<Record<string, Crowd>>;

export type CrowdName = keyof typeof CROWDS;

/** Time without progress after which a crowd has sent all that the server reads. */
const QUIET_MS = 700;
const CHECK_INTERVAL_MS = 50;

/** Sends a crowd; resolves when all has been sent or nothing is read any more. */
export async function sendCrowd(name: CrowdName, target: HostileTarget): Promise<void> {
  const {clientCount, sending}: Crowd = CROWDS[name];
  const what = sending(target);
  let progress = 0;
  let endedCount = 0;
  for (let i = 0; i < clientCount; i++) {
    const socket = connect(target.port, '127.0.0.1');
    socket.on('error', () => undefined); // Reported by `close`.
    void sendAll(socket, what, () => progress++).then(() => endedCount++);
  }
  let quietMs = 0;
  for (let seen = -1; endedCount < clientCount && quietMs < QUIET_MS; seen = progress) {
    quietMs = seen === progress ? quietMs + CHECK_INTERVAL_MS : 0;
    await new Promise(resolve => setTimeout(resolve, CHECK_INTERVAL_MS));
  }
  // Gives the server time to read what waits in its sockets.
  await new Promise(resolve => setTimeout(resolve, QUIET_MS));
}

async function sendAll(
  socket: Socket,
  {start, part, partCount, isDeaf}: Sending,
  onProgress: () => void,
): Promise<void> {
  if (isDeaf) socket.pause();
  else socket.resume();
  const closed = new Promise<void>(resolve => socket.once('close', () => resolve()));
  const write = (bytes: string | Buffer) =>
    Promise.race([closed, new Promise<void>(resolve => socket.write(bytes, () => resolve()))]);
  await write(start);
  for (let i = 0; i < partCount && !socket.destroyed; i++) {
    await write(part);
    onProgress();
  }
}
