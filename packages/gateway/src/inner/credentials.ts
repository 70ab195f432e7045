import {readFileSync} from 'node:fs';
import {ChannelCredentials, credentials, ServerCredentials} from '@grpc/grpc-js';

/** Files for mutual TLS between hosts, in PEM format. */
export interface InnerTlsFiles {
  /** Certificate authority that signs the certificates of all hosts of the deployment. */
  readonly caFile: string;
  readonly certificateFile: string;
  readonly keyFile: string;
}

/** Credentials for incoming and outgoing connections between hosts. */
export interface InnerCredentials {
  readonly server: ServerCredentials;
  readonly client: ChannelCredentials;
}

/** Loads the files. Without files, connections are neither encrypted nor authenticated. */
export function loadInnerCredentials(files: InnerTlsFiles | undefined): InnerCredentials {
  if (!files) {
    return {server: ServerCredentials.createInsecure(), client: credentials.createInsecure()};
  }
  const ca = readFileSync(files.caFile);
  const certificate = readFileSync(files.certificateFile);
  const key = readFileSync(files.keyFile);
  return {
    server: ServerCredentials.createSsl(ca, [{cert_chain: certificate, private_key: key}], true),
    client: credentials.createSsl(ca, key, certificate, {
      // Hosts are addressed by IP address and have no names; a certificate signed by the
      // deployment's certificate authority is sufficient.
      checkServerIdentity: () => undefined,
    }),
  };
}
