import {
  createSeededRandom,
  createHandlers,
  FailureDomain,
  HostId,
  RandomSource,
  startTask,
  Task,
  toId,
  VirtualClock,
} from '@radishgw/core';
import {
  confirmConfig,
  ConfigView,
  createConfigView,
  createHostRegistry,
  HostRecord,
  PeerClient,
  PeerStatusError,
  possibleHosts,
  readInstant,
  Team,
  updateHosts,
} from '../src/index.js';
import {
  HAND_OVER_PATH,
  QuotaClient,
  QuotaMessage,
  TAKE_QUOTA_PATH,
} from '../src/quota/quota-client.js';
import {makeConfig, TEAM} from './fixtures.js';

/** Interval at which hosts write their records and read those of the others. */
const RECORD_INTERVAL_MS = 1000;

/** A host serves no keyed requests this long after it last reached the store. */
const CONFIG_VALIDITY_MS = 4800;

/** Time in which a process starts. */
const BOOT_MS = 400;

/** Longest delay of a message that arrives. */
const MAX_DELAY_MS = 5;

class SimulatedHost {
  client: QuotaClient;
  readonly registry = createHostRegistry();
  readonly task: Task<void>;
  isDown = false;
  isStopping = false;
  lastReadMs = -Infinity;
  knownHosts = '';
  beat = 0;
  /** As the store told it at the start. */
  begun: Pick<HostRecord, 'era' | 'generation'> | undefined;

  constructor(
    readonly fleet: QuotaCuts,
    readonly hostId: HostId,
    readonly generation: number,
    readonly startMs: number,
  ) {
    const {clock, view, bounds} = fleet;
    const peers = new PeerClient();
    peers.ask = <T>(address: string, path: string, message: unknown, timeoutMs: number) =>
      fleet.ask(hostId, address as HostId, path, message as QuotaMessage, timeoutMs) as Promise<T>;
    this.client = new QuotaClient({
      hostId,
      incarnation: `${hostId}/${generation}`,
      view,
      clock,
      log: {write: () => undefined},
      peers,
      bounds,
      canOwn: () => !this.isStopping && this.hasFreshConfig,
    });
    this.task = startTask(this.client.run(), createHandlers(clock));
  }

  get hasFreshConfig(): boolean {
    return this.fleet.clock.nowMs() - this.lastReadMs < CONFIG_VALIDITY_MS;
  }

  get serves(): boolean {
    return !this.isDown && this.hasFreshConfig;
  }
}

/** Hosts whose messages to each other and to the store may be lost, on virtual time. */
export class QuotaCuts {
  readonly clock = new VirtualClock();
  readonly view: ConfigView = createConfigView();
  readonly hosts = new Map<HostId, SimulatedHost>();
  readonly granted: {readonly atMs: number; readonly cost: number}[] = [];
  refusedCount = 0;
  readonly bounds = {overageShare: 0.1, slackCost: 190_000};
  /** Pairs of hosts, "from to", between which messages are lost, and hosts that lose the store. */
  readonly lost = new Map<string, number>();
  private records = new Map<HostId, HostRecord>();
  /** Era of the store, which rises when it comes back from a copy. */
  private era = 1;
  private readonly random: RandomSource;

  constructor(
    count: number,
    readonly team: Team,
    seed: number,
  ) {
    this.random = createSeededRandom(seed);
    const config = {...makeConfig(1), teams: new Map([[TEAM, team]])};
    confirmConfig(this.view, config, readInstant(this.clock));
    for (let i = 0; i < count; i++) this.start(toId<HostId>(`host-${i}`), 1);
  }

  get hostIds(): readonly HostId[] {
    return [...this.hosts.keys()];
  }

  nextInt(count: number): number {
    return this.random.nextInt(count);
  }

  /** Takes quota for a request at a host and records a grant. */
  send(hostId: HostId, cost: number): void {
    const host = this.hosts.get(hostId)!;
    if (!host.serves) return;
    void host.client.take(this.team, cost).then(answer => {
      if (host.isDown) return;
      if (answer.granted) this.granted.push({atMs: this.clock.nowMs(), cost});
      else this.refusedCount++;
    });
  }

  /** Advances in small steps, so that promises settle between the timers. */
  async runUntil(timeMs: number): Promise<void> {
    while (this.clock.nowMs() < timeMs) {
      this.clock.runUntil(Math.min(timeMs, this.clock.nowMs() + 1));
      for (let i = 0; i < 12; i++) await Promise.resolve();
    }
  }

  /** Loses messages between two ends for a time; an end is a host or `store`. */
  cut(from: string, to: string, forMs: number): void {
    const untilMs = this.clock.nowMs() + forMs;
    const key = `${from} ${to}`;
    this.lost.set(key, Math.max(untilMs, this.lost.get(key) ?? 0));
  }

  takeCopy(): ReadonlyMap<HostId, HostRecord> {
    return new Map(this.records);
  }

  /** Lets the store come back from a copy after it was away. */
  comeBack(copy: ReadonlyMap<HostId, HostRecord>, awayMs: number): void {
    for (const hostId of this.hostIds) {
      this.cut(hostId, 'store', awayMs);
      this.cut('store', hostId, awayMs);
    }
    this.clock.setTimer(awayMs, () => {
      this.records = new Map(copy);
      this.era++;
    });
  }

  /** Ends the process of a host, which starts again later. */
  restart(hostId: HostId, downMs: number): void {
    const host = this.hosts.get(hostId)!;
    if (host.isDown) return;
    host.isDown = true;
    host.task.cancel();
    this.clock.setTimer(downMs + BOOT_MS, () => this.start(hostId, host.generation + 1));
  }

  /** Stops a host gracefully; it serves on for a while. */
  stop(hostId: HostId, graceMs: number): void {
    const host = this.hosts.get(hostId)!;
    if (host.isDown || host.isStopping) return;
    host.isStopping = true;
    void host.client.handOverAll();
    this.writeRecord(host);
    this.clock.setTimer(graceMs, () => {
      void host.client.release();
      this.clock.setTimer(2 * MAX_DELAY_MS, () => this.restart(hostId, 500));
    });
  }

  /** Delivers a call between two hosts, or fails it as the network would. */
  ask(
    from: HostId,
    to: HostId,
    path: string,
    message: QuotaMessage,
    timeoutMs: number,
  ): Promise<unknown> {
    const target = this.hosts.get(to)!;
    return new Promise((resolve, reject) => {
      const timeout = this.clock.setTimer(timeoutMs, () => reject(new Error('timeout')));
      const deliver = (run: () => void) => this.clock.setTimer(1 + this.nextInt(MAX_DELAY_MS), run);
      const fail = (error: Error) => {
        timeout.cancel();
        reject(error);
      };
      if (this.isLost(from, to)) return;
      deliver(() => {
        if (this.isLost(to, from)) {
          if (!target.isDown && path === TAKE_QUOTA_PATH) target.client.takeOwned(message);
          if (!target.isDown && path === HAND_OVER_PATH) target.client.acceptHandOver(message);
          return;
        }
        if (target.isDown) {
          deliver(() => fail(Object.assign(new Error('refused'), {code: 'ECONNREFUSED'})));
          return;
        }
        const answer = path === TAKE_QUOTA_PATH ? target.client.takeOwned(message) : {};
        if (path === HAND_OVER_PATH) target.client.acceptHandOver(message);
        deliver(() => {
          if (this.isLost(to, from)) return;
          if (!answer) return fail(new PeerStatusError(404));
          timeout.cancel();
          resolve(JSON.parse(JSON.stringify(answer)));
        });
      });
    });
  }

  private isLost(from: string, to: string): boolean {
    return (this.lost.get(`${from} ${to}`) ?? -Infinity) > this.clock.nowMs();
  }

  private start(hostId: HostId, generation: number): void {
    const host = new SimulatedHost(this, hostId, generation, this.clock.nowMs());
    this.hosts.set(hostId, host);
    const step = () => {
      if (host.isDown) return;
      this.clock.setTimer(RECORD_INTERVAL_MS, step);
      if (this.isLost(hostId, 'store')) return;
      if (host.begun) {
        this.writeRecord(host);
        this.readRecords(host);
        return;
      }
      const before = this.records.get(hostId)?.generation ?? 0;
      host.begun = {era: this.era, generation: before + 1};
      this.readRecords(host);
      this.clock.setTimer(50, () => this.writeRecord(host));
    };
    this.clock.setTimer(this.nextInt(RECORD_INTERVAL_MS / 2), step);
  }

  private writeRecord(host: SimulatedHost): void {
    const {hostId, generation, begun} = host;
    if (!begun || host.isDown || this.isLost(hostId, 'store')) return;
    const now = readInstant(this.clock);
    const isReady = !host.isStopping;
    if (!isReady) host.client.interrupt();
    this.records.set(hostId, {
      hostId,
      incarnation: `${hostId}/${generation}`,
      ...begun,
      failureDomain: toId<FailureDomain>('a'),
      address: hostId,
      peerAddress: hostId,
      isReady,
      beat: ++host.beat,
      madeMs: now.monotonicMs - host.startMs,
      madeWallMs: now.wallMs,
      usage: {},
    });
    host.client.confirmRecord(now);
  }

  private readRecords(host: SimulatedHost): void {
    const now = readInstant(this.clock);
    host.lastReadMs = now.monotonicMs;
    updateHosts(host.registry, [...this.records.values()], now, this.era);
    const possible = possibleHosts(host.registry, host.lastReadMs);
    const ids = possible
      .map(({hostId, incarnation}) => `${hostId} ${incarnation}`)
      .sort()
      .join();
    if (possible.length === 0) return;
    host.client.confirmList(host.lastReadMs, this.era);
    if (ids === host.knownHosts) return;
    host.knownHosts = ids;
    host.client.setHosts(possible);
  }
}
