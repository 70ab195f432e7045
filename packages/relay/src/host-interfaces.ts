import {ListedHost, selectForClients} from './directory-policy.js';
import {EntryCodec} from './store/entry-codec.js';
import {HostRecord} from './store/host-registry.js';
import {
  HAND_OVER_PATH,
  QuotaClient,
  QuotaMessage,
  RETURN_QUOTA_PATH,
  TAKE_QUOTA_PATH,
} from './quota/quota-client.js';
import {RECORD_PATH, RecordWriter} from './store/record-writer.js';
import {BufferedAnswer, BufferedRequest} from './servers.js';
import {RelaySettings} from './settings.js';
import {decodeRecord} from './store/state-schemas.js';
import {SharedReadQuestion} from './store/shared-publication.js';
import {SHARED_READ_PATH, SharedReads} from './store/shared-reads.js';

/**
 * Maximum TTL of a directory answer. Clients cache it for up to three times this value, which must
 * not exceed the duration of a graceful stop.
 */
const MAX_DIRECTORY_TTL_MS = 1500;

/** Some clients use an address for this many times the TTL of the answer that named it. */
const MAX_TTL_FACTOR = 3;

/** Maximum number of addresses in a directory answer. */
const MAX_DIRECTORY_ADDRESSES = 64;

/** Path at which counters and histograms are read. */
export const METRICS_PATH = '/metrics';

const TEXT_TYPE = 'text/plain; charset=utf-8';
const JSON_TYPE = 'application/json';

/** Dependencies of the auxiliary interfaces. */
export interface InterfaceDependencies {
  readonly settings: RelaySettings;
  readonly entryCodec: EntryCodec;
  readonly quota: QuotaClient;
  readonly reads: SharedReads;
  readonly records: RecordWriter;
  isReady(): boolean;
  isStopping(): boolean;
  listReady(): readonly HostRecord[];
  /** Whether requests may be bound to regions, so that clients are sent to hosts of theirs. */
  usesHomeRegions(): boolean;
  formatMetrics(): string;
}

/** Answers a request to an auxiliary interface. */
export type BufferedHandler = (request: BufferedRequest) => BufferedAnswer;

/** Handlers of the auxiliary interfaces. */
export interface HostInterfaces {
  readonly readiness: BufferedHandler;
  readonly directory: BufferedHandler;
  readonly peer: BufferedHandler;
}

/** Creates the handlers for readiness, the directory and the requests of other hosts. */
export function createInterfaces(deps: InterfaceDependencies): HostInterfaces {
  const peerHandlers = createPeerHandlers(deps);
  return {
    readiness: ({path}) => {
      if (!deps.entryCodec.isReadinessPath(path)) return answerEmpty(404);
      return answerEmpty(deps.isReady() ? 200 : 503);
    },
    directory: ({path}) => answerDirectory(deps, path),
    peer: ({path, body}) => peerHandlers.get(path)?.(body) ?? answerEmpty(404),
  };
}

/**
 * Handlers by path. If one returns undefined, the answer is a 404, after which the other host
 * decides on its own.
 */
function createPeerHandlers(
  deps: InterfaceDependencies,
): ReadonlyMap<string, (body: string) => BufferedAnswer | undefined> {
  const {quota, reads, records} = deps;
  return new Map<string, (body: string) => BufferedAnswer | undefined>([
    [TAKE_QUOTA_PATH, body => answerJson(quota.takeOwned(JSON.parse(body) as QuotaMessage))],
    [
      RETURN_QUOTA_PATH,
      body => {
        quota.refundOwned(JSON.parse(body) as QuotaMessage);
        return answerJson({});
      },
    ],
    [
      HAND_OVER_PATH,
      body => {
        quota.acceptHandOver(JSON.parse(body) as QuotaMessage);
        return answerJson({});
      },
    ],
    [
      SHARED_READ_PATH,
      // A stopping host gives up the reader role immediately: its reads end before its process.
      body =>
        deps.isStopping()
          ? undefined
          : answerJson(reads.answer(JSON.parse(body) as SharedReadQuestion)),
    ],
    [
      RECORD_PATH,
      body => {
        const record = decodeRecord(JSON.parse(body));
        return record && answerJson(records.accept(record));
      },
    ],
    [METRICS_PATH, () => ({status: 200, contentType: TEXT_TYPE, body: deps.formatMetrics()})],
  ]);
}

function answerDirectory(deps: InterfaceDependencies, path: string): BufferedAnswer {
  const {entryCodec, settings} = deps;
  if (!entryCodec.isDirectoryPath(path)) return answerEmpty(404);
  const {clientAddress, hostId, failureDomain} = settings;
  const hosts: ListedHost[] = deps.listReady().filter(host => host.hostId !== hostId);
  if (deps.isReady()) {
    hosts.push({hostId, failureDomain, address: `${clientAddress.host}:${clientAddress.port}`});
  }
  if (hosts.length === 0) return answerEmpty(503);
  const domain = entryCodec.readClientDomain(path);
  const regions = deps.usesHomeRegions() ? settings.regions : undefined;
  const region = regions && entryCodec.readClientRegion(path);
  const local = hosts.filter(host => regions?.get(host.failureDomain) === region);
  const candidates = region !== undefined && local.length > 0 ? local : hosts;
  const selected = selectForClients(candidates, domain, MAX_DIRECTORY_ADDRESSES);
  const addresses = selected.map(host => host.address);
  const body = entryCodec.writeDirectory(addresses, directoryTtlMs(settings));
  return {status: 200, contentType: JSON_TYPE, body};
}

function directoryTtlMs(settings: RelaySettings): number {
  return Math.min(MAX_DIRECTORY_TTL_MS, settings.directoryTtlMs);
}

/** Longest time for which clients use an address after a directory answer has named it. */
export function maxAddressUseMs(settings: RelaySettings): number {
  return MAX_TTL_FACTOR * directoryTtlMs(settings);
}

function answerEmpty(status: number): BufferedAnswer {
  return {status, contentType: TEXT_TYPE, body: ''};
}

function answerJson(value: unknown): BufferedAnswer | undefined {
  if (value === undefined) return undefined;
  return {status: 200, contentType: JSON_TYPE, body: JSON.stringify(value)};
}
