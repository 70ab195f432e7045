import {createSeededRandom, RandomSource, TargetId, toId, VirtualClock} from '@radishgw/core';
import {MemoryStore, drainPromises} from '@radishgw/coordination/testing';
import {SoakOutcome, SoakSuite} from '../soak-suite.js';
import {AuthorityChecks} from './authority-checks.js';
import {AuthorityHost, AuthorityWorld, SEND_TIMEOUT_MS, WIRE_MARGIN_MS} from './authority-host.js';
import {Mechanism} from './mutations.js';
import {RecordingEngine} from './recording-engine.js';

const FAULT_PHASE_MS = 150_000;
/** After the faults: one lapse, one quarantine and the retries of unfinished orders. */
const QUIET_PHASE_MS = 45_000;
const SETTLE_MS = 30_000;

/** One run: hosts, engines and the faults between them. */
class AuthorityRun {
  private readonly clock = new VirtualClock();
  private readonly store = new MemoryStore(this.clock);
  private readonly random: RandomSource;
  private readonly engines = new Map<TargetId, RecordingEngine>();
  private readonly lines: string[] = [];
  private readonly checks: AuthorityChecks;
  private hosts: AuthorityHost[] = [];
  private readonly allHosts: AuthorityHost[] = [];
  private error: unknown;
  private faultsEnd = false;
  private checkedTargetOrders = 0;
  private readonly faultCounts: Record<string, number> = {};
  private readonly world: AuthorityWorld;
  /** Every fifth run has lost answers as its only fault; no session may be lost in it. */
  private readonly onlyLostAnswers: boolean;

  constructor(
    private readonly seed: number,
    without: ReadonlySet<Mechanism>,
  ) {
    this.random = createSeededRandom(seed);
    this.onlyLostAnswers = seed % 5 === 0;
    this.world = {
      clock: this.clock,
      store: this.store,
      engines: this.engines,
      without,
      onError: error => {
        this.error ??= error;
      },
      trace: line => this.trace(line),
    };
    this.checks = new AuthorityChecks(
      this.store,
      () => this.allHosts,
      SEND_TIMEOUT_MS + WIRE_MARGIN_MS,
    );
    this.createEngines(without.has('fencing'));
  }

  async run(): Promise<SoakOutcome> {
    const hostCount = 3 + this.random.nextInt(3);
    for (let index = 0; index < hostCount; index++) this.startHost(`host-${index}`);
    this.scheduleFault();
    try {
      await this.runUntil(FAULT_PHASE_MS);
      this.endFaults();
      await this.runUntil(FAULT_PHASE_MS + SETTLE_MS);
      const before = this.sum(host => host.counts.ordersDone);
      await this.runUntil(FAULT_PHASE_MS + QUIET_PHASE_MS);
      this.checkProgress(before);
    } catch (error) {
      this.error ??= error;
    }
    for (const host of this.allHosts) host.kill();
    return this.createOutcome();
  }

  private createEngines(fencingOff: boolean): void {
    for (let index = 0; index < 4; index++) {
      const targetId = toId<TargetId>(`engine-${index}`);
      const engine = new RecordingEngine(targetId, index % 2 === 0);
      engine.onArrival = arrived => {
        const {order, sender, outcome, checkedAtMs} = arrived;
        const agoMs = Math.round(this.clock.nowMs() - checkedAtMs);
        this.trace(`${targetId} ${outcome} ${order.orderId} of ${sender}, sent ${agoMs} ms ago`);
        this.guard(() => this.checks.checkEngineOrder(engine, arrived));
      };
      if (fencingOff) engine.ignoreFencing = true;
      this.engines.set(targetId, engine);
    }
  }

  private startHost(hostId: string): void {
    const index = this.allHosts.length;
    const rate = 0.97 + 0.06 * this.random.next();
    const name = `${hostId}/${index}`;
    const host = new AuthorityHost(this.world, name, hostId, this.seed * 1000 + index, rate);
    Object.assign(host.path.faults, {
      lostAnswerProbability: 0.02,
      slowRequestProbability: this.onlyLostAnswers ? 0 : 0.01,
      slowRequestMs: 3000,
    });
    if (!this.onlyLostAnswers) {
      Object.assign(host.engineFaults, {
        heldUpProbability: 0.05,
        pauseInConnectProbability: 0.02,
        pauseInSendProbability: 0.01,
        lostAnswerProbability: 0.03,
      });
    }
    this.hosts.push(host);
    this.allHosts.push(host);
    host.start();
  }

  private async runUntil(timeMs: number): Promise<void> {
    let reached = false;
    this.clock.setTimer(timeMs - this.clock.nowMs(), () => {
      reached = true;
    });
    while (!reached && this.clock.runNext()) {
      await drainPromises();
      this.checks.checkBeliefs();
      while (this.checkedTargetOrders < this.store.targetOrders.length) {
        this.checks.checkTargetOrder(this.store.targetOrders[this.checkedTargetOrders++]);
      }
      if (this.error !== undefined) throw this.error;
    }
  }

  private scheduleFault(): void {
    if (this.onlyLostAnswers) return;
    this.clock.setTimer(200 + this.random.next() * 4000, () => {
      if (this.faultsEnd) return;
      const names = Object.keys(FAULTS);
      const name = names[this.random.nextInt(names.length)];
      this.faultCounts[name] = (this.faultCounts[name] ?? 0) + 1;
      FAULTS[name](this);
      this.scheduleFault();
    });
  }

  /** Every host's paths work and every engine is up from now on. */
  private endFaults(): void {
    this.faultsEnd = true;
    for (const host of this.hosts) {
      Object.assign(host.path.faults, {
        outage: 'none',
        lostAnswerProbability: 0,
        slowRequestProbability: 0,
        readLagMs: 0,
      });
      Object.assign(host.engineFaults, {
        partitioned: false,
        heldUpProbability: 0,
        pauseInConnectProbability: 0,
        pauseInSendProbability: 0,
        lostAnswerProbability: 0,
      });
    }
    for (const engine of this.engines.values()) engine.restart();
  }

  private checkProgress(ordersBefore: number): void {
    const holders = this.hosts.filter(host => host.believedEpoch() !== undefined);
    if (holders.length !== 1) throw new Error(`${holders.length} holders after the faults`);
    const done = this.sum(host => host.counts.ordersDone) - ordersBefore;
    if (done === 0) throw new Error('no order was finished after the faults');
    const lost = this.sum(host => host.counts.sessionsLost);
    if (this.onlyLostAnswers && lost > 0) {
      throw new Error(`${lost} sessions lost although only answers were lost`);
    }
  }

  private createOutcome(): SoakOutcome {
    const arrived = [...this.engines.values()].flatMap(engine => engine.arrived);
    const counts = {
      takeovers: this.sum(host => host.counts.acquired),
      sessionsLost: this.sum(host => host.counts.sessionsLost),
      ordersDone: this.sum(host => host.counts.ordersDone),
      targetOrders: this.store.targetOrders.length,
      ordersArrived: arrived.length,
      staleRefused: arrived.filter(order => order.outcome === 'stale').length,
      completedForSuccessor: this.checks.completedForSuccessor,
      lateAtUncheckedEngines: this.checks.lateAtUncheckedEngines,
      lateAtPlatform: this.checks.lateAtPlatform,
      ...this.faultCounts,
    };
    const {error} = this;
    if (error === undefined) return {counts, trace: this.lines};
    return {
      counts,
      failure: error instanceof Error ? error.message : `${error}`,
      trace: this.lines,
    };
  }

  private guard(check: () => void): void {
    try {
      check();
    } catch (error) {
      this.error ??= error;
    }
  }

  private sum(read: (host: AuthorityHost) => number): number {
    return this.allHosts.reduce((total, host) => total + read(host), 0);
  }

  private trace(line: string): void {
    this.lines.push(`${Math.round(this.clock.nowMs())} ms: ${line}`);
    if (this.lines.length > 400) this.lines.splice(0, 200);
  }

  /** A random host; the holder of the role in half of the draws. */
  pickHost(): AuthorityHost {
    const holder = this.hosts.find(host => host.believedEpoch() !== undefined);
    if (holder && this.random.next() < 0.5) return holder;
    return this.hosts[this.random.nextInt(this.hosts.length)];
  }

  pickEngine(): RecordingEngine {
    return [...this.engines.values()][this.random.nextInt(this.engines.size)];
  }

  /** Runs `undo` after a random time. */
  later(minMs: number, maxMs: number, undo: () => void): void {
    this.clock.setTimer(minMs + this.random.next() * (maxMs - minMs), undo);
  }

  pauseHost(): void {
    const host = this.pickHost();
    const durationMs = 500 + this.random.next() * 14_000;
    this.trace(`${host.name} paused for ${Math.round(durationMs)} ms`);
    host.process.pause(durationMs);
  }

  /** Another process of the same host starts; the old one is killed, paused or goes on. */
  replaceHost(oldProcess: 'killed' | 'paused'): void {
    const host = this.pickHost();
    this.trace(`${host.name} ${oldProcess} and replaced`);
    if (oldProcess === 'killed') host.kill();
    else host.process.pause(2000 + this.random.next() * 10_000);
    this.hosts = this.hosts.filter(other => other !== host);
    if (oldProcess === 'paused') this.later(12_000, 30_000, () => host.kill());
    this.startHost(host.name.split('/')[0]);
  }

  stopHost(): void {
    const host = this.pickHost();
    this.trace(`${host.name} stops as planned`);
    host.stop();
    this.hosts = this.hosts.filter(other => other !== host);
    this.later(100, 5000, () => this.startHost(host.name.split('/')[0]));
  }

  cutFromPlatform(host: AuthorityHost, outage: 'refused' | 'silent'): void {
    this.trace(`${host.name} cut from the platform`);
    host.path.faults.outage = outage;
    this.later(500, 12_000, () => {
      host.path.faults.outage = 'none';
    });
  }

  stopPlatform(): void {
    const outage = this.random.next() < 0.5 ? 'refused' : 'silent';
    for (const host of this.hosts) this.cutFromPlatform(host, outage);
  }

  cutFromEngines(): void {
    const host = this.pickHost();
    host.engineFaults.partitioned = true;
    this.later(500, 8000, () => {
      host.engineFaults.partitioned = false;
    });
  }

  lagReads(): void {
    const host = this.pickHost();
    host.path.faults.readLagMs = 4000 * this.random.next();
    this.later(2000, 15_000, () => {
      host.path.faults.readLagMs = 0;
    });
  }

  loseAnswers(): void {
    const host = this.pickHost();
    host.path.faults.lostAnswerProbability = 0.5;
    this.later(1000, 8000, () => {
      host.path.faults.lostAnswerProbability = 0.02;
    });
  }

  crashEngine(): void {
    const engine = this.pickEngine();
    this.trace(`${engine.targetId} crashed`);
    engine.crash();
    this.checks.forgetEngine(engine.targetId);
    this.later(100, 4000, () => engine.restart());
  }
}

/** Faults, drawn with equal probability. */
const FAULTS: Readonly<Record<string, (run: AuthorityRun) => void>> = {
  pauses: run => run.pauseHost(),
  kills: run => run.replaceHost('killed'),
  zombies: run => run.replaceHost('paused'),
  plannedStops: run => run.stopHost(),
  partitions: run => run.cutFromPlatform(run.pickHost(), 'silent'),
  outages: run => run.stopPlatform(),
  enginePartitions: run => run.cutFromEngines(),
  laggingReads: run => run.lagReads(),
  lostAnswers: run => run.loseAnswers(),
  engineCrashes: run => run.crashEngine(),
};

/** The suite without some mechanisms, for seeing what they prevent. */
export function runAuthoritySoak(
  seed: number,
  without: ReadonlySet<Mechanism> = new Set(),
): Promise<SoakOutcome> {
  return new AuthorityRun(seed, without).run();
}

export const AUTHORITY_SUITE: SoakSuite = {
  description: 'Hosts race for the role that orders engines and targets (G1, G3, G5)',
  run: seed => runAuthoritySoak(seed),
};
