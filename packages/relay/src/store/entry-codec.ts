import {FailureDomain} from '@radishgw/core';
import {Region} from '../model.js';

/** Paths and formats of the readiness and directory interfaces of an entry host. */
export interface EntryCodec {
  /** Whether a request to this path asks if the host takes requests. */
  isReadinessPath(path: string): boolean;
  /** Whether a request to this path asks for the hosts to use. */
  isDirectoryPath(path: string): boolean;
  /** Failure domain of the client that asks; undefined if it doesn't say. */
  readClientDomain(path: string): FailureDomain | undefined;
  /** Region of the client that asks; undefined if it doesn't say. */
  readClientRegion(path: string): Region | undefined;
  /** Returns the body of an answer that lists the hosts to use. */
  writeDirectory(addresses: readonly string[], ttlMs: number): string;
}
