/* global clearInterval, setInterval */
// Requests within the limits, whose prompts have many parts, are answered whole, one after the other.
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

/** Clients of each host; each has one request at a time. */
const CLIENTS = 6;

/** Requests to one host in a round; the round ends earlier if its process does. */
const MAX_REQUESTS = 6000;

/** Parts of a prompt; the head stays below the limit of the configuration (16,384 bytes). */
const PARTS = HAS_TROUBLE ? 1850 : 3;

/** Tokens of a part, as of a block of a server's memory. */
const PART_TOKENS = 16;

/** Prompts that the clients choose from. */
const PROMPTS = 40;

/** The rule counts machines on which processes end by themselves so often. */
const ENDS = 3;

/** Time after which no more requests are sent. */
const CASE_MS = 110_000;

let requestCount = 0;

function makePrompt(index) {
  const first = 0x1000 + index * 1000;
  const ids = Array.from({length: PARTS}, (_, i) => (first + i).toString(16));
  return ids.map(id => `${id}:${PART_TOKENS}`).join(',');
}

const PROMPT_TEXTS = Array.from({length: PROMPTS}, (_, i) => makePrompt(i));

function formatRequest() {
  const prompt = PROMPT_TEXTS[requestCount % PROMPTS];
  return [
    'POST /suggest/one HTTP/1.1',
    `host: ${HOST_NAME}`,
    `radishgw-request-id: r-${requestCount++}`,
    'radishgw-deadline-milliseconds: 5000',
    `radishgw-credential: ${API_KEY}`,
    'radishgw-model: m',
    `radishgw-token-counts: ${PARTS * PART_TOKENS},11`,
    `radishgw-prompt-prefix: ${prompt}`,
    'content-length: 0',
    '',
    '',
  ].join('\r\n');
}

/** Sends requests one after the other, each when the answer to the one before is whole. */
function runClient(host, counts, endAtMs) {
  return new Promise(resolve => {
    const socket = connect(host.port, LOOPBACK);
    let text = '';
    const sendNext = () => {
      text = '';
      if (counts.sent >= MAX_REQUESTS || Date.now() >= endAtMs) {
        socket.destroy();
        return;
      }
      counts.sent++;
      socket.write(formatRequest());
    };
    socket.on('connect', sendNext);
    socket.on('data', chunk => {
      text += chunk.toString('latin1');
      const isChunked = /transfer-encoding: chunked/i.test(text);
      const isWhole = isChunked ? text.endsWith('\r\n0\r\n\r\n') : text.endsWith('}');
      if (!isWhole) return;
      const status = text.slice(9, 12);
      counts.answers[status] = (counts.answers[status] ?? 0) + 1;
      sendNext();
    });
    socket.on('error', () => undefined); // The process has ended.
    socket.on('close', resolve);
  });
}

async function playRound(round, host, record, endAtMs) {
  if (!host.isRunning) await host.restart();
  await host.waitUntilReady();
  const counts = {sent: 0, answers: {}};
  let peakMib = 0;
  const timer = setInterval(() => (peakMib = Math.max(peakMib, host.peakMemoryMib() ?? 0)), 100);
  await Promise.all(Array.from({length: CLIENTS}, () => runClient(host, counts, endAtMs)));
  await wait(300);
  clearInterval(timer);
  const answers = JSON.stringify(counts.answers);
  record.write(`round ${round}: ${counts.sent} requests sent to ${host.name}, answers ${answers}`);
  const reason = /FATAL ERROR: .*/.exec(host.output)?.[0] ?? '';
  const state = host.isRunning ? 'runs' : `has ended by itself (${host.end}) ${reason}`;
  record.write(`round ${round}: ${host.name} ${state}; greatest memory seen ${peakMib} MiB of 350`);
  return !host.isRunning;
}

/** Plays rounds at one host until its process has ended so often that the rule counts it. */
async function playHost(host, record, endAtMs) {
  let ends = 0;
  for (let round = 1; ends < ENDS && Date.now() < endAtMs; round++) {
    if (!(await playRound(round, host, record, endAtMs))) break;
    ends++;
  }
  record.write(`processes of ${host.name} ended by themselves: ${ends}`);
  return ends;
}

await runCase(import.meta.dirname, async ({record, own}) => {
  const endAtMs = Date.now() + CASE_MS;
  const store = await own(new Store()).start();
  const duties = await own(new Duties()).start();
  const route = makeRoute('suggest', 'streaming', 'models', {
    'timeout-ms': 5000,
    'target-gap-ms': 150,
    'allow-resume': true,
    'session-affinity': true,
  });
  store.write('config', 'main', makeConfiguration([route], ['models']));
  const servers = [];
  for (let i = 1; i <= 4; i++) {
    const server = await own(new TargetServer(`i-${i}`, 'models', record)).start();
    // Thousands of runs are not recorded one by one.
    server.run = request => server.runs.push(request.headers['radishgw-request-id']);
    server.respond = (request, response) => {
      server.run(request);
      response.writeHead(200, {...server.headers(request), 'content-type': 'text/event-stream'});
      response.end('id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n');
    };
    servers.push(server);
    store.write('servers', server.id, server.entry({slots: 64}));
  }
  const addresses = {storeAddress: store.address, dutyAddress: duties.address, record};
  const hosts = [];
  for (const name of ['host-1', 'host-2']) hosts.push(await own(new Host(name, addresses)).start());
  record.write(`prompts of ${PARTS} parts, requests of ${formatRequest().length} bytes`);
  const ends = await Promise.all(hosts.map(host => playHost(host, record, endAtMs)));
  for (const {id, runs} of servers) record.write(`server ${id} ran ${runs.length} requests`);
  return ends.some(count => count < ENDS);
});
