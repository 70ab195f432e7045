import {createHmac} from 'node:crypto';
import {Branded, RequestId, TeamId, toId} from '@radishgw/core';
import {PromptPartId} from '../model.js';
import {readHostName} from '../route-table.js';

/**
 * Digest of what a client repeats when it sends a request again: its team, method, path and body, and
 * its prompt but the last part. It is the same on all hosts and shows nothing of the request but the
 * size of its body.
 */
export type RequestDigest = Branded<'RequestDigest'>;

/** What identifies a request besides its id, which is new each time that it is sent. */
export interface RequestContent {
  readonly team: TeamId | undefined;
  readonly method: string;
  readonly host: string;
  /** Path and query, as sent by the client. */
  readonly path: string;
  readonly body: Buffer;
  /** Parts of the prompt that other requests may share; the last one may differ in a repeat. */
  readonly sharedParts: readonly PromptPartId[];
}

/** A colon can't occur in the id of a prompt part, so that no client can name a digest. */
const DIGEST_PREFIX = 'request:';

/** Length of a digest in base64url, 132 bits. */
const DIGEST_LENGTH = 22;

/** Approximate memory of a string in a list, beside its characters. */
const STRING_BYTES = 32;

/**
 * Computes the digest of a request when it is first wanted: most requests never need theirs. The
 * content is held until then.
 */
export class RequestFingerprint {
  readonly bodyBytes: number;
  private known: RequestContent | RequestDigest;

  constructor(content: RequestContent) {
    this.bodyBytes = content.body.length;
    this.known = content;
  }

  get digest(): RequestDigest {
    if (typeof this.known !== 'string') this.known = computeDigest(this.known);
    return this.known;
  }

  /** Approximate memory of the content that is held, in bytes, without the body. */
  get textBytes(): number {
    if (typeof this.known === 'string') return 0;
    const {host, path, sharedParts} = this.known;
    return host.length + path.length + partsBytes(sharedParts);
  }
}

function partsBytes(parts: readonly PromptPartId[]): number {
  return parts.reduce((sum, part) => sum + STRING_BYTES + part.length, 0);
}

/** Whether a suspect is a request as a whole. */
export function isRequestDigest(suspect: string): suspect is RequestDigest {
  return suspect.startsWith(DIGEST_PREFIX);
}

/** Size of the body of a request, from its digest. */
export function bodyBytesOf(digest: RequestDigest): number {
  return Number(digest.slice(DIGEST_PREFIX.length, digest.lastIndexOf(':')));
}

function computeDigest({
  team,
  method,
  host,
  path,
  body,
  sharedParts,
}: RequestContent): RequestDigest {
  const hash = createHmac('sha256', `radishgw request ${team ?? ''}`)
    .update(JSON.stringify([method, readHostName(host), path, ...sharedParts]))
    .update(body)
    .digest('base64url')
    .slice(0, DIGEST_LENGTH);
  return toId<RequestDigest>(`${DIGEST_PREFIX}${body.length}:${hash}`);
}

/** What the hosts know a run by, if its target crashes. */
export interface RunIdentity {
  readonly requestId: RequestId;
  /** Parts of the prompt that other requests may share. */
  readonly sharedParts: readonly PromptPartId[];
  readonly fingerprint: RequestFingerprint;
}

/** Approximate memory of what identifies a run, in bytes, without the body of its request. */
export function identityBytes({sharedParts, fingerprint}: RunIdentity): number {
  return Math.max(partsBytes(sharedParts), fingerprint.textBytes);
}

/** A run of this host that is in progress at a target. */
export interface RunInProgress {
  readonly identity: RunIdentity;
  /** Monotonic time at which it was sent. */
  readonly sentMs: number;
}
