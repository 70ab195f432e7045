import {Server as NetServer} from 'node:net';
import {ConfigStore, DEFAULT_FRESHNESS, Freshness} from '@radishgw/config';
import {
  createEventLog,
  createHandlers,
  createSystemRandom,
  FailureDomain,
  HostId,
  KeyId,
  Procedure,
  startTask,
  SystemClock,
  Task,
  toId,
} from '@radishgw/core';
import {
  DEFAULT_LEASE_TIMES,
  HostSession,
  HttpPlatform,
  Member,
  Membership,
  RoleLease,
  ShardAssignment,
} from '@radishgw/platform';
import {DEFAULT_LIMIT_SETTINGS, placeShards} from '@radishgw/limits';
import {create, HandOverShardsResponseSchema, HeartbeatResponseSchema} from '@radishgw/protocol';
import {Agent} from 'undici';
import {CallerServer} from './caller/caller-server.js';
import {ConfigSync} from './config-sync.js';
import {pollLoads} from './dispatch/load-poller.js';
import {PoolDispatcher} from './dispatch/pool-dispatcher.js';
import {listEntryHosts} from './entry-hosts.js';
import {ConfigFeed} from './inner/config-feed.js';
import {FreshnessWatch} from './freshness-watch.js';
import {loadInnerCredentials} from './inner/credentials.js';
import {startInnerServer} from './inner/inner-server.js';
import {PeerClients} from './inner/peer-clients.js';
import {Peers} from './inner/peers.js';
import {findLimit, LimitService} from './limits/limit-service.js';
import {OwnedShards} from './limits/owned-shards.js';
import {serveConfirmations} from './limits/confirm-streams.js';
import {sendHandOver} from './limits/hand-over.js';
import * as messages from './limits/limit-messages.js';
import {DecisionLog} from './operator/decision-log.js';
import {Metrics} from './operator/metrics.js';
import {createOperatorServer} from './operator/operator-server.js';
import {PlatformMonitor} from './platform-monitor.js';
import {IdempotencyClaims} from './request/idempotency.js';
import {Refusal} from './request/refusal.js';
import {answerPush, UsageService} from './usage/usage-service.js';
import {readInnerTlsSettings, readTlsSettings, Settings} from './settings.js';

/** A running entry host. */
export interface EntryHost {
  /** Stops gracefully: requests in flight are finished first. Later calls join the first. */
  stop(): Promise<void>;
  /** Reads the certificate files again; the old certificate stays if they are wrong. */
  reload(): void;
}

/** Builds the parts of an entry host and starts them. `onDrained` runs after an operator's drain. */
export async function startEntryHost(
  settings: Settings,
  onDrained: () => void = () => undefined,
): Promise<EntryHost> {
  const clock = new SystemClock();
  const handlers = createHandlers(clock);
  const log = createEventLog({format: settings.logFormat, minLevel: settings.logLevel});
  const random = createSystemRandom();
  const metrics = new Metrics();
  const decisions = new DecisionLog(clock);
  const hostId = toId<HostId>(settings.hostId);
  const failureDomain = toId<FailureDomain>(settings.failureDomain);
  const callerScheme = settings.tlsCertificateFile ? 'https' : 'http';

  const config = new ConfigStore();
  const freshness = new Freshness(
    {hostId, failureDomain},
    {...DEFAULT_FRESHNESS, outageLimitMs: settings.outageLimitMs},
  );
  const httpPlatform = new HttpPlatform({
    baseUrl: settings.platformUrl,
    callTimeoutMs: settings.platformTimeoutMs,
  });
  const platform = new PlatformMonitor(httpPlatform, clock, freshness, log);
  const dependencies = {platform, clock, random, log};
  const session = new HostSession(dependencies, {
    hostId,
    failureDomain,
    callerAddress: `${callerScheme}://${settings.callerAddress}`,
    innerAddress: settings.innerAddress,
    operatorAddress: settings.operatorAddress,
  });
  const membership = new Membership(dependencies, {times: DEFAULT_LEASE_TIMES});

  const credentials = loadInnerCredentials(readInnerTlsSettings(settings));
  const findMember = (id: HostId): Member | undefined =>
    membership.members().find(member => member.hostId === id);
  const clients = new PeerClients(credentials.client, findMember);
  const feed = new ConfigFeed(config);
  const peers = new Peers({
    clock,
    log,
    session,
    membership,
    clients,
    config,
    freshness,
    failureDomain,
    onHigherRevision: (id, revision) => configSync.catchUpFrom(id, revision),
  });
  const dispatcher = new PoolDispatcher({
    clock,
    random,
    config,
    decisions,
    isLeaving: targetId => membership.isListedLeaving(targetId),
  });
  const configSync = new ConfigSync({
    platform,
    clock,
    handlers,
    log,
    session,
    membership,
    config,
    freshness,
    feed,
    clients,
    failureDomain,
    isReachable: id => peers.isReachable(id),
    onChanged: () => {
      dispatcher.applyConfig();
      limiter.applyConfig();
    },
  });

  const limitSettings = {...DEFAULT_LIMIT_SETTINGS, shardCount: settings.shardCount};
  const owned: OwnedShards = new OwnedShards({
    clock,
    settings: limitSettings,
    findLimit: teamId => findLimit(config, teamId),
    authorityUntilMs: shard => {
      const renewal = session.lastRenewal;
      const mayAct = assignment.check(shard).ok && renewal !== undefined;
      return mayAct ? renewal.sentAtMs + session.times.ttlMs : undefined;
    },
  });
  const limiter: LimitService = new LimitService({
    clock,
    random,
    hostId,
    config,
    clients,
    decisions,
    settings: limitSettings,
    owned,
    viewShard: shard => {
      const owner = assignment.owner(shard);
      const placement = assignment.placementOf(shard);
      return {ownerId: owner?.hostId, epoch: owner?.epoch ?? 0, placement};
    },
  });
  const assignment: ShardAssignment = new ShardAssignment(dependencies, session, membership, {
    shardCount: settings.shardCount,
    placement: (members, shardCount) =>
      placeShards(members, shardCount, limitSettings.placementSize),
    describeData: (shard, previous, placement) => owned.describeData(shard, previous, placement),
    onAcquired: (shard, authority, claim) => {
      owned.acquire(shard, authority.epoch, claim);
      usage.addShard(shard, authority);
    },
    onPlacement: (shard, placement) => owned.changePlacement(shard, placement),
    onLost: shard => {
      owned.lose(shard);
      usage.removeShard(shard);
    },
    beforeRelease: shard =>
      sendHandOver(
        clients,
        owned.handOver(shard, {hostId, sessionId: limiter.sessionId}),
        assignment.placementOf(shard).filter(id => id !== hostId),
      ),
  });

  const usage: UsageService = new UsageService({
    ...dependencies,
    handlers,
    session,
    membership,
    clients,
    shardCount: settings.shardCount,
    shardOf: teamId => limiter.shardOf(teamId),
    ownerOf: shard => assignment.owner(shard),
  });
  const usageRole = new RoleLease(dependencies, handlers, session, membership, {
    role: 'usage',
    work: authority => usage.report(authority),
  });

  const http = new Agent({connections: 256, pipelining: 1});
  const claims = new IdempotencyClaims(platform, clock, random);
  const freshnessWatch = new FreshnessWatch(log, () =>
    freshness.judge(clock.nowMs(), config.completeRevision),
  );
  const judgeFreshness = () => freshnessWatch.judge();
  const callers = new CallerServer({
    claims,
    tls: readTlsSettings(settings),
    requestTimeoutMs: settings.requestTimeoutMs,
    clock,
    handlers,
    config,
    log,
    random,
    metrics,
    http,
    limiter,
    dispatcher,
    maxBodyBytes: settings.maxBodyBytes,
    maxInFlight: settings.maxInFlight,
    defaultDeadlineMs: settings.defaultDeadlineMs,
    progressTimeoutMs: settings.progressTimeoutMs,
    checkFreshness: () => {
      const verdict = judgeFreshness();
      if (verdict.kind !== 'stale') return;
      throw new Refusal('configNotFresh', `keys can't be confirmed: ${verdict.reason}`);
    },
    listEntryHosts: caller =>
      listEntryHosts(
        assignment.placementOf(limiter.shardOf(caller.team.teamId)),
        membership.members(),
        id => peers.isReachable(id),
      ),
    recordUsage: ({team, resource}, {promptTokens, outputTokens}) => {
      if (team) usage.record(team.teamId, resource, {promptTokens, outputTokens, calls: 1});
    },
    recordCall: ({team, resource}) => {
      if (team) usage.record(team.teamId, resource, {promptTokens: 0, outputTokens: 0, calls: 1});
    },
  });

  let stopping: Promise<void> | undefined;
  const isReady = () =>
    stopping === undefined && configSync.isComplete() && judgeFreshness().kind !== 'stale';
  const stop = () => (stopping ??= stopGracefully());
  const operators = createOperatorServer({
    metrics,
    decisions,
    isReady,
    withdrawKey: (keyId, digestHex) => config.withdrawKey(toId<KeyId>(keyId), digestHex),
    drain: () => void stop().then(onDrained),
    describeStatus: () => ({
      hostId,
      failureDomain,
      ready: isReady(),
      stopping: stopping !== undefined,
      freshness: judgeFreshness(),
      completeRevision: config.completeRevision,
      rejected: config.listRejected(),
      inFlight: callers.getInFlight(),
      queued: dispatcher.countQueued(),
      shards: assignment.ownedShards().length,
      roles: usageRole.check().ok ? ['usage'] : [],
      members: membership.members().map(member => member.hostId),
      subscribers: feed.countSubscribers(),
    }),
  });

  const innerListenAddress = settings.innerListenAddress ?? settings.innerAddress;
  const innerServer = await startInnerServer(innerListenAddress, credentials.server, {
    heartbeat: () => create(HeartbeatResponseSchema, {report: peers.buildReport()}),
    subscribeConfig: stream => feed.subscribe(stream),
    acquireGrant: async request =>
      messages.encodeAcquired(owned.acquireGrant(messages.decodeAcquire(request))),
    confirmReserves: stream => serveConfirmations(owned, stream),
    handOverShards: request => {
      owned.keepHandOver(messages.decodeHandOver(request));
      return create(HandOverShardsResponseSchema, {accepted: true});
    },
    pushUsage: request => answerPush(usage, request),
  });
  await listenAt(callers.server, settings.callerAddress);
  await listenAt(operators, settings.operatorAddress);

  const tasks: Task<unknown>[] = [];
  const start = (procedure: Procedure<unknown>) => {
    const task = startTask(procedure, handlers);
    tasks.push(task);
    // A control procedure that fails would leave the host half alive; the process must not go on.
    task.done.catch(error => {
      log.write('invariantViolated', {error: String(error)});
      process.exitCode = 1;
      process.kill(process.pid, 'SIGTERM');
    });
  };
  start(runSession());
  start(membership.run());
  start(configSync.run());
  start(peers.run());
  start(assignment.watch());
  start(assignment.run());
  start(limiter.run());
  start(usage.run());
  start(usageRole.run());
  start(freshnessWatch.run());
  start(
    pollLoads({
      clock,
      config,
      http,
      takeReport: (pool, targetId, report) => dispatcher.takeReport(pool, targetId, report),
    }),
  );
  log.write('hostStarted', {hostId, failureDomain});

  function* runSession(): Procedure<void> {
    const outcome = yield* session.run();
    // A later process has the name of this host; two of them must not serve under it.
    if (outcome === 'replaced') process.kill(process.pid, 'SIGTERM');
  }

  async function stopGracefully(): Promise<void> {
    log.write('hostStopping', {inFlight: callers.getInFlight()});
    session.beginLeave();
    await callers.stop(settings.shutdownTimeoutMs);
    await claims.waitUntilSettled();
    await startTask(usage.handOver(), handlers).done;
    await startTask(limiter.stop(), handlers).done;
    await startTask(assignment.releaseAll(), handlers).done;
    await startTask(usageRole.release(), handlers).done;
    for (const task of tasks) task.cancel();
    feed.close();
    await startTask(session.end(), handlers).done;
    innerServer.forceShutdown();
    clients.close();
    operators.close();
    operators.closeAllConnections();
    await http.destroy();
    await httpPlatform.close();
    log.write('hostStopped');
  }

  return {
    stop,
    reload: () => {
      try {
        callers.reloadTls();
      } catch (error) {
        log.write('settingInvalid', {detail: (error as Error).message});
      }
    },
  };
}

function listenAt(server: NetServer, address: string): Promise<void> {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator).replace(/^\[|\]$/g, '');
  const port = Number(address.slice(separator + 1));
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve());
  });
}
