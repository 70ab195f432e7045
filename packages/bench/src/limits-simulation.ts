import {
  createSeededRandom,
  FailureDomain,
  HostId,
  RandomSource,
  RequestId,
  SessionId,
  TeamId,
  toId,
  VirtualClock,
} from '@radishgw/core';
import {
  changeLimit,
  ConformanceChecker,
  createBucket,
  HostAction,
  refundTokens,
  shardOfTeam,
  takeTokens,
  TokenBucket,
} from '@radishgw/limits';
import {NetworkModel} from './limits-network.js';
import {ShardRecord, StoreModel} from './limits-platform.js';
import {TeamSpec, LimitsSimulationOptions} from './limits-options.js';
import {createPlacementCache} from './limits-placement.js';
import {HostProcess} from './limits-process.js';

const MAX_TRACE_LINES = 200;
/**
 * A partitioned host may not know of a changed limit until its configuration is stale, and its
 * grants stay valid for 2 s.
 */
const LIMIT_CHANGE_DELAY_MS = 8000;
const CLOCK_DRIFT_FRACTION = 1e-4;

interface TeamTraffic {
  readonly spec: TeamSpec;
  readonly referenceBucket: TokenBucket;
  readonly burstUntilMs: number;
  sent: number;
  refused: number;
}

interface OpenRequest {
  readonly traffic: TeamTraffic;
  readonly costTokens: number;
  readonly actualTokens: number;
  readonly durationMs: number;
  readonly arrivedMs: number;
}

/** Simulates hosts, platform, network and callers around the production limits code. */
export class LimitsSimulation {
  readonly clock = new VirtualClock();
  readonly random: RandomSource;
  readonly network: NetworkModel;
  readonly store = new StoreModel();
  readonly conformanceChecker = new ConformanceChecker({
    limitChangeDelayMs: LIMIT_CHANGE_DELAY_MS,
    clockDriftFraction: CLOCK_DRIFT_FRACTION,
  });
  readonly processes = new Map<HostId, HostProcess>();
  /** Hosts that are partitioned from all other hosts and the platform. */
  readonly isolated = new Set<HostId>();
  readonly trace: string[] = [];
  readonly counts = {
    requests: 0,
    admitted: 0,
    wrongfulRefusals: 0,
    greedyRefusals: 0,
    notServed: 0,
    takeovers: 0,
    handovers: 0,
    waitedMs: 0,
  };
  /** Called for each refusal of a request within the team's limit. */
  onWrongfulRefusal: (atMs: number, reason: string, teamId: TeamId) => void = () => undefined;
  /** Called for each grant that a shard owner issues. */
  onGranted: (atMs: number, teamId: TeamId) => void = () => undefined;
  /** Called for each admitted request. */
  onAdmitted: (atMs: number, teamId: TeamId, tokens: number) => void = () => undefined;
  readonly placementOf: (live: readonly HostId[]) => HostId[][];
  private readonly traffic: TeamTraffic[] = [];
  private readonly openRequests = new Map<RequestId, OpenRequest>();
  private nextRequestNumber = 1;
  private nextSessionNumber = 1;
  private isStopped = false;

  constructor(readonly options: LimitsSimulationOptions) {
    this.random = createSeededRandom(options.seed);
    this.network = new NetworkModel(this.clock, this.random, options.network);
    const {shardCount, placementSize} = options.settings;
    this.placementOf = createPlacementCache(
      hostId => this.domainOf(hostId),
      shardCount,
      placementSize,
    );
  }

  private domainOf(hostId: HostId): FailureDomain {
    return toId(`d${Number(hostId.slice(1)) % this.options.domainCount}`);
  }

  /** Starts all hosts as a new deployment, then the traffic of all teams. */
  start(): void {
    for (const spec of this.options.teams) this.addTeam(spec);
    for (let i = 0; i < this.options.hostCount; i++) this.startHost(toId(`h${i}`));
    const placement = this.placementOf([...this.processes.keys()]);
    this.clock.advance(20);
    placement.forEach((hosts, shard) => this.initializeShard(shard, hosts));
    this.notifyWatchers();
    this.clock.advance(200);
    for (const traffic of this.traffic) {
      this.scheduleArrival(traffic);
      if (traffic.spec.shape !== 'surge') continue;
      this.scheduleSurge(traffic);
      this.scheduleOverestimate(traffic);
    }
  }

  /**
   * Sends requests with a large estimate that is refunded after 1 ms, which leaves hosts with large
   * unspent grants.
   */
  private scheduleOverestimate(traffic: TeamTraffic): void {
    this.clock.setTimer(200 + this.random.next() * 600, () => {
      if (this.isStopped) return;
      const costTokens = traffic.spec.burstTokens * (0.2 + 0.7 * this.random.next());
      this.sendRequest(traffic, {costTokens, actualTokens: 0, durationMs: 1});
      this.scheduleOverestimate(traffic);
    });
  }

  /**
   * Occasionally sends about three times the burst at once, to find tokens that are spent twice.
   */
  private scheduleSurge(traffic: TeamTraffic): void {
    const {spec} = traffic;
    const fillMs = (spec.burstTokens / spec.tokensPerSecond) * 1000;
    this.clock.setTimer((0.1 + this.random.next()) * fillMs, () => {
      if (this.isStopped) return;
      const size = Math.ceil((spec.burstTokens * 3) / spec.meanCostTokens);
      for (let i = 0; i < size; i++) this.generateRequest(traffic);
      this.scheduleSurge(traffic);
    });
  }

  private initializeShard(shard: number, placement: HostId[]): void {
    const owner = this.processes.get(placement[0])!;
    const {hostId, sessionId} = owner;
    const record: ShardRecord = {
      epoch: 1,
      owner: hostId,
      ownerSession: sessionId,
      holders: placement,
      placement,
    };
    this.store.writeShard(shard, 0, record);
    owner.run(() => owner.initializeOwnership(shard, record));
  }

  private addTeam(spec: TeamSpec): void {
    const {teamId, tokensPerSecond, burstTokens} = spec;
    this.store.writeLimit(teamId, tokensPerSecond, burstTokens);
    this.conformanceChecker.setLimit(teamId, tokensPerSecond, burstTokens, 0);
    const referenceBucket = createBucket(tokensPerSecond, burstTokens, 0);
    this.traffic.push({spec, referenceBucket, burstUntilMs: 0, sent: 0, refused: 0});
  }

  /** Starts a new process on a host, which ends any former process there. */
  startHost(hostId: HostId): HostProcess {
    const former = this.processes.get(hostId);
    if (former) former.isAlive = false;
    const sessionId: SessionId = toId(`s${this.nextSessionNumber++}`);
    const rate = 1 + (this.random.next() - 0.5) * CLOCK_DRIFT_FRACTION;
    const offsetMs = this.random.next() * 1e6;
    const domain = this.domainOf(hostId);
    const process = new HostProcess(this, hostId, domain, sessionId, rate, offsetMs);
    this.processes.set(hostId, process);
    process.run(() => process.start());
    return process;
  }

  /** Ends a process without a planned stop. */
  kill(hostId: HostId): void {
    this.recordTrace(`kill ${hostId}`);
    this.processes.get(hostId)!.isAlive = false;
  }

  /** Partitions a host from all other hosts and the platform, or reconnects it. */
  setIsolated(hostId: HostId, isIsolated: boolean): void {
    this.recordTrace(`${isIsolated ? 'isolate' : 'reconnect'} ${hostId}`);
    if (isIsolated) this.isolated.add(hostId);
    else this.isolated.delete(hostId);
    this.network.setBlocked(hostId, 'platform', isIsolated);
    for (const other of this.processes.keys()) {
      if (other !== hostId) this.network.setBlocked(hostId, other, isIsolated);
    }
  }

  /**
   * Changes a team's limit. Callers use an increased limit only after hosts had time to apply it.
   */
  changeLimit(teamId: TeamId, tokensPerSecond: number, burstTokens: number): void {
    this.recordTrace(`limit of ${teamId}: ${tokensPerSecond}/s, burst ${burstTokens}`);
    this.store.writeLimit(teamId, tokensPerSecond, burstTokens);
    this.conformanceChecker.setLimit(teamId, tokensPerSecond, burstTokens, this.clock.nowMs());
    const {referenceBucket} = this.traffic.find(({spec}) => spec.teamId === teamId)!;
    const apply = () =>
      changeLimit(referenceBucket, tokensPerSecond, burstTokens, this.clock.nowMs());
    if (tokensPerSecond < referenceBucket.tokensPerSecond) apply();
    else this.clock.setTimer(1000, apply);
    this.notifyWatchers();
  }

  /** Notifies all processes of a change, as the platform's watches do. */
  notifyWatchers(): void {
    for (const process of this.processes.values()) {
      this.network.send('platform', process.hostId, () => process.run(() => process.poll()));
    }
  }

  /** Owner of a team's shard according to the store. */
  ownerOf(teamId: TeamId): HostId {
    const shard = shardOfTeam(teamId, this.options.settings.shardCount);
    return this.store.shards.get(shard)!.owner;
  }

  formerHoldersOf(record: ShardRecord, epoch: number): readonly HostId[] {
    if (!this.options.ignoreFormerHolders || epoch === 1) return record.holders;
    return record.placement;
  }

  /** Time since more than half of all hosts applied a revision, as heartbeats report it. */
  appliedByMajorityMs(revision: number): number {
    const times: number[] = [];
    for (const {appliedAtMs} of this.processes.values()) {
      const entry = appliedAtMs.find(applied => applied.revision >= revision);
      times.push(entry?.atMs ?? Infinity);
    }
    times.sort((a, b) => a - b);
    return this.clock.nowMs() - times[Math.floor(times.length / 2)];
  }

  sendTo(from: HostProcess, to: HostId, turn: (peer: HostProcess) => void): void {
    this.network.send(from.hostId, to, () => {
      const peer = this.processes.get(to);
      peer?.run(() => turn(peer));
    });
  }

  sendResponse(from: HostProcess, to: HostProcess, turn: () => void): void {
    this.network.send(from.hostId, to.hostId, () => to.run(turn));
  }

  recordTrace(text: string): void {
    this.trace.push(`${this.clock.nowMs().toFixed(1)} ms: ${text}`);
    if (this.trace.length > MAX_TRACE_LINES) this.trace.shift();
  }

  /** Stops the traffic and lets open requests settle. */
  finish(): void {
    this.isStopped = true;
    this.clock.advance(this.options.maxRequestMs + 3000);
  }

  private scheduleArrival(traffic: TeamTraffic): void {
    const {spec} = traffic;
    const meanGapMs = (spec.meanCostTokens / (spec.tokensPerSecond * spec.load)) * 1000;
    // Bursty teams are idle while the bucket fills, then send more than a full burst at once.
    const isBursty = spec.shape === 'bursty';
    const gapMs = isBursty
      ? (0.3 + this.random.next()) * ((spec.burstTokens / spec.tokensPerSecond) * 1000)
      : -Math.log(1 - this.random.next()) * meanGapMs;
    this.clock.setTimer(gapMs, () => {
      if (this.isStopped) return;
      const size = isBursty ? Math.ceil((spec.burstTokens * 1.5) / spec.meanCostTokens) : 1;
      for (let i = 0; i < size; i++) this.generateRequest(traffic);
      this.scheduleArrival(traffic);
    });
  }

  private generateRequest(traffic: TeamTraffic): void {
    const {spec} = traffic;
    const costTokens = spec.meanCostTokens * (0.2 + 1.6 * this.random.next());
    const share =
      spec.minActualCostFraction + (1 - spec.minActualCostFraction) * this.random.next();
    const durationMs = 20 + this.random.next() ** 3 * this.options.maxRequestMs;
    this.sendRequest(traffic, {costTokens, actualTokens: costTokens * share, durationMs});
  }

  private sendRequest(
    traffic: TeamTraffic,
    work: Pick<OpenRequest, 'costTokens' | 'actualTokens' | 'durationMs'>,
  ): void {
    const {spec, referenceBucket} = traffic;
    const {costTokens, actualTokens, durationMs} = work;
    const nowMs = this.clock.nowMs();
    const process = this.chooseHost(spec);
    if (!process) {
      this.counts.notServed++;
      return;
    }
    const stamp = takeTokens(referenceBucket, costTokens, nowMs);
    if (stamp === undefined && !spec.isGreedy) return;
    if (stamp !== undefined) {
      this.clock.setTimer(durationMs, () => {
        refundTokens(referenceBucket, stamp, costTokens - actualTokens, this.clock.nowMs());
      });
    }
    const requestId: RequestId = toId(`r${this.nextRequestNumber++}`);
    this.counts.requests++;
    this.openRequests.set(requestId, {
      traffic,
      costTokens,
      actualTokens,
      durationMs,
      arrivedMs: nowMs,
    });
    if (this.options.strategy === 'fixed')
      this.admitFromFixedShare(process, requestId, spec, costTokens);
    else process.run(() => process.request(requestId, spec.teamId, costTokens));
  }

  private readonly fixedBuckets = new Map<string, TokenBucket>();

  private admitFromFixedShare(
    process: HostProcess,
    requestId: RequestId,
    spec: TeamSpec,
    costTokens: number,
  ): void {
    const key = `${process.sessionId}/${spec.teamId}`;
    const nowMs = this.clock.nowMs();
    const {hostCount} = this.options;
    const rate = spec.tokensPerSecond / hostCount;
    const bucket =
      this.fixedBuckets.get(key) ?? createBucket(rate, spec.burstTokens / hostCount, nowMs);
    this.fixedBuckets.set(key, bucket);
    if (takeTokens(bucket, costTokens, nowMs) !== undefined)
      this.handleAdmission(process, requestId);
    else
      this.handleRefusal(process, {
        type: 'refuse',
        requestId,
        reason: 'rateExceeded',
        retryAfterMs: 0,
      });
  }

  /** Chooses the host that receives a request: a running placement host of the team's shard. */
  private chooseHost(spec: TeamSpec): HostProcess | undefined {
    const shard = shardOfTeam(spec.teamId, this.options.settings.shardCount);
    const record = this.store.shards.get(shard)!;
    // Surges are also sent to hosts that have left the placement but may still have reserves.
    const pool = spec.shape === 'surge' ? record.holders : record.placement;
    const all = this.options.strategy === 'fixed' ? [...this.processes.keys()] : pool;
    const candidates = all
      .map(hostId => this.processes.get(hostId)!)
      .filter(host => host.isAlive && !host.isPaused && !host.isLeaving)
      .filter(host => this.options.ignoreFreshness || host.isFresh());
    if (candidates.length === 0) return undefined;
    if (spec.shape === 'steady' || spec.shape === 'surge') {
      return candidates[this.random.nextInt(candidates.length)];
    }
    const periodMs = spec.shape === 'moving' ? 3000 : 7000;
    return candidates[Math.floor(this.clock.nowMs() / periodMs) % candidates.length];
  }

  handleAdmission(process: HostProcess, requestId: RequestId): void {
    const request = this.openRequests.get(requestId);
    if (!request) return;
    this.openRequests.delete(requestId);
    const {traffic, costTokens, actualTokens, durationMs, arrivedMs} = request;
    const {teamId} = traffic.spec;
    const nowMs = this.clock.nowMs();
    this.counts.admitted++;
    this.counts.waitedMs += nowMs - arrivedMs;
    const admission = this.conformanceChecker.recordAdmission(teamId, costTokens, nowMs);
    this.onAdmitted(nowMs, teamId, costTokens);
    this.clock.setTimer(durationMs, () => {
      if (!process.isAlive) return;
      admission.tokens = actualTokens;
      process.settle(teamId, requestId, actualTokens);
    });
  }

  handleRefusal(process: HostProcess, action: Extract<HostAction, {type: 'refuse'}>): void {
    const request = this.openRequests.get(action.requestId);
    if (!request) return;
    this.openRequests.delete(action.requestId);
    const {spec} = request.traffic;
    if (spec.isGreedy) {
      this.counts.greedyRefusals++;
      return;
    }
    this.counts.wrongfulRefusals++;
    const cost = request.costTokens.toFixed(0);
    this.recordTrace(`${process.hostId} refused ${spec.teamId} ${cost} tokens: ${action.reason}`);
    this.onWrongfulRefusal(this.clock.nowMs(), action.reason, spec.teamId);
  }
}
