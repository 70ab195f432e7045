import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {generate} from 'selfsigned';

/** Certificate files of a test deployment; one self-signed certificate serves all its hosts. */
export interface CertificateFiles {
  readonly certificateFile: string;
  readonly keyFile: string;
  /** Deletes the files. */
  remove(): Promise<void>;
}

/** A certificate and its private key, in PEM. */
export interface SelfSignedCertificate {
  readonly certificate: string;
  readonly privateKey: string;
}

/** Creates a certificate for 127.0.0.1 that is its own authority. */
export async function createSelfSignedCertificate(
  commonName: string,
): Promise<SelfSignedCertificate> {
  const pems = await generate([{name: 'commonName', value: commonName}], {
    keyType: 'ec',
    algorithm: 'sha256',
    extensions: [
      {name: 'basicConstraints', cA: true},
      {name: 'keyUsage', digitalSignature: true, keyCertSign: true},
      {name: 'extKeyUsage', serverAuth: true, clientAuth: true},
      {name: 'subjectAltName', altNames: [{type: 7, ip: '127.0.0.1'}]},
    ],
  });
  return {certificate: pems.cert, privateKey: pems.private};
}

/** Creates a certificate and writes it to files in a temporary folder. */
export async function createCertificate(): Promise<CertificateFiles> {
  const {certificate, privateKey} = await createSelfSignedCertificate('radishgw test');
  const folder = await mkdtemp(join(tmpdir(), 'radishgw-tls-'));
  const certificateFile = join(folder, 'certificate.pem');
  const keyFile = join(folder, 'key.pem');
  await writeFile(certificateFile, certificate);
  await writeFile(keyFile, privateKey, {mode: 0o600});
  return {certificateFile, keyFile, remove: () => rm(folder, {recursive: true, force: true})};
}
