import {expect} from 'chai';
import {createSeededRandom, HostId, SystemClock, toId, VirtualClock} from '@radishgw/core';
import {MemoryPlatform, MemoryStore} from '../src/testing/index.js';
import {describePlatformContract} from './contract.js';

describePlatformContract('MemoryPlatform', async () => {
  const clock = new SystemClock();
  const store = new MemoryStore(clock);
  return {platform: new MemoryPlatform({store, clock, random: createSeededRandom(1)})};
});

describe('MemoryPlatform faults', () => {
  function createPlatform() {
    const clock = new VirtualClock();
    const store = new MemoryStore(clock);
    const platform = new MemoryPlatform({store, clock, random: createSeededRandom(1)});
    return {clock, store, platform};
  }

  it('applies an update whose response is lost', async () => {
    // Guards against a fake in which an update with a lost response never takes effect, which
    // would hide real faults.
    const {clock, store, platform} = createPlatform();
    platform.faults.lostAnswerProbability = 1;
    const answer = platform.put('a', '1');
    clock.advance(2000);
    const result = await answer;
    expect(result.err && result.val.kind).to.equal('outcomeUnknown');
    expect(store.read('a')?.value).to.equal('1');
  });

  it('applies a slow update after its timeout', async () => {
    // Guards against a fake whose updates never take effect after their timeout.
    const {clock, store, platform} = createPlatform();
    platform.faults.slowRequestProbability = 1;
    platform.faults.slowRequestMs = 3000;
    const answer = platform.put('a', '1');
    clock.advance(1500);
    const result = await answer;
    expect(result.err && result.val.kind).to.equal('outcomeUnknown');
    expect(store.read('a')).to.equal(undefined);
    clock.advance(2000);
    expect(store.read('a')?.value).to.equal('1');
  });

  it('reports refused and unanswered calls as different errors', async () => {
    // Guards against reporting calls as not sent in an outage that drops requests and responses.
    const {clock, platform} = createPlatform();
    platform.faults.outage = 'refused';
    const refused = await platform.get('a');
    expect(refused.err && refused.val.kind).to.equal('unavailable');
    platform.faults.outage = 'silent';
    const silent = platform.get('a');
    clock.advance(2000);
    const result = await silent;
    expect(result.err && result.val.kind).to.equal('outcomeUnknown');
  });

  it('returns stale objects and a stale host list when lags are set', async () => {
    // Guards against a fake whose reads are always up to date.
    const {clock, store, platform} = createPlatform();
    store.write('a', '1');
    store.setListedHost(toId<HostId>('h'), 'live');
    clock.advance(1000);
    store.write('a', '2');
    store.setListedHost(toId<HostId>('h'), 'leaving');
    platform.faults.readLagMs = 500;
    platform.faults.hostListLagMs = 500;
    const read = platform.get('a');
    const hosts = platform.listHosts();
    clock.runUntil(1000);
    expect((await read).unwrap().value).to.equal('1');
    expect((await hosts).unwrap()[0].state).to.equal('live');
  });
});
