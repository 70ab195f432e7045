import {IncomingMessage, ServerResponse} from 'node:http';
import {TargetOrder, UsageReport} from '@radishgw/coordination';
import {ListeningServer, startHttpServer, readBody, sendJson} from '../http.js';
import {ObjectStore} from './object-store.js';

/** Faults that a test sets through `POST /faults`. */
export interface PlatformFaults {
  /** Calls are refused with 503. */
  outage: boolean;
  /** Delay before each call is handled. */
  latencyMs: number;
  /** Updates take effect, but the connection is closed instead of a response. */
  loseAnswers: boolean;
}

/** Calls that the stand-in received, for checks of system-wide invariants. */
export interface PlatformRecord {
  readonly targetOrders: TargetOrder[];
  readonly usageReports: UsageReport[];
  callCount: number;
}

/** HTTP stand-in for the platform. */
export interface PlatformServer extends ListeningServer {
  readonly store: ObjectStore;
  readonly faults: PlatformFaults;
  readonly record: PlatformRecord;
}

type Handler = (
  context: PlatformContext,
  request: IncomingMessage,
  response: ServerResponse,
  url: URL,
) => Promise<void> | void;

interface PlatformContext {
  readonly store: ObjectStore;
  readonly faults: PlatformFaults;
  readonly record: PlatformRecord;
  readonly leavingHosts: Set<string>;
}

const MAX_STOP_TIMEOUT_MS = 100;
const MAX_VALUE_BYTES = 1_000_000;
const WEIGHT_STORE_BYTES_PER_SECOND = 1_000_000_000;

function parseIfRevision(url: URL): number | undefined {
  const text = url.searchParams.get('ifRevision');
  return text === null ? undefined : Number(text);
}

function parseObjectKey(url: URL): string {
  return decodeURIComponent(url.pathname.slice('/objects/'.length));
}

async function watch(context: PlatformContext, response: ServerResponse, url: URL): Promise<void> {
  const prefix = url.searchParams.get('prefix') ?? '';
  const after = Number(url.searchParams.get('afterRevision') ?? 0);
  const waitMs = Number(url.searchParams.get('waitMs') ?? 0);
  if (context.store.eventsAfter(prefix, after).length === 0) {
    await new Promise<void>(resolve => {
      const timer = setTimeout(finish, waitMs);
      const stopWaiting = context.store.waitForChange(prefix, finish);
      response.once('close', finish);
      function finish(): void {
        clearTimeout(timer);
        stopWaiting();
        resolve();
      }
    });
  }
  sendJson(response, 200, {
    events: context.store.eventsAfter(prefix, after),
    revision: context.store.revision,
    compacted: false,
  });
}

/** Handlers by method and first path segment. */
const HANDLERS: Readonly<Record<string, Handler>> = {
  'GET /objects': ({store}, _request, response, url) => {
    if (url.pathname === '/objects') {
      const prefix = url.searchParams.get('prefix') ?? '';
      sendJson(response, 200, {objects: store.list(prefix), revision: store.revision});
      return;
    }
    const object = store.get(parseObjectKey(url));
    sendJson(response, object ? 200 : 404, object ?? {});
  },
  'PUT /objects': async ({store}, request, response, url) => {
    const body = JSON.parse(await readBody(request)) as {value: string};
    if (Buffer.byteLength(body.value) > MAX_VALUE_BYTES) {
      sendJson(response, 400, {message: `value exceeds ${MAX_VALUE_BYTES} bytes`});
      return;
    }
    const outcome = store.put(parseObjectKey(url), body.value, parseIfRevision(url));
    sendJson(response, outcome.ok ? 200 : 409, {revision: outcome.revision});
  },
  'DELETE /objects': ({store}, _request, response, url) => {
    if (!store.get(parseObjectKey(url))) {
      sendJson(response, 404, {});
      return;
    }
    const outcome = store.remove(parseObjectKey(url), parseIfRevision(url));
    sendJson(response, outcome.ok ? 200 : 409, {revision: outcome.revision});
  },
  'GET /watch': (context, _request, response, url) => watch(context, response, url),
  'GET /hosts': ({store, leavingHosts}, _request, response) => {
    const storedHostIds = store.list('hosts/').map(object => object.key.slice('hosts/'.length));
    // The list also contains targets, which have no objects in the store.
    const hosts = [...new Set([...storedHostIds, ...leavingHosts])].map(hostId => ({
      hostId,
      state: leavingHosts.has(hostId) ? 'leaving' : 'live',
    }));
    sendJson(response, 200, {hosts});
  },
  'POST /target-orders': async ({record}, request, response) => {
    const order = JSON.parse(await readBody(request)) as TargetOrder;
    if (!record.targetOrders.some(recorded => recorded.orderId === order.orderId)) {
      record.targetOrders.push(order);
    }
    sendJson(response, 200, {});
  },
  'POST /usage-reports': async ({record}, request, response) => {
    record.usageReports.push(JSON.parse(await readBody(request)) as UsageReport);
    sendJson(response, 200, {});
  },
  'POST /weight-transfers': (_context, _request, response) => {
    sendJson(response, 200, {startDelayMs: 0, bytesPerSecond: WEIGHT_STORE_BYTES_PER_SECOND});
  },
};

/** Handlers of the test's control calls, which faults don't affect. */
const TEST_HANDLERS: Readonly<Record<string, Handler>> = {
  'POST /faults': async ({faults}, request, response) => {
    Object.assign(faults, JSON.parse(await readBody(request)));
    sendJson(response, 200, faults);
  },
  'GET /record': ({record}, _request, response) => sendJson(response, 200, record),
  'POST /leaving-hosts': async ({leavingHosts}, request, response) => {
    const body = JSON.parse(await readBody(request)) as {hostIds: string[]};
    leavingHosts.clear();
    for (const hostId of body.hostIds) leavingHosts.add(hostId);
    sendJson(response, 200, {});
  },
};

async function dispatch(
  context: PlatformContext,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? '/', 'http://platform');
  const endpoint = `${request.method} /${url.pathname.split('/')[1]}`;
  const testHandler = TEST_HANDLERS[endpoint];
  if (testHandler) {
    await testHandler(context, request, response, url);
    return;
  }
  context.record.callCount++;
  const {faults} = context;
  if (faults.latencyMs > 0) await new Promise(resolve => setTimeout(resolve, faults.latencyMs));
  if (faults.outage) {
    sendJson(response, 503, {});
    return;
  }
  const handler = HANDLERS[endpoint];
  if (!handler) {
    sendJson(response, 400, {message: `no such call: ${endpoint}`});
    return;
  }
  if (faults.loseAnswers && request.method !== 'GET') {
    response.end = (() => {
      request.socket.destroy();
      return response;
    }) as typeof response.end;
  }
  await handler(context, request, response, url);
}

/** Starts the stand-in on the loopback interface; port 0 chooses a free port. */
export async function startPlatformServer(port = 0): Promise<PlatformServer> {
  const context: PlatformContext = {
    store: new ObjectStore(),
    faults: {outage: false, latencyMs: 0, loseAnswers: false},
    record: {targetOrders: [], usageReports: [], callCount: 0},
    leavingHosts: new Set(),
  };
  const listening = await startHttpServer((request, response) => {
    dispatch(context, request, response).catch(error => {
      if (!response.headersSent) sendJson(response, 400, {message: String(error)});
    });
  }, port);
  return {
    ...listening,
    ...context,
    // Watches in progress would otherwise delay the stop by up to their whole wait time.
    stop: timeoutMs => listening.stop(Math.min(timeoutMs, MAX_STOP_TIMEOUT_MS)),
  };
}
