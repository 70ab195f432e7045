import {generate} from 'selfsigned';

/** A certificate and its private key, in PEM. */
export interface SelfSignedCertificate {
  readonly certificate: string;
  readonly privateKey: string;
}

/** Creates a self-signed certificate for the loopback interface. */
export async function createSelfSignedCertificate(
  commonName: string,
): Promise<SelfSignedCertificate> {
  const pems = await generate([{name: 'commonName', value: commonName}], {
    keyType: 'ec',
    algorithm: 'sha256',
    extensions: [{name: 'subjectAltName', altNames: [{type: 7, ip: '127.0.0.1'}]}],
  });
  return {certificate: pems.cert, privateKey: pems.private};
}
