import {readFileSync} from 'node:fs';
import {ChannelCredentials, credentials, ServerCredentials} from '@grpc/grpc-js';

/** Files for mutual TLS between hosts, in PEM format. */
export interface InnerTlsFiles {
  /** Certificate authority that signs the certificates of all hosts of the deployment. */
  readonly authorityFile: string;
  readonly certificateFile: string;
  readonly keyFile: string;
}

/** Credentials of both directions. */
export interface InnerCredentials {
  readonly server: ServerCredentials;
  readonly client: ChannelCredentials;
}

/** Reads the files; without files, connections are neither encrypted nor authenticated. */
export function loadInnerCredentials(files: InnerTlsFiles | undefined): InnerCredentials {
  if (!files) {
    return {server: ServerCredentials.createInsecure(), client: credentials.createInsecure()};
  }
  const authority = readFileSync(files.authorityFile);
  const certificate = readFileSync(files.certificateFile);
  const key = readFileSync(files.keyFile);
  return {
    server: ServerCredentials.createSsl(
      authority,
      [{cert_chain: certificate, private_key: key}],
      true,
    ),
    client: credentials.createSsl(authority, key, certificate, {
      // Hosts are addressed by IP number and have no names; the authority vouches for them.
      checkServerIdentity: () => undefined,
    }),
  };
}
