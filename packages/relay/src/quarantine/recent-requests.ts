import {bodyBytesOf, RequestDigest, RequestFingerprint} from '../targets/run-identity.js';

/** Maximum number of requests that are remembered. */
const MAX_REQUESTS = 4096;

/** Maximum size of the bodies that are remembered, over all requests. */
const MAX_TOTAL_BODY_BYTES = 8 * 1024 * 1024;

/** Maximum size of the body of a request that is remembered. */
const MAX_BODY_BYTES = 64 * 1024;

/** Maximum memory of the content of one request, without its body, that is held to be digested. */
const MAX_TEXT_BYTES = 1024;

interface WholeRequest {
  readonly fingerprint: RequestFingerprint;
  /** Size of the body if it is held. */
  readonly heldBodyBytes: number;
  readonly atMs: number;
}

/**
 * Remembers the latest requests that ran whole at this host. Their digests are computed only once a
 * request with a body of the same size is looked for, after a crash, but for those with long paths or
 * many parts, whose digests take far less memory than what they are computed from.
 */
export class RecentRequests {
  /** Oldest first. */
  private readonly requests = new Set<WholeRequest>();
  private totalBodyBytes = 0;
  /** Sizes of the bodies of the requests whose digests are known. */
  private readonly indexedBodyBytes = new Set<number>();
  /** Time of the latest whole run, by digest. */
  private readonly wholeMs = new Map<RequestDigest, number>();

  add(fingerprint: RequestFingerprint, atMs: number): void {
    const {bodyBytes} = fingerprint;
    if (bodyBytes > MAX_BODY_BYTES) return;
    const isHeld = fingerprint.textBytes <= MAX_TEXT_BYTES;
    if (!isHeld) void fingerprint.digest;
    const request = {fingerprint, heldBodyBytes: isHeld ? bodyBytes : 0, atMs};
    this.requests.add(request);
    this.totalBodyBytes += request.heldBodyBytes;
    for (const oldest of this.requests) {
      const isOver = this.totalBodyBytes > MAX_TOTAL_BODY_BYTES;
      if (this.requests.size <= MAX_REQUESTS && !isOver) break;
      this.forget(oldest);
    }
    if (this.indexedBodyBytes.has(bodyBytes)) this.index(request);
  }

  /** Time of the latest whole run of a request; undefined if none is remembered. */
  find(digest: RequestDigest): number | undefined {
    const bodyBytes = bodyBytesOf(digest);
    if (!this.indexedBodyBytes.has(bodyBytes)) {
      this.indexedBodyBytes.add(bodyBytes);
      for (const request of this.requests) {
        if (request.fingerprint.bodyBytes === bodyBytes) this.index(request);
      }
    }
    return this.wholeMs.get(digest);
  }

  /** Stops computing digests until one is looked for again. */
  clearIndex(): void {
    this.indexedBodyBytes.clear();
    this.wholeMs.clear();
  }

  private index({fingerprint, atMs}: WholeRequest): void {
    const {digest} = fingerprint;
    this.wholeMs.set(digest, Math.max(atMs, this.wholeMs.get(digest) ?? atMs));
  }

  private forget(request: WholeRequest): void {
    const {fingerprint, heldBodyBytes, atMs} = request;
    this.requests.delete(request);
    this.totalBodyBytes -= heldBodyBytes;
    if (!this.indexedBodyBytes.has(fingerprint.bodyBytes)) return;
    if (this.wholeMs.get(fingerprint.digest) === atMs) this.wholeMs.delete(fingerprint.digest);
  }
}
