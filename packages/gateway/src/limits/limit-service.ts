import {ConfigStore, Team} from '@radishgw/config';
import {
  call,
  Clock,
  HostId,
  Procedure,
  RandomSource,
  RequestId,
  SessionId,
  sleep,
  TeamId,
  Timer,
  toId,
} from '@radishgw/core';
import {
  AcquireGrantRequest,
  applyShardRecord,
  cancelRequest,
  ConfirmReserveRequest,
  createHost,
  HostAction,
  HostState,
  LimitSettings,
  nextHostTimerMs,
  onAcquireResponse,
  onConfirmResponse,
  processHostTimers,
  RefusalReason,
  requestTokens,
  settleRequest,
  shardOfTeam,
  stopHost,
  TeamLimit,
} from '@radishgw/limits';
import {INNER_SERVICE} from '@radishgw/protocol';
import {PeerClients} from '../inner/peer-clients.js';
import {DecisionLog} from '../operator/decision-log.js';
import {Charge, RequestLimiter} from '../request/ports.js';
import {Refusal} from '../request/refusal.js';
import {decodeAcquireResponse, encodeAcquireRequest} from './limit-messages.js';
import {OwnedShards} from './owned-shards.js';
import {ReserveConfirmationClient} from './reserve-confirmations.js';

/** A host's view of the owner and placement of a shard. */
export interface ShardOwnerView {
  readonly ownerId: HostId | undefined;
  readonly epoch: number;
  readonly placement: readonly HostId[];
}

/** Dependencies of {@link LimitService}. */
export interface LimitServiceDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly hostId: HostId;
  readonly config: ConfigStore;
  readonly clients: PeerClients;
  readonly decisions: DecisionLog;
  readonly settings: LimitSettings;
  readonly owned: OwnedShards;
  viewShard(shard: number): ShardOwnerView;
}

interface PendingRequest {
  readonly team: Team;
  admit(): void;
  refuse(refusal: Refusal): void;
}

const SHARD_REFRESH_MS = 200;
/** Time for the owners to process the released reserves. */
const RELEASE_WAIT_MS = 100;
const ID_BYTES = 8;

const REFUSAL_MESSAGES: Readonly<Record<RefusalReason, string>> = {
  rateExceeded: 'the team has used its rate and burst',
  ownerUnreachable: "the team's rate can't be checked at the moment and its reserve is used up",
  aboveBurst: "the request costs more than the team's burst",
  unknownTeam: 'the team has no rate',
};

/** Returns the limit of a team in the current configuration. */
export function findLimit(config: ConfigStore, teamId: TeamId): TeamLimit | undefined {
  const team = config.findTeam(teamId);
  if (!team) return undefined;
  const {tokensPerSecond, burstTokens} = team.parameters;
  // Unlike the revision of the team's object, this one also increases with a template change.
  return {tokensPerSecond, burstTokens, revision: team.parametersRevision};
}

/** Enforces each team's rate and burst across all hosts. */
export class LimitService implements RequestLimiter {
  private readonly host: HostState;
  private readonly pendingRequests = new Map<RequestId, PendingRequest>();
  private readonly confirmations: ReserveConfirmationClient;
  /** Epoch and placement of each shard as last applied to the host state. */
  private readonly shardViews = new Map<number, string>();
  private timer: Timer | undefined;

  constructor(private readonly dependencies: LimitServiceDependencies) {
    const {hostId, settings, config, random} = dependencies;
    this.confirmations = new ReserveConfirmationClient(dependencies.clients);
    this.host = createHost({
      hostId,
      // Reserves outlive the host's platform session, so they have their own session id.
      sessionId: toId<SessionId>(random.nextHex(ID_BYTES)),
      settings,
      findLimit: teamId => findLimit(config, teamId),
    });
  }

  get sessionId(): SessionId {
    return this.host.sessionId;
  }

  *acquire(team: Team, costTokens: number, deadlineMs: number): Procedure<Charge> {
    const {clock, random, settings} = this.dependencies;
    const requestId = toId<RequestId>(random.nextHex(ID_BYTES));
    const maxWaitMs = Math.max(0, Math.min(settings.maxWaitMs, deadlineMs - clock.nowMs()));
    let isAdmitted = false;
    const decision = new Promise<void>((resolve, reject) => {
      const admit = () => {
        isAdmitted = true;
        resolve();
      };
      this.pendingRequests.set(requestId, {team, admit, refuse: reject});
    });
    decision.catch(() => undefined);
    const {teamId} = team;
    this.executeActions(
      requestTokens(this.host, {requestId, teamId, costTokens, maxWaitMs}, this.nowMs()),
    );
    let isDelivered = false;
    try {
      yield* call(() => decision);
      isDelivered = true;
      return {settle: actualTokens => this.settle(teamId, requestId, actualTokens)};
    } finally {
      this.pendingRequests.delete(requestId);
      if (!isDelivered && isAdmitted) this.settle(teamId, requestId, 0);
      else if (!isDelivered) cancelRequest(this.host, teamId, requestId);
    }
  }

  /**
   * Whether an owner of every shard has been known at least once. Before that, requests of teams
   * with a limit can only be refused.
   */
  get knowsOwners(): boolean {
    return this.shardViews.size === this.dependencies.settings.shardCount;
  }

  /** Applies changes of shard owners until cancelled. */
  *run(): Procedure<never> {
    for (;;) {
      this.refreshShards();
      yield* sleep(SHARD_REFRESH_MS);
    }
  }

  /** Releases all reserves. A planned stop calls this before the owned shards are handed over. */
  *stop(): Procedure<void> {
    this.executeActions(stopHost(this.host, this.nowMs()));
    yield* sleep(RELEASE_WAIT_MS);
  }

  /** Applies the current configuration revision. */
  applyConfig(): void {
    this.host.configRevision = this.dependencies.config.configRevision;
  }

  private refreshShards(): void {
    const {settings, hostId, viewShard} = this.dependencies;
    for (let shard = 0; shard < settings.shardCount; shard++) {
      const {epoch, placement} = viewShard(shard);
      if (epoch === 0) continue;
      const isPlacementHost = placement.includes(hostId);
      const view = `${epoch}/${isPlacementHost}`;
      if (this.shardViews.get(shard) === view) continue;
      this.shardViews.set(shard, view);
      this.executeActions(
        applyShardRecord(this.host, {shard, epoch, isPlacementHost}, this.nowMs()),
      );
    }
  }

  private nowMs(): number {
    return this.dependencies.clock.nowMs();
  }

  private settle(teamId: TeamId, requestId: RequestId, actualTokens: number): void {
    this.executeActions(settleRequest(this.host, teamId, requestId, actualTokens, this.nowMs()));
  }

  private executeActions(actions: readonly HostAction[]): void {
    for (const action of actions) this.actionHandlers[action.type](action as never);
    this.scheduleTimer();
  }

  private readonly actionHandlers: {
    readonly [Type in HostAction['type']]: (action: Extract<HostAction, {type: Type}>) => void;
  } = {
    admit: ({requestId}) => this.pendingRequests.get(requestId)?.admit(),
    refuse: ({requestId, reason, retryAfterMs}) => this.refuse(requestId, reason, retryAfterMs),
    acquire: ({request}) => void this.sendAcquire(request),
    confirm: ({request}) => void this.sendConfirm(request),
  };

  private refuse(requestId: RequestId, reason: RefusalReason, retryAfterMs: number): void {
    const pending = this.pendingRequests.get(requestId);
    if (!pending) return;
    const {teamId, parameters} = pending.team;
    const {tokensPerSecond, burstTokens} = parameters;
    this.dependencies.decisions.add({
      kind: 'limit',
      subject: [teamId],
      decision: 'refuse',
      reason: {reason, retryAfterMs, tokensPerSecond, burstTokens},
    });
    const mayRetry = reason === 'rateExceeded' || reason === 'ownerUnreachable';
    pending.refuse(
      new Refusal(
        'rateExceeded',
        REFUSAL_MESSAGES[reason],
        'not_run',
        mayRetry ? retryAfterMs : undefined,
      ),
    );
  }

  private async sendAcquire(request: AcquireGrantRequest): Promise<void> {
    const {owned, clients, hostId, settings, viewShard} = this.dependencies;
    const {ownerId} = viewShard(request.shard);
    const applyResponse = (response: Parameters<typeof onAcquireResponse>[3]) => {
      const {teamId, grantId} = request;
      this.executeActions(onAcquireResponse(this.host, teamId, grantId, response, this.nowMs()));
    };
    if (ownerId === hostId) {
      // Deferred, since the state machine must not be re-entered while its actions are executed.
      queueMicrotask(() => applyResponse(owned.acquireGrant(request)));
      return;
    }
    const result = ownerId
      ? await clients.call(
          ownerId,
          INNER_SERVICE.acquireGrant,
          encodeAcquireRequest(request),
          settings.callTimeoutMs,
        )
      : undefined;
    applyResponse(result?.ok ? decodeAcquireResponse(result.val) : undefined);
  }

  private async sendConfirm(request: ConfirmReserveRequest): Promise<void> {
    const {owned, hostId, viewShard} = this.dependencies;
    const {ownerId} = viewShard(request.shard);
    const response =
      ownerId === hostId
        ? await owned.confirmReserve(request)
        : ownerId && (await this.confirmations.send(ownerId, request));
    const {shard, sequence} = request;
    this.executeActions(
      onConfirmResponse(this.host, shard, sequence, response || undefined, this.nowMs()),
    );
  }

  private scheduleTimer(): void {
    const dueMs = nextHostTimerMs(this.host);
    this.timer?.cancel();
    this.timer = undefined;
    if (dueMs === Infinity) return;
    const delayMs = Math.max(1, dueMs - this.nowMs());
    this.timer = this.dependencies.clock.setTimer(delayMs, () => this.processTimers());
  }

  private processTimers(): void {
    this.executeActions(processHostTimers(this.host, this.nowMs()));
  }

  shardOf(teamId: TeamId): number {
    return shardOfTeam(teamId, this.dependencies.settings.shardCount);
  }
}
