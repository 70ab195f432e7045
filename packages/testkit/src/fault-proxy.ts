import {once} from 'node:events';
import {createServer as createHttpServer} from 'node:http';
import {AddressInfo, connect, createServer, Server, Socket} from 'node:net';
import {createSeededRandom, RandomSource} from '@radishgw/core';
import {readBody, sendJson} from './http.js';

/** Faults of one direction of the proxied connections. */
export interface DirectionFaults {
  /** Delay of each read before it is forwarded; reads stay in order. */
  delayMs: number;
  /** Probability that a read is dropped; later bytes are still forwarded. */
  dropProbability: number;
  /** Connections stay open but nothing is forwarded; bytes are queued until this is set to false. */
  frozen: boolean;
  /** Freezes this direction of each connection after this number of bytes; 0 for never. */
  freezeAfterBytes: number;
  /** Cuts each connection after this number of bytes in this direction; 0 for never. */
  cutAfterBytes: number;
  /** Whether a connection is cut by a FIN or an RST segment. */
  cutWith: 'fin' | 'rst';
}

/** Faults of a proxy; changes also apply to open connections. */
export interface ProxyFaults {
  readonly toTarget: DirectionFaults;
  readonly toClient: DirectionFaults;
  /** New connections are reset immediately. */
  refuseNew: boolean;
}

/** Counters of a proxy. */
export interface ProxyRecord {
  connections: number;
  bytesToTarget: number;
  bytesToClient: number;
  cuts: number;
}

/** Options of {@link startFaultProxy}. */
export interface FaultProxyOptions {
  /** URL of the server behind the proxy. */
  readonly targetUrl: string;
  readonly seed: number;
  readonly port?: number;
}

type Direction = 'toTarget' | 'toClient';

const NO_FAULTS: DirectionFaults = {
  delayMs: 0,
  dropProbability: 0,
  frozen: false,
  freezeAfterBytes: 0,
  cutAfterBytes: 0,
  cutWith: 'rst',
};

/** What has been forwarded in one direction of one connection. */
export interface FlowRecord {
  readonly bytes: number;
  /** Time for which the data that was forwarded last had been held back. */
  readonly heldMs: number;
  /** Whether nothing more is forwarded. */
  readonly isClosed: boolean;
}

/** One direction of one connection. */
interface Flow extends FlowRecord {
  readonly direction: Direction;
  readonly source: Socket;
  readonly sink: Socket;
  bytes: number;
  heldMs: number;
  isClosed: boolean;
  frozen: boolean;
  /**
   * Data held back by a delay or a freeze, oldest first. An entry without data is the end of the
   * stream.
   */
  readonly queue: {
    readonly data: Buffer | undefined;
    readonly readMs: number;
    readonly dueMs: number;
  }[];
}

/** TCP proxy that injects faults. The seed and the order of reads determine the random faults. */
export class FaultProxy {
  readonly faults: ProxyFaults = {
    toTarget: {...NO_FAULTS},
    toClient: {...NO_FAULTS},
    refuseNew: false,
  };
  readonly record: ProxyRecord = {connections: 0, bytesToTarget: 0, bytesToClient: 0, cuts: 0};
  private readonly random: RandomSource;
  private readonly flows = new Set<Flow>();
  /** Includes sockets whose flows have ended: a half-closed one would stay open after a stop. */
  private readonly sockets = new Set<Socket>();

  constructor(
    readonly server: Server,
    /** URL of the proxy itself. */
    readonly url: string,
    private readonly target: {readonly host: string; readonly port: number},
    seed: number,
  ) {
    this.random = createSeededRandom(seed);
    server.on('connection', socket => this.accept(socket));
  }

  /** Changes faults of one direction or both, and forwards queued data that is no longer frozen. */
  setFaults(direction: Direction | 'both', faults: Partial<DirectionFaults>): void {
    const directions: Direction[] = direction === 'both' ? ['toTarget', 'toClient'] : [direction];
    for (const each of directions) Object.assign(this.faults[each], faults);
    for (const flow of [...this.flows]) this.forwardDue(flow);
  }

  /** Switches off all faults, also on open connections. */
  clearFaults(): void {
    this.faults.refuseNew = false;
    for (const flow of this.flows) flow.frozen = false;
    this.setFaults('both', NO_FAULTS);
  }

  /** Cuts all open connections. */
  cutAll(mode: 'fin' | 'rst'): void {
    for (const flow of [...this.flows]) this.cut(flow, mode);
  }

  /** One direction of an open connection, which the target knows by its remote port. */
  findFlow(direction: Direction, remotePort: number | undefined): FlowRecord | undefined {
    return [...this.flows].find(flow => {
      const target = flow.direction === 'toTarget' ? flow.sink : flow.source;
      return flow.direction === direction && target.localPort === remotePort;
    });
  }

  async stop(): Promise<void> {
    const closed = once(this.server, 'close');
    // First, so that a peer that has lost its connection can't open another one.
    this.server.close();
    this.cutAll('rst');
    for (const socket of this.sockets) socket.destroy();
    await closed;
  }

  private accept(client: Socket): void {
    this.record.connections++;
    client.on('error', () => undefined);
    if (this.faults.refuseNew) {
      client.resetAndDestroy();
      return;
    }
    const target = connect({...this.target, noDelay: true, allowHalfOpen: true});
    client.setNoDelay(true);
    for (const socket of [client, target]) {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    }
    target.on('error', () => client.resetAndDestroy());
    this.startFlow('toTarget', client, target);
    this.startFlow('toClient', target, client);
  }

  private startFlow(direction: Direction, source: Socket, sink: Socket): void {
    const flow: Flow = {
      direction,
      source,
      sink,
      bytes: 0,
      heldMs: 0,
      isClosed: false,
      frozen: false,
      queue: [],
    };
    this.flows.add(flow);
    source.on('data', data => this.enqueue(flow, data));
    source.on('end', () => this.enqueue(flow, undefined));
    source.once('close', hadError => {
      if (hadError) sink.destroy();
      if (sink.destroyed) this.remove(flow);
    });
    sink.once('close', () => {
      this.remove(flow);
      source.destroy();
    });
  }

  private enqueue(flow: Flow, data: Buffer | undefined): void {
    const {delayMs, dropProbability} = this.faults[flow.direction];
    if (data && dropProbability > 0 && this.random.next() < dropProbability) return;
    const readMs = performance.now();
    flow.queue.push({data, readMs, dueMs: readMs + delayMs});
    if (delayMs > 0) setTimeout(() => this.forwardDue(flow), delayMs);
    else this.forwardDue(flow);
  }

  private forwardDue(flow: Flow): void {
    while (flow.queue.length > 0 && this.flows.has(flow)) {
      const faults = this.faults[flow.direction];
      if (faults.frozen || flow.frozen) return;
      const {data, readMs, dueMs} = flow.queue[0];
      const remainingMs = dueMs - performance.now();
      if (remainingMs > 1) {
        setTimeout(() => this.forwardDue(flow), remainingMs);
        return;
      }
      flow.queue.shift();
      flow.heldMs = performance.now() - readMs;
      if (data) this.forward(flow, data, readMs, faults);
      else flow.sink.end();
    }
  }

  private remove(flow: Flow): void {
    this.flows.delete(flow);
    flow.isClosed = true;
  }

  private forward(flow: Flow, data: Buffer, readMs: number, faults: DirectionFaults): void {
    const limits = [faults.cutAfterBytes, faults.freezeAfterBytes].filter(limit => limit > 0);
    const remainingBytes = Math.max(0, Math.min(...limits, Number.MAX_SAFE_INTEGER) - flow.bytes);
    const forwarded = data.subarray(0, remainingBytes);
    flow.bytes += forwarded.length;
    this.record[flow.direction === 'toTarget' ? 'bytesToTarget' : 'bytesToClient'] +=
      forwarded.length;
    if (forwarded.length > 0) flow.sink.write(forwarded);
    if (faults.cutAfterBytes > 0 && flow.bytes >= faults.cutAfterBytes) {
      this.cut(flow, faults.cutWith);
    } else if (forwarded.length < data.length) {
      flow.frozen = true;
      flow.queue.unshift({data: data.subarray(forwarded.length), readMs, dueMs: 0});
    }
  }

  private cut(flow: Flow, mode: 'fin' | 'rst'): void {
    if (!this.flows.has(flow)) return;
    this.record.cuts++;
    for (const other of [...this.flows]) {
      if (other.source === flow.source || other.source === flow.sink) this.remove(other);
    }
    for (const socket of [flow.source, flow.sink]) {
      if (mode === 'rst') socket.resetAndDestroy();
      else socket.end(() => socket.destroy());
    }
  }
}

/** Starts a proxy on the loopback interface within this process. */
export async function startFaultProxy(options: FaultProxyOptions): Promise<FaultProxy> {
  const {hostname, port} = new URL(options.targetUrl);
  const server = createServer({allowHalfOpen: true, noDelay: true});
  server.listen(options.port ?? 0, '127.0.0.1');
  await once(server, 'listening');
  const address = server.address() as AddressInfo;
  const url = `http://127.0.0.1:${address.port}`;
  return new FaultProxy(server, url, {host: hostname, port: Number(port)}, options.seed);
}

/**
 * Starts an HTTP server that controls a proxy: `GET /record`, `POST /faults` with
 * `{direction, faults, refuseNew}`, `POST /clear` and `POST /cut` with `{how}`.
 */
export async function startProxyControl(
  proxy: FaultProxy,
  port = 0,
): Promise<{url: string; stop(): void}> {
  const handlers: Readonly<Record<string, (body: Record<string, unknown>) => void>> = {
    'GET /record': () => undefined,
    'POST /faults': ({direction = 'both', faults = {}, refuseNew}) => {
      if (typeof refuseNew === 'boolean') proxy.faults.refuseNew = refuseNew;
      proxy.setFaults(direction as Direction | 'both', faults as Partial<DirectionFaults>);
    },
    'POST /clear': () => proxy.clearFaults(),
    'POST /cut': ({how = 'rst'}) => proxy.cutAll(how as 'fin' | 'rst'),
  };
  const server = createHttpServer((request, response) => {
    void (async () => {
      const handler = handlers[`${request.method} ${request.url}`];
      const text = await readBody(request);
      if (!handler) {
        sendJson(response, 404, {message: 'no such call'});
        return;
      }
      handler(text === '' ? {} : (JSON.parse(text) as Record<string, unknown>));
      sendJson(response, 200, {record: proxy.record, faults: proxy.faults});
    })().catch(error => sendJson(response, 400, {message: String(error)}));
  });
  server.listen(port, '127.0.0.1');
  await once(server, 'listening');
  const address = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${address.port}`,
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}
