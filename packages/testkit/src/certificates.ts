import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {generate} from 'selfsigned';

/** Certificate files of a test deployment, whose hosts share one self-signed certificate. */
export interface CertificateFiles {
  readonly certificateFile: string;
  readonly keyFile: string;
  /** Deletes the files and their directory. */
  remove(): Promise<void>;
}

/** Creates a self-signed certificate for 127.0.0.1, which is also its own CA certificate. */
export async function createCertificate(commonName = 'radishgw test'): Promise<CertificateFiles> {
  const pems = await generate([{name: 'commonName', value: commonName}], {
    keyType: 'ec',
    extensions: [
      {name: 'basicConstraints', cA: true},
      {name: 'keyUsage', digitalSignature: true, keyCertSign: true},
      {name: 'extKeyUsage', serverAuth: true, clientAuth: true},
      {name: 'subjectAltName', altNames: [{type: 7, ip: '127.0.0.1'}]},
    ],
  });
  const directory = await mkdtemp(join(tmpdir(), 'radishgw-tls-'));
  const certificateFile = join(directory, 'certificate.pem');
  const keyFile = join(directory, 'key.pem');
  await writeFile(certificateFile, pems.cert);
  await writeFile(keyFile, pems.private, {mode: 0o600});
  return {certificateFile, keyFile, remove: () => rm(directory, {recursive: true, force: true})};
}
