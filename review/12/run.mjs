/**
 * Model servers spoil a few of their answers: one that should name the cache of a prompt is a long list
 * of nothing. Counts how often the processes of two hosts end by themselves.
 */
import process from 'node:process';
import {LoadedHosts} from '../standin-3-load.mjs';
import * as rig from '../standin-3.mjs';

const TROUBLE = process.env.TROUBLE !== '0';
const MAX_ROUNDS = 10;
const MODEL_SERVERS = 13;
/** Share of the servers that spoil answers, and of their answers, as of `garble` in the site file. */
const SPOILING_SERVERS_SHARE = 0.6;
const SPOILED_SHARE = 0.03;
/** Streams a second of the small site. */
const STREAMS_PER_S = 79;
const ROUND_MS = 5000;
/** A spoiled body: less than the 8 MiB that hosts read of an answer. */
const SPOILED_BYTES = 8_000_000;
const SPOILED_BODY = `[${'{},'.repeat(SPOILED_BYTES / 3 - 1)}{}]`;

const record = rig.openRecord(import.meta.url);
const store = await new rig.Store().start();
const duties = await new rig.Duties().start();
store.write('config', 'main', rig.makeConfiguration());

let isSpoiling = false;
let spoiledCount = 0;

function spoil(request, socket, stage) {
  if (!isSpoiling || stage !== 'prefill' || Math.random() >= SPOILED_SHARE) return false;
  spoiledCount++;
  rig.writeJson(request, socket, SPOILED_BODY);
  return true;
}

const engines = [];
for (let i = 0; i < MODEL_SERVERS; i++) {
  const stage = i % 2 === 0 ? 'prefill' : 'decode';
  const spoils = i < Math.floor(MODEL_SERVERS * SPOILING_SERVERS_SHARE);
  const engine = new rig.EngineServer(store, `m-${i}`, stage, spoils ? spoil : undefined);
  engines.push(await engine.start());
}

const load = new LoadedHosts(record, store, duties);
await load.start();
for (let round = 1; round <= MAX_ROUNDS && !load.isBroken; round++) {
  isSpoiling = TROUBLE;
  record.write(`round ${round}: ${STREAMS_PER_S} streams a second for ${ROUND_MS} ms`);
  await load.sendStreams(STREAMS_PER_S, ROUND_MS);
  isSpoiling = false;
  await load.untilRunning();
}
const sum = kind => engines.reduce((total, {counts}) => total + counts[kind], 0);
record.write(
  `answers: ${sum('prefills')} prefills, ${sum('streams')} streams, ${spoiledCount} spoiled`,
);
load.finish();
const {isBroken} = load;
record.write(isBroken ? 'broken: Fault' : 'held');
await rig.cleanUp();
process.exit(isBroken ? 1 : 0);
