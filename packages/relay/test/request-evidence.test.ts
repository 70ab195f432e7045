import {createHandlers, HostId, Ok, RequestId, startTask, Task, toId} from '@radishgw/core';
import {VirtualClock} from '@radishgw/core';
import {expect} from 'chai';
import {ObservedCrash} from '../src/quarantine/crash-monitor.js';
import {RelayMetrics} from '../src/metrics.js';
import {
  BRIEF_QUARANTINE_MS,
  CrashEvidence,
  decideQuarantines,
} from '../src/quarantine/quarantine.js';
import {QuarantineService} from '../src/quarantine/quarantine-service.js';
import {RequestFingerprint, RunIdentity} from '../src/targets/run-identity.js';
import {makeEntry, makeIdentity} from './fixtures.js';

const HOSTS = ['host-a', 'host-b', 'host-c'].map(id => toId<HostId>(id));
const REPEAT_MS = 500;

/** Counts the digests that are computed. */
class CountedFingerprint extends RequestFingerprint {
  static count = 0;

  override get digest() {
    CountedFingerprint.count++;
    return super.digest;
  }
}

describe('evidence on requests that crash targets', () => {
  let clock: VirtualClock;
  let stored: Map<HostId, CrashEvidence>;
  let services: readonly QuarantineService[];
  let tasks: Task<void>[];
  let count: number;

  beforeEach(() => {
    clock = new VirtualClock(new Date(1_000_000_000_000));
    stored = new Map();
    tasks = [];
    count = 0;
    services = HOSTS.map(hostId => {
      const service = new QuarantineService({
        hostId,
        clock,
        log: {write: () => undefined},
        metrics: new RelayMetrics(),
        fleetNowMs: () => clock.now().getTime(),
        write: evidence => {
          stored.set(hostId, evidence);
          return Promise.resolve(Ok(1));
        },
        listHosts: () => HOSTS,
      });
      tasks.push(startTask(service.run(), createHandlers(clock)));
      return service;
    });
  });
  afterEach(() => {
    for (const task of tasks) task.cancel();
  });

  const repeat = (body: string): RunIdentity =>
    makeIdentity(toId<RequestId>(`r-${count++}`), [], body);

  function crash(host: number, ...runs: readonly RunIdentity[]): void {
    clock.advance(1000);
    const target = {entry: makeEntry(`server-${count++}`)} as ObservedCrash['target'];
    const lostMs = clock.nowMs();
    const sentMs = lostMs - 50;
    services[host].recordCrash({
      target,
      lostMs,
      runs: runs.map(identity => ({identity, sentMs})),
    });
  }

  async function share(): Promise<void> {
    for (let round = 0; round < 2; round++) {
      for (const service of services) service.applyEvidence(stored);
      clock.advance(400);
      for (let i = 0; i < 4; i++) await new Promise(resolve => setImmediate(resolve));
      for (const service of services) service.applyEvidence(stored);
    }
  }

  it('names the request that crashed a target to which many popular ones were sent after it', () => {
    const popular = Array.from({length: 16}, (_, i) => `popular ${i}`);
    for (const body of popular) services[0].recordWhole(repeat(body));
    for (let i = 0; i < 3; i++) crash(0, repeat('bad'), ...popular.map(body => repeat(body)));
    expect(services[0].admit(repeat('bad')).type).to.equal('refused');
  });

  it('remembers a whole run within ten seconds beside many requests with larger bodies', () => {
    services[0].recordWhole(repeat('popular'));
    // 50 requests a second with bodies of 16 KiB.
    for (let i = 0; i < 100; i++) {
      clock.advance(20);
      services[0].recordWhole(repeat(`${i}`.padEnd(16_384)));
    }
    for (let i = 0; i < 3; i++) crash(0, repeat('popular'));
    expect(services[0].admit(repeat('popular')).type).to.equal('allowed');
  });

  it('ends a wrong quarantine after its time at whichever host the request comes', async () => {
    const heldMs = [];
    for (let host = 0; host < HOSTS.length; host++) {
      const body = 'sound';
      for (let i = 0; i < 3; i++) crash(0, repeat(body));
      await share();
      const startMs = clock.nowMs();
      while (clock.nowMs() - startMs < 6 * BRIEF_QUARANTINE_MS) {
        clock.advance(REPEAT_MS);
        const request = repeat(body);
        const {type} = services[host].admit(request);
        if (type !== 'refused') services[host].recordWhole(request);
        services[host].release(request.requestId);
        if (type !== 'refused') break;
      }
      heldMs.push(clock.nowMs() - startMs);
      services[0].recordWhole(repeat(body));
      await share();
      // The next host starts without what the earlier ones have proven.
      clock.advance(60_000);
    }
    expect(Math.max(...heldMs), heldMs.join()).to.be.at.most(2 * BRIEF_QUARANTINE_MS);
  });

  it('keeps twenty requests blocked whose crashes exceed the bounds of one host', async () => {
    const bodies = Array.from({length: 20}, (_, i) => `bad ${i}`);
    for (let round = 0; round < 4; round++) {
      for (const body of bodies) crash(0, repeat(body));
    }
    await share();
    const allowed = bodies.filter(body => services[1].admit(repeat(body)).type === 'allowed');
    expect(allowed).to.deep.equal([]);
  });

  it('keeps requests blocked that crash more targets than one host reports, one by one', async () => {
    const bodies = Array.from({length: 20}, (_, i) => `bad ${i}`);
    for (const body of bodies) {
      for (let i = 0; i < 4; i++) crash(0, repeat(body));
    }
    await share();
    const allowed = bodies.filter(body => services[1].admit(repeat(body)).type === 'allowed');
    expect(allowed).to.deep.equal([]);
  });

  it('blocks twenty requests at once whose targets run many others', async () => {
    const bodies = Array.from({length: 20}, (_, i) => `bad ${i}`);
    for (let round = 0; round < 6; round++) {
      for (const [i, body] of bodies.entries()) {
        const host = (i + round) % HOSTS.length;
        const run = repeat(body);
        const {type} = services[host].admit(run);
        const others = Array.from({length: 15}, (_, j) => repeat(`other ${round} ${i} ${j}`));
        if (type === 'allowed') crash(host, ...others, run);
        services[host].release(run.requestId);
      }
      await share();
    }
    const allowed = bodies.filter(body => services[1].admit(repeat(body)).type === 'allowed');
    expect(allowed).to.deep.equal([]);
  });

  it('is gathered for a request that comes to three hosts in the same moment', () => {
    const digest = repeat('bad').fingerprint.digest;
    const volley = (atMs: number): CrashEvidence[] =>
      HOSTS.map((host, i) => ({
        crashes: [
          {
            incarnation: `${host}/${atMs}`,
            atMs: atMs + 10 * i,
            runs: [
              {
                requestId: toId<RequestId>(`r-${atMs}-${i}`),
                sentAtMs: atMs - 50,
                suspects: [digest],
              },
            ],
          },
        ],
        sound: [],
      }));
    // Six targets have crashed; three more arrivals are allowed after the third crash.
    expect(decideQuarantines([...volley(1000), ...volley(5000)], 5100)).to.have.length(1);
  });

  it('keeps parts of prompts proven beside many calls with bodies of a suspected size', () => {
    const prompt = () => makeIdentity(toId<RequestId>(`r-${count++}`), ['part'], 'a prompt');
    services[0].recordWhole(prompt());
    crash(0, repeat('suspected'));
    for (let i = 0; i < 9000; i++) {
      clock.advance(5);
      services[0].recordWhole(repeat(`call ${i}`.padEnd('suspected'.length)));
    }
    expect(services[0].hasSuspects(prompt())).to.equal(false);
  });

  for (const bodyBytes of [0, 100, 100_000]) {
    it(`clears a rare request of ${bodyBytes} bytes by each third run, which is whole`, async () => {
      const rare = () => repeat('x'.repeat(bodyBytes));
      for (let i = 0; i < 12; i++) {
        const host = i % 2;
        const run = rare();
        expect(services[host].admit(run).type, `run ${i}`).to.equal('allowed');
        if (i % 3 === 2) services[host].recordWhole(run);
        else crash(host, run);
        services[host].release(run.requestId);
        for (let j = 0; j < 15; j++) {
          clock.advance(500);
          await share();
        }
      }
    });
  }

  it('does not depend on the port in the name of the host that a client asks for', () => {
    const digests = ['a.example:8068', 'a.example:8069', 'A.example'].map(host => {
      const content = {
        team: undefined,
        method: 'POST',
        host,
        path: '/x',
        body: Buffer.from('b'),
        sharedParts: [],
      };
      return new RequestFingerprint(content).digest;
    });
    expect(new Set(digests).size).to.equal(1);
  });

  it('fits into one entry of the store whatever ids and parts its requests have', async () => {
    // Guards against evidence that the store refuses, so that no host hears of a crash.
    const long = 'x'.repeat(10_000);
    for (let i = 0; i < 30; i++) {
      const runs = Array.from({length: 16}, (_, j) => {
        const parts = Array.from({length: 1850}, (_, k) => `${i}.${j}.${k}`);
        return makeIdentity(toId<RequestId>(`${long}${i}.${j}`), parts);
      });
      crash(0, ...runs);
    }
    await share();
    const {crashes} = stored.get(HOSTS[0])!;
    expect(crashes.flatMap(({runs}) => runs)).to.have.length(256);
    expect(JSON.stringify(stored.get(HOSTS[0])).length).to.be.lessThan(1024 * 1024);
  });

  it('costs no digest while nothing is suspected', () => {
    CountedFingerprint.count = 0;
    const [service] = services;
    for (let i = 0; i < 100; i++) {
      const {requestId} = repeat('x');
      const fingerprint = new CountedFingerprint({
        team: undefined,
        method: 'POST',
        host: 'a.example',
        path: '/x',
        body: Buffer.alloc(100_000),
        sharedParts: [],
      });
      const run: RunIdentity = {requestId, sharedParts: [], fingerprint};
      service.admit(run);
      service.hasSuspects(run);
      service.suspicionOf(run);
      service.recordWhole(run);
      service.release(requestId);
    }
    crash(0, repeat('suspected'));
    for (let i = 0; i < 100; i++) {
      const fingerprint = new CountedFingerprint({
        team: undefined,
        method: 'POST',
        host: 'a.example',
        path: '/x',
        body: Buffer.alloc(100_000),
        sharedParts: [],
      });
      const run: RunIdentity = {requestId: toId<RequestId>('r'), sharedParts: [], fingerprint};
      service.admit(run);
      service.hasSuspects(run);
      service.recordWhole(run);
    }
    expect(CountedFingerprint.count).to.equal(0);
  });
});
