import {createServer, Server} from 'node:http';
import {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {
  createHandlers,
  createSeededRandom,
  HostId,
  SILENT_LOG,
  startTask,
  SystemClock,
  toId,
} from '@radishgw/core';
import {confirmConfig, createConfigView, RawHeaders, RelayCodec} from '../src/index.js';
import {readInstant} from '../src/instant.js';
import {StageController} from '../src/duties/stage-controller.js';
import {TargetPool} from '../src/targets/target-pool.js';
import {ENGINES, makeConfig, makeEntry, readAnswer} from './fixtures.js';

const REPORT_PATH = '/report';
const ORDER_PATH = '/order';

/** Time within which the holder of the lease must be able to renew it. */
const MAX_STEP_MS = 3000;

interface Order {
  readonly stage: string;
  readonly token: number;
  readonly expected: number;
}

/** The parts of a codec that the controller uses, in a simplified format. */
const CODEC = {
  reportPath: REPORT_PATH,
  readAcceptedOrders: (body: Buffer) => Number(body.toString()),
  stageOrder: (stage: string, _holder: string, token: number, expected: number) => ({
    path: ORDER_PATH,
    body: JSON.stringify({stage, token, expected} satisfies Order),
  }),
  writeControlHeaders: () => [],
  readAnswer: (headers: RawHeaders) => {
    const index = headers.findIndex(text => text.toLowerCase() === 'slowdown');
    if (index < 0) return readAnswer(headers);
    const load = {running: 0, waiting: 0, slots: 64, slowdown: Number(headers[index + 1])};
    return {...readAnswer(headers), load};
  },
} as unknown as RelayCodec;

/** An engine that accepts an order only if the order states the current number of accepted ones. */
class Engine {
  accepted = 0;
  /** Whether a report is sent byte by byte and never ends. */
  isReportEndless = false;
  /** Spaces before the number in its report. */
  reportPadding = 0;
  /** Slowdown in the head of its report; undefined if it reports none. */
  slowdown: number | undefined;
  readonly orders: Order[] = [];
  readonly statuses: number[] = [];
  private readonly server: Server = createServer((request, response) => {
    let text = '';
    request.on('data', chunk => (text += String(chunk)));
    request.on('end', () => {
      if (request.url === REPORT_PATH && this.isReportEndless) {
        const timer = setInterval(() => response.write('1'), 50);
        response.once('close', () => clearInterval(timer));
        return;
      }
      if (this.slowdown !== undefined) response.setHeader('slowdown', this.slowdown);
      if (request.url === REPORT_PATH) {
        response.end(' '.repeat(this.reportPadding) + String(this.accepted));
        return;
      }
      response.statusCode = this.accept(JSON.parse(text) as Order);
      response.end();
    });
  });

  async start(): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  accept(order: Order): number {
    this.orders.push(order);
    const status = order.expected === this.accepted ? 202 : 409;
    if (status === 202) this.accepted++;
    this.statuses.push(status);
    return status;
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

describe('stage orders', () => {
  const clock = new SystemClock();
  let engine: Engine;
  let pool: TargetPool;
  let controller: StageController;

  beforeEach(async () => {
    engine = new Engine();
    const address = await engine.start();
    const config = makeConfig(1);
    const view = createConfigView();
    const engineTraits = {cacheTokens: 1, handleTtlMs: 1, stageSwitchMs: 1};
    const service = {name: ENGINES, connectionLimit: 8, engine: engineTraits, scaling: undefined};
    const services = new Map([[ENGINES, service]]);
    confirmConfig(view, {...config, services}, readInstant(clock));
    pool = new TargetPool({clock, log: SILENT_LOG, random: createSeededRandom(1), codec: CODEC});
    const entry = makeEntry('i-1', {service: ENGINES, address, stage: 'prefill'});
    pool.update({revision: 1, entries: [entry]});
    const parts = {clock, log: SILENT_LOG, codec: CODEC, configView: view, targets: pool};
    controller = new StageController({...parts, hostId: toId<HostId>('host-1')});
  });

  afterEach(() => {
    pool.close();
    engine.stop();
  });

  const step = (term: () => number | undefined) =>
    startTask(controller.step(term), createHandlers(clock)).done;

  it('are rejected when they arrive late', async () => {
    // Guards against a delayed copy of an order that reverts a newer one.
    engine.accepted = 3;
    await step(() => 7);
    expect(engine.orders).to.deep.equal([{stage: 'decode', token: 7, expected: 3}]);
    expect(engine.accept(engine.orders[0])).to.equal(409);
  });

  it('are decided again when an engine reports how long work takes', async () => {
    // Guards against engines that are switched by one rule and switched back by the other.
    engine.slowdown = 1;
    await step(() => 7);
    expect(engine.orders).to.deep.equal([]);
    await step(() => 7);
    expect(engine.orders).to.deep.equal([{stage: 'decode', token: 7, expected: 0}]);
  });

  it('are not sent to an engine whose report is far larger than any', async () => {
    // Guards against reports that decode to more than the memory of a host.
    engine.reportPadding = 1_000_000;
    await step(() => 7);
    expect(engine.orders).to.deep.equal([]);
    engine.reportPadding = 10_000;
    await step(() => 7);
    expect(engine.orders).to.have.length(1);
  });

  it('go on when the report of an engine never ends', async () => {
    // Guards against duties that wait for one engine for ever.
    engine.isReportEndless = true;
    const startMs = Date.now();
    await step(() => 7);
    expect(Date.now() - startMs).to.be.lessThan(MAX_STEP_MS);
    expect(engine.orders).to.deep.equal([]);
  });

  it('are not sent by a host that has lost the lease in the meantime', async () => {
    // Guards against orders from two lease holders: the lease may expire while the report is read.
    const terms = [undefined];
    await step(() => terms.shift());
    expect(engine.orders).to.deep.equal([]);
  });

  it('are not written when the lease is lost while they wait for a connection', async () => {
    // Guards against an order that was decided in time and is sent after its term.
    const terms = [7, undefined];
    await step(() => terms.shift());
    expect(engine.orders).to.deep.equal([]);
    expect(terms).to.deep.equal([]);
  });
});
