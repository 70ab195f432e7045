import {readFileSync} from 'node:fs';
import {createSecureContext} from 'node:tls';
import {RadishError} from '@radishgw/core';

/** PEM files of a certificate chain and its private key. */
export interface TlsFiles {
  readonly certificateFile: string;
  readonly keyFile: string;
}

/** Reads and checks both files; throws `settingInvalid` if they are invalid or don't match. */
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
