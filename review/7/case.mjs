/* global Buffer, clearTimeout, setImmediate, setTimeout */
// One of four servers answers with an error whose body comes in chunks of one byte, without end.
import {connect} from 'node:net';
import {
  API_KEY,
  Duties,
  HAS_TROUBLE,
  Host,
  HOST_NAME,
  LOOPBACK,
  makeConfiguration,
  makeRoute,
  runCase,
  Store,
  TargetServer,
  wait,
} from '../standin-2.mjs';

/** Clients of each host; each sends one request in a round. */
const CLIENTS = 8;

/** Time budget of a request and timeout of its route, as on the sheet of `menu-audit`. */
const BUDGET_MS = 6000;

/** Objective of the route. */
const OBJECTIVE_MS = 1500;

/** Clients leave a stream after a gap of four times the objective. */
const PATIENCE_MS = 4 * OBJECTIVE_MS;

/** The rule counts machines on which processes end by themselves so often. */
const ENDS = 3;
const MAX_ROUNDS = 5;

const EVENTS = 10;
const EVENT_GAP_MS = 20;

/** Chunks that are written at a time. */
const CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(10_000));

let requestCount = 0;

/** Sends one request; resolves with what its client saw. */
function send(host) {
  return new Promise(resolve => {
    const id = `r-${requestCount++}`;
    const socket = connect(host.port, LOOPBACK);
    let text = '';
    const timer = setTimeout(() => socket.destroy(), PATIENCE_MS);
    socket.on('error', () => undefined); // Reported by `close`.
    socket.on('data', chunk => (text += chunk.toString('latin1')));
    socket.on('close', () => {
      clearTimeout(timer);
      resolve(`${id} gets ${text === '' ? 'no answer' : text.slice(9, 12)}`);
    });
    socket.write(
      [
        'POST /audit/one HTTP/1.1',
        `host: ${HOST_NAME}`,
        `radishgw-request-id: ${id}`,
        `radishgw-deadline-milliseconds: ${BUDGET_MS}`,
        `radishgw-credential: ${API_KEY}`,
        'connection: close',
        'content-length: 0',
        '',
        '',
      ].join('\r\n'),
    );
  });
}

/** Answers with a whole stream. */
async function stream(server, request, response) {
  server.run(request);
  response.writeHead(200, {...server.headers(request), 'content-type': 'text/event-stream'});
  for (let id = 1; id <= EVENTS; id++) {
    response.write(`id: ${id}\ndata: piece ${id}\n\n`);
    await wait(EVENT_GAP_MS);
  }
  response.end();
}

/** Answers with a whole error. */
function fail(server, request, response) {
  server.run(request);
  response.writeHead(500, {...server.headers(request), 'content-type': 'text/plain'});
  response.end('failed');
}

/** Answers with an error whose body has no end, until the caller closes. */
function failWithoutEnd(server, request) {
  server.run(request);
  const {socket} = request;
  const fields = {
    ...server.headers(request),
    'content-type': 'text/plain',
    'transfer-encoding': 'chunked',
  };
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
  socket.on('error', () => undefined); // The caller has closed.
  socket.write(`HTTP/1.1 500 Internal Server Error\r\n${lines.join('')}\r\n`);
  const writeMore = () => {
    if (socket.destroyed) return;
    if (socket.write(CHUNKS)) setImmediate(writeMore);
    else socket.once('drain', writeMore);
  };
  writeMore();
}

async function playRound(round, host, record) {
  if (!host.isRunning) await host.restart();
  await host.waitUntilReady();
  record.write(`round ${round}: ${CLIENTS} requests are sent to ${host.name}`);
  let peakMib = 0;
  let isOver = false;
  const watch = (async () => {
    while (!isOver && host.isRunning) {
      peakMib = Math.max(peakMib, host.peakMemoryMib() ?? 0);
      await wait(50);
    }
  })();
  const results = await Promise.all(Array.from({length: CLIENTS}, () => send(host)));
  isOver = true;
  await watch;
  for (const result of results) record.write(`round ${round}: ${result} from ${host.name}`);
  // A process that has just failed ends a moment after its connections.
  await wait(500);
  const reason = /FATAL ERROR: .*/.exec(host.output)?.[0] ?? '';
  const state = host.isRunning ? 'runs' : `has ended by itself (${host.end}) ${reason}`;
  record.write(`round ${round}: ${host.name} ${state}; greatest memory seen ${peakMib} MiB of 350`);
  return !host.isRunning;
}

await runCase(import.meta.dirname, async ({record, own}) => {
  const store = await own(new Store()).start();
  const duties = await own(new Duties()).start();
  const route = makeRoute('audit', 'streaming', 'models', {
    'timeout-ms': BUDGET_MS,
    'target-latency-ms': OBJECTIVE_MS,
    'target-gap-ms': 250,
    'allow-resume': false,
    attempts: 1,
  });
  store.write('config', 'main', makeConfiguration([route], ['models']));
  for (let i = 1; i <= 4; i++) {
    const server = await own(new TargetServer(`i-${i}`, 'models', record)).start();
    const answer = i > 1 ? stream : HAS_TROUBLE ? failWithoutEnd : fail;
    server.respond = (request, response) => answer(server, request, response);
    store.write('servers', server.id, server.entry());
  }
  const addresses = {storeAddress: store.address, dutyAddress: duties.address, record};
  const hosts = [];
  for (const name of ['host-1', 'host-2']) hosts.push(await own(new Host(name, addresses)).start());
  const ends = new Map(hosts.map(({name}) => [name, 0]));
  for (let round = 1; round <= MAX_ROUNDS; round++) {
    for (const host of hosts) {
      if (ends.get(host.name) >= ENDS) continue;
      if (await playRound(round, host, record)) ends.set(host.name, ends.get(host.name) + 1);
    }
  }
  for (const [name, count] of ends)
    record.write(`processes of ${name} ended by themselves: ${count}`);
  return [...ends.values()].some(count => count < ENDS);
});
