/* global setTimeout */
// A server that sheds load repeats some of its answers late. A host that waits for the pause which
// the server has asked for sends the same request there once more and takes the copy of the earlier
// refusal for the answer to it.
import {
  Channel,
  formatAnswer,
  HAS_TROUBLE,
  makeConfiguration,
  newId,
  nowMs,
  runCase,
  Server,
  startHosts,
  Store,
  wait,
} from '../standin.mjs';

const DURATION_MS = 100_000;
const SLOTS = 6;
const WORK_MS = 100;
const PAUSE_S = 0.1;
const LOOKUP_WORK_MS = 15;
/** Time after the start of a round at which a request finds the servers full. */
const LATE_MS = 25;
/** Time after the start of a round at which the servers have room again. */
const CALM_MS = 255;
const ROUND_MS = 380;
const LOOKUPS_PER_ROUND = 6;
const HOSTS = 5;
/** Share of the answers of the faulty server that it writes once more, late. */
const COPY_SHARE = 0.03;
/** The fault lasts for 5 seconds of each 6. */
const FAULT_MS = 5000;
const FAULT_PERIOD_MS = 6000;

const ORDERS = {
  name: 'order',
  host: 'caller.example',
  'path-prefix': '/order/',
  kind: 'unsafe',
  'timeout-ms': 800,
  'target-latency-ms': 386,
  attempts: 1,
  priority: 2,
  service: 'order-desk',
};
const LOOKUPS = {...ORDERS, name: 'lookup', 'path-prefix': '/lookup/', kind: 'safe', attempts: 2};

const ORDER_PATH = '/order/x';
const LOOKUP_PATH = '/lookup/x';

/** Statuses that promise that a request has not run and never will. */
const PROMISES = new Set([408, 421, 429, 503]);

await runCase(import.meta.url, async recorder => {
  const store = await new Store().start();
  store.write('config', 'main', makeConfiguration(5, [ORDERS, LOOKUPS]));
  const runs = new Map();
  const counts = {answers: 0, refusals: 0, copies: 0};

  /** Answers of the faulty server that are still to be written once more, by channel. */
  const copies = new Map();
  const isFaulty = server =>
    HAS_TROUBLE && server.id === 'i-0' && nowMs() % FAULT_PERIOD_MS < FAULT_MS;
  const write = (server, socket, answer, id) => {
    if (!socket.writable) return;
    socket.write(answer);
    counts.answers++;
    if (isFaulty(server) && Math.random() < COPY_SHARE) copies.set(socket, {answer, id});
  };
  const respond = (fields, socket, server) => {
    const id = fields['radishgw-request-id'];
    const copy = copies.get(socket);
    copies.delete(socket);
    if (copy) {
      socket.write(copy.answer);
      counts.copies++;
      recorder.line(`${server.id} writes its answer to ${copy.id} again when it gets ${id}`);
    }
    const load = {'Radishgw-Server-Load': `${server.running},0,${SLOTS}`};
    if (server.running >= SLOTS) {
      counts.refusals++;
      const headers = {...load, 'Radishgw-Not-Executed': '1', 'Retry-After': PAUSE_S};
      recorder.line(`${server.id} is full and does not run ${id}: 503`);
      write(server, socket, formatAnswer('503 Service Unavailable', fields, headers, ''), id);
      return;
    }
    server.running++;
    runs.set(id, [...(runs.get(id) ?? []), server.id]);
    setTimeout(
      () => {
        server.running--;
        const headers = {...load, 'Radishgw-Response-Seal': `seal-${id}`};
        write(server, socket, formatAnswer('200 OK', fields, headers, `order ${id}`), id);
      },
      fields.path === ORDER_PATH ? WORK_MS : LOOKUP_WORK_MS,
    );
  };
  const servers = [];
  for (let i = 0; i < 2; i++) {
    const fields = {service: 'order-desk', zone: `zone-${i}`, slots: SLOTS};
    const server = new Server(store, `i-${i}`, fields, respond);
    server.running = 0;
    servers.push(await server.start());
  }
  const hosts = await startHosts(store, HOSTS);
  await wait(2500);

  const answers = new Map();
  const send = async (host, kind, path) => {
    const id = newId();
    const channel = new Channel(host.address);
    const sentMs = nowMs();
    if (kind === 'late') recorder.line(`${host.name} gets ${id}`);
    const headers = {'Radishgw-Request-Id': id, 'Radishgw-Deadline-Milliseconds': 1500};
    const answer = await channel.send('POST', path, headers, 'an order');
    channel.close();
    if (path === ORDER_PATH) answers.set(id, answer.status);
    if (kind !== 'late') return;
    recorder.line(`${id} is answered ${answer.status} after ${answer.endMs - sentMs} ms`);
  };

  const [filler, ...others] = hosts;
  const untilMs = nowMs() + DURATION_MS;
  for (let round = 0; nowMs() < untilMs; round++) {
    // Orders through one host fill the servers; one through some of the others comes then.
    const sent = Array.from({length: 2 * SLOTS}, () => send(filler, 'fill', ORDER_PATH));
    await wait(LATE_MS);
    for (const [i, host] of others.entries()) {
      if (i % 2 === round % 2) sent.push(send(host, 'late', ORDER_PATH));
    }
    await wait(CALM_MS - LATE_MS);
    const lookUp = async host => {
      for (let i = 0; i < LOOKUPS_PER_ROUND; i++) await send(host, 'lookup', LOOKUP_PATH);
    };
    sent.push(...others.map(lookUp));
    await Promise.all([wait(ROUND_MS - CALM_MS), ...sent]);
  }
  await wait(1500);
  for (const server of servers) server.stop();
  store.stop();

  recorder.line(`${answers.size} requests, ${counts.answers} answers of servers`);
  recorder.line(`${counts.refusals} refusals, ${counts.copies} answers written again`);
  const breaks = [];
  for (const [id, status] of answers) {
    const ran = runs.get(id) ?? [];
    if (PROMISES.has(status) && ran.length > 0) {
      breaks.push(`REFUSED: ${id} was answered ${status} and ran at ${ran.join(' and ')}`);
    }
    if (ran.length > 1) breaks.push(`TWICE: ${id} ran at ${ran.join(' and ')}`);
  }
  return breaks;
});
