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
import {TeamSpec, WorldOptions} from './limits-options.js';
import {createPlacementCache} from './limits-placement.js';
import {HostProcess} from './limits-process.js';

const TRACE_LINES = 200;
/** A change may be unknown to a cut-off host for the freshness time, and its grants last 2 s. */
const CHANGE_LAG_MS = 8000;
const CLOCK_DRIFT = 1e-4;

interface TeamTraffic {
  readonly spec: TeamSpec;
  readonly reference: TokenBucket;
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

/** Hosts, platform, network and callers in virtual time around the real limits code. */
export class LimitsWorld {
  readonly clock = new VirtualClock();
  readonly random: RandomSource;
  readonly network: NetworkModel;
  readonly store = new StoreModel();
  readonly auditor = new ConformanceChecker({
    limitChangeDelayMs: CHANGE_LAG_MS,
    clockDriftFraction: CLOCK_DRIFT,
  });
  readonly processes = new Map<HostId, HostProcess>();
  /** Hosts without any connection. */
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
  /** Called for each wrongful refusal with the time and the reason. */
  onWrongful: (atMs: number, reason: string, teamId: TeamId) => void = () => undefined;
  /** Called for each grant that an owner issues. */
  onGranted: (atMs: number, teamId: TeamId) => void = () => undefined;
  /** Called for each admission with the time. */
  onAdmitted: (atMs: number, teamId: TeamId, tokens: number) => void = () => undefined;
  readonly placementOf: (live: readonly HostId[]) => HostId[][];
  private readonly traffic: TeamTraffic[] = [];
  private readonly open = new Map<RequestId, OpenRequest>();
  private nextRequest = 1;
  private nextSession = 1;
  private isStopped = false;

  constructor(readonly options: WorldOptions) {
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

  /** Starts all hosts as a new deployment and the traffic of all teams. */
  start(): void {
    for (const spec of this.options.teams) this.addTeam(spec);
    for (let i = 0; i < this.options.hostCount; i++) this.startHost(toId(`h${i}`));
    const placement = this.placementOf([...this.processes.keys()]);
    this.clock.advance(20);
    placement.forEach((hosts, shard) => this.beginShard(shard, hosts));
    this.notifyAll();
    this.clock.advance(200);
    for (const traffic of this.traffic) {
      this.scheduleArrival(traffic);
      if (traffic.spec.shape !== 'surge') continue;
      this.scheduleSurge(traffic);
      this.scheduleProbe(traffic);
    }
  }

  /** Large estimates that are given back at once leave hosts with large unspent grants. */
  private scheduleProbe(traffic: TeamTraffic): void {
    this.clock.setTimer(200 + this.random.next() * 600, () => {
      if (this.isStopped) return;
      const costTokens = traffic.spec.burstTokens * (0.2 + 0.7 * this.random.next());
      this.dispatch(traffic, {costTokens, actualTokens: 0, durationMs: 1});
      this.scheduleProbe(traffic);
    });
  }

  /** Now and then sends more than the burst to all hosts at once, to find tokens counted twice. */
  private scheduleSurge(traffic: TeamTraffic): void {
    const {spec} = traffic;
    const fillMs = (spec.burstTokens / spec.tokensPerSecond) * 1000;
    this.clock.setTimer((0.1 + this.random.next()) * fillMs, () => {
      if (this.isStopped) return;
      const size = Math.ceil((spec.burstTokens * 3) / spec.meanCostTokens);
      for (let i = 0; i < size; i++) this.arrive(traffic);
      this.scheduleSurge(traffic);
    });
  }

  private beginShard(shard: number, placement: HostId[]): void {
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
    owner.run(() => owner.beginAsOwner(shard, record));
  }

  private addTeam(spec: TeamSpec): void {
    const {teamId, tokensPerSecond, burstTokens} = spec;
    this.store.writeLimit(teamId, tokensPerSecond, burstTokens);
    this.auditor.setLimit(teamId, tokensPerSecond, burstTokens, 0);
    const reference = createBucket(tokensPerSecond, burstTokens, 0);
    this.traffic.push({spec, reference, burstUntilMs: 0, sent: 0, refused: 0});
  }

  /** Starts a process on a host; a process that ran there is gone. */
  startHost(hostId: HostId): HostProcess {
    const former = this.processes.get(hostId);
    if (former) former.isAlive = false;
    const sessionId: SessionId = toId(`s${this.nextSession++}`);
    const rate = 1 + (this.random.next() - 0.5) * CLOCK_DRIFT;
    const offsetMs = this.random.next() * 1e6;
    const domain = this.domainOf(hostId);
    const process = new HostProcess(this, hostId, domain, sessionId, rate, offsetMs);
    this.processes.set(hostId, process);
    process.run(() => process.start());
    return process;
  }

  /** Ends a process without notice. */
  kill(hostId: HostId): void {
    this.note(`kill ${hostId}`);
    this.processes.get(hostId)!.isAlive = false;
  }

  /** Cuts a host off from all others and the platform, or reconnects it. */
  setIsolated(hostId: HostId, isIsolated: boolean): void {
    this.note(`${isIsolated ? 'isolate' : 'reconnect'} ${hostId}`);
    if (isIsolated) this.isolated.add(hostId);
    else this.isolated.delete(hostId);
    this.network.setBlocked(hostId, 'platform', isIsolated);
    for (const other of this.processes.keys()) {
      if (other !== hostId) this.network.setBlocked(hostId, other, isIsolated);
    }
  }

  /** Changes a team's limit; callers learn of a higher one when hosts have had time to apply it. */
  changeLimit(teamId: TeamId, tokensPerSecond: number, burstTokens: number): void {
    this.note(`limit of ${teamId}: ${tokensPerSecond}/s, burst ${burstTokens}`);
    this.store.writeLimit(teamId, tokensPerSecond, burstTokens);
    this.auditor.setLimit(teamId, tokensPerSecond, burstTokens, this.clock.nowMs());
    const {reference} = this.traffic.find(({spec}) => spec.teamId === teamId)!;
    const apply = () => changeLimit(reference, tokensPerSecond, burstTokens, this.clock.nowMs());
    if (tokensPerSecond < reference.tokensPerSecond) apply();
    else this.clock.setTimer(1000, apply);
    this.notifyAll();
  }

  /** Delivers the platform's watches. */
  notifyAll(): void {
    for (const process of this.processes.values()) {
      this.network.send('platform', process.hostId, () => process.run(() => process.poll()));
    }
  }

  /** Host that owns a team's shard according to the store. */
  ownerOf(teamId: TeamId): HostId {
    const shard = shardOfTeam(teamId, this.options.settings.shardCount);
    return this.store.shards.get(shard)!.owner;
  }

  recordedHolders(record: ShardRecord, epoch: number): readonly HostId[] {
    if (!this.options.ignoreFormerHolders || epoch === 1) return record.holders;
    return record.placement;
  }

  /** For how long more than half of all hosts have had a revision, as heartbeats tell a host. */
  appliedByMostMs(revision: number): number {
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

  sendBack(from: HostProcess, to: HostProcess, turn: () => void): void {
    this.network.send(from.hostId, to.hostId, () => to.run(turn));
  }

  note(text: string): void {
    this.trace.push(`${this.clock.nowMs().toFixed(1)} ms: ${text}`);
    if (this.trace.length > TRACE_LINES) this.trace.shift();
  }

  /** Ends the traffic and settles what is running. */
  finish(): void {
    this.isStopped = true;
    this.clock.advance(this.options.longestRequestMs + 3000);
  }

  private scheduleArrival(traffic: TeamTraffic): void {
    const {spec} = traffic;
    const meanGapMs = (spec.meanCostTokens / (spec.tokensPerSecond * spec.load)) * 1000;
    // Bursty teams save up and then send as much as the bucket allows within a moment.
    const isBursty = spec.shape === 'bursty';
    const gapMs = isBursty
      ? (0.3 + this.random.next()) * ((spec.burstTokens / spec.tokensPerSecond) * 1000)
      : -Math.log(1 - this.random.next()) * meanGapMs;
    this.clock.setTimer(gapMs, () => {
      if (this.isStopped) return;
      const size = isBursty ? Math.ceil((spec.burstTokens * 1.5) / spec.meanCostTokens) : 1;
      for (let i = 0; i < size; i++) this.arrive(traffic);
      this.scheduleArrival(traffic);
    });
  }

  private arrive(traffic: TeamTraffic): void {
    const {spec} = traffic;
    const costTokens = spec.meanCostTokens * (0.2 + 1.6 * this.random.next());
    const share = spec.leastActualShare + (1 - spec.leastActualShare) * this.random.next();
    const durationMs = 20 + this.random.next() ** 3 * this.options.longestRequestMs;
    this.dispatch(traffic, {costTokens, actualTokens: costTokens * share, durationMs});
  }

  private dispatch(
    traffic: TeamTraffic,
    work: Pick<OpenRequest, 'costTokens' | 'actualTokens' | 'durationMs'>,
  ): void {
    const {spec, reference} = traffic;
    const {costTokens, actualTokens, durationMs} = work;
    const nowMs = this.clock.nowMs();
    const process = this.chooseHost(spec);
    if (!process) {
      this.counts.notServed++;
      return;
    }
    const stamp = takeTokens(reference, costTokens, nowMs);
    if (stamp === undefined && !spec.greedy) return;
    if (stamp !== undefined) {
      this.clock.setTimer(durationMs, () => {
        refundTokens(reference, stamp, costTokens - actualTokens, this.clock.nowMs());
      });
    }
    const requestId: RequestId = toId(`r${this.nextRequest++}`);
    this.counts.requests++;
    this.open.set(requestId, {traffic, costTokens, actualTokens, durationMs, arrivedMs: nowMs});
    if (this.options.strategy === 'fixed') this.admitFixed(process, requestId, spec, costTokens);
    else process.run(() => process.request(requestId, spec.teamId, costTokens));
  }

  private readonly fixedBuckets = new Map<string, TokenBucket>();

  private admitFixed(
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
    if (takeTokens(bucket, costTokens, nowMs) !== undefined) this.onAdmit(process, requestId);
    else
      this.onRefuse(process, {type: 'refuse', requestId, reason: 'rateExceeded', retryAfterMs: 0});
  }

  /** Host that a caller reaches: one of the shard's placement hosts that is up. */
  private chooseHost(spec: TeamSpec): HostProcess | undefined {
    const shard = shardOfTeam(spec.teamId, this.options.settings.shardCount);
    const record = this.store.shards.get(shard)!;
    // Surges also go to hosts that aren't in the placement any more.
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

  onAdmit(process: HostProcess, requestId: RequestId): void {
    const request = this.open.get(requestId);
    if (!request) return;
    this.open.delete(requestId);
    const {traffic, costTokens, actualTokens, durationMs, arrivedMs} = request;
    const {teamId} = traffic.spec;
    const nowMs = this.clock.nowMs();
    this.counts.admitted++;
    this.counts.waitedMs += nowMs - arrivedMs;
    const admission = this.auditor.recordAdmission(teamId, costTokens, nowMs);
    this.onAdmitted(nowMs, teamId, costTokens);
    this.clock.setTimer(durationMs, () => {
      if (!process.isAlive) return;
      admission.tokens = actualTokens;
      process.settle(teamId, requestId, actualTokens);
    });
  }

  onRefuse(process: HostProcess, action: Extract<HostAction, {type: 'refuse'}>): void {
    const request = this.open.get(action.requestId);
    if (!request) return;
    this.open.delete(action.requestId);
    const {spec} = request.traffic;
    if (spec.greedy) {
      this.counts.greedyRefusals++;
      return;
    }
    this.counts.wrongfulRefusals++;
    const cost = request.costTokens.toFixed(0);
    this.note(`${process.hostId} refused ${spec.teamId} ${cost} tokens: ${action.reason}`);
    this.onWrongful(this.clock.nowMs(), action.reason, spec.teamId);
  }
}
