import {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as SecureServer} from 'node:https';
import {Socket} from 'node:net';
import {ClientAccount, ClientBounds, ClientMemory} from './client-memory.js';
import {Clock} from './clock.js';
import {ClientFault, GuardedRequest} from './guarded-request.js';
import {ReadBuffers} from './read-buffers.js';

/** Settings and dependencies of {@link ClientGuard}. */
export interface ClientGuardOptions {
  readonly server: Server | SecureServer;
  readonly bounds: ClientBounds;
  readonly clock: Clock;
  /** Called for each client that exceeds a bound; `isFirst` for the first one of its kind. */
  readonly onFault: (fault: ClientFault, isFirst: boolean) => void;
}

/** Approximate size of the objects of a request and its response. */
const REQUEST_BYTES = 4096;

/** Bytes per character of a head, which is held as text and as an object. */
const HEAD_FACTOR = 2;

/**
 * Chunks and requests of a connection that are handled before it waits for its turn among those that
 * send as many; they take about as long as a small request.
 */
const TURN_EVENTS = 2000;

/** Interval at which the bytes of incomplete heads are counted. */
const HEAD_CHECK_INTERVAL_MS = 100;

/** Time for which the rest of a refused request is read, so that its client reads the refusal. */
const LINGER_MS = 1000;
const LINGER_CHECK_INTERVAL_MS = 20;

/** Time without progress after which the connection of a body may be closed for a new one. */
const MIN_STALL_MS = 1000;

/** Share of the memory in use, and time after a fault, at which memory counts as short. */
const SHORT_SHARE = 0.25;
const FAULT_MEMORY_MS = 1000;

/** Why a connection isn't read. */
type Hold = 'ahead' | 'turn' | 'refused';

interface GuardedConnection {
  readonly holds: Set<Hold>;
  /** Requests whose answers haven't been sent completely. */
  readonly requests: Set<GuardedRequest>;
  /** Holds the bytes of a head that hasn't been read completely. */
  head: ClientAccount | undefined;
  /** Bytes that had been read when the latest request or body was complete. */
  parsedBytes: number;
  /** The latest request. */
  latest: IncomingMessage | undefined;
  eventCount: number;
  /** Whether further requests are ignored, as the connection is about to be closed. */
  isEnding: boolean;
}

/** Bounds the memory and the connections that a server holds for its clients. */
export class ClientGuard {
  private readonly memory: ClientMemory;
  private readonly readBuffers = new ReadBuffers(
    () => this.memory.heldBytes,
    () => this.isShort,
  );
  private readonly connections = new Map<Socket, GuardedConnection>();
  private readonly waitingForTurn: Socket[] = [];
  private readonly reported = new Set<ClientFault>();
  private isChecking = false;
  /** Open connections, also those whose TLS session hasn't begun. */
  private openCount = 0;
  private lastFaultMs = -Infinity;

  constructor(private readonly options: ClientGuardOptions) {
    const {server, bounds, clock} = options;
    this.memory = new ClientMemory(bounds.memoryBytes, () => clock.nowMs());
    server.on('connection', (socket: Socket) => this.accept(socket));
    // Requests come on the socket of the TLS session, if there is one.
    const event = server instanceof SecureServer ? 'secureConnection' : 'connection';
    server.on(event, (socket: Socket) => {
      if (!socket.destroyed) this.track(socket);
    });
    // Without a listener Node.js would also close connections whose clients wait for an answer.
    server.on('timeout', (socket: Socket) => this.handleTimeout(socket));
  }

  /** Bytes that are held for requests. */
  get heldBytes(): number {
    return this.memory.heldBytes;
  }

  /** Whether memory is short, or soon will be. */
  private get isShort(): boolean {
    const {bounds, clock} = this.options;
    if (this.heldBytes >= bounds.memoryBytes * SHORT_SHARE) return true;
    return clock.nowMs() - this.lastFaultMs < FAULT_MEMORY_MS;
  }

  get connectionCount(): number {
    return this.openCount;
  }

  /**
   * Closes connections on which no byte of an answer has been taken for this time. Node.js counts
   * partial writes as progress.
   */
  setAnswerTimeout(timeoutMs: number): void {
    this.options.server.setTimeout(timeoutMs);
  }

  /** Counts a request; undefined if its connection is being closed and it is to be ignored. */
  begin(request: IncomingMessage, response: ServerResponse): GuardedRequest | undefined {
    const {socket} = request;
    const connection = this.connections.get(socket) ?? this.track(socket);
    if (connection.isEnding || socket.destroyed) return undefined;
    const {bounds} = this.options;
    connection.head?.release();
    connection.head = undefined;
    connection.parsedBytes = socket.bytesRead;
    connection.latest = request;
    // A body that is discarded ends without `readBody`.
    request.once('end', () => (connection.parsedBytes = socket.bytesRead));
    if (connection.requests.size >= bounds.pendingRequests) {
      this.closeAtOnce(socket, 'requestsAhead');
      return undefined;
    }
    const guarded = new GuardedRequest(this.memory, request, {
      onChunk: bytes => {
        this.countEvent(socket);
        this.readBuffers.count(bytes);
      },
      onFault: fault => this.report(fault),
      clock: this.options.clock,
      closeAfterAnswer: maxBytes => this.closeAfterAnswer(socket, maxBytes),
    });
    const isFirst = connection.requests.size === 0;
    if (!guarded.account.grow(REQUEST_BYTES + HEAD_FACTOR * countHeadBytes(request))) {
      if (!isFirst) {
        this.closeAtOnce(socket, 'memory');
        return undefined;
      }
      this.report('memory');
      guarded.hasMemory = false;
    }
    connection.requests.add(guarded);
    response.once('close', () => this.finish(socket, guarded));
    if (connection.requests.size >= bounds.pausedRequests) this.hold(socket, 'ahead');
    if (!isFirst) this.countEvent(socket);
    return guarded;
  }

  private accept(socket: Socket): void {
    this.openCount++;
    socket.once('close', () => this.openCount--);
    if (this.openCount <= this.options.bounds.connections) return;
    this.report('connections');
    const other = this.findClosable();
    if (other) this.connections.delete(other);
    (other ?? socket).destroy();
  }

  private track(socket: Socket): GuardedConnection {
    const connection: GuardedConnection = {
      holds: new Set(),
      requests: new Set(),
      head: undefined,
      parsedBytes: socket.bytesRead,
      latest: undefined,
      eventCount: 0,
      isEnding: false,
    };
    this.connections.set(socket, connection);
    // Node.js resumes a socket at the end of each request.
    socket.on('resume', () => {
      if (connection.holds.size > 0) socket.pause();
    });
    socket.once('close', () => {
      this.connections.delete(socket);
      connection.head?.release();
      // Node.js 20 emits no event for responses that wait for an earlier one.
      for (const guarded of connection.requests) guarded.account.release();
      connection.requests.clear();
    });
    this.startChecking();
    return connection;
  }

  private finish(socket: Socket, guarded: GuardedRequest): void {
    guarded.account.release();
    const connection = this.connections.get(socket);
    if (!connection?.requests.delete(guarded)) return;
    if (connection.requests.size < this.options.bounds.pausedRequests / 2)
      this.release(socket, 'ahead');
  }

  /**
   * The connection to be closed for a new one: an idle one, or one whose head isn't complete, or the
   * one whose body has stalled longest. Undefined if all have requests that are served.
   */
  private findClosable(): Socket | undefined {
    let incomplete: Socket | undefined;
    let stalled: Socket | undefined;
    let stalledSinceMs = this.options.clock.nowMs() - MIN_STALL_MS;
    for (const [socket, {requests, parsedBytes}] of this.connections) {
      if (requests.size === 0) {
        if (socket.bytesRead === parsedBytes) return socket;
        incomplete ??= socket;
        continue;
      }
      const [first] = requests;
      if (requests.size > 1 || !first.isReading) continue;
      if (first.account.progressAtMs > stalledSinceMs) continue;
      stalledSinceMs = first.account.progressAtMs;
      stalled = socket;
    }
    return incomplete ?? stalled;
  }

  private handleTimeout(socket: Socket): void {
    const connection = this.connections.get(socket);
    if (!connection || connection.requests.size === 0) socket.destroy();
    else if (socket.writableLength > 0) this.closeAtOnce(socket, 'answerUnread');
  }

  private report(fault: ClientFault): void {
    const isFirst = !this.reported.has(fault);
    this.reported.add(fault);
    this.lastFaultMs = this.options.clock.nowMs();
    this.options.onFault(fault, isFirst);
  }

  private closeAtOnce(socket: Socket, fault: ClientFault): void {
    const connection = this.connections.get(socket);
    if (connection) connection.isEnding = true;
    this.report(fault);
    socket.destroy();
  }

  /**
   * Closes a connection when the answer to its latest request has been sent. The rest of that request
   * is read and discarded up to `maxBytes`: a connection that is closed with unread bytes is reset,
   * which may destroy the answer.
   */
  private closeAfterAnswer(socket: Socket, maxBytes: number): void {
    const connection = this.connections.get(socket);
    if (!connection || connection.isEnding) return;
    connection.isEnding = true;
    const {clock} = this.options;
    const lastBytes = socket.bytesRead + maxBytes;
    let untilMs = Infinity;
    const check = () => {
      if (socket.destroyed) return;
      const isOver = socket.bytesRead > lastBytes;
      if (clock.nowMs() >= untilMs || (isOver && untilMs < Infinity)) {
        socket.destroy();
        return;
      }
      // One read at each check: what is discarded takes memory until it is collected.
      if (!isOver) this.release(socket, 'refused');
      setImmediate(() => setImmediate(() => this.hold(socket, 'refused')));
      clock.setTimer(LINGER_CHECK_INTERVAL_MS, check);
    };
    // Called by Node.js when the last answer has been handed to the socket.
    socket.destroySoon = () => {
      untilMs = clock.nowMs() + LINGER_MS;
      socket.end();
      this.release(socket, 'ahead');
    };
    this.hold(socket, 'refused');
    clock.setTimer(LINGER_CHECK_INTERVAL_MS, check);
  }

  private hold(socket: Socket, reason: Hold): void {
    const connection = this.connections.get(socket);
    if (!connection || connection.holds.has(reason)) return;
    connection.holds.add(reason);
    socket.pause();
  }

  private release(socket: Socket, reason: Hold): void {
    const connection = this.connections.get(socket);
    if (!connection?.holds.delete(reason) || connection.holds.size > 0) return;
    if (!socket.destroyed) socket.resume();
  }

  /** Lets connections that send very many chunks or requests be read in turn, one at a time. */
  private countEvent(socket: Socket): void {
    const connection = this.connections.get(socket);
    if (!connection || ++connection.eventCount < TURN_EVENTS) return;
    connection.eventCount = 0;
    if (connection.holds.has('turn')) return;
    this.hold(socket, 'turn');
    if (this.waitingForTurn.push(socket) === 1) setImmediate(() => this.giveTurn());
  }

  private giveTurn(): void {
    const [socket] = this.waitingForTurn.splice(0, 1);
    this.release(socket, 'turn');
    if (this.waitingForTurn.length > 0) setImmediate(() => this.giveTurn());
  }

  private startChecking(): void {
    if (this.isChecking) return;
    this.isChecking = true;
    this.options.clock.setTimer(HEAD_CHECK_INTERVAL_MS, () => {
      this.isChecking = false;
      this.countHeads();
      if (this.connections.size > 0) this.startChecking();
    });
  }

  /** Counts the bytes of heads that haven't been read completely. */
  private countHeads(): void {
    for (const [socket, connection] of this.connections) {
      const {requests, latest, isEnding} = connection;
      if (requests.size > 0 || isEnding || latest?.complete === false) continue;
      const bytes = HEAD_FACTOR * (socket.bytesRead - connection.parsedBytes);
      connection.head ??= bytes > 0 ? this.memory.open(() => socket.destroy()) : undefined;
      const growth = bytes - (connection.head?.heldBytes ?? 0);
      if (connection.head && growth > 0 && !connection.head.grow(growth))
        this.closeAtOnce(socket, 'memory');
    }
  }
}

function countHeadBytes(request: IncomingMessage): number {
  let bytes = request.url?.length ?? 0;
  for (const text of request.rawHeaders) bytes += text.length;
  return bytes;
}
