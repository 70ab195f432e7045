/* global performance, setTimeout */
/**
 * The host that holds the fleet lease is cut off just after it has sent a report; the other host takes
 * the lease over. Counts the calls that the platform gets from the first one afterwards.
 */
import process from 'node:process';
import {Link} from '../standin-3-link.mjs';
import * as rig from '../standin-3.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const CUT_MS = 12_000;
const LEASE_MS = 3000;
const THAW_MS = 300;
/** Number of the holder's report at which it is cut off. */
const CUT_AT_REPORT = 2;
const AFTER_CUT_MS = 8000;

const record = rig.openRecord(import.meta.url);
const store = await new rig.Store().start();
const duties = await new rig.Duties().start();
store.write('config', 'main', rig.makeConfiguration());
const server = await new rig.RawServer((request, socket) => {
  setTimeout(() => socket.write(rig.formatAnswer(request)), 60);
}).start();
store.write('servers', 'd-0', rig.serverEntry('desk', server.address));

const links = new Map();
let reportCount = 0;
let cut;

/** Cuts the links of a host when it has sent its report to the platform. */
function watchReports(name, chunk) {
  if (!chunk.toString('latin1').startsWith('POST /usage')) return;
  if (++reportCount < CUT_AT_REPORT || cut) return;
  cut = {name, startMs: performance.now(), endMs: Infinity};
  record.write(`${name} has sent a report${TROUBLE ? ' and is cut off' : ''}`);
  if (!TROUBLE) return;
  for (const link of links.get(name)) link.cut();
  setTimeout(() => {
    cut.endMs = performance.now();
    record.write(`the links of ${name} work again`);
    for (const link of links.get(name)) link.heal();
  }, CUT_MS);
}

async function startHost(name, zone) {
  const toStore = await new Link(store.address).start();
  const toDuties = await new Link(duties.address, chunk => watchReports(name, chunk)).start();
  toDuties.onHeldEnd = how => record.write(`${name}: the connection of the report is ${how}`);
  links.set(name, [toStore, toDuties]);
  const addresses = {storeAddress: toStore.address, dutyAddress: toDuties.address};
  return rig.startHost(name, {...addresses, zone, zones: rig.ZONES});
}

const hosts = [await startHost('front-a-1', 'zone-a'), await startHost('front-b-1', 'zone-b')];
await rig.untilReady(hosts);

let maxFence = -Infinity;
const broken = [];
duties.onCall = ({path, holder, fence, body}) => {
  const nowMs = performance.now();
  const subject = path === '/usage' ? `window ${body['window-index']}` : JSON.stringify(body);
  record.write(`the platform gets ${path} of ${holder}, fence ${fence}, ${subject}`);
  if (fence < maxFence) {
    const sinceCutMs = Math.round(nowMs - (cut?.endMs ?? -Infinity));
    const isExcused = sinceCutMs <= THAW_MS;
    record.write(
      `fence ${fence} after ${maxFence}, ${sinceCutMs} ms after the cut${isExcused ? ', excused' : ''}`,
    );
    if (!isExcused) broken.push({holder, fence, maxFence, sinceCutMs});
  }
  maxFence = Math.max(maxFence, fence);
};

const endMs = performance.now() + 60_000;
while (performance.now() < endMs) {
  for (const host of hosts) void rig.send(host, '/order/x', {body: 'order'});
  await rig.wait(200);
  if (cut && performance.now() > cut.startMs + CUT_MS + AFTER_CUT_MS) break;
}
if (!cut) {
  record.write('no host has sent a report');
  await rig.cleanUp();
  process.exit(2);
}
record.write(`lease ${LEASE_MS} ms; calls with a lower fence number: ${JSON.stringify(broken)}`);
record.write(broken.length > 0 ? 'broken: ONE' : 'held');
await rig.cleanUp();
process.exit(broken.length > 0 ? 1 : 0);
