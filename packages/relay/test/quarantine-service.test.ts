import {createHandlers, Err, HostId, Ok, RequestId, startTask, toId} from '@radishgw/core';
import {LogFields, Task, VirtualClock} from '@radishgw/core';
import {expect} from 'chai';
import {ObservedCrash} from '../src/quarantine/crash-monitor.js';
import {RelayMetrics} from '../src/metrics.js';
import {
  BRIEF_QUARANTINE_MS,
  CrashEvidence,
  EVIDENCE_MS,
  QUARANTINE_MS,
  SOUND_MS,
} from '../src/quarantine/quarantine.js';
import {hasExpired, QuarantineService} from '../src/quarantine/quarantine-service.js';
import {RunIdentity} from '../src/targets/run-identity.js';
import {makeEntry, makeIdentity} from './fixtures.js';

const HOSTS = ['host-a', 'host-b', 'host-c'].map(id => toId<HostId>(id));

/** Hosts that share their evidence through a map instead of a store. */
class Pool {
  readonly clock = new VirtualClock(new Date(1_000_000_000_000));
  readonly stored = new Map<HostId, CrashEvidence>();
  readonly services = new Map<HostId, QuarantineService>();
  readonly events: {readonly event: string; readonly fields: LogFields}[] = [];
  writeCount = 0;
  isStoreDown = false;
  private readonly tasks: Task<void>[] = [];
  private requestCount = 0;
  private crashCount = 0;

  constructor() {
    for (const id of HOSTS) this.startHost(id);
  }

  startHost(hostId: HostId): void {
    const service = new QuarantineService({
      hostId,
      clock: this.clock,
      log: {write: (event, fields = {}) => void this.events.push({event, fields})},
      metrics: new RelayMetrics(),
      fleetNowMs: () => this.clock.now().getTime(),
      write: evidence => {
        if (this.isStoreDown) return Promise.resolve(Err({kind: 'unavailable', detail: 'down'}));
        this.writeCount++;
        this.stored.set(hostId, evidence);
        return Promise.resolve(Ok(1));
      },
      listHosts: () => HOSTS,
    });
    this.services.set(hostId, service);
    this.tasks.push(startTask(service.run(), createHandlers(this.clock)));
  }

  stop(): void {
    for (const task of this.tasks) task.cancel();
  }

  host(index: number): QuarantineService {
    return this.services.get(HOSTS[index])!;
  }

  nextRequest(): RequestId {
    return toId<RequestId>(`r-${this.requestCount++}`);
  }

  /** Crashes a target a second later under a new request of one host. */
  crash(host: number, ...names: readonly string[]): void {
    this.crashUnder(host, makeIdentity(this.nextRequest(), names));
  }

  /** Crashes a target a second later under requests of one host. */
  crashUnder(host: number, ...requests: readonly RunIdentity[]): void {
    this.clock.advance(1000);
    const target = {entry: makeEntry(`engine-${this.crashCount++}`)} as ObservedCrash['target'];
    const lostMs = this.clock.nowMs();
    const runs = requests.map(identity => ({identity, sentMs: lostMs}));
    this.host(host).recordCrash({target, lostMs, runs});
  }

  /** Lets all hosts read and write twice, so that answers to suspicions arrive as well. */
  async share(): Promise<void> {
    for (let round = 0; round < 2; round++) {
      for (const service of this.services.values()) service.applyEvidence(this.stored);
      this.clock.advance(400);
      for (let i = 0; i < 4; i++) await new Promise(resolve => setImmediate(resolve));
      if (this.isStoreDown) continue;
      for (const service of this.services.values()) service.applyEvidence(this.stored);
    }
  }

  /** What each host decides about a new request. */
  decide(...names: readonly string[]): readonly string[] {
    return [...this.services.values()].map(service => {
      const request = this.nextRequest();
      const {type} = service.admit(makeIdentity(request, names));
      service.release(request);
      return type;
    });
  }
}

const ALL_ALLOWED = ['allowed', 'allowed', 'allowed'];
const ALL_REFUSED = ['refused', 'refused', 'refused'];

describe('quarantine service', () => {
  let pool: Pool;
  beforeEach(() => (pool = new Pool()));
  afterEach(() => pool.stop());

  /** Four crashes that three hosts see, and the time to share them. */
  async function quarantine(...names: readonly string[]): Promise<void> {
    for (const host of [0, 1, 2, 0]) pool.crash(host, ...names);
    await pool.share();
  }

  it('refuses a part on all hosts once they have shared their crashes', async () => {
    await quarantine('first', 'bad');
    expect(pool.decide('first', 'bad', 'middle')).to.deep.equal(ALL_REFUSED);
    expect(pool.decide('first', 'middle')).to.deep.equal(ALL_ALLOWED);
  });

  it('refuses a part after the store has come back from a copy without the crashes', async () => {
    // Guards against missing evidence that counts as removed by an operator.
    await quarantine('first', 'bad');
    pool.clock.advance(10_000);
    pool.stored.clear();
    for (const service of pool.services.values()) service.restore();
    await pool.share();
    await pool.share();
    expect(pool.decide('first', 'bad')).to.deep.equal(ALL_REFUSED);
  });

  it('refuses a part on a host that starts with an empty memory', async () => {
    await quarantine('bad');
    pool.startHost(HOSTS[1]);
    pool.host(1).applyEvidence(pool.stored);
    expect(pool.decide('bad')).to.deep.equal(ALL_REFUSED);
  });

  it('keeps the evidence of an earlier life when a restarted host sees a crash', async () => {
    await quarantine('bad');
    pool.startHost(HOSTS[0]);
    pool.crash(0, 'bad');
    await pool.share();
    expect(pool.stored.get(HOSTS[0])!.crashes).to.have.length(3);
  });

  it('lets hosts that know of whole runs clear what others suspect', async () => {
    pool.host(2).recordWhole(makeIdentity(pool.nextRequest(), ['rare']));
    for (let i = 0; i < 4; i++) pool.crash(i % 2, 'rare');
    await pool.share();
    expect(pool.decide('rare')).to.deep.equal(ALL_ALLOWED);
  });

  it('ends a quarantine when a run ends whole on any host', async () => {
    await quarantine('part');
    pool.host(1).recordWhole(makeIdentity(pool.nextRequest(), ['part']));
    await pool.share();
    expect(pool.decide('part')).to.deep.equal(ALL_ALLOWED);
    expect(pool.events.map(({event}) => event)).to.include('promptQuarantineEnded');
  });

  it('writes nothing for crashes without a suspect', async () => {
    pool.host(0).recordWhole(makeIdentity(pool.nextRequest(), ['first'], 'known'));
    pool.crashUnder(0, makeIdentity(pool.nextRequest(), ['first'], 'known'));
    pool.crashUnder(0);
    await pool.share();
    expect(pool.writeCount).to.equal(0);
  });

  it('lets one request at a time try ten minutes after the last crash', async () => {
    await quarantine('bad');
    pool.clock.advance(QUARANTINE_MS);
    const requests = [0, 1, 2].map(() => pool.nextRequest());
    const tryAll = () =>
      [...pool.services.values()].map(
        (service, i) => service.admit(makeIdentity(requests[i], ['bad'])).type,
      );
    expect(tryAll().sort()).to.deep.equal(['probe', 'refused', 'refused']);
    const prober = tryAll().indexOf('probe');
    expect(pool.host(prober).admit(makeIdentity(pool.nextRequest(), ['bad'])).type).to.equal(
      'refused',
    );
    pool.host(prober).release(requests[prober]);
    expect(pool.host(prober).admit(makeIdentity(pool.nextRequest(), ['bad'])).type).to.equal(
      'probe',
    );
  });

  it('starts anew after a crash of the request that tried', async () => {
    await quarantine('bad');
    pool.clock.advance(QUARANTINE_MS);
    pool.crash(0, 'bad');
    await pool.share();
    expect(pool.decide('bad')).to.deep.equal(ALL_REFUSED);
  });

  it('ends a quarantine whose evidence operators have removed', async () => {
    await quarantine('bad');
    pool.clock.advance(6000);
    pool.stored.clear();
    await pool.share();
    expect(pool.decide('bad')).to.deep.equal(ALL_ALLOWED);
  });

  it('decides by its own crashes while the store is down, and reports them later', async () => {
    await pool.share();
    pool.isStoreDown = true;
    for (let i = 0; i < 4; i++) pool.crash(0, 'bad');
    pool.clock.advance(400);
    await new Promise(resolve => setImmediate(resolve));
    expect(pool.decide('bad')).to.deep.equal(['refused', 'allowed', 'allowed']);
    pool.isStoreDown = false;
    pool.clock.advance(400);
    await pool.share();
    expect(pool.decide('bad')).to.deep.equal(ALL_REFUSED);
  });

  it('bounds what it remembers and reports under prompts of random parts', async () => {
    const random = (count: number, name: string) =>
      Array.from({length: count}, (_, i) => `${name}-${i}`);
    for (let i = 0; i < 20; i++) {
      pool.clock.advance(1000);
      const sentMs = pool.clock.nowMs();
      const runs = random(64, `run-${i}`).map(name => ({
        identity: makeIdentity(toId<RequestId>(name), random(40, name)),
        sentMs,
      }));
      const target = {entry: makeEntry(`engine-${i}`)} as ObservedCrash['target'];
      pool.host(0).recordCrash({target, lostMs: sentMs, runs});
      pool.host(0).recordWhole(makeIdentity(pool.nextRequest(), random(9000, `whole-${i}`)));
    }
    await pool.share();
    const evidence = pool.stored.get(HOSTS[0])!;
    expect(evidence.crashes).to.have.length(16);
    expect(JSON.stringify(evidence).length).to.be.lessThan(100_000);
    expect(pool.writeCount).to.be.at.most(2);
  });

  it('keeps a prompt that is known to be sound from waiting or ending after a crash', () => {
    pool.host(0).recordWhole(makeIdentity(pool.nextRequest(), ['first', 'middle']));
    expect(
      pool.host(0).hasSuspects(makeIdentity(pool.nextRequest(), ['first', 'middle'])),
    ).to.equal(false);
    pool.crash(0, 'first', 'new');
    pool.crash(0, 'first', 'new');
    expect(
      pool.host(0).suspicionOf(makeIdentity(pool.nextRequest(), ['first', 'middle'])),
    ).to.equal(0);
    expect(pool.host(0).suspicionOf(makeIdentity(pool.nextRequest(), ['first', 'new']))).to.equal(
      2,
    );
    pool.clock.advance(SOUND_MS + 1);
    expect(
      pool.host(0).hasSuspects(makeIdentity(pool.nextRequest(), ['first', 'middle'])),
    ).to.equal(true);
  });

  it('tells evidence that may be removed', async () => {
    await quarantine('bad');
    const evidence = pool.stored.get(HOSTS[0])!;
    const nowMs = pool.clock.now().getTime();
    expect(hasExpired(evidence, nowMs)).to.equal(false);
    expect(hasExpired(evidence, nowMs + EVIDENCE_MS + 5000)).to.equal(true);
  });

  it('keeps a quarantine while a read from before the write of the evidence is applied', async () => {
    // Guards against a quarantine that ends for a moment after an older copy of the store.
    await quarantine('bad');
    pool.clock.advance(6000);
    await pool.share();
    expect(pool.host(0).countByKind().prompt).to.equal(1);
    // The store comes back without evidence; a list is read, then this host writes its own again.
    for (const id of HOSTS) pool.host(HOSTS.indexOf(id)).restore();
    const before = new Map<HostId, CrashEvidence>();
    pool.clock.advance(1500);
    for (let i = 0; i < 20; i++) await Promise.resolve();
    expect(pool.writeCount).to.be.greaterThan(1);
    pool.host(0).applyEvidence(before);
    expect(pool.host(0).countByKind().prompt).to.equal(1);
  });

  /** A request with a body that clients send again, with a new id. */
  const repeat = (body: string) => makeIdentity(pool.nextRequest(), [], body);

  const decideRepeat = (body: string) =>
    [...pool.services.values()].map(service => {
      const request = repeat(body);
      const {type} = service.admit(request);
      service.release(request.requestId);
      return type;
    });

  it('refuses a request on all hosts after three crashes that three hosts have seen', async () => {
    for (let host = 0; host < 3; host++)
      pool.crashUnder(host, repeat('bad'), repeat(`own ${host}`));
    await pool.share();
    expect(decideRepeat('bad')).to.deep.equal(ALL_REFUSED);
    expect(decideRepeat('own 1')).to.deep.equal(ALL_ALLOWED);
    expect(decideRepeat('Bad')).to.deep.equal(ALL_ALLOWED);
    expect(pool.host(0).countByKind()).to.deep.equal({prompt: 0, request: 1});
  });

  it('does not refuse prompts that only share their body with one that crashes engines', async () => {
    const prompt = (part: string) => makeIdentity(pool.nextRequest(), ['first', part], 'a body');
    for (let host = 0; host < 3; host++) pool.crashUnder(host, prompt('bad'));
    await pool.share();
    expect(pool.host(0).admit(prompt('bad')).type).to.equal('refused');
    expect(pool.host(0).admit(prompt('middle')).type).to.equal('allowed');
  });

  it('does not suspect a request that ran whole at a host before servers fail in turn', async () => {
    for (let host = 0; host < 3; host++) pool.host(host).recordWhole(repeat('popular'));
    for (let i = 0; i < 6; i++) pool.crashUnder(i % 3, repeat('popular'));
    await pool.share();
    expect(decideRepeat('popular')).to.deep.equal(ALL_ALLOWED);
    expect(pool.writeCount).to.equal(0);
  });

  it('clears a request by a whole run that only another host remembers', async () => {
    pool.host(2).recordWhole(repeat('popular'));
    for (let i = 0; i < 3; i++) pool.crashUnder(0, repeat('popular'));
    expect(pool.host(0).admit(repeat('popular')).type).to.equal('refused');
    await pool.share();
    expect(decideRepeat('popular')).to.deep.equal(ALL_ALLOWED);
  });

  it('tries a request once after ten seconds, and after its crash not for ten minutes', async () => {
    for (let host = 0; host < 3; host++) pool.crashUnder(host, repeat('bad'));
    await pool.share();
    pool.clock.advance(BRIEF_QUARANTINE_MS);
    const requests = HOSTS.map(() => repeat('bad'));
    const types = [...pool.services.values()].map((service, i) => service.admit(requests[i]).type);
    expect(types.filter(type => type === 'probe')).to.have.length(1);
    expect(types.filter(type => type === 'refused')).to.have.length(2);
    const prober = types.indexOf('probe');
    pool.crashUnder(prober, requests[prober]);
    pool.host(prober).release(requests[prober].requestId);
    await pool.share();
    pool.clock.advance(QUARANTINE_MS - 5000);
    expect(decideRepeat('bad')).to.deep.equal(ALL_REFUSED);
  });

  it('keeps the crashes that quarantines are based on when there are many others', async () => {
    for (let i = 0; i < 3; i++) pool.crashUnder(0, repeat('bad'));
    for (let i = 0; i < 200; i++) pool.crashUnder(0, repeat(`other ${i}`), repeat(`more ${i}`));
    await pool.share();
    const runs = pool.stored.get(HOSTS[0])!.crashes.flatMap(crash => crash.runs);
    expect(runs.length).to.be.at.most(256);
    // Ten seconds after its last crash one host may let it try.
    expect(decideRepeat('bad')).not.to.include('allowed');
  });

  it('shares digests only, no part of a request', async () => {
    pool.crashUnder(0, repeat('a body that nobody should see'));
    await pool.share();
    const text = JSON.stringify([...pool.stored.values()]);
    expect(text).to.include('request:29:');
    expect(text).not.to.match(/nobody|host\.example|\/a\/x/);
  });
});
