import {expect} from 'chai';
import {createFleetTime, fleetNowMs, judgeFleetTime} from '../src/store/fleet-time.js';

const START_MS = 1_800_000_000_000;

/** Ages of the records of other hosts when they are read. */
const AGES_MS = [300, 700, 1000, 1400, 1900];

describe('time of day of the fleet', () => {
  /** The clocks of a host `elapsedMs` after its start, after a step or a suspension. */
  const clocks = (elapsedMs: number, {stepMs = 0, suspendedMs = 0} = {}) => ({
    monotonicMs: 5000 + elapsedMs,
    wallMs: START_MS + elapsedMs + stepMs + suspendedMs,
  });
  const recordsAt = (trueMs: number) => AGES_MS.map(ageMs => trueMs - ageMs);

  for (const stepMs of [3_600_000, -3_600_000, 4000, -4000, -1500]) {
    it(`does not follow a step of ${stepMs} ms`, () => {
      // Guards against usage that is counted in windows of another time.
      const time = createFleetTime(clocks(0));
      const now = clocks(10_000, {stepMs});
      expect(fleetNowMs(time, now)).to.equal(START_MS + 10_000);
      judgeFleetTime(time, now, recordsAt(START_MS + 10_000));
      expect(fleetNowMs(time, now)).to.equal(START_MS + 10_000);
      const later = clocks(60_000);
      judgeFleetTime(time, later, recordsAt(START_MS + 60_000));
      expect(fleetNowMs(time, later)).to.equal(START_MS + 60_000);
    });
  }

  it('follows the wall clock after a suspension', () => {
    // Guards against a host that stays behind after it was suspended.
    const time = createFleetTime(clocks(0));
    const now = clocks(10_000, {suspendedMs: 7000});
    judgeFleetTime(time, now, recordsAt(START_MS + 17_000));
    expect(fleetNowMs(time, now)).to.equal(START_MS + 17_000);
  });

  it('is corrected by the other hosts if this host started with a wrong clock', () => {
    // Guards against a host that never finds out that its clock was wrong from the start.
    for (const stepMs of [3_600_000, -3_600_000]) {
      const time = createFleetTime(clocks(0, {stepMs}));
      for (const elapsedMs of [1000, 2000, 3000, 4000]) {
        judgeFleetTime(time, clocks(elapsedMs, {stepMs}), recordsAt(START_MS + elapsedMs));
      }
      const now = clocks(5000, {stepMs});
      expect(fleetNowMs(time, now)).to.be.closeTo(START_MS + 5000, 1000);
    }
  });

  for (const outageMs of [5000, 20_000, 300_000]) {
    it(`does not follow records that are ${outageMs} ms old after an outage of the store`, () => {
      // Guards against a fleet that agrees on a time that is behind by the length of an outage.
      const time = createFleetTime(clocks(0));
      const now = clocks(400_000);
      const correctionMs = judgeFleetTime(time, now, recordsAt(START_MS + 400_000 - outageMs));
      expect(correctionMs).to.equal(0);
      judgeFleetTime(time, clocks(401_000), recordsAt(START_MS + 401_000));
      expect(fleetNowMs(time, clocks(401_000))).to.equal(START_MS + 401_000);
    });
  }

  it('is not misled by a few hosts with other clocks', () => {
    // Guards against hosts whose clocks were stepped and that tell the others.
    const time = createFleetTime(clocks(0));
    const now = clocks(1000);
    const records = [...recordsAt(START_MS + 1000), START_MS + 3_600_000, START_MS + 3_600_000];
    judgeFleetTime(time, now, records);
    expect(fleetNowMs(time, now)).to.equal(START_MS + 1000);
  });

  it('follows clocks that are slewed, and the wall clock of a host on its own', () => {
    // Guards against an estimate that drifts away.
    const time = createFleetTime(clocks(0));
    expect(fleetNowMs(time, clocks(1000, {stepMs: 150}))).to.equal(START_MS + 1150);
    const now = clocks(2000, {stepMs: -9000});
    judgeFleetTime(time, now, []);
    expect(fleetNowMs(time, now)).to.equal(START_MS - 7000);
  });
});
