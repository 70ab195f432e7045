import {EntryCodec} from './entry-codec.js';
import {HostRecord} from './host-registry.js';
import {QuotaClient, QuotaMessage, RETURN_QUOTA_PATH, TAKE_QUOTA_PATH} from './quota-client.js';
import {RECORD_PATH, RecordWriter} from './record-writer.js';
import {PlainAnswer, PlainRequest} from './servers.js';
import {RelaySettings} from './settings.js';
import {SHARED_READ_PATH, SharedReadQuestion, SharedReads} from './shared-reads.js';

/** Clients keep the directory's answer for up to three times this; it must fit in the stop. */
const DIRECTORY_TTL_MS = 1500;

/** Most addresses that the directory names. */
const MAX_DIRECTORY_ADDRESSES = 64;

/** Path at which counters and histograms are read. */
export const METRICS_PATH = '/metrics';

const TEXT = 'text/plain; charset=utf-8';
const JSON_TYPE = 'application/json';

/** What the interfaces beside that for requests need. */
export interface InterfaceParts {
  readonly settings: RelaySettings;
  readonly entryCodec: EntryCodec;
  readonly quota: QuotaClient;
  readonly reads: SharedReads;
  readonly records: RecordWriter;
  isReady(): boolean;
  isStopping(): boolean;
  listReady(): readonly HostRecord[];
  formatMetrics(): string;
}

/** Answers one request to an interface. */
export type PlainHandler = (request: PlainRequest) => PlainAnswer;

/** Handlers of the interfaces beside that for requests. */
export interface HostInterfaces {
  readonly readiness: PlainHandler;
  readonly directory: PlainHandler;
  readonly peer: PlainHandler;
}

/** Creates the handlers of readiness, directory and the questions of other hosts. */
export function createInterfaces(parts: InterfaceParts): HostInterfaces {
  const peerHandlers = createPeerHandlers(parts);
  return {
    readiness: ({path}) => {
      if (!parts.entryCodec.isReadinessPath(path)) return answerEmpty(404);
      return answerEmpty(parts.isReady() ? 200 : 503);
    },
    directory: ({path}) => answerDirectory(parts, path),
    peer: ({path, body}) => peerHandlers.get(path)?.(body) ?? answerEmpty(404),
  };
}

/** Handlers by path; undefined is answered as not found, so that the other host decides alone. */
function createPeerHandlers(
  parts: InterfaceParts,
): ReadonlyMap<string, (body: string) => PlainAnswer | undefined> {
  const {quota, reads, records} = parts;
  return new Map<string, (body: string) => PlainAnswer | undefined>([
    [TAKE_QUOTA_PATH, body => answerJson(quota.takeOwned(JSON.parse(body) as QuotaMessage))],
    [
      RETURN_QUOTA_PATH,
      body => {
        quota.refundOwned(JSON.parse(body) as QuotaMessage);
        return answerJson({});
      },
    ],
    [
      SHARED_READ_PATH,
      // A host that stops hands over its role at once: its reads end before its process does.
      body =>
        parts.isStopping()
          ? undefined
          : answerJson(reads.answer(JSON.parse(body) as SharedReadQuestion)),
    ],
    [RECORD_PATH, body => answerJson(records.accept(JSON.parse(body) as HostRecord))],
    [METRICS_PATH, () => ({status: 200, contentType: TEXT, body: parts.formatMetrics()})],
  ]);
}

function answerDirectory(parts: InterfaceParts, path: string): PlainAnswer {
  const {entryCodec, settings} = parts;
  if (!entryCodec.isDirectoryPath(path)) return answerEmpty(404);
  const addresses = parts
    .listReady()
    .filter(host => host.hostId !== settings.hostId)
    .map(host => host.address);
  const {host, port} = settings.clientAddress;
  if (parts.isReady()) addresses.push(`${host}:${port}`);
  if (addresses.length === 0) return answerEmpty(503);
  const ttlMs = Math.min(DIRECTORY_TTL_MS, settings.directoryTtlMs);
  const body = entryCodec.writeDirectory(addresses.slice(0, MAX_DIRECTORY_ADDRESSES), ttlMs);
  return {status: 200, contentType: JSON_TYPE, body};
}

function answerEmpty(status: number): PlainAnswer {
  return {status, contentType: TEXT, body: ''};
}

function answerJson(value: unknown): PlainAnswer | undefined {
  if (value === undefined) return undefined;
  return {status: 200, contentType: JSON_TYPE, body: JSON.stringify(value)};
}
