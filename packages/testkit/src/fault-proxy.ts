import {once} from 'node:events';
import {createServer as createHttpServer} from 'node:http';
import {AddressInfo, connect, createServer, Server, Socket} from 'node:net';
import {createSeededRandom, RandomSource} from '@radishgw/core';
import {readText, sendJson} from './http.js';

/** Faults of one direction of a proxied connection. */
export interface DirectionFaults {
  /** Each read is passed on this much later, in order. */
  delayMs: number;
  /** Probability of a read being dropped; the bytes after it are passed on. */
  dropProbability: number;
  /** Nothing is passed on, and the connection stays open; bytes wait until this is switched off. */
  frozen: boolean;
  /** Freezes this direction of each connection after so many bytes; 0 for never. */
  freezeAfterBytes: number;
  /** Cuts each connection after so many bytes in this direction; 0 for never. */
  cutAfterBytes: number;
  /** How a connection is cut. */
  cutWith: 'fin' | 'rst';
}

/** Faults of a proxy; changes also apply to open connections. */
export interface ProxyFaults {
  readonly toTarget: DirectionFaults;
  readonly toClient: DirectionFaults;
  /** New connections are reset at once. */
  refuseNew: boolean;
}

/** What a proxy has seen. */
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

type DirectionName = 'toTarget' | 'toClient';

const NO_FAULTS: DirectionFaults = {
  delayMs: 0,
  dropProbability: 0,
  frozen: false,
  freezeAfterBytes: 0,
  cutAfterBytes: 0,
  cutWith: 'rst',
};

/** One direction of one connection. */
interface Flow {
  readonly name: DirectionName;
  readonly from: Socket;
  readonly to: Socket;
  bytes: number;
  frozen: boolean;
  /** Pieces that wait for their delay or for the end of a freeze, oldest first. */
  readonly queue: {readonly data: Buffer | undefined; readonly dueMs: number}[];
}

/** TCP proxy that injects faults; the random ones follow from the seed and the order of reads. */
export class FaultProxy {
  readonly faults: ProxyFaults = {
    toTarget: {...NO_FAULTS},
    toClient: {...NO_FAULTS},
    refuseNew: false,
  };
  readonly record: ProxyRecord = {connections: 0, bytesToTarget: 0, bytesToClient: 0, cuts: 0};
  private readonly random: RandomSource;
  private readonly flows = new Set<Flow>();
  /** Also those whose flows have ended; a half-closed socket would outlive the proxy. */
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

  /** Changes faults of one direction, or of both, and takes up what waited on a freeze. */
  setFaults(direction: DirectionName | 'both', faults: Partial<DirectionFaults>): void {
    const names: DirectionName[] = direction === 'both' ? ['toTarget', 'toClient'] : [direction];
    for (const name of names) Object.assign(this.faults[name], faults);
    for (const flow of [...this.flows]) this.pump(flow);
  }

  /** Switches all faults off. */
  clearFaults(): void {
    this.faults.refuseNew = false;
    for (const flow of this.flows) flow.frozen = false;
    this.setFaults('both', NO_FAULTS);
  }

  /** Cuts all open connections. */
  cutAll(how: 'fin' | 'rst'): void {
    for (const flow of [...this.flows]) this.cut(flow, how);
  }

  async stop(): Promise<void> {
    this.cutAll('rst');
    for (const socket of this.sockets) socket.destroy();
    const closed = once(this.server, 'close');
    this.server.close();
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

  private startFlow(name: DirectionName, from: Socket, to: Socket): void {
    const flow: Flow = {name, from, to, bytes: 0, frozen: false, queue: []};
    this.flows.add(flow);
    from.on('data', data => this.take(flow, data));
    from.on('end', () => this.take(flow, undefined));
    from.once('close', hadError => {
      if (hadError) to.destroy();
      if (to.destroyed) this.flows.delete(flow);
    });
    to.once('close', () => {
      this.flows.delete(flow);
      from.destroy();
    });
  }

  private take(flow: Flow, data: Buffer | undefined): void {
    const {delayMs, dropProbability} = this.faults[flow.name];
    if (data && dropProbability > 0 && this.random.next() < dropProbability) return;
    flow.queue.push({data, dueMs: performance.now() + delayMs});
    if (delayMs > 0) setTimeout(() => this.pump(flow), delayMs);
    else this.pump(flow);
  }

  private pump(flow: Flow): void {
    while (flow.queue.length > 0 && this.flows.has(flow)) {
      const faults = this.faults[flow.name];
      if (faults.frozen || flow.frozen) return;
      const {data, dueMs} = flow.queue[0];
      const restMs = dueMs - performance.now();
      if (restMs > 1) {
        setTimeout(() => this.pump(flow), restMs);
        return;
      }
      flow.queue.shift();
      if (data) this.pass(flow, data, faults);
      else flow.to.end();
    }
  }

  private pass(flow: Flow, data: Buffer, faults: DirectionFaults): void {
    const limits = [faults.cutAfterBytes, faults.freezeAfterBytes].filter(limit => limit > 0);
    const room = Math.max(0, Math.min(...limits, Number.MAX_SAFE_INTEGER) - flow.bytes);
    const part = data.subarray(0, room);
    flow.bytes += part.length;
    this.record[flow.name === 'toTarget' ? 'bytesToTarget' : 'bytesToClient'] += part.length;
    if (part.length > 0) flow.to.write(part);
    if (faults.cutAfterBytes > 0 && flow.bytes >= faults.cutAfterBytes) {
      this.cut(flow, faults.cutWith);
    } else if (part.length < data.length) {
      flow.frozen = true;
      flow.queue.unshift({data: data.subarray(part.length), dueMs: 0});
    }
  }

  private cut(flow: Flow, how: 'fin' | 'rst'): void {
    if (!this.flows.has(flow)) return;
    this.record.cuts++;
    for (const other of [...this.flows]) {
      if (other.from === flow.from || other.from === flow.to) this.flows.delete(other);
    }
    for (const socket of [flow.from, flow.to]) {
      if (how === 'rst') socket.resetAndDestroy();
      else socket.end(() => socket.destroy());
    }
  }
}

/** Starts a proxy on the loopback interface in this process. */
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
 * Starts the HTTP control of a proxy: `GET /record`, `POST /faults` with
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
      proxy.setFaults(direction as DirectionName | 'both', faults as Partial<DirectionFaults>);
    },
    'POST /clear': () => proxy.clearFaults(),
    'POST /cut': ({how = 'rst'}) => proxy.cutAll(how as 'fin' | 'rst'),
  };
  const server = createHttpServer((request, response) => {
    void (async () => {
      const handler = handlers[`${request.method} ${request.url}`];
      const text = await readText(request);
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
