import {RequestId, toId} from '@radishgw/core';
import {expect} from 'chai';
import fc from 'fast-check';
import {
  CrashEvidence,
  decideQuarantines,
  EVIDENCE_MS,
  quarantineMs,
  BRIEF_QUARANTINE_MS,
  QUARANTINE_MS,
  SOUND_REQUEST_MS,
  Suspect,
  TargetCrash,
} from '../src/quarantine/quarantine.js';
import {RequestDigest} from '../src/targets/run-identity.js';
import {makeIdentity} from './fixtures.js';

const NOW_MS = 10_000_000;

function digestOf(body: string): RequestDigest {
  return makeIdentity(toId<RequestId>('r'), [], body).fingerprint.digest;
}

/** A crash `agoMs` before now under runs of these bodies, sent `ageMs` before it. */
function crash(agoMs: number, bodies: readonly string[], ageMs = 50): TargetCrash {
  return {
    incarnation: `server-${agoMs}`,
    atMs: NOW_MS - agoMs,
    runs: bodies.map(body => ({
      requestId: toId<RequestId>(`r-${agoMs}-${body}`),
      sentAtMs: NOW_MS - agoMs - ageMs,
      suspects: [digestOf(body)],
    })),
  };
}

/** Quarantines when each crash is known to another host. */
function decide(crashes: readonly TargetCrash[], sound: Readonly<Record<string, number>> = {}) {
  const evidence: CrashEvidence[] = crashes.map(single => ({crashes: [single], sound: []}));
  const wholeRuns = Object.entries(sound).map(([body, agoMs]) => ({
    suspect: digestOf(body),
    atMs: NOW_MS - agoMs,
  }));
  evidence.push({crashes: [], sound: wholeRuns});
  return decideQuarantines(evidence, NOW_MS);
}

function refused(...args: Parameters<typeof decide>): readonly (readonly Suspect[])[] {
  return decide(...args).map(({suspects}) => suspects);
}

const three = (...bodies: readonly string[]) =>
  [2000, 1400, 800].map(agoMs => crash(agoMs, bodies));

describe('quarantine of requests', () => {
  it('finds a request by three crashes that different hosts have seen', () => {
    expect(refused(three('bad'))).to.deep.equal([[digestOf('bad')]]);
    expect(refused(three('bad').slice(1))).to.deep.equal([]);
  });

  it('counts one request that ends three servers by its own retries', () => {
    const crashes = [1000, 920, 840].map(agoMs => crash(agoMs, ['bad'], 40));
    expect(refused(crashes)).to.deep.equal([[digestOf('bad')]]);
  });

  it('takes three servers that fail together under parallel runs for one crash', () => {
    const crashes = [1000, 990, 900].map(agoMs => crash(agoMs, ['sound'], 300));
    expect(refused(crashes)).to.deep.equal([]);
  });

  it('spares a request that ran whole after a crash or shortly before it', () => {
    expect(refused(three('bad', 'popular'), {popular: 100})).to.deep.equal([[digestOf('bad')]]);
    expect(refused(three('popular'), {popular: 2000 + SOUND_REQUEST_MS - 1})).to.deep.equal([]);
    expect(refused(three('bad'), {bad: 2000 + SOUND_REQUEST_MS + 1})).to.have.length(1);
  });

  it('finds several requests that come at once and share crashes', () => {
    const crashes = [
      crash(2400, ['a', 'b']),
      crash(2000, ['b', 'c']),
      crash(1600, ['a', 'c']),
      crash(1200, ['a', 'b', 'c']),
    ];
    expect(refused(crashes).flat()).to.have.members(['a', 'b', 'c'].map(digestOf));
  });

  it('lets a request try again after a short time only if all its crashes were close together', () => {
    const [close] = decide(three('bad'));
    expect(quarantineMs(close)).to.equal(BRIEF_QUARANTINE_MS);
    const [spread] = decide([crash(BRIEF_QUARANTINE_MS + 800, ['bad']), ...three('bad')]);
    expect(quarantineMs(spread)).to.equal(QUARANTINE_MS);
  });

  it('forgets crashes after an hour', () => {
    const crashes = [EVIDENCE_MS + 1, 1400, 800].map(agoMs => crash(agoMs, ['bad']));
    expect(refused(crashes)).to.deep.equal([]);
  });

  it('holds no request against which fewer than three crashes stand, in whatever order they come', () => {
    const crashes = fc.array(
      fc.tuple(fc.integer({min: 0, max: 20_000}), fc.subarray(['a', 'b', 'c'], {minLength: 1})),
      {maxLength: 8},
    );
    fc.assert(
      fc.property(crashes, entries => {
        const all = entries.map(([agoMs, bodies]) => crash(agoMs, bodies));
        const found = refused(all).flat();
        for (const body of ['a', 'b', 'c']) {
          const moments = new Set(entries.filter(([, of]) => of.includes(body)).map(([at]) => at));
          if (moments.size < 3) expect(found).not.to.include(digestOf(body));
        }
        expect(refused([...all].reverse()).flat()).to.have.members(found);
      }),
      {seed: 41},
    );
  });
});
