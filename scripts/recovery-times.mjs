// Reads the output of `fleetbench run ... deploy/days/recovery-in-turn.toml --log front` and prints
// how long after each event the hosts again served three quarters of the earlier request rate.
import {readFileSync} from 'node:fs';

/** Events of the scenario, with the time in seconds after the start of its traffic. */
const EVENTS = [
  ['one host killed', 4],
  ['holder killed', 9],
  ['half of the hosts killed', 14],
  ['all without power for 1 s', 20],
  ['store away for 10 s', 27],
];
const BEFORE_S = 3;
const AFTER_S = 6;
const WINDOW_S = 0.5;
const STEP_S = 0.1;
const SERVED_SHARE = 0.75;
/** A window below the share extends the outage if it starts at most this long after its end. */
const JOIN_S = 0.6;

const servedS = [];
const holderS = [];
for (const line of readFileSync(process.argv[2], 'utf8').split('\n')) {
  const match = /^ *(-?[\d.]+) \S+ \{"event":(\d+)/.exec(line);
  if (!match) continue;
  const atS = Number(match[1]);
  if (match[2] === '1300' && /"result":"(answered|streamed)"/.test(line)) servedS.push(atS);
  if (match[2] === '1830') holderS.push(atS);
}

const countServed = (fromS, toS) => servedS.filter(atS => atS >= fromS && atS < toS).length;

for (const [name, atS] of EVENTS) {
  const perSecond = countServed(atS - BEFORE_S, atS) / BEFORE_S;
  let recoveredS = 0;
  for (let offsetS = 0; offsetS < AFTER_S; offsetS += STEP_S) {
    const served = countServed(atS + offsetS, atS + offsetS + WINDOW_S) / WINDOW_S;
    const isLow = served < SERVED_SHARE * perSecond;
    if (isLow && offsetS <= recoveredS + JOIN_S) recoveredS = offsetS + WINDOW_S;
  }
  const holder = holderS.find(takenS => takenS > atS);
  const holderAfter = holder === undefined ? 'none' : (holder - atS).toFixed(1);
  console.log(
    `${name}: served again after ${recoveredS.toFixed(1)} s (${Math.round(perSecond)} requests/s before), next holder after ${holderAfter} s`,
  );
}
