import {RadishError} from '@radishgw/core';
import yargs from 'yargs';
import {z} from 'zod';
import {TlsFiles} from './caller/tls.js';
import {InnerTlsFiles} from './inner/credentials.js';

/** Prefix of the environment variable of each flag: `--platform-url` is `RADISHGW_PLATFORM_URL`. */
export const ENV_PREFIX = 'RADISHGW';

const idPattern = /^[a-z0-9][a-z0-9._-]{0,62}$/;
const addressPattern = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/;
const addressSchema = z.string().regex(addressPattern, 'expected IP:PORT');
const positiveNumber = z.number().positive();

const settingsSchema = z.object({
  hostId: z.string().regex(idPattern, 'expected 1 to 63 of a-z, 0-9, ".", "_", "-"'),
  failureDomain: z.string().regex(idPattern, 'expected 1 to 63 of a-z, 0-9, ".", "_", "-"'),
  platformUrl: z.url('expected a URL'),
  callerAddress: addressSchema,
  operatorAddress: addressSchema,
  innerAddress: addressSchema,
  innerListenAddress: addressSchema.optional(),
  platformTimeoutMs: positiveNumber,
  maxBodyBytes: positiveNumber,
  maxInFlight: positiveNumber,
  memoryMb: positiveNumber,
  fileDescriptors: positiveNumber,
  clientMemoryMb: positiveNumber.optional(),
  clientConnections: positiveNumber.optional(),
  clientPendingRequests: positiveNumber.optional(),
  defaultDeadlineMs: positiveNumber,
  progressTimeoutMs: positiveNumber,
  requestTimeoutMs: positiveNumber,
  shutdownTimeoutMs: positiveNumber,
  tlsCertificateFile: z.string().min(1).optional(),
  tlsKeyFile: z.string().min(1).optional(),
  innerCaFile: z.string().min(1).optional(),
  innerCertificateFile: z.string().min(1).optional(),
  innerKeyFile: z.string().min(1).optional(),
  innerInsecure: z.boolean(),
  outageLimitMs: positiveNumber,
  shardCount: positiveNumber,
  logFormat: z.enum(['json', 'pretty']),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']),
});

/** Settings of an entry host; times in milliseconds, sizes in bytes. */
export type Settings = z.infer<typeof settingsSchema>;

/** Parses settings from flags and environment variables; flags take precedence. */
export function parseSettings(argv: readonly string[]): Settings {
  const parser = yargs([...argv])
    .scriptName('radishgw')
    .usage('$0 [flags]\n\nEntry host. Each flag can also be given as RADISHGW_<FLAG>.')
    .env(ENV_PREFIX)
    .options({
      'host-id': {type: 'string', describe: 'Name of this host, unique in the deployment'},
      'failure-domain': {type: 'string', describe: 'Failure domain of this host'},
      'platform-url': {type: 'string', describe: 'Base URL of the platform'},
      'caller-address': {type: 'string', describe: "IP:PORT of the callers' API"},
      'operator-address': {type: 'string', describe: "IP:PORT of the operators' API"},
      'inner-address': {type: 'string', describe: 'IP:PORT for the other hosts'},
      'inner-listen-address': {
        type: 'string',
        describe: 'IP:PORT to listen on for the other hosts, if not the inner address',
      },
      'platform-timeout-ms': {
        type: 'number',
        default: 2000,
        describe: 'Time limit for a platform call',
      },
      'max-body-bytes': {
        type: 'number',
        default: 8_388_608,
        describe: 'Size limit for a request body',
      },
      'max-in-flight': {type: 'number', default: 4096, describe: 'Limit on requests in flight'},
      'memory-mb': {
        type: 'number',
        default: 1024,
        describe: 'Memory of the host in MiB, which bounds what is held for callers',
      },
      'file-descriptors': {
        type: 'number',
        default: 4096,
        describe: 'Limit on open descriptors, which bounds the connections of callers',
      },
      'client-memory-mb': {
        type: 'number',
        describe: 'Memory for requests in MiB; a tenth of --memory-mb by default',
      },
      'client-connections': {
        type: 'number',
        describe: 'Connections of callers; by default 0.6 of --file-descriptors less 200',
      },
      'client-pending-requests': {
        type: 'number',
        describe: 'Requests on a connection that are not answered; 1000 by default',
      },
      'default-deadline-ms': {
        type: 'number',
        default: 600_000,
        describe: 'Deadline of requests without the header x-radishgw-deadline-ms',
      },
      'progress-timeout-ms': {
        type: 'number',
        default: 2000,
        describe: 'Time without data after which a stream is resumed on a new connection',
      },
      'request-timeout-ms': {
        type: 'number',
        default: 60_000,
        describe: 'Time limit for receiving a complete request',
      },
      'tls-certificate-file': {
        type: 'string',
        describe: 'Certificate chain for callers, in PEM; reloaded on SIGHUP. Off by default',
      },
      'tls-key-file': {type: 'string', describe: 'Private key of the certificate, in PEM'},
      'inner-ca-file': {
        type: 'string',
        describe: 'Certificate authority of the certificates of all hosts, in PEM',
      },
      'inner-certificate-file': {type: 'string', describe: "This host's certificate, in PEM"},
      'inner-key-file': {type: 'string', describe: "This host's private key, in PEM"},
      'inner-insecure': {
        type: 'boolean',
        default: false,
        describe: 'Connect hosts without TLS; for tests on one machine only',
      },
      'outage-limit-ms': {
        type: 'number',
        default: 3_600_000,
        describe: 'How long requests with a key are served during a platform outage',
      },
      'shard-count': {
        type: 'number',
        default: 64,
        describe: 'Number of shards that teams are hashed to; must be the same on all hosts',
      },
      'shutdown-timeout-ms': {
        type: 'number',
        default: 900_000,
        describe: 'Time limit for requests in flight during a graceful shutdown',
      },
      'log-format': {type: 'string', default: 'json', choices: ['json', 'pretty']},
      'log-level': {type: 'string', default: 'info', choices: ['debug', 'info', 'warn', 'error']},
    })
    .strict()
    .version('0.1.0')
    .fail((message, error) => {
      throw error ?? new RadishError('settingInvalid', message);
    });
  const settings = validateSettings(parser.parseSync());
  readTlsSettings(settings);
  readInnerTlsSettings(settings);
  return settings;
}

function validateSettings(values: Record<string, unknown>): Settings {
  const parsed = settingsSchema.safeParse(values);
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0];
  const name = String(issue.path[0]);
  const flag = name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
  const variable = `${ENV_PREFIX}_${flag.replaceAll('-', '_').toUpperCase()}`;
  const value = values[name];
  if (value === undefined) {
    throw new RadishError('settingMissing', `setting --${flag} (${variable}) is missing`);
  }
  throw new RadishError(
    'settingInvalid',
    `setting --${flag} (${variable}): ${issue.message}, got "${String(value)}"`,
  );
}

/** Returns the TLS files for callers; undefined if TLS is off. Both flags are required together. */
export function readTlsSettings(settings: Settings): TlsFiles | undefined {
  const {tlsCertificateFile: certificateFile, tlsKeyFile: keyFile} = settings;
  if (certificateFile === undefined && keyFile === undefined) return undefined;
  if (certificateFile && keyFile) return {certificateFile, keyFile};
  throw new RadishError(
    'settingMissing',
    'settings --tls-certificate-file and --tls-key-file must be given together',
  );
}

/** Returns the TLS files for connections between hosts; undefined only if explicitly disabled. */
export function readInnerTlsSettings(settings: Settings): InnerTlsFiles | undefined {
  const {
    innerCaFile: caFile,
    innerCertificateFile: certificateFile,
    innerKeyFile: keyFile,
  } = settings;
  if (caFile && certificateFile && keyFile) {
    return {caFile, certificateFile, keyFile};
  }
  if (settings.innerInsecure) return undefined;
  throw new RadishError(
    'settingMissing',
    'settings --inner-ca-file, --inner-certificate-file and --inner-key-file are missing; ' +
      '--inner-insecure disables TLS between hosts',
  );
}
