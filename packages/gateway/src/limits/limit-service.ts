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
import {ConfirmStreams} from './confirm-streams.js';
import {decodeAcquired, encodeAcquire} from './limit-messages.js';
import {OwnedShards} from './owned-shards.js';

/** What a host sees of the owner and placement of a shard. */
export interface ShardOwnerView {
  readonly ownerId: HostId | undefined;
  readonly epoch: number;
  readonly placement: readonly HostId[];
}

/** What enforcing limits needs. */
export interface LimitServices {
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

interface WaitingCaller {
  readonly team: Team;
  admit(): void;
  refuse(refusal: Refusal): void;
}

const SHARD_REFRESH_MS = 200;
/** Time for the owners to take the reserves back. */
const RELEASE_WAIT_MS = 100;
const ID_BYTES = 8;

const REFUSAL_MESSAGES: Readonly<Record<RefusalReason, string>> = {
  rateExceeded: 'the team has used its rate and burst',
  ownerUnreachable: "the team's rate can't be checked at the moment and its reserve is used up",
  aboveBurst: "the request costs more than the team's burst",
  unknownTeam: 'the team has no rate',
};

/** Finds the limit of a team in the configuration in force. */
export function findLimit(config: ConfigStore, teamId: TeamId): TeamLimit | undefined {
  const team = config.findTeam(teamId);
  if (!team) return undefined;
  const {tokensPerSecond, burstTokens} = team.parameters;
  // A template's change has a higher revision than the team's own object.
  return {tokensPerSecond, burstTokens, revision: team.parametersRevision};
}

/** Enforces rate and burst of all teams over all hosts together. */
export class LimitService implements RequestLimiter {
  private readonly host: HostState;
  private readonly waiting = new Map<RequestId, WaitingCaller>();
  private readonly confirmations: ConfirmStreams;
  /** Epoch and placement of each shard as the host side last followed them. */
  private readonly shardViews = new Map<number, string>();
  private timer: Timer | undefined;

  constructor(private readonly services: LimitServices) {
    const {hostId, settings, config, random} = services;
    this.confirmations = new ConfirmStreams(services.clients);
    this.host = createHost({
      hostId,
      // Reserves outlive the host's session in the platform, so they have an id of their own.
      sessionId: toId<SessionId>(random.nextHex(ID_BYTES)),
      settings,
      findLimit: teamId => findLimit(config, teamId),
    });
  }

  get sessionId(): SessionId {
    return this.host.sessionId;
  }

  *acquire(team: Team, costTokens: number, deadlineMs: number): Procedure<Charge> {
    const {clock, random, settings} = this.services;
    const requestId = toId<RequestId>(random.nextHex(ID_BYTES));
    const maxWaitMs = Math.max(0, Math.min(settings.maxWaitMs, deadlineMs - clock.nowMs()));
    let admitted = false;
    const decided = new Promise<void>((resolve, reject) => {
      const admit = () => {
        admitted = true;
        resolve();
      };
      this.waiting.set(requestId, {team, admit, refuse: reject});
    });
    decided.catch(() => undefined);
    const {teamId} = team;
    this.perform(
      requestTokens(this.host, {requestId, teamId, costTokens, maxWaitMs}, this.nowMs()),
    );
    let taken = false;
    try {
      yield* call(() => decided);
      taken = true;
      return {settle: actualTokens => this.settle(teamId, requestId, actualTokens)};
    } finally {
      this.waiting.delete(requestId);
      if (!taken && admitted) this.settle(teamId, requestId, 0);
      else if (!taken) cancelRequest(this.host, teamId, requestId);
    }
  }

  /**
   * Whether an owner of each shard was known once. Before that, requests of teams with a limit
   * can only be refused.
   */
  get knowsOwners(): boolean {
    return this.shardViews.size === this.services.settings.shardCount;
  }

  /** Follows changes of shard owners until cancelled. */
  *run(): Procedure<never> {
    for (;;) {
      this.refreshShards();
      yield* sleep(SHARD_REFRESH_MS);
    }
  }

  /** Gives up all reserves; part of a planned stop, before the owned shards are handed over. */
  *stop(): Procedure<void> {
    this.perform(stopHost(this.host, this.nowMs()));
    yield* sleep(RELEASE_WAIT_MS);
  }

  /** Takes over a new configuration. */
  applyConfig(): void {
    this.host.configRevision = this.services.config.configRevision;
  }

  private refreshShards(): void {
    const {settings, hostId, viewShard} = this.services;
    for (let shard = 0; shard < settings.shardCount; shard++) {
      const {epoch, placement} = viewShard(shard);
      if (epoch === 0) continue;
      const placed = placement.includes(hostId);
      const view = `${epoch}/${placed}`;
      if (this.shardViews.get(shard) === view) continue;
      this.shardViews.set(shard, view);
      this.perform(
        applyShardRecord(this.host, {shard, epoch, isPlacementHost: placed}, this.nowMs()),
      );
    }
  }

  private nowMs(): number {
    return this.services.clock.nowMs();
  }

  private settle(teamId: TeamId, requestId: RequestId, actualTokens: number): void {
    this.perform(settleRequest(this.host, teamId, requestId, actualTokens, this.nowMs()));
  }

  private perform(actions: readonly HostAction[]): void {
    for (const action of actions) this.handlers[action.type](action as never);
    this.scheduleWake();
  }

  private readonly handlers: {
    readonly [Type in HostAction['type']]: (action: Extract<HostAction, {type: Type}>) => void;
  } = {
    admit: ({requestId}) => this.waiting.get(requestId)?.admit(),
    refuse: ({requestId, reason, retryAfterMs}) => this.refuse(requestId, reason, retryAfterMs),
    acquire: ({request}) => void this.sendAcquire(request),
    confirm: ({request}) => void this.sendConfirm(request),
  };

  private refuse(requestId: RequestId, reason: RefusalReason, retryAfterMs: number): void {
    const caller = this.waiting.get(requestId);
    if (!caller) return;
    const {teamId, parameters} = caller.team;
    const {tokensPerSecond, burstTokens} = parameters;
    this.services.decisions.add({
      kind: 'limit',
      subject: [teamId],
      decision: 'refuse',
      reason: {reason, retryAfterMs, tokensPerSecond, burstTokens},
    });
    const mayRetry = reason === 'rateExceeded' || reason === 'ownerUnreachable';
    caller.refuse(
      new Refusal(
        'rateExceeded',
        REFUSAL_MESSAGES[reason],
        'not_run',
        mayRetry ? retryAfterMs : undefined,
      ),
    );
  }

  private async sendAcquire(request: AcquireGrantRequest): Promise<void> {
    const {owned, clients, hostId, settings, viewShard} = this.services;
    const {ownerId} = viewShard(request.shard);
    const answered = (response: Parameters<typeof onAcquireResponse>[3]) => {
      const {teamId, grantId} = request;
      this.perform(onAcquireResponse(this.host, teamId, grantId, response, this.nowMs()));
    };
    if (ownerId === hostId) {
      // The state machine must not be entered again while it builds its actions.
      queueMicrotask(() => answered(owned.acquireGrant(request)));
      return;
    }
    const answer = ownerId
      ? await clients.call(
          ownerId,
          INNER_SERVICE.acquireGrant,
          encodeAcquire(request),
          settings.callTimeoutMs,
        )
      : undefined;
    answered(answer?.ok ? decodeAcquired(answer.val) : undefined);
  }

  private async sendConfirm(request: ConfirmReserveRequest): Promise<void> {
    const {owned, hostId, viewShard} = this.services;
    const {ownerId} = viewShard(request.shard);
    const response =
      ownerId === hostId
        ? await owned.confirmReserve(request)
        : ownerId && (await this.confirmations.send(ownerId, request));
    const {shard, sequence} = request;
    this.perform(
      onConfirmResponse(this.host, shard, sequence, response || undefined, this.nowMs()),
    );
  }

  private scheduleWake(): void {
    const dueMs = nextHostTimerMs(this.host);
    this.timer?.cancel();
    this.timer = undefined;
    if (dueMs === Infinity) return;
    const delayMs = Math.max(1, dueMs - this.nowMs());
    this.timer = this.services.clock.setTimer(delayMs, () => this.wake());
  }

  private wake(): void {
    this.perform(processHostTimers(this.host, this.nowMs()));
  }

  /** Shard of a team. */
  shardOf(teamId: TeamId): number {
    return shardOfTeam(teamId, this.services.settings.shardCount);
  }
}
