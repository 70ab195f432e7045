import {
  Clock,
  createHandlers,
  deriveClientBounds,
  EventLog,
  Procedure,
  RandomSource,
  startTask,
  Task,
  toId,
} from '@radishgw/core';
import {ObjectStore, StoreEra} from '@radishgw/coordination';
import {ClientServer} from './request/client-server.js';
import {configAgeMs, createConfigView} from './store/config-view.js';
import {findUnknownRegions, usesHomeRegions} from './home-regions.js';
import {readInstant} from './instant.js';
import {EntryCodec} from './store/entry-codec.js';
import {CapacityController} from './duties/capacity-controller.js';
import {CrashMonitor} from './quarantine/crash-monitor.js';
import {DemandMeter} from './placing/demand-meter.js';
import {createAttemptBudget, AttemptBudget} from './request/attempt-budget.js';
import {FleetDuties} from './duties/fleet-duties.js';
import {createFleetTime, FleetTime, fleetNowMs, judgeFleetTime} from './store/fleet-time.js';
import {createInterfaces, maxAddressUseMs} from './host-interfaces.js';
import {
  createHostRegistry,
  findDomainReader,
  HostRecord,
  HostRegistry,
  listedHosts,
  possibleHosts,
  readyHosts,
} from './store/host-registry.js';
import {RelayMetrics} from './metrics.js';
import {DutyClient, RelayCodec, RelayConfig, ServiceName} from './model.js';
import {PeerClient} from './store/peer-client.js';
import {QuarantineService} from './quarantine/quarantine-service.js';
import {QuotaClient} from './quota/quota-client.js';
import {keepRunning} from './keep-running.js';
import {readIntervals} from './store/read-intervals.js';
import {HostStart, RecordWriter} from './store/record-writer.js';
import {RelayDependencies} from './request/request-context.js';
import {createBufferedServer, listen, waitUntilIdle} from './servers.js';
import {RelaySettings} from './settings.js';
import {SharedReads} from './store/shared-reads.js';
import {StageController} from './duties/stage-controller.js';
import {
  DependencyMonitor,
  FleetSource,
  SharedStore,
  syncConfig,
  SyncDependencies,
  syncEvacuations,
  syncTargets,
} from './store/store-sync.js';
import {ColdBounds} from './targets/cold-shares.js';
import {TargetAccess} from './targets/target-access.js';
import {TargetPool} from './targets/target-pool.js';
import {createWaitCalibration} from './placing/wait-calibration.js';
import {WorkModel} from './placing/work-model.js';
import {
  countRequest,
  createUsageLedger,
  mergeCounts,
  UsageLedger,
  windowIndexAt,
} from './duties/usage-ledger.js';

/** Settings and dependencies of {@link RelayHost}. */
export interface RelayHostOptions {
  readonly settings: RelaySettings;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: EventLog;
  readonly store: ObjectStore;
  readonly source: FleetSource;
  readonly duties: DutyClient;
  readonly codec: RelayCodec;
  readonly entryCodec: EntryCodec;
}

/** Safety margin subtracted from the time for which a revoked API key may still be used. */
const REVOKE_MARGIN_MS = 200;

/**
 * Maximum age of the configuration of a ready host, as a share of the revocation limit. A host
 * with an older one isn't ready, so that clients use other hosts, unless those have none either.
 */
const READY_CONFIG_AGE_SHARE = 0.6;

/** A stopping host takes a request only if its deadline is at least this long before the exit. */
const LAST_ANSWER_MARGIN_MS = 200;

/** Bounds of deployments that state none. */
const NO_COLD_BOUNDS: ColdBounds = {overageFactor: 1, slackRequests: 0};

/** Time after which no other host names a host that has begun to stop. */
const DELISTING_MS = 1000;

/** The process exits this long before it would be killed. */
const EXIT_MARGIN_MS = 300;

/** An entry host that relays requests to targets. */
export class RelayHost {
  readonly metrics = new RelayMetrics();
  private readonly incarnation: string;
  private readonly era: StoreEra;
  private readonly configView = createConfigView();
  private readonly registry: HostRegistry = createHostRegistry();
  private readonly usage: UsageLedger = createUsageLedger();
  private readonly attemptBudgets = new Map<ServiceName, AttemptBudget>();
  private readonly demand = new DemandMeter();
  private readonly access: TargetAccess;
  private readonly work: WorkModel;
  private readonly targets: TargetPool;
  private readonly peers = new PeerClient();
  /** Calls for quota are short and many; they don't share connections with the others. */
  private readonly quotaPeers = new PeerClient();
  private readonly quota: QuotaClient;
  private readonly quarantine: QuarantineService;
  private readonly reads: SharedReads;
  private readonly clientServer: ClientServer;
  private readonly shared: SharedStore;
  private readonly capacity: CapacityController;
  private readonly duties: FleetDuties;
  private readonly records: RecordWriter;
  private readonly auxiliaryServers;
  private readonly tasks: Task<void>[] = [];
  private readonly monitor: DependencyMonitor;
  private readonly fleetTime: FleetTime;
  private stopAtMs: number | undefined;
  private stopped: Promise<void> | undefined;
  private knownHosts = '';
  private hasHomeRegions = false;
  /** Home regions that are unknown, as JSON with the route or team that names them. */
  private unknownRegions: ReadonlySet<string> = new Set();
  /** Whether the latest record said that this host takes requests. */
  private wasReady = false;

  constructor(private readonly options: RelayHostOptions) {
    const {settings, clock, random, log} = options;
    this.incarnation = random.nextHex(8);
    this.era = options.store.era ?? new StoreEra();
    this.era.subscribe(era => {
      log.write('storeRestored', {era});
      this.quarantine.restore();
    });
    this.fleetTime = createFleetTime(readInstant(clock));
    this.access = new TargetAccess({
      clock,
      hostKey: formatIncarnation({hostId: settings.hostId, incarnation: this.incarnation}),
      coldBounds: settings.coldBounds ?? NO_COLD_BOUNDS,
      regions: settings.regions,
      hasEvacuations: settings.evacuationMs !== undefined,
      findService: name => this.configView.config?.services.get(name),
    });
    this.work = new WorkModel(settings.placement);
    this.targets = new TargetPool({
      clock,
      log,
      random,
      access: this.access,
      metrics: this.metrics,
      codec: options.codec,
      onLeaving: () => void startTask(this.records.write(), createHandlers(clock)).done,
    });
    this.quota = this.createQuota();
    this.reads = this.createReads();
    this.shared = new SharedStore(options.store, log);
    this.quarantine = new QuarantineService({
      hostId: settings.hostId,
      clock,
      log,
      metrics: this.metrics,
      fleetNowMs: () => this.fleetNowMs(),
      write: evidence => this.shared.writeEvidence(settings.hostId, evidence),
      listHosts: () => this.listReady().map(host => host.hostId),
    });
    this.clientServer = new ClientServer(this.createDependencies());
    this.monitor = new DependencyMonitor('store', clock, log);
    this.capacity = this.createCapacity();
    this.duties = this.createDuties();
    this.records = this.createRecords();
    const onError = (error: unknown) =>
      log.write('dependencyLost', {
        dependency: 'caller of a small interface',
        cause: String(error),
      });
    const interfaces = createInterfaces({
      settings,
      entryCodec: options.entryCodec,
      quota: this.quota,
      reads: this.reads,
      records: this.records,
      isReady: () => this.isReady,
      isStopping: () => this.stopAtMs !== undefined,
      listReady: () => this.listReady(),
      usesHomeRegions: () => this.hasHomeRegions,
      formatMetrics: () => this.formatMetrics(),
    });
    this.auxiliaryServers = {
      readiness: createBufferedServer(interfaces.readiness, onError),
      directory: createBufferedServer(interfaces.directory, onError),
      peer: createBufferedServer(interfaces.peer, onError),
    };
  }

  /** Starts the servers and the background tasks; resolves when all servers are listening. */
  async start(): Promise<void> {
    const {settings, log} = this.options;
    const handlers = createHandlers(this.options.clock);
    const sync = this.createSync();
    const startLoop = (loop: () => Procedure<void>) => {
      this.tasks.push(startTask(keepRunning(loop, log), handlers));
    };
    startLoop(() => syncConfig(sync));
    startLoop(() => syncTargets(sync));
    if (settings.evacuationMs !== undefined) startLoop(() => syncEvacuations(sync));
    const {directoryAddress} = settings;
    await Promise.all([
      listen(this.clientServer.server, settings.clientAddress),
      listen(this.auxiliaryServers.readiness, settings.readinessAddress),
      listen(this.auxiliaryServers.peer, settings.peerAddress),
      directoryAddress && listen(this.auxiliaryServers.directory, directoryAddress),
    ]);
    startLoop(() => this.duties.run());
    startLoop(() => this.records.run());
    startLoop(() => this.quarantine.run());
    startLoop(() => this.quota.run());
    log.write('hostStarted', {host: settings.hostId, incarnation: this.incarnation});
  }

  /**
   * Stops gracefully: the host isn't ready any more and finishes the requests in progress. Later
   * calls await the first stop.
   */
  stop(): Promise<void> {
    this.stopped ??= this.stopGracefully();
    return this.stopped;
  }

  private async stopGracefully(): Promise<void> {
    const {settings, clock, log} = this.options;
    const startMs = clock.nowMs();
    this.stopAtMs = startMs + settings.graceMs - EXIT_MARGIN_MS;
    log.write('hostStopping', {host: settings.hostId, inFlight: this.clientServer.inFlight});
    const handlers = createHandlers(clock);
    void this.quota.handOverAll();
    void startTask(this.records.writeNow(), handlers).done;
    const lastUseMs = startMs + DELISTING_MS + maxAddressUseMs(settings);
    const listenUntilMs = Math.min(this.stopAtMs - LAST_ANSWER_MARGIN_MS, lastUseMs);
    await waitUntilIdle(clock, () => false, listenUntilMs);
    await this.clientServer.stopAccepting();
    await waitUntilIdle(clock, () => this.clientServer.inFlight === 0, this.stopAtMs);
    await this.quota.release();
    for (const task of this.tasks) task.cancel();
    log.write('hostStopped', {host: settings.hostId, inFlight: this.clientServer.inFlight});
  }

  /** Cancels all tasks and closes all connections immediately. Used in tests. */
  async close(): Promise<void> {
    for (const task of this.tasks) task.cancel();
    const servers = [this.clientServer.server, ...Object.values(this.auxiliaryServers)];
    for (const server of servers) {
      server.close();
      server.closeAllConnections();
    }
    this.targets.close();
    this.peers.close();
    this.quotaPeers.close();
  }

  /**
   * Whether this host takes requests. It must have read the records of the other hosts, as it would
   * otherwise grant the whole rate of a team.
   */
  private get isReady(): boolean {
    return this.canServe && this.duties.lastReadMs > -Infinity;
  }

  private get canServe(): boolean {
    if (this.stopAtMs !== undefined || !this.targets.hasSynced || !this.configView.config)
      return false;
    if (!this.access.knowsEvacuations) return false;

    const {revokeMs} = this.options.settings;
    const ageMs = configAgeMs(this.configView, readInstant(this.options.clock));
    if (this.configView.awaitsRewrite) return ageMs < revokeMs - REVOKE_MARGIN_MS;
    return ageMs < revokeMs * READY_CONFIG_AGE_SHARE;
  }

  private createDependencies(): RelayDependencies {
    const {settings, clock, random, log, codec} = this.options;
    return {
      hostId: settings.hostId,
      clock,
      random,
      log,
      codec,
      metrics: this.metrics,
      configView: this.configView,
      targets: this.targets,
      quota: this.quota,
      calibration: createWaitCalibration(),
      work: this.work,
      admissions: new Map(),
      pendingAverages: new Map(),
      returns: new Map(),
      waiting: new Map(),
      clientBounds: deriveClientBounds(settings.client),
      demand: this.demand,
      crashes: new CrashMonitor({
        clock,
        log,
        metrics: this.metrics,
        onCrash: crash => this.quarantine.recordCrash(crash),
      }),
      quarantine: this.quarantine,
      attemptBudgets: this.attemptBudgets,
      attemptBudgetSettings: settings.attemptBudget,
      revokeMs: settings.revokeMs - REVOKE_MARGIN_MS,
      countHosts: () => Math.max(1, this.listPossible().length),
      countLimitHosts: () => Math.max(1, this.quota.countHosts()),
      isStopping: () => this.stopAtMs !== undefined,
      isTooLateToServe: deadlineAtMs =>
        this.stopAtMs !== undefined && deadlineAtMs > this.stopAtMs - LAST_ANSWER_MARGIN_MS,
      countUsage: team => {
        const index = windowIndexAt(this.fleetNowMs(), settings.usageWindowMs);
        countRequest(this.usage, team, index);
      },
    };
  }

  private createQuota(): QuotaClient {
    const {settings, clock, log} = this.options;
    return new QuotaClient({
      hostId: settings.hostId,
      incarnation: this.incarnation,
      view: this.configView,
      clock,
      log,
      peers: this.quotaPeers,
      bounds: settings.quotaBounds,
      canOwn: () => this.canServe,
    });
  }

  private createReads(): SharedReads {
    const {settings, clock, log} = this.options;
    return new SharedReads({
      hostId: settings.hostId,
      incarnation: this.incarnation,
      clock,
      log,
      peers: this.peers,
      intervals: readIntervals(settings.changeBoundMs),
      era: this.era,
      findReader: () => findDomainReader(this.listReady(), settings.failureDomain),
    });
  }

  private createRecords(): RecordWriter {
    const {settings, clock, log} = this.options;
    return new RecordWriter({
      hostId: settings.hostId,
      clock,
      log,
      peers: this.peers,
      shared: this.shared,
      monitor: this.monitor,
      findReader: () => findDomainReader(this.listReady(), settings.failureDomain),
      makeRecord: (start, beat) => this.makeRecord(start, beat),
      onStored: madeAt => {
        this.quota.confirmRecord(madeAt);
        this.access.recordStored(madeAt);
      },
      isStopping: () => this.stopAtMs !== undefined,
    });
  }

  private createCapacity(): CapacityController {
    const {settings, clock, log, duties} = this.options;
    return new CapacityController({
      hostId: settings.hostId,
      clock,
      log,
      duties,
      configView: this.configView,
      targets: this.targets,
      allowsWorkPlans: settings.placement !== 'slots',
    });
  }

  private createDuties(): FleetDuties {
    const {settings, clock, log, duties} = this.options;
    return new FleetDuties({
      hostId: settings.hostId,
      incarnation: this.incarnation,
      clock,
      log,
      shared: this.shared,
      duties,
      registry: this.registry,
      monitor: this.monitor,
      reads: this.reads,
      era: this.era,
      leaseTimes: settings.leaseTimes,
      usageWindowMs: settings.usageWindowMs,
      onRecords: (records, era) => {
        this.restoreUsage(records, era);
        this.applyLeaving(records);
        this.applyWork(this.listReady());
      },
      onSharedRecords: records => {
        this.applyLeaving(records);
        this.applyWork(records);
      },
      summarizeWork: () => this.work.summarize(clock.nowMs()),
      onEvidence: evidence => this.quarantine.applyEvidence(evidence),
      onHosts: () => this.applyHosts(),
      onRenewedRecords: records => this.judgeTime(records),
      fleetNowMs: () => this.fleetNowMs(),
      isStopping: () => this.stopAtMs !== undefined,
      capacity: this.capacity,
      stages: new StageController({
        hostId: settings.hostId,
        clock,
        log,
        codec: this.options.codec,
        configView: this.configView,
        targets: this.targets,
        allowsWorkPlans: settings.placement !== 'slots',
      }),
    });
  }

  private createSync(): SyncDependencies {
    return {
      clock: this.options.clock,
      log: this.options.log,
      source: this.options.source,
      reads: this.reads,
      configView: this.configView,
      monitor: this.monitor,
      intervals: readIntervals(this.options.settings.changeBoundMs),
      onConfig: config => this.applyConfig(config),
      onEvacuations: list => this.targets.applyEvacuations(list),
      onTargetsUnavailable: () => this.targets.recordFailedRead(),
      onTargets: (list, asOfMs, isShared) => this.targets.update(list, asOfMs, isShared),
    };
  }

  private applyConfig(config: RelayConfig): void {
    this.hasHomeRegions = usesHomeRegions(config);
    this.applyUnknownRegions(config);
    this.clientServer.applyLimits();
    for (const name of config.services.keys()) {
      if (!this.attemptBudgets.has(name)) this.attemptBudgets.set(name, createAttemptBudget());
    }
  }

  /** Logs home regions that no failure domain belongs to, once each. */
  private applyUnknownRegions(config: RelayConfig): void {
    const {settings, log} = this.options;
    const unknown = findUnknownRegions(config, settings.regions ?? new Map());
    const previous = this.unknownRegions;
    this.unknownRegions = new Set(unknown.map(item => JSON.stringify(item)));
    for (const item of unknown) {
      if (!previous.has(JSON.stringify(item))) log.write('homeRegionUnknown', {...item});
    }
  }

  private listPossible(): readonly HostRecord[] {
    return possibleHosts(this.registry, this.duties.lastReadMs);
  }

  private listReady(): readonly HostRecord[] {
    return readyHosts(this.registry, this.duties.lastReadMs);
  }

  /** Tells which hosts may send requests to cold targets, also those that take none any more. */
  private recordColdHosts(): void {
    const now = readInstant(this.options.clock);
    const {lastReadMs} = this.duties;
    const wallMs = now.wallMs - (now.monotonicMs - lastReadMs);
    const hosts = listedHosts(this.registry, lastReadMs);
    this.access.recordHosts(hosts.map(formatIncarnation), {monotonicMs: lastReadMs, wallMs});
  }

  private applyHosts(): void {
    this.recordColdHosts();
    const possible = this.listPossible();
    // All hosts appear lost while records can't be written; the previous list is more accurate.
    if (possible.length === 0) return;
    this.quota.confirmList(this.duties.lastReadMs, this.registry.era);
    const ready = this.listReady();
    const ids = [possible, ready]
      .map(hosts => hosts.map(formatIncarnation).sort().join(' '))
      .join('|');
    if (ids === this.knownHosts) return;
    this.knownHosts = ids;
    const addresses = new Set(possible.map(host => host.peerAddress));
    this.peers.closeExcept(addresses);
    this.quotaPeers.closeExcept(addresses);
    this.quota.setHosts(possible);
    const unsure = possible.filter(host => !ready.includes(host));
    this.options.log.write('hostsChanged', {
      ready: ready.map(host => host.hostId),
      unsure: unsure.map(host => host.hostId),
    });
  }

  private makeRecord(start: HostStart, beat: number): HostRecord {
    const {settings, clock} = this.options;
    const {clientAddress, peerAddress, failureDomain, hostId, processorCapacity} = settings;
    const isReady = this.canServe;
    if (this.wasReady && !isReady) this.quota.interrupt();
    this.wasReady = isReady;
    return {
      hostId,
      incarnation: this.incarnation,
      ...start,
      failureDomain,
      address: `${clientAddress.host}:${clientAddress.port}`,
      peerAddress: `${peerAddress.host}:${peerAddress.port}`,
      isReady,
      processorCapacity,
      beat,
      madeMs: Math.round(clock.nowMs()),
      madeWallMs: Math.round(this.fleetNowMs()),
      usage: Object.fromEntries(this.usage.windows),
      demand: this.demand.levels(clock.nowMs()),
      uncachedDemand: this.findUncachedDemand(),
      leaving: this.targets.listLeaving(this.reads.isReader),
      work: this.work.report(clock.nowMs()),
    };
  }

  /** Demand that isn't cached; undefined if no targets have reported a slowdown. */
  private findUncachedDemand(): Record<string, number> | undefined {
    const levels = this.demand.uncachedLevels(this.options.clock.nowMs());
    const reported = Object.entries(levels).filter(([service]) =>
      this.work.isPlacedByWork(toId<ServiceName>(service)),
    );
    return reported.length > 0 ? Object.fromEntries(reported) : undefined;
  }

  private applyLeaving(records: readonly HostRecord[]): void {
    this.targets.applyLeaving(records.flatMap(record => record.leaving ?? []));
  }

  /** Applies what other hosts have observed of targets. */
  private applyWork(records: readonly HostRecord[]): void {
    const {settings, clock} = this.options;
    const others = records.filter(record => record.hostId !== settings.hostId);
    const reports = others.flatMap(({work}) => work ?? []);
    this.work.applyReports(reports, clock.nowMs());
  }

  /** Time of day in milliseconds since the Unix epoch, as the hosts agree on it. */
  private fleetNowMs(): number {
    return fleetNowMs(this.fleetTime, readInstant(this.options.clock));
  }

  /** Judges the time of day by records that other hosts have just renewed. */
  private judgeTime(records: readonly HostRecord[]): void {
    const {settings, clock, log} = this.options;
    const others = records.filter(record => record.hostId !== settings.hostId);
    const isAlone = this.listPossible().every(record => record.hostId === settings.hostId);
    if (others.length === 0 && !isAlone) return;
    const madeMs = others.map(record => record.madeWallMs);
    const correctionMs = judgeFleetTime(this.fleetTime, readInstant(clock), madeMs);
    if (correctionMs === 0) return;
    log.write('clockJudged', {
      correctionMs: Math.round(correctionMs),
      records: madeMs.length,
      wallAheadMs: Math.round(readInstant(clock).wallMs - this.fleetNowMs()),
    });
  }

  /** Restores the counts of this host's previous incarnation, which no other host reports. */
  private restoreUsage(records: readonly HostRecord[], era: number): void {
    if (this.records.isInitialized) return;
    const earlier = records.find(record => record.hostId === this.options.settings.hostId);
    if (earlier) mergeCounts(this.usage, earlier.usage);
    this.records.initialize(earlier, era);
  }

  private formatMetrics(): string {
    let opened = 0;
    let invalidSlowdowns = 0;
    for (const target of this.targets.all()) {
      opened += target.connections.openedCount;
      invalidSlowdowns += target.invalidSlowdownCount;
    }
    const gauges = [
      `radishgw_in_flight ${this.clientServer.inFlight}`,
      `radishgw_connections_opened ${opened}`,
      `radishgw_invalid_slowdowns ${invalidSlowdowns}`,
      `radishgw_client_connections ${this.clientServer.guard.connectionCount}`,
      `radishgw_client_held_bytes ${this.clientServer.guard.heldBytes}`,
      `radishgw_buffered_answer_bytes ${this.targets.bufferedBytes}`,
      ...Object.entries(this.quarantine.countByKind()).map(
        ([kind, count]) => `radishgw_quarantines{kind="${kind}"} ${count}`,
      ),
      ...this.formatPlans(),
      ...this.work
        .listErrors()
        .map(([name, errorMs]) => `radishgw_estimate_error_ms{service="${name}"} ${errorMs}`),
      `radishgw_rejected_entries ${this.options.source.rejectedCount + this.shared.rejectedCount}`,
      `radishgw_cold_targets ${this.targets.countCold()}`,
      `radishgw_evacuated_domains ${this.targets.evacuatedDomains.size}`,
      `radishgw_unknown_home_regions ${this.unknownRegions.size}`,
      `radishgw_ready ${this.isReady ? 1 : 0}`,
    ];
    return this.metrics.format() + gauges.join('\n') + '\n';
  }

  /** The planned numbers of targets, which only the holder of the fleet lease knows. */
  private formatPlans(): string[] {
    if (this.duties.currentTerm() === undefined) return [];
    return [...this.capacity.plannedCounts()].map(
      ([service, count]) => `radishgw_planned_targets{service="${service}"} ${count}`,
    );
  }
}

function formatIncarnation({
  hostId,
  incarnation,
}: Pick<HostRecord, 'hostId' | 'incarnation'>): string {
  return `${hostId}/${incarnation}`;
}
