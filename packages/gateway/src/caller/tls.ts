import {readFileSync} from 'node:fs';
import {createSecureContext} from 'node:tls';
import {RadishError} from '@radishgw/core';

/** Files of the certificate chain and its private key, in PEM. */
export interface TlsFiles {
  readonly certificateFile: string;
  readonly keyFile: string;
}

/** Reads and checks both files; throws `settingInvalid` if they don't fit together. */
export function readTlsFiles(files: TlsFiles): {cert: Buffer; key: Buffer} {
  try {
    const cert = readFileSync(files.certificateFile);
    const key = readFileSync(files.keyFile);
    createSecureContext({cert, key});
    return {cert, key};
  } catch (error) {
    throw new RadishError(
      'settingInvalid',
      `--tls-certificate-file, --tls-key-file: ${(error as Error).message}`,
      {cause: error},
    );
  }
}
