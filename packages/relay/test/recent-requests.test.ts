import {RequestId, toId} from '@radishgw/core';
import {expect} from 'chai';
import {RecentRequests} from '../src/quarantine/recent-requests.js';
import {RequestFingerprint} from '../src/targets/run-identity.js';
import {makeIdentity} from './fixtures.js';

const fingerprint = (body: string) => makeIdentity(toId<RequestId>('r'), [], body).fingerprint;

/** Counts the digests that are computed. */
class CountedFingerprint extends RequestFingerprint {
  static count = 0;

  override get digest() {
    CountedFingerprint.count++;
    return super.digest;
  }
}

describe('requests that ran whole lately', () => {
  it('are found by their digest with the time of their latest run', () => {
    const recent = new RecentRequests();
    recent.add(fingerprint('first'), 100);
    recent.add(fingerprint('other'), 200);
    expect(recent.find(fingerprint('first').digest)).to.equal(100);
    recent.add(fingerprint('first'), 300);
    expect(recent.find(fingerprint('first').digest)).to.equal(300);
    expect(recent.find(fingerprint('never').digest)).to.equal(undefined);
  });

  it('need no digest before one of their size is looked for', () => {
    const recent = new RecentRequests();
    const content = {
      team: undefined,
      method: 'GET',
      host: 'h',
      path: '/',
      body: Buffer.from('abc'),
      sharedParts: [],
    };
    CountedFingerprint.count = 0;
    for (let i = 0; i < 100; i++) recent.add(new CountedFingerprint(content), i);
    recent.find(fingerprint('four').digest);
    expect(CountedFingerprint.count).to.equal(0);
    recent.find(fingerprint('abc').digest);
    expect(CountedFingerprint.count).to.be.at.least(100);
    recent.clearIndex();
    CountedFingerprint.count = 0;
    recent.add(new CountedFingerprint(content), 200);
    expect(CountedFingerprint.count).to.equal(0);
  });

  it('are forgotten, the oldest first, once there are many or their bodies are large', () => {
    const recent = new RecentRequests();
    const first = fingerprint('body-0000');
    recent.add(first, 0);
    expect(recent.find(first.digest)).to.equal(0);
    for (let i = 1; i <= 4096; i++)
      recent.add(fingerprint(`body-${String(i).padStart(4, '0')}`), i);
    expect(recent.find(first.digest)).to.equal(undefined);
    expect(recent.find(fingerprint('body-4096').digest)).to.equal(4096);
    const large = (i: number) => fingerprint(`${i % 10}`.repeat(64 * 1024));
    for (let i = 0; i < 129; i++) recent.add(large(i), i);
    expect(recent.find(fingerprint('body-4096').digest)).to.equal(undefined);
    expect(recent.find(large(9).digest)).to.equal(119);
    recent.add(fingerprint('x'.repeat(64 * 1024 + 1)), 1);
    expect(recent.find(fingerprint('x'.repeat(64 * 1024 + 1)).digest)).to.equal(undefined);
  });

  it('are all remembered by their digests alone if their prompts have many parts', () => {
    // Guards against contents that fill the memory, and against fewer requests in its place.
    const recent = new RecentRequests();
    const identify = (index: number) => {
      const parts = Array.from({length: 1000}, (_, i) => `${index}.${i}`);
      return makeIdentity(toId<RequestId>('r'), parts, 'a body').fingerprint;
    };
    const fingerprints = Array.from({length: 4096}, (_, i) => {
      const fingerprint = identify(i);
      recent.add(fingerprint, i);
      return fingerprint;
    });
    expect(fingerprints.reduce((sum, {textBytes}) => sum + textBytes, 0)).to.equal(0);
    for (const [i, {digest}] of fingerprints.entries()) expect(recent.find(digest)).to.equal(i);
  });
});
