import {fileURLToPath} from 'node:url';
import {
  BASE_KEY,
  BaseConfig,
  issueKey,
  SCHEMA_VERSION,
  TargetConfig,
  TeamConfig,
  teamKey,
} from '@radishgw/config';
import {createSystemRandom, KeyId, toId} from '@radishgw/core';
import {HttpPlatform} from '@radishgw/coordination';
import {createCertificate} from './certificates.js';
import {FaultProxy, startFaultProxy} from './fault-proxy.js';
import {Child, startChild, startStandIn, waitForUrl} from './child.js';
import {allocatePorts} from './ports.js';

/** Options of {@link startDeployment}. */
export interface DeploymentOptions {
  readonly hosts: number;
  readonly engines: number;
  readonly services: number;
  readonly failureDomains: readonly string[];
  readonly decodeMsPerToken: number;
  /** Additional command-line flags of each host. */
  readonly hostFlags?: readonly string[];
  /** Environment variables of the hosts, besides those of this process. */
  readonly hostEnv?: Record<string, string>;
  /** Puts fault proxies in front of each host's inner address and between it and the platform. */
  readonly proxied?: boolean;
  readonly tokensPerSecond?: number;
  readonly burstTokens?: number;
  readonly maxInFlight?: number;
  /**
   * Maps the URL of a server (`engine-1`, `service-1`, `platform`) to the URL that hosts use for
   * it, such as that of a fault proxy in front of it. By default hosts use the server's own URL.
   */
  readonly mapUrl?: (name: string, url: string) => Promise<string>;
}

/** A running host of a deployment. */
export interface HostHandle {
  readonly hostId: string;
  readonly child: Child;
  readonly entryUrl: string;
  readonly operatorUrl: string;
  readonly innerAddress: string;
  /** Fault proxies of the host; undefined unless the deployment is proxied. */
  readonly proxies?: {readonly platform: FaultProxy; readonly inner: FaultProxy};
}

/** Processes of a deployment, with the URLs, configuration and key for calling them. */
export interface Deployment {
  readonly platformUrl: string;
  readonly platform: HttpPlatform;
  readonly platformChild: Child;
  readonly hosts: HostHandle[];
  readonly engines: {child: Child; url: string}[];
  readonly services: {child: Child; url: string}[];
  readonly key: string;
  readonly teamId: string;
  readonly model: string;
  readonly base: BaseConfig;
  readonly team: TeamConfig;
  /** Restarts the host with this index, or starts an additional one, with extra flags. */
  startHost(index: number, flags?: readonly string[]): Promise<HostHandle>;
  /** Stops all processes by SIGTERM: hosts, then targets, then the platform. */
  stop(): Promise<void>;
}

export const DEMO_MODEL = 'stitch-small';
export const DEMO_TEAM = 'monogram-desk';
export const DEMO_ROUTE = '/orders';
export const DEMO_LOOKUP_ROUTE = '/catalogue';

const GATEWAY_MAIN = fileURLToPath(new URL('../../../gateway/dist/src/main.js', import.meta.url));
const PORTS_PER_HOST = 3;
const START_TIMEOUT_MS = 60_000;

function buildBaseConfig(targets: TargetConfig[]): BaseConfig {
  return {
    schemaVersion: SCHEMA_VERSION,
    templates: [
      {
        templateId: 'desk',
        parameters: {
          models: [DEMO_MODEL],
          routes: ['orders', 'catalogue'],
          tokensPerSecond: 100_000,
          burstTokens: 500_000,
          classRules: [{work: 'monogram-check', class: 'urgent'}],
        },
      },
    ],
    models: [{model: DEMO_MODEL, pool: 'models', maxOutputTokens: 256}],
    routes: [
      {
        routeId: 'orders',
        method: 'POST',
        path: DEMO_ROUTE,
        pool: 'orders',
        idempotent: false,
        access: 'key',
        costTokens: 10,
      },
      {
        routeId: 'catalogue',
        method: 'GET',
        path: DEMO_LOOKUP_ROUTE,
        pool: 'orders',
        idempotent: true,
        access: 'open',
        costTokens: 0,
      },
    ],
    targets,
  };
}

function buildTargetConfigs(
  kind: 'engine' | 'service',
  pool: string,
  urls: readonly string[],
  failureDomains: readonly string[],
): TargetConfig[] {
  return urls.map((url, index) => ({
    targetId: `${kind}-${index + 1}`,
    kind,
    pool,
    url,
    failureDomain: failureDomains[index % failureDomains.length],
    cheap: false,
    checksFencing: true,
    state: 'active',
    slots: 64,
  }));
}

/** Starts platform, targets and hosts as separate processes; resolves when the hosts are ready. */
export async function startDeployment(options: DeploymentOptions): Promise<Deployment> {
  const {child: platformChild, url: platformUrl} = await startStandIn('platform', 'platform');
  const engineFlags = [
    '--models',
    DEMO_MODEL,
    '--decode-ms-per-token',
    String(options.decodeMsPerToken),
  ];
  const engines = await Promise.all(
    Array.from({length: options.engines}, (_, i) =>
      startStandIn(`engine-${i + 1}`, 'engine', engineFlags),
    ),
  );
  const services = await Promise.all(
    Array.from({length: options.services}, (_, i) => startStandIn(`service-${i + 1}`, 'service')),
  );
  const platform = new HttpPlatform({baseUrl: platformUrl, callTimeoutMs: 5000});
  const mapUrl = options.mapUrl ?? (async (_name, url) => url);
  const mapUrls = (kind: string, servers: readonly {url: string}[]) =>
    Promise.all(servers.map(({url}, index) => mapUrl(`${kind}-${index + 1}`, url)));
  const {failureDomains} = options;
  const base = buildBaseConfig([
    ...buildTargetConfigs('engine', 'models', await mapUrls('engine', engines), failureDomains),
    ...buildTargetConfigs('service', 'orders', await mapUrls('service', services), failureDomains),
  ]);
  const hostPlatformUrl = await mapUrl('platform', platformUrl);
  const key = issueKey(toId<KeyId>('demo'), createSystemRandom());
  const parameters: TeamConfig['parameters'] = {};
  if (options.tokensPerSecond) parameters.tokensPerSecond = options.tokensPerSecond;
  if (options.maxInFlight) parameters.maxInFlight = options.maxInFlight;
  if (options.burstTokens) parameters.burstTokens = options.burstTokens;
  const team: TeamConfig = {
    schemaVersion: SCHEMA_VERSION,
    teamId: DEMO_TEAM,
    template: 'desk',
    parameters,
    keys: [key.record],
  };
  (await platform.put(BASE_KEY, JSON.stringify(base))).unwrap();
  (await platform.put(teamKey(DEMO_TEAM), JSON.stringify(team))).unwrap();

  const certificate = await createCertificate();
  const hostChildren: Child[] = [];
  const startHost = async (index: number, flags: readonly string[] = []): Promise<HostHandle> => {
    const [callerPort, operatorPort, innerPort] = await allocatePorts(PORTS_PER_HOST);
    const hostId = `host-${index + 1}`;
    const entryUrl = `http://127.0.0.1:${callerPort}`;
    const operatorUrl = `http://127.0.0.1:${operatorPort}`;
    const innerListenAddress = `127.0.0.1:${innerPort}`;
    const proxies = options.proxied
      ? {
          platform: await startFaultProxy({targetUrl: platformUrl, seed: index}),
          inner: await startFaultProxy({targetUrl: `http://${innerListenAddress}`, seed: index}),
        }
      : undefined;
    const innerAddress = proxies ? new URL(proxies.inner.url).host : innerListenAddress;
    const args = [
      '--host-id',
      hostId,
      '--failure-domain',
      options.failureDomains[index % options.failureDomains.length],
      '--platform-url',
      proxies?.platform.url ?? hostPlatformUrl,
      '--caller-address',
      `127.0.0.1:${callerPort}`,
      '--operator-address',
      `127.0.0.1:${operatorPort}`,
      '--inner-address',
      innerAddress,
      '--inner-listen-address',
      innerListenAddress,
      '--inner-ca-file',
      certificate.certificateFile,
      '--inner-certificate-file',
      certificate.certificateFile,
      '--inner-key-file',
      certificate.keyFile,
      ...(options.hostFlags ?? []),
      ...flags,
    ];
    const child = startChild(hostId, GATEWAY_MAIN, args, options.hostEnv);
    hostChildren.push(child);
    await Promise.race([
      waitForUrl(`${operatorUrl}/readyz`, AbortSignal.timeout(START_TIMEOUT_MS)),
      new Promise<never>((_, reject) => {
        child.process.once('exit', code => {
          reject(new Error(`${hostId} exited with code ${code}: ${child.logLines.join('\n')}`));
        });
      }),
    ]);
    return {hostId, child, entryUrl, operatorUrl, innerAddress, proxies};
  };

  const hosts = await Promise.all(Array.from({length: options.hosts}, (_, i) => startHost(i)));
  return {
    platformUrl,
    platform,
    platformChild,
    hosts,
    engines,
    services,
    key: key.text,
    teamId: DEMO_TEAM,
    model: DEMO_MODEL,
    base,
    team,
    startHost,
    stop: async () => {
      const stopIfRunning = (child: Child) => {
        if (!child.isRunning()) return Promise.resolve(null);
        // A process that a test has paused by SIGSTOP doesn't handle SIGTERM until it continues.
        child.signal('SIGCONT');
        return child.stop();
      };
      await Promise.all(hostChildren.map(stopIfRunning));
      await Promise.all([...engines, ...services].map(({child}) => stopIfRunning(child)));
      await stopIfRunning(platformChild);
      for (const {proxies} of hosts) {
        await proxies?.platform.stop();
        await proxies?.inner.stop();
      }
      await platform.close();
      await certificate.remove();
    },
  };
}
