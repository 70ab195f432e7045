import {RequestId, toId} from '@radishgw/core';
import {expect} from 'chai';
import fc from 'fast-check';
import {PromptPartId} from '../src/index.js';
import {
  CrashEvidence,
  decideQuarantines,
  TargetCrash,
  EVIDENCE_MS,
  isCovered,
  SOUND_MS,
} from '../src/quarantine/quarantine.js';

const NOW_MS = 10_000_000;
const ids = (...names: readonly string[]) => names.map(name => toId<PromptPartId>(name));

/** A crash `agoMs` before now under runs with the given parts, one request each. */
function crash(agoMs: number, ...runs: readonly (readonly string[])[]): TargetCrash {
  return {
    incarnation: `engine-${agoMs}`,
    atMs: NOW_MS - agoMs,
    runs: runs.map((parts, index) => ({
      requestId: toId<RequestId>(`r-${agoMs}-${index}`),
      sentAtMs: NOW_MS - agoMs - 50,
      suspects: ids(...parts),
    })),
  };
}

function decide(
  crashes: readonly TargetCrash[],
  sound: Readonly<Record<string, number>> = {},
): readonly (readonly string[])[] {
  const soundParts = Object.entries(sound).map(([part, agoMs]) => ({
    suspect: toId<PromptPartId>(part),
    atMs: NOW_MS - agoMs,
  }));
  // Each crash is known to another host.
  const evidence: CrashEvidence[] = crashes.map(single => ({crashes: [single], sound: []}));
  evidence.push({crashes: [], sound: soundParts});
  return decideQuarantines(evidence, NOW_MS).map(({suspects}) => suspects);
}

const fourCrashes = (...runs: readonly (readonly string[])[]) =>
  [2000, 1500, 1000, 500].map(agoMs => crash(agoMs, ...runs));

describe('prompt quarantine', () => {
  it('finds a part by crashes that different hosts have seen', () => {
    expect(decide(fourCrashes(['bad']))).to.deep.equal([['bad']]);
  });

  it('needs four crashes', () => {
    expect(decide(fourCrashes(['bad']).slice(1))).to.deep.equal([]);
  });

  it('takes engines that fail together for one crash', () => {
    const crashes = [100, 99, 98, 97, 60, 50].map(agoMs => crash(agoMs, ['sound']));
    expect(decide(crashes)).to.deep.equal([]);
  });

  it('is not misled by one request that dies with several engines', () => {
    const crashes = fourCrashes(['part']).map(({runs, ...rest}) => ({
      ...rest,
      runs: [{...runs[0], requestId: toId<RequestId>('same')}],
    }));
    expect(decide(crashes)).to.deep.equal([]);
  });

  it('spares parts with runs that ended whole on any host', () => {
    const crashes = fourCrashes(['first', 'bad'], ['first', 'middle']);
    expect(decide(crashes, {first: 30_000, middle: 100})).to.deep.equal([['bad']]);
    expect(decide(crashes, {first: 100, middle: 100, bad: 100})).to.deep.equal([]);
  });

  it('forgets whole runs that are long past', () => {
    const sound = {bad: SOUND_MS + 5000};
    expect(decide(fourCrashes(['bad']), sound)).to.deep.equal([['bad']]);
  });

  it('finds a bad first part', () => {
    const crashes = [
      crash(2000, ['bad', 'a']),
      crash(1500, ['bad', 'b']),
      crash(1000, ['bad', 'c']),
      crash(500, ['bad', 'a']),
    ];
    expect(decide(crashes)).to.deep.equal([['bad']]);
  });

  it('finds two bad parts at once', () => {
    const crashes = [4000, 3000, 2000, 1000].flatMap(agoMs => [
      crash(agoMs, ['first', 'bad-1']),
      crash(agoMs - 400, ['first', 'bad-2']),
    ]);
    expect(decide(crashes, {first: 10})).to.have.deep.members([['bad-1'], ['bad-2']]);
  });

  it('refuses a sound part only beside the parts that it was always seen with', () => {
    const [parts] = decide(fourCrashes(['bad', 'middle']));
    const quarantine = {
      suspects: ids(...parts),
      crashCount: 4,
      firstCrashMs: NOW_MS - 2000,
      lastCrashMs: NOW_MS,
    };
    expect(isCovered(quarantine, ids('first', 'middle'))).to.equal(false);
    expect(isCovered(quarantine, ids('first', 'bad', 'middle'))).to.equal(true);
    const narrowed = decide([...fourCrashes(['bad', 'middle']), crash(100, ['bad'])]);
    expect(narrowed).to.deep.equal([['bad']]);
  });

  it('does not take a part that all prompts share for the cause before any has run whole', () => {
    const crashes = [4000, 3500, 3000, 2500, 2000].map(agoMs =>
      crash(agoMs, ['first', 'bad'], ['first', 'middle'], ['first', 'middle']),
    );
    const withoutReport = crash(1000, ['first', 'middle'], ['first', 'other']);
    expect(decide([...crashes, withoutReport])).to.deep.equal([['bad', 'first']]);
  });

  it('does not take a part of many requests for the cause of crashes after a start', () => {
    const runs = Array.from({length: 5}, (_, i) => ['first', `middle-${i}`]);
    const crashes = [2000, 1500, 1000, 500].map(agoMs =>
      crash(agoMs, ...runs.map(([first, middle]) => [first, `${middle}-${agoMs}`])),
    );
    expect(decide(crashes)).to.deep.equal([]);
  });

  it('does not suspect parts of crashes that another part explains', () => {
    const crashes = [5000, 4000, 3000, 2000, 1000].map(agoMs =>
      crash(agoMs, ['bad'], agoMs > 1000 ? ['rare'] : ['other']),
    );
    expect(decide(crashes)).to.deep.equal([['bad']]);
  });

  it('forgets crashes after an hour', () => {
    const old = [40, 30, 20, 10].map(agoMs => crash(EVIDENCE_MS + agoMs * 1000, ['bad']));
    expect(decide(old)).to.deep.equal([]);
  });

  it('decides the same in whatever order and by whichever hosts the evidence comes', () => {
    const part = fc.constantFrom('a', 'b', 'c', 'd');
    const run = fc.uniqueArray(part, {minLength: 1, maxLength: 3});
    const entry = fc.tuple(fc.nat(5000), fc.array(run, {minLength: 1, maxLength: 3}));
    fc.assert(
      fc.property(fc.array(entry, {maxLength: 12}), entries => {
        const crashes = entries.map(([agoMs, runs]) => crash(agoMs, ...runs));
        expect(decide([...crashes].reverse())).to.deep.equal(decide(crashes));
      }),
    );
  });
});
