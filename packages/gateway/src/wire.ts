import {Server as NetServer} from 'node:net';
import {ConfigStore, DEFAULT_FRESHNESS, Freshness} from '@radishgw/config';
import {
  AnswerMemory,
  createConnector,
  createEventLog,
  createHandlers,
  createSystemRandom,
  deriveClientBounds,
  FailureDomain,
  HostId,
  KeyId,
  Procedure,
  startTask,
  SystemClock,
  Task,
  toId,
} from '@radishgw/core';
import {DEFAULT_LIMIT_SETTINGS, placeShards} from '@radishgw/limits';
import {
  DEFAULT_LEASE_TIMES,
  HostSession,
  HttpPlatform,
  Membership,
  RoleLease,
  ShardAssignment,
} from '@radishgw/coordination';
import {create, HandOverShardsResponseSchema, HeartbeatResponseSchema} from '@radishgw/protocol';
import {Agent} from 'undici';
import {CallerServer} from './caller/caller-server.js';
import {ConfigSync} from './config-sync.js';
import {LoadPollerDependencies, pollLoads} from './dispatch/load-poller.js';
import {PoolDispatcher} from './dispatch/pool-dispatcher.js';
import {listEntryHosts} from './entry-hosts.js';
import {ConfigFeed} from './inner/config-feed.js';
import {FreshnessMonitor} from './freshness-monitor.js';
import {loadInnerCredentials} from './inner/credentials.js';
import {InnerHandlers, startInnerServer} from './inner/inner-server.js';
import {PeerClients} from './inner/peer-clients.js';
import {Peers} from './inner/peers.js';
import {findLimit, LimitService} from './limits/limit-service.js';
import {OwnedShards} from './limits/owned-shards.js';
import {serveReserveConfirmations} from './limits/reserve-confirmations.js';
import {sendHandOver} from './limits/hand-over.js';
import * as messages from './limits/limit-messages.js';
import {DecisionLog} from './operator/decision-log.js';
import {Metrics} from './operator/metrics.js';
import {createOperatorServer} from './operator/operator-server.js';
import {PlatformMonitor} from './platform-monitor.js';
import {IdempotencyClaims} from './request/idempotency.js';
import {Refusal} from './request/refusal.js';
import {handlePushUsage, UsageService} from './usage/usage-service.js';
import {readInnerTlsSettings, readTlsSettings, Settings} from './settings.js';

/** A running entry host. */
export interface EntryHost {
  /** Stops gracefully after requests in flight have finished. Later calls await the first stop. */
  stop(): Promise<void>;
  /** Reloads the certificate files; the old certificate stays in use if they are invalid. */
  reload(): void;
}

/** Creates the services that all other parts depend on. */
function createBaseServices(settings: Settings) {
  const clock = new SystemClock();
  const log = createEventLog({format: settings.logFormat, minLevel: settings.logLevel});
  const random = createSystemRandom();
  const hostId = toId<HostId>(settings.hostId);
  const failureDomain = toId<FailureDomain>(settings.failureDomain);
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
  return {
    settings,
    clock,
    handlers: createHandlers(clock),
    log,
    random,
    metrics: new Metrics(),
    decisions: new DecisionLog(clock),
    hostId,
    failureDomain,
    config,
    freshness,
    freshnessMonitor: new FreshnessMonitor(log, () =>
      freshness.evaluate(clock.nowMs(), config.completeRevision),
    ),
    httpPlatform,
    platform,
    /** Dependencies shared by all control procedures. */
    dependencies: {platform, clock, random, log},
    credentials: loadInnerCredentials(readInnerTlsSettings(settings)),
  };
}

type BaseServices = ReturnType<typeof createBaseServices>;

/** Creates cluster membership, connections to peers and the configuration sync. */
function createCluster(base: BaseServices, onConfigChanged: () => void) {
  const {settings, hostId, failureDomain, dependencies} = base;
  const callerScheme = settings.tlsCertificateFile ? 'https' : 'http';
  const session = new HostSession(dependencies, {
    hostId,
    failureDomain,
    callerAddress: `${callerScheme}://${settings.callerAddress}`,
    innerAddress: settings.innerAddress,
    operatorAddress: settings.operatorAddress,
  });
  const membership = new Membership(dependencies, {times: DEFAULT_LEASE_TIMES});
  const clients = new PeerClients(base.credentials.client, id =>
    membership.members().find(member => member.hostId === id),
  );
  const feed = new ConfigFeed(base.config);
  const peers = new Peers({
    ...base,
    session,
    membership,
    clients,
    onHigherRevision: (id, revision) => configSync.catchUpFrom(id, revision),
  });
  const configSync = new ConfigSync({
    ...base,
    session,
    membership,
    feed,
    clients,
    isReachable: id => peers.isReachable(id),
    onChanged: onConfigChanged,
  });
  return {session, membership, clients, feed, peers, configSync};
}

type Cluster = ReturnType<typeof createCluster>;

/** Creates rate limiting, usage accounting and the ownership of shards. */
function createShards(base: BaseServices, {session, membership, clients}: Cluster) {
  const {settings, hostId, dependencies, handlers} = base;
  const {shardCount} = settings;
  const limitSettings = {...DEFAULT_LIMIT_SETTINGS, shardCount};
  const owned: OwnedShards = new OwnedShards({
    clock: base.clock,
    settings: limitSettings,
    findLimit: teamId => findLimit(base.config, teamId),
    authorityUntilMs: shard => {
      const renewal = session.lastRenewal;
      const mayAct = assignment.check(shard).ok && renewal !== undefined;
      return mayAct ? renewal.sentAtMs + session.times.ttlMs : undefined;
    },
  });
  const limiter: LimitService = new LimitService({
    ...base,
    clients,
    settings: limitSettings,
    owned,
    viewShard: shard => {
      const owner = assignment.owner(shard);
      const placement = assignment.placementOf(shard);
      return {ownerId: owner?.hostId, epoch: owner?.epoch ?? 0, placement};
    },
  });
  const assignment: ShardAssignment = new ShardAssignment(dependencies, session, membership, {
    shardCount,
    placement: (members, count) => placeShards(members, count, limitSettings.placementSize),
    describeData: (shard, previous, placement) => owned.describeData(shard, previous, placement),
    onAcquired: (shard, authority, claim) => {
      owned.addShard(shard, authority.epoch, claim);
      usage.addShard(shard, authority);
    },
    onPlacement: (shard, placement) => owned.changePlacement(shard, placement),
    onLost: shard => {
      owned.removeShard(shard);
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
    shardCount,
    shardOf: teamId => limiter.shardOf(teamId),
    ownerOf: shard => assignment.owner(shard),
  });
  const usageRole = new RoleLease(dependencies, handlers, session, membership, {
    role: 'usage',
    work: authority => usage.runReporter(authority),
  });
  return {owned, limiter, assignment, usage, usageRole};
}

type Shards = ReturnType<typeof createShards>;

/** Creates the callers' API and the request path behind it. */
function createRequestPath(
  base: BaseServices,
  {membership, peers}: Cluster,
  {limiter, assignment, usage}: Shards,
  dispatcher: PoolDispatcher,
) {
  const {settings, platform, clock, random, freshnessMonitor} = base;
  const http = new Agent({connections: 256, pipelining: 1, connect: createConnector()});
  const claims = new IdempotencyClaims(platform, clock, random);
  const callerServer = new CallerServer({
    ...base,
    ...settings,
    claims,
    answerMemory: new AnswerMemory(),
    clientBounds: deriveClientBounds(settings),
    tls: readTlsSettings(settings),
    http,
    limiter,
    dispatcher,
    checkFreshness: () => {
      const verdict = freshnessMonitor.evaluate();
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
  return {http, claims, callerServer};
}

/** Creates the handlers of calls from the other hosts. */
function createInnerHandlers({peers, feed}: Cluster, {owned, usage}: Shards): InnerHandlers {
  return {
    heartbeat: () => create(HeartbeatResponseSchema, {report: peers.buildReport()}),
    subscribeConfig: stream => feed.subscribe(stream),
    acquireGrant: async request =>
      messages.encodeAcquireResponse(owned.acquireGrant(messages.decodeAcquireRequest(request))),
    confirmReserves: stream => serveReserveConfirmations(owned, stream),
    handOverShards: request => {
      owned.storeHandOver(messages.decodeHandOver(request));
      return create(HandOverShardsResponseSchema, {accepted: true});
    },
    pushUsage: request => handlePushUsage(usage, request),
  };
}

/** Creates and starts an entry host. `onDrained` is called after an operator's drain request. */
export async function startEntryHost(
  settings: Settings,
  onDrained: () => void = () => undefined,
): Promise<EntryHost> {
  const base = createBaseServices(settings);
  const {clock, handlers, log, random, config, freshnessMonitor, hostId, failureDomain} = base;
  const cluster = createCluster(base, () => {
    dispatcher.applyConfig();
    shards.limiter.applyConfig();
  });
  const {session, membership, clients, feed, peers, configSync} = cluster;
  const shards = createShards(base, cluster);
  const {limiter, assignment, usage, usageRole} = shards;
  const dispatcher = new PoolDispatcher({
    clock,
    random,
    config,
    decisions: base.decisions,
    isLeaving: targetId => membership.isListedLeaving(targetId),
  });
  const {http, claims, callerServer} = createRequestPath(base, cluster, shards, dispatcher);

  let stopping: Promise<void> | undefined;
  const stop = () => (stopping ??= stopGracefully());
  const isReady = () =>
    stopping === undefined &&
    configSync.isComplete() &&
    limiter.knowsOwners &&
    freshnessMonitor.evaluate().kind !== 'stale';
  const operatorServer = createOperatorServer({
    metrics: base.metrics,
    decisions: base.decisions,
    isReady,
    withdrawKey: (keyId, digestHex) => config.withdrawKey(toId<KeyId>(keyId), digestHex),
    drain: () => void stop().then(onDrained),
    describeStatus: () => ({
      hostId,
      failureDomain,
      ready: isReady(),
      knowsOwners: limiter.knowsOwners,
      stopping: stopping !== undefined,
      freshness: freshnessMonitor.evaluate(),
      completeRevision: config.completeRevision,
      rejected: config.listRejected(),
      inFlight: callerServer.getInFlight(),
      queued: dispatcher.countQueued(),
      shards: assignment.ownedShards().length,
      roles: usageRole.check().ok ? ['usage'] : [],
      members: membership.members().map(member => member.hostId),
      subscribers: feed.countSubscribers(),
    }),
  });
  const innerServer = await startInnerServer(
    settings.innerListenAddress ?? settings.innerAddress,
    base.credentials.server,
    createInnerHandlers(cluster, shards),
  );
  await listenAt(callerServer.server, settings.callerAddress);
  await listenAt(operatorServer, settings.operatorAddress);

  const recordLoadReport: LoadPollerDependencies['recordLoadReport'] = (pool, targetId, report) =>
    dispatcher.recordLoadReport(pool, targetId, report);
  const tasks = startControlTasks(base, [
    runSession(session),
    membership.run(),
    configSync.run(),
    peers.run(),
    assignment.watch(),
    assignment.run(),
    limiter.run(),
    usage.run(),
    usageRole.run(),
    freshnessMonitor.run(),
    pollLoads({clock, config, http, recordLoadReport}),
  ]);
  log.write('hostStarted', {hostId, failureDomain});

  async function stopGracefully(): Promise<void> {
    log.write('hostStopping', {inFlight: callerServer.getInFlight()});
    session.beginLeave();
    await callerServer.stop(settings.shutdownTimeoutMs);
    await claims.waitForPendingWrites();
    await startTask(usage.handOver(), handlers).done;
    await startTask(limiter.stop(), handlers).done;
    await startTask(assignment.releaseAll(), handlers).done;
    await startTask(usageRole.release(), handlers).done;
    for (const task of tasks) task.cancel();
    feed.close();
    await startTask(session.end(), handlers).done;
    innerServer.forceShutdown();
    clients.close();
    operatorServer.close();
    operatorServer.closeAllConnections();
    await http.destroy();
    await base.httpPlatform.close();
    log.write('hostStopped');
  }

  return {
    stop,
    reload: () => {
      try {
        callerServer.reloadTls();
      } catch (error) {
        log.write('settingInvalid', {detail: (error as Error).message});
      }
    },
  };
}

/** Starts control procedures. If one fails, the process stops, since a host needs all of them. */
function startControlTasks(
  {handlers, log}: BaseServices,
  procedures: readonly Procedure<unknown>[],
): Task<unknown>[] {
  return procedures.map(procedure => {
    const task = startTask(procedure, handlers);
    task.done.catch(error => {
      log.write('invariantViolated', {error: String(error)});
      process.exitCode = 1;
      process.kill(process.pid, 'SIGTERM');
    });
    return task;
  });
}

/**
 * Runs the session. Stops the process if a later process of the same host replaces the session,
 * since two processes must not serve under one host id.
 */
function* runSession(session: HostSession): Procedure<void> {
  const outcome = yield* session.run();
  if (outcome === 'replaced') process.kill(process.pid, 'SIGTERM');
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
