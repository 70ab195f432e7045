/* global clearInterval, setInterval */
// A host that stops takes a request of a requester that may still use its address, passes it on to a
// server and ends before the server, which answers steadily, has finished.
import {
  Channel,
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

const ROUNDS = 4;
/** Time between two events; the route's longest pause is 150 ms. */
const EVENT_MS = 90;
const EVENTS = 40;
const TIME_BUDGET_MS = 5000;
/** Some requesters use an answer of the directory for three times its `ttl-s`. */
const TTL_FACTOR = 3;
/** Requests are sent this long before the answer of the directory has run out. */
const BEFORE_END_MS = 300;
const GRACE_S = 8;
/** Requests that were sent no later than this after the signal are excused at the end. */
const EXCUSED_MS = 3000;

const ROUTE = {
  name: 'suggest',
  host: 'caller.example',
  'path-prefix': '/suggest/',
  kind: 'streaming',
  'timeout-ms': TIME_BUDGET_MS,
  'target-latency-ms': 500,
  'target-gap-ms': 150,
  attempts: 2,
  priority: 2,
  'allow-resume': true,
  service: 'models',
};

await runCase(import.meta.url, async recorder => {
  const store = await new Store().start();
  store.write('config', 'main', makeConfiguration(5, [ROUTE]));
  const runs = new Map();

  const respond = (fields, socket) => {
    const id = fields['radishgw-request-id'];
    const run = {startMs: nowMs(), events: 0, end: 'at work'};
    runs.set(id, run);
    recorder.line(`the server begins to work on ${id}`);
    const head = [
      'HTTP/1.1 200 OK',
      `Radishgw-Request-Id: ${id}`,
      `Radishgw-Response-Seal: seal-${id}`,
      'Content-Type: text/event-stream',
      'Transfer-Encoding: chunked',
    ];
    socket.write(`${head.join('\r\n')}\r\n\r\n`);
    const timer = setInterval(() => {
      const event = `id: ${++run.events}\ndata: piece ${run.events}\n\n`;
      socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
      if (run.events < EVENTS) return;
      clearInterval(timer);
      socket.write('0\r\n\r\n');
      run.end = 'whole';
      recorder.line(`the server has sent ${id} whole after ${nowMs() - run.startMs} ms`);
    }, EVENT_MS);
    socket.once('close', () => {
      clearInterval(timer);
      if (run.end !== 'at work') return;
      run.end = 'cut';
      recorder.line(`the channel of ${id} to the server ends after ${nowMs() - run.startMs} ms`);
    });
  };
  const servers = [];
  for (let i = 0; i < 3; i++) {
    const fields = {service: 'models', zone: `zone-${i}`, slots: 64};
    servers.push(await new Server(store, `i-${i}`, fields, respond).start());
  }
  const [stopped, other] = await startHosts(store, 3);
  await wait(3000);

  const breaks = [];
  for (let round = 0; round < ROUNDS; round++) {
    const listed = await other.resolve();
    const listedMs = nowMs();
    const untilMs = listedMs + listed['ttl-s'] * TTL_FACTOR * 1000;
    recorder.line(`${other.name} names ${listed.addresses.join(', ')} for ${listed['ttl-s']} s`);
    if (!listed.addresses.includes(stopped.address)) throw new Error('the host is not listed');
    const signalMs = nowMs();
    if (HAS_TROUBLE) {
      recorder.line(`${stopped.name} gets SIGTERM`);
      stopped.signal('SIGTERM');
      void stopped.ended.then(({code, signal, atMs}) =>
        recorder.line(`${stopped.name} ends after ${atMs - signalMs} ms (${code ?? signal})`),
      );
    }
    await wait(untilMs - BEFORE_END_MS - nowMs());
    const channel = new Channel(stopped.address);
    const id = newId();
    const sentMs = nowMs();
    recorder.line(`${stopped.name} gets ${id} ${sentMs - signalMs} ms after the signal`);
    const headers = {
      'Radishgw-Request-Id': id,
      'Radishgw-Deadline-Milliseconds': TIME_BUDGET_MS,
      'Radishgw-Model': 'm',
      'Radishgw-Token-Counts': `1460,${EVENTS * 11}`,
      'Radishgw-Prompt-Prefix': '5c1e07a2:800,91bd3f06:410,e4402b7d:250',
    };
    const answer = await channel.send('POST', '/suggest/x', headers, 'a prompt');
    const durationMs = answer.endMs - sentMs;
    const text = answer.status === 0 ? 'no complete answer' : `status ${answer.status}`;
    recorder.line(`${id}: ${text} after ${durationMs} ms`);
    const run = runs.get(id);
    const isExcused =
      sentMs - signalMs <= EXCUSED_MS ||
      durationMs >= TIME_BUDGET_MS ||
      answer.endMs - signalMs > (GRACE_S + 1) * 1000;
    if (answer.status === 0 && run && !isExcused) {
      breaks.push(`LOST: ${id} had been passed on and its channel ended after ${durationMs} ms`);
    }
    channel.close();
    if (HAS_TROUBLE) {
      await stopped.ended;
      stopped.spawn();
      await stopped.waitUntilReady();
    }
    await wait(4500);
  }
  for (const server of servers) server.stop();
  store.stop();
  return breaks;
});
