import {FailureDomain, HostId, RequestId, SessionId, TeamId} from '@radishgw/core';
import {
  applyShardRecord,
  createHost,
  createOwner,
  dropReserves,
  extendAuthority,
  fenceHolder,
  handOverOwnership,
  HandOverShardsRequest,
  hasAuthority,
  HostAction,
  HostState,
  nextHostTimerMs,
  nextOwnerTimerMs,
  OwnerState,
  processHostTimers,
  processOwnerTimers,
  requestTokens,
  setPlacement,
  settleRequest,
  stopHost,
} from '@radishgw/limits';
import {sendAcquire, sendConfirm, sendReplies} from './limits-calls.js';
import {PlatformSnapshot, ShardRecord} from './limits-platform.js';
import {sameMembers} from './limits-placement.js';
import {OwnershipAttempt, SESSION_TTL_MS, SessionTracker} from './limits-sessions.js';
import type {LimitsSimulation} from './limits-simulation.js';

const SESSION_RENEW_INTERVAL_MS = 2000;
const DEFAULT_POLL_INTERVAL_MS = 500;
const MAX_FRESH_AGE_MS = 4000;
/** Maximum age of outage evidence that a host may use. */
const MAX_OUTAGE_EVIDENCE_AGE_MS = 4000;

/** One host process: the production limits code with a model of sessions and shard records. */
export class HostProcess {
  readonly host: HostState;
  readonly owners = new Map<number, OwnerState>();
  isAlive = true;
  isLeaving = false;
  /** Event loop turns queued while the process is paused; undefined while it runs. */
  private pausedTurns: Array<() => void> | undefined;
  private snapshot: PlatformSnapshot | undefined;
  private sessionValidUntilMs = -Infinity;
  private confirmedAtMs = -Infinity;
  private readonly sessions = new SessionTracker();
  private readonly ownershipAttempts = new Map<number, OwnershipAttempt>();
  /** Process that waits for the response to its reserve confirmation, by shard and host. */
  readonly confirmSenders = new Map<string, HostProcess>();
  private nextTimerAtMs = Infinity;
  private wasStale = false;

  constructor(
    readonly simulation: LimitsSimulation,
    readonly hostId: HostId,
    readonly failureDomain: FailureDomain,
    readonly sessionId: SessionId,
    private readonly clockRate: number,
    private readonly clockOffsetMs: number,
  ) {
    this.host = createHost({
      hostId,
      sessionId,
      settings: simulation.options.settings,
      findLimit: teamId => this.snapshot?.limits.get(teamId),
    });
  }

  /** Monotonic time of this process, with the drift and offset of its clock. */
  nowMs(): number {
    return this.clockOffsetMs + this.simulation.clock.nowMs() * this.clockRate;
  }

  get isPaused(): boolean {
    return this.pausedTurns !== undefined;
  }

  /** Starts the session, its renewal and the periodic reads of the store. */
  start(): void {
    this.callPlatform(
      store => store.writeSession(this.hostId, this.sessionId, 'start'),
      (_, sentMs) => {
        this.sessionValidUntilMs = sentMs + SESSION_TTL_MS;
      },
    );
    this.poll();
    this.runEvery(SESSION_RENEW_INTERVAL_MS, () => this.renew());
    this.runEvery(this.simulation.options.pollIntervalMs ?? DEFAULT_POLL_INTERVAL_MS, () =>
      this.poll(),
    );
  }

  /** Runs one event loop turn, or queues it while the process is paused. */
  run(turn: () => void): void {
    if (!this.isAlive) return;
    if (this.pausedTurns) {
      this.pausedTurns.push(turn);
      return;
    }
    turn();
    this.scheduleTimers();
  }

  pause(durationMs: number): void {
    if (!this.isAlive || this.pausedTurns) return;
    this.pausedTurns = [];
    this.simulation.clock.setTimer(durationMs, () => {
      const turns = this.pausedTurns ?? [];
      this.pausedTurns = undefined;
      for (const turn of turns) this.run(turn);
    });
  }

  /**
   * Whether the host may serve keyed requests (G4): its configuration was confirmed recently, or a
   * real platform outage is in progress or has just ended.
   */
  isFresh(): boolean {
    const {store, clock, isolated} = this.simulation;
    const isOutage =
      !store.isUp || clock.nowMs() - store.outageEndedMs < MAX_OUTAGE_EVIDENCE_AGE_MS;
    return (
      (isOutage && !isolated.has(this.hostId)) ||
      this.nowMs() - this.confirmedAtMs <= MAX_FRESH_AGE_MS
    );
  }

  request(requestId: RequestId, teamId: TeamId, costTokens: number): void {
    const request = {requestId, teamId, costTokens};
    this.executeActions(requestTokens(this.host, request, this.nowMs()));
  }

  settle(teamId: TeamId, requestId: RequestId, actualTokens: number): void {
    this.run(() => {
      this.executeActions(settleRequest(this.host, teamId, requestId, actualTokens, this.nowMs()));
    });
  }

  /** Stops as planned: hands all owned shards over, then ends the session. */
  stop(): void {
    this.isLeaving = true;
    this.run(() => this.executeActions(stopHost(this.host, this.nowMs())));
    this.runAfter(50, () => this.handOverAll());
    this.runAfter(400, () => {
      const {store} = this.simulation;
      this.callPlatform(
        () => store.writeSession(this.hostId, this.sessionId, 'end'),
        () => (this.isAlive = false),
      );
    });
  }

  private handOverAll(): void {
    const {hostId, sessionId} = this;
    for (const [shard, owner] of this.owners) {
      const next = this.computePlacement()[shard].find(candidate => candidate !== hostId);
      const message = handOverOwnership(owner, {hostId, sessionId}, this.nowMs());
      this.owners.delete(shard);
      if (!next || !message) continue;
      this.simulation.sendTo(this, next, peer => peer.receiveHandOver(message));
    }
  }

  private receiveHandOver(handOver: HandOverShardsRequest): void {
    const {shard, epoch} = handOver;
    const receivedMs = this.nowMs();
    this.attemptOwnership(shard, {epoch: epoch + 1, unownedMs: 0, handOver, receivedMs});
  }

  private runAfter(delayMs: number, turn: () => void): void {
    this.simulation.clock.setTimer(delayMs, () => this.run(turn));
  }

  private runEvery(periodMs: number, turn: () => void): void {
    this.runAfter(periodMs, () => {
      turn();
      this.runEvery(periodMs, turn);
    });
  }

  private callPlatform<T>(
    operation: (store: LimitsSimulation['store']) => T,
    onResult: (result: T, sentMs: number) => void,
  ): void {
    const {network, store} = this.simulation;
    const sentMs = this.nowMs();
    network.send(this.hostId, 'platform', () => {
      if (!store.isUp) return;
      const result = operation(store);
      network.send('platform', this.hostId, () => this.run(() => onResult(result, sentMs)));
    });
  }

  private renew(): void {
    this.removeExpiredOwners();
    this.callPlatform(
      store => store.writeSession(this.hostId, this.sessionId, 'renew'),
      (ok, sentMs) => {
        if (!ok) return;
        this.removeExpiredOwners();
        const validUntilMs = sentMs + SESSION_TTL_MS;
        this.sessionValidUntilMs = Math.max(this.sessionValidUntilMs, validUntilMs);
        for (const owner of this.owners.values()) {
          extendAuthority(owner, this.sessionValidUntilMs);
        }
      },
    );
  }

  private removeExpiredOwners(): void {
    for (const [shard, owner] of this.owners) {
      if (!hasAuthority(owner, this.nowMs())) this.owners.delete(shard);
    }
  }

  /** Reads the store; called periodically and when a watch reports a change. */
  poll(): void {
    this.wasStale ||= this.confirmedAtMs > -Infinity && !this.isFresh();
    this.callPlatform(
      store => store.read(),
      (snapshot, sentMs) => this.applySnapshot(snapshot, sentMs),
    );
  }

  private applySnapshot(snapshot: PlatformSnapshot, sentMs: number): void {
    if (this.wasStale) this.executeActions(dropReserves(this.host, this.nowMs()));
    this.wasStale = false;
    this.confirmedAtMs = Math.max(this.confirmedAtMs, sentMs);
    if (this.snapshot && snapshot.revision < this.snapshot.revision) return;
    this.snapshot = snapshot;
    const atMs = this.simulation.clock.nowMs();
    this.appliedAtMs.push({revision: snapshot.revision, atMs});
    if (this.appliedAtMs.length > 400) this.appliedAtMs.shift();
    this.host.configRevision = Math.max(
      0,
      ...[...snapshot.limits.values()].map(limit => limit.revision),
    );
    this.sessions.observe(snapshot.sessions, this.nowMs());
    for (const [shard, record] of snapshot.shards) this.applyShard(shard, record);
  }

  private applyShard(shard: number, record: ShardRecord): void {
    const isPlacementHost = record.placement.includes(this.hostId);
    const nowMs = this.nowMs();
    this.executeActions(
      applyShardRecord(this.host, {shard, epoch: record.epoch, isPlacementHost}, nowMs),
    );
    const isOwner = record.owner === this.hostId && record.ownerSession === this.sessionId;
    const owner = this.owners.get(shard);
    if (owner && (!isOwner || owner.epoch < record.epoch)) this.owners.delete(shard);
    const attempt = this.ownershipAttempts.get(shard);
    if (isOwner && attempt?.epoch === record.epoch) this.becomeOwner(shard, record, attempt);
    else if (isOwner) this.updatePlacement(shard, record);
    if (!this.isLeaving) this.takeOverIfUnowned(shard, record);
  }

  private becomeOwner(shard: number, record: ShardRecord, attempt: OwnershipAttempt): void {
    this.ownershipAttempts.delete(shard);
    const nowMs = this.nowMs();
    if (nowMs >= this.sessionValidUntilMs) return;
    const handOver = attempt.handOver && {
      ...attempt.handOver,
      ageMs: attempt.handOver.ageMs + nowMs - attempt.receivedMs,
    };
    const owner = createOwner({
      shard,
      epoch: record.epoch,
      settings: this.simulation.options.settings,
      findLimit: teamId => this.snapshot?.limits.get(teamId),
      nowMs,
      authorityUntilMs: this.sessionValidUntilMs,
      unownedMs: attempt.unownedMs,
      formerHolders: this.simulation.formerHoldersOf(record, attempt.epoch),
      placement: record.placement,
      handOver,
    });
    this.owners.set(shard, owner);
    this.simulation.recordTrace(`${this.hostId} owns shard ${shard} epoch ${record.epoch}`);
    this.simulation.counts.takeovers++;
    if (handOver) this.simulation.counts.handovers++;
  }

  /**
   * Makes this host the first owner of a shard in a new deployment, where nothing was granted yet.
   */
  initializeOwnership(shard: number, record: ShardRecord): void {
    const unownedMs = 600_000;
    this.sessionValidUntilMs = this.nowMs() + SESSION_TTL_MS;
    this.becomeOwner(
      shard,
      {...record, holders: []},
      {
        epoch: record.epoch,
        unownedMs,
        handOver: undefined,
        receivedMs: 0,
      },
    );
  }

  private computePlacement(): HostId[][] {
    return this.simulation.placementOf(this.sessions.listLive(this.nowMs()));
  }

  private updatePlacement(shard: number, record: ShardRecord): void {
    const owner = this.owners.get(shard);
    if (!owner || this.isLeaving) return;
    const placement = this.computePlacement()[shard] ?? [];
    if (placement.length === 0) return;
    if (sameMembers(placement, record.placement)) {
      setPlacement(owner, record.placement);
      this.fenceHolders(owner, record);
      return;
    }
    const holders = [...new Set([...owner.holders.keys(), ...record.placement, ...placement])];
    this.callPlatform(
      store => {
        const current = store.shards.get(shard);
        if (current !== record) return false;
        const isWritten = store.writeShard(shard, record.epoch, {...record, placement, holders});
        if (isWritten) this.simulation.notifyWatchers();
        return isWritten;
      },
      () => undefined,
    );
  }

  /** Fences former placement hosts once most hosts have applied the record for long enough. */
  private fenceHolders(owner: OwnerState, record: ShardRecord): void {
    if (this.simulation.options.ignoreFreshness || this.simulation.options.neverFence) return;
    for (const hostId of owner.holders.keys()) {
      if (record.placement.includes(hostId)) continue;
      if (
        this.simulation.appliedByMajorityMs(record.revision ?? 0) <
        MAX_FRESH_AGE_MS + MAX_OUTAGE_EVIDENCE_AGE_MS
      )
        continue;
      this.simulation.recordTrace(`${this.hostId} releases the reserves of ${hostId}`);
      fenceHolder(owner, hostId, this.nowMs());
    }
  }

  /** Applied snapshot revisions and when each was applied, as heartbeats would report them. */
  readonly appliedAtMs: Array<{revision: number; atMs: number}> = [];

  private takeOverIfUnowned(shard: number, record: ShardRecord): void {
    const unownedMs = this.sessions.unownedMs(shard, record, this.nowMs());
    if (unownedMs === undefined || this.owners.has(shard)) return;
    if (this.computePlacement()[shard]?.[0] !== this.hostId) return;
    const receivedMs = this.nowMs();
    this.attemptOwnership(shard, {
      epoch: record.epoch + 1,
      unownedMs,
      handOver: undefined,
      receivedMs,
    });
  }

  private attemptOwnership(shard: number, attempt: OwnershipAttempt): void {
    const record = this.snapshot?.shards.get(shard);
    if (!record || this.nowMs() >= this.sessionValidUntilMs) return;
    if (this.ownershipAttempts.get(shard)?.epoch === attempt.epoch && !attempt.handOver) return;
    this.ownershipAttempts.set(shard, attempt);
    const placement = this.computePlacement()[shard];
    const next: ShardRecord = {
      epoch: attempt.epoch,
      owner: this.hostId,
      ownerSession: this.sessionId,
      holders: [...new Set([...record.holders, ...record.placement, ...placement])],
      placement,
    };
    this.callPlatform(
      store => {
        const isWritten = store.writeShard(shard, attempt.epoch - 1, next);
        if (isWritten) this.simulation.notifyWatchers();
        return isWritten;
      },
      ok => {
        if (!ok) this.ownershipAttempts.delete(shard);
      },
    );
  }

  executeActions(actions: readonly HostAction[]): void {
    for (const action of actions) {
      if (action.type === 'admit') this.simulation.handleAdmission(this, action.requestId);
      else if (action.type === 'refuse') this.simulation.handleRefusal(this, action);
      else if (action.type === 'acquire') sendAcquire(this, action.request);
      else sendConfirm(this, action.request);
    }
  }

  /** Owner of a shard according to the last applied snapshot. */
  ownerOf(shard: number): HostId | undefined {
    return this.snapshot?.shards.get(shard)?.owner;
  }

  /** Schedules {@link processTimers} for the earliest timer of the host and its owned shards. */
  private scheduleTimers(): void {
    let dueMs = nextHostTimerMs(this.host);
    for (const owner of this.owners.values()) dueMs = Math.min(dueMs, nextOwnerTimerMs(owner));
    if (dueMs >= this.nextTimerAtMs || dueMs === Infinity) return;
    this.nextTimerAtMs = dueMs;
    const delayMs = Math.max(0.01, (dueMs - this.nowMs()) / this.clockRate + 0.001);
    this.simulation.clock.setTimer(delayMs, () => {
      if (this.nextTimerAtMs !== dueMs) return;
      this.run(() => this.processTimers());
    });
  }

  private processTimers(): void {
    this.nextTimerAtMs = Infinity;
    const nowMs = this.nowMs();
    for (const [shard, owner] of this.owners) {
      if (nextOwnerTimerMs(owner) <= nowMs)
        sendReplies(this, shard, processOwnerTimers(owner, nowMs));
    }
    if (nextHostTimerMs(this.host) <= nowMs)
      this.executeActions(processHostTimers(this.host, nowMs));
  }
}
