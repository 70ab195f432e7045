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
import {Challenge, SESSION_TTL_MS, SessionWatch} from './limits-sessions.js';
import type {LimitsWorld} from './limits-world.js';

const RENEW_MS = 2000;
const POLL_MS = 500;
const FRESH_MS = 4000;
/** Oldest evidence of an outage that a host may use. */
const EVIDENCE_MS = 4000;

/** One host process: the real limits code with a model of sessions and shard records. */
export class HostProcess {
  readonly host: HostState;
  readonly owners = new Map<number, OwnerState>();
  isAlive = true;
  isLeaving = false;
  /** Work that arrives while the process is paused. */
  private pausedWork: Array<() => void> | undefined;
  private view: PlatformSnapshot | undefined;
  private sessionValidUntilMs = -Infinity;
  private confirmedMs = -Infinity;
  private readonly sessions = new SessionWatch();
  private readonly challenges = new Map<number, Challenge>();
  /** Process that waits for the answer to a confirmation, by shard and host. */
  readonly confirmers = new Map<string, HostProcess>();
  private wakeAtMs = Infinity;
  private wasStale = false;

  constructor(
    readonly world: LimitsWorld,
    readonly hostId: HostId,
    readonly failureDomain: FailureDomain,
    readonly sessionId: SessionId,
    private readonly clockRate: number,
    private readonly clockOffsetMs: number,
  ) {
    this.host = createHost({
      hostId,
      sessionId,
      settings: world.options.settings,
      findLimit: teamId => this.view?.limits.get(teamId),
    });
  }

  /** Own monotonic time. */
  nowMs(): number {
    return this.clockOffsetMs + this.world.clock.nowMs() * this.clockRate;
  }

  get isPaused(): boolean {
    return this.pausedWork !== undefined;
  }

  /** Starts the session and the loops. */
  start(): void {
    this.callPlatform(
      store => store.writeSession(this.hostId, this.sessionId, 'start'),
      (_, sentMs) => {
        this.sessionValidUntilMs = sentMs + SESSION_TTL_MS;
      },
    );
    this.poll();
    this.repeat(RENEW_MS, () => this.renew());
    this.repeat(this.world.options.pollMs ?? POLL_MS, () => this.poll());
  }

  /** Runs one event loop turn now, or after the pause. */
  run(turn: () => void): void {
    if (!this.isAlive) return;
    if (this.pausedWork) {
      this.pausedWork.push(turn);
      return;
    }
    turn();
    this.scheduleWake();
  }

  pause(durationMs: number): void {
    if (!this.isAlive || this.pausedWork) return;
    this.pausedWork = [];
    this.world.clock.setTimer(durationMs, () => {
      const work = this.pausedWork ?? [];
      this.pausedWork = undefined;
      for (const turn of work) this.run(turn);
    });
  }

  /** True when the host may serve keyed requests (G4): confirmed lately, or in a real outage. */
  isFresh(): boolean {
    const {store, clock, isolated} = this.world;
    const isOutage = !store.isUp || clock.nowMs() - store.outageEndedMs < EVIDENCE_MS;
    return (isOutage && !isolated.has(this.hostId)) || this.nowMs() - this.confirmedMs <= FRESH_MS;
  }

  request(requestId: RequestId, teamId: TeamId, costTokens: number): void {
    const request = {requestId, teamId, costTokens};
    this.perform(requestTokens(this.host, request, this.nowMs()));
  }

  settle(teamId: TeamId, requestId: RequestId, actualTokens: number): void {
    this.run(() => {
      this.perform(settleRequest(this.host, teamId, requestId, actualTokens, this.nowMs()));
    });
  }

  /** Planned stop: hands the shards over, then ends the session. */
  stop(): void {
    this.isLeaving = true;
    this.run(() => this.perform(stopHost(this.host, this.nowMs())));
    this.later(50, () => this.handOverAll());
    this.later(400, () => {
      const {store} = this.world;
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
      this.world.sendTo(this, next, peer => peer.receiveHandOver(message));
    }
  }

  private receiveHandOver(handOver: HandOverShardsRequest): void {
    const {shard, epoch} = handOver;
    const receivedMs = this.nowMs();
    this.challenge(shard, {epoch: epoch + 1, silentMs: 0, handOver, receivedMs});
  }

  private later(delayMs: number, turn: () => void): void {
    this.world.clock.setTimer(delayMs, () => this.run(turn));
  }

  private repeat(periodMs: number, turn: () => void): void {
    this.later(periodMs, () => {
      turn();
      this.repeat(periodMs, turn);
    });
  }

  private callPlatform<T>(
    operation: (store: LimitsWorld['store']) => T,
    onResult: (result: T, sentMs: number) => void,
  ): void {
    const {network, store} = this.world;
    const sentMs = this.nowMs();
    network.send(this.hostId, 'platform', () => {
      if (!store.isUp) return;
      const result = operation(store);
      network.send('platform', this.hostId, () => this.run(() => onResult(result, sentMs)));
    });
  }

  private renew(): void {
    this.dropLapsedOwners();
    this.callPlatform(
      store => store.writeSession(this.hostId, this.sessionId, 'renew'),
      (ok, sentMs) => {
        if (!ok) return;
        this.dropLapsedOwners();
        const validUntilMs = sentMs + SESSION_TTL_MS;
        this.sessionValidUntilMs = Math.max(this.sessionValidUntilMs, validUntilMs);
        for (const owner of this.owners.values()) {
          extendAuthority(owner, this.sessionValidUntilMs);
        }
      },
    );
  }

  private dropLapsedOwners(): void {
    for (const [shard, owner] of this.owners) {
      if (!hasAuthority(owner, this.nowMs())) this.owners.delete(shard);
    }
  }

  /** Reads the store; also called when a watch reports a change. */
  poll(): void {
    this.wasStale ||= this.confirmedMs > -Infinity && !this.isFresh();
    this.callPlatform(
      store => store.read(),
      (snapshot, sentMs) => this.applyView(snapshot, sentMs),
    );
  }

  private applyView(snapshot: PlatformSnapshot, sentMs: number): void {
    if (this.wasStale) this.perform(dropReserves(this.host, this.nowMs()));
    this.wasStale = false;
    this.confirmedMs = Math.max(this.confirmedMs, sentMs);
    if (this.view && snapshot.revision < this.view.revision) return;
    this.view = snapshot;
    const atMs = this.world.clock.nowMs();
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
    const placed = record.placement.includes(this.hostId);
    const nowMs = this.nowMs();
    this.perform(
      applyShardRecord(this.host, {shard, epoch: record.epoch, isPlacementHost: placed}, nowMs),
    );
    const isOwner = record.owner === this.hostId && record.ownerSession === this.sessionId;
    const owner = this.owners.get(shard);
    if (owner && (!isOwner || owner.epoch < record.epoch)) this.owners.delete(shard);
    const challenge = this.challenges.get(shard);
    if (isOwner && challenge?.epoch === record.epoch) this.becomeOwner(shard, record, challenge);
    else if (isOwner) this.updatePlacement(shard, record);
    if (!this.isLeaving) this.considerTakeover(shard, record);
  }

  private becomeOwner(shard: number, record: ShardRecord, challenge: Challenge): void {
    this.challenges.delete(shard);
    const nowMs = this.nowMs();
    if (nowMs >= this.sessionValidUntilMs) return;
    const handOver = challenge.handOver && {
      ...challenge.handOver,
      ageMs: challenge.handOver.ageMs + nowMs - challenge.receivedMs,
    };
    const owner = createOwner({
      shard,
      epoch: record.epoch,
      settings: this.world.options.settings,
      findLimit: teamId => this.view?.limits.get(teamId),
      nowMs,
      authorityUntilMs: this.sessionValidUntilMs,
      unownedMs: challenge.silentMs,
      formerHolders: this.world.recordedHolders(record, challenge.epoch),
      placement: record.placement,
      handOver,
    });
    this.owners.set(shard, owner);
    this.world.note(`${this.hostId} owns shard ${shard} epoch ${record.epoch}`);
    this.world.counts.takeovers++;
    if (handOver) this.world.counts.handovers++;
  }

  /** Sets up ownership in a new deployment, where nothing was granted before. */
  beginAsOwner(shard: number, record: ShardRecord): void {
    const silentMs = 600_000;
    this.sessionValidUntilMs = this.nowMs() + SESSION_TTL_MS;
    this.becomeOwner(
      shard,
      {...record, holders: []},
      {
        epoch: record.epoch,
        silentMs,
        handOver: undefined,
        receivedMs: 0,
      },
    );
  }

  private computePlacement(): HostId[][] {
    return this.world.placementOf(this.sessions.listLive(this.nowMs()));
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
        if (isWritten) this.world.notifyAll();
        return isWritten;
      },
      () => undefined,
    );
  }

  /** Releases reserves of former placement hosts once most hosts have applied the record. */
  private fenceHolders(owner: OwnerState, record: ShardRecord): void {
    if (this.world.options.ignoreFreshness || this.world.options.neverFence) return;
    for (const hostId of owner.holders.keys()) {
      if (record.placement.includes(hostId)) continue;
      if (this.world.appliedByMostMs(record.revision ?? 0) < FRESH_MS + EVIDENCE_MS) continue;
      this.world.note(`${this.hostId} releases the reserves of ${hostId}`);
      fenceHolder(owner, hostId, this.nowMs());
    }
  }

  /** Revision of the last applied snapshot and when it was first reached, for the heartbeats. */
  readonly appliedAtMs: Array<{revision: number; atMs: number}> = [];

  private considerTakeover(shard: number, record: ShardRecord): void {
    const silentMs = this.sessions.silentMs(shard, record, this.nowMs());
    if (silentMs === undefined || this.owners.has(shard)) return;
    if (this.computePlacement()[shard]?.[0] !== this.hostId) return;
    const receivedMs = this.nowMs();
    this.challenge(shard, {epoch: record.epoch + 1, silentMs, handOver: undefined, receivedMs});
  }

  private challenge(shard: number, challenge: Challenge): void {
    const record = this.view?.shards.get(shard);
    if (!record || this.nowMs() >= this.sessionValidUntilMs) return;
    if (this.challenges.get(shard)?.epoch === challenge.epoch && !challenge.handOver) return;
    this.challenges.set(shard, challenge);
    const placement = this.computePlacement()[shard];
    const next: ShardRecord = {
      epoch: challenge.epoch,
      owner: this.hostId,
      ownerSession: this.sessionId,
      holders: [...new Set([...record.holders, ...record.placement, ...placement])],
      placement,
    };
    this.callPlatform(
      store => {
        const isWritten = store.writeShard(shard, challenge.epoch - 1, next);
        if (isWritten) this.world.notifyAll();
        return isWritten;
      },
      ok => {
        if (!ok) this.challenges.delete(shard);
      },
    );
  }

  perform(actions: readonly HostAction[]): void {
    for (const action of actions) {
      if (action.type === 'admit') this.world.onAdmit(this, action.requestId);
      else if (action.type === 'refuse') this.world.onRefuse(this, action);
      else if (action.type === 'acquire') sendAcquire(this, action.request);
      else sendConfirm(this, action.request);
    }
  }

  /** Owner of a shard as this process knows it. */
  ownerOf(shard: number): HostId | undefined {
    return this.view?.shards.get(shard)?.owner;
  }

  /** Makes sure that the clock calls {@link wake} when the earliest work is due. */
  private scheduleWake(): void {
    let dueMs = nextHostTimerMs(this.host);
    for (const owner of this.owners.values()) dueMs = Math.min(dueMs, nextOwnerTimerMs(owner));
    if (dueMs >= this.wakeAtMs || dueMs === Infinity) return;
    this.wakeAtMs = dueMs;
    const delayMs = Math.max(0.01, (dueMs - this.nowMs()) / this.clockRate + 0.001);
    this.world.clock.setTimer(delayMs, () => {
      if (this.wakeAtMs !== dueMs) return;
      this.run(() => this.wake());
    });
  }

  private wake(): void {
    this.wakeAtMs = Infinity;
    const nowMs = this.nowMs();
    for (const [shard, owner] of this.owners) {
      if (nextOwnerTimerMs(owner) <= nowMs)
        sendReplies(this, shard, processOwnerTimers(owner, nowMs));
    }
    if (nextHostTimerMs(this.host) <= nowMs) this.perform(processHostTimers(this.host, nowMs));
  }
}
