import {Server} from 'node:http';
import {ConfigStore} from '@radishgw/config';
import {
  createEventLog,
  createHandlers,
  createSystemRandom,
  startTask,
  SystemClock,
  Task,
} from '@radishgw/core';
import {HttpPlatform} from '@radishgw/platform';
import {Agent} from 'undici';
import {CallerServer} from './caller/caller-server.js';
import {followConfig} from './config-sync.js';
import {Metrics} from './operator/metrics.js';
import {createOperatorServer} from './operator/operator-server.js';
import {IdempotencyClaims} from './request/idempotency.js';
import {LocalDispatcher} from './request/local-dispatcher.js';
import {UnlimitedLimiter} from './request/unlimited.js';
import {readTlsSettings, Settings} from './settings.js';

/** A running entry host. */
export interface EntryHost {
  /** Stops gracefully: requests in flight are finished first. */
  stop(): Promise<void>;
  /** Reads the certificate files again; the old certificate stays if they are wrong. */
  reload(): void;
}

const ENTRY_MAX_AGE_MS = 10_000;

/** Builds the parts of an entry host and starts them. */
export async function startEntryHost(settings: Settings): Promise<EntryHost> {
  const clock = new SystemClock();
  const handlers = createHandlers(clock);
  const log = createEventLog({format: settings.logFormat, minLevel: settings.logLevel});
  const random = createSystemRandom();
  const platform = new HttpPlatform({
    baseUrl: settings.platformUrl,
    callTimeoutMs: settings.platformTimeoutMs,
  });
  const config = new ConfigStore();
  const metrics = new Metrics();
  const http = new Agent({connections: 256, pipelining: 1});
  let loaded = false;
  let stopping = false;
  const tasks: Task<unknown>[] = [];
  tasks.push(
    startTask(
      followConfig({
        platform,
        config,
        log,
        onConfirmed: () => {
          loaded = true;
        },
      }),
      handlers,
    ),
  );
  const claims = new IdempotencyClaims(platform, clock, random);
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
    limiter: new UnlimitedLimiter(),
    dispatcher: new LocalDispatcher(config),
    maxBodyBytes: settings.maxBodyBytes,
    maxInFlight: settings.maxInFlight,
    defaultDeadlineMs: settings.defaultDeadlineMs,
    progressTimeoutMs: settings.progressTimeoutMs,
    checkFreshness: () => undefined,
    listEntryHosts: () => ({
      hosts: [`${settings.tlsCertificateFile ? 'https' : 'http'}://${settings.callerAddress}`],
      maxAgeMs: ENTRY_MAX_AGE_MS,
    }),
    recordUsage: () => undefined,
  });
  const operators = createOperatorServer({
    metrics,
    isReady: () => loaded && !stopping,
    describeStatus: () => ({
      hostId: settings.hostId,
      failureDomain: settings.failureDomain,
      appliedRevision: config.completeRevision,
      inFlight: callers.getInFlight(),
      stopping,
    }),
  });
  await listenAt(callers.server, settings.callerAddress);
  await listenAt(operators, settings.operatorAddress);
  log.write('hostStarted', {hostId: settings.hostId, failureDomain: settings.failureDomain});
  return {
    stop: async () => {
      stopping = true;
      log.write('hostStopping', {inFlight: callers.getInFlight()});
      await callers.stop(settings.shutdownTimeoutMs);
      await claims.waitUntilSettled();
      for (const task of tasks) task.cancel();
      operators.close();
      operators.closeAllConnections();
      await http.destroy();
      await platform.close();
      log.write('hostStopped');
    },
    reload: () => {
      try {
        callers.reloadTls();
      } catch (error) {
        log.write('settingInvalid', {detail: (error as Error).message});
      }
    },
  };
}

function listenAt(server: Server, address: string): Promise<void> {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator).replace(/^\[|\]$/g, '');
  const port = Number(address.slice(separator + 1));
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve());
  });
}
