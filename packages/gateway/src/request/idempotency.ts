import {createHash} from 'node:crypto';
import {call, Clock, Procedure, RandomSource} from '@radishgw/core';
import {
  Platform,
  PlatformObject,
  putSettled,
  Revision,
  SettledPutError,
} from '@radishgw/coordination';
import {z} from 'zod';
import {Refusal} from './refusal.js';

/** Larger bodies aren't stored: platform objects have a size limit and are read on each retry. */
export const MAX_STORED_BODY_BYTES = 65_536;

const storedResponseSchema = z.object({
  statusCode: z.number().int().min(200).max(599),
  headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
  /** Absent if the body was larger than {@link MAX_STORED_BODY_BYTES}. */
  bodyBase64: z.string().optional(),
});

/** A target's response as stored for retries. */
export type StoredResponse = z.infer<typeof storedResponseSchema>;

/** Content of the platform object `idempotency/<teamId>/<digest of the key>`. */
const claimSchema = z.object({
  schemaVersion: z.literal(1),
  /** Lets the host recognise its own claim after the platform's response to it was lost. */
  attemptId: z.string(),
  /** Digest of method, path and body: a key must not be reused for another request. */
  requestDigest: z.string(),
  claimedAt: z.string(),
  state: z.enum(['claimed', 'finished', 'unknown']),
  response: storedResponseSchema.optional(),
});
type ClaimRecord = z.infer<typeof claimSchema>;

/** A request with an idempotency key. */
export interface KeyedRequest {
  /** Team of the caller; undefined on open routes. */
  readonly teamId: string | undefined;
  readonly idempotencyKey: string;
  readonly method: string;
  readonly path: string;
  readonly body: Uint8Array;
}

/** A claim that this host holds: the request may be sent to a target, once. */
export interface Claim {
  readonly key: string;
  readonly revision: Revision;
  readonly record: ClaimRecord;
}

/** Outcome of claiming: the right to run the request, or the response of an earlier run. */
export type ClaimOutcome =
  | {readonly kind: 'claimed'; readonly claim: Claim}
  | {readonly kind: 'replay'; readonly response: StoredResponse};

const ATTEMPT_ID_BYTES = 12;
/** Claims are abandoned when the platform doesn't respond within this time. */
const CLAIM_TIMEOUT_MS = 500;
const RETRY_DELAY_MS = 250;
const MAX_WRITE_ATTEMPTS = 120;

/** Claims and stored responses of calls that must run at most once, stored in the platform. */
export class IdempotencyClaims {
  private readonly pendingWrites = new Set<Promise<unknown>>();

  constructor(
    private readonly platform: Platform,
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  /** Claims the key before dispatch; throws a refusal if the request must not be run. */
  *claim(request: KeyedRequest): Procedure<ClaimOutcome> {
    const key = formatClaimKey(request);
    const record: ClaimRecord = {
      schemaVersion: 1,
      attemptId: this.random.nextHex(ATTEMPT_ID_BYTES),
      requestDigest: digestRequest(request),
      claimedAt: this.clock.now().toISOString(),
      state: 'claimed',
    };
    let mayNeedRemoval = true;
    try {
      const result = yield* putSettled(
        {platform: this.platform, clock: this.clock},
        {
          key,
          body: record,
          attemptId: record.attemptId,
          ifRevision: 0,
          giveUpAfterMs: CLAIM_TIMEOUT_MS,
        },
      );
      if (result.ok) {
        mayNeedRemoval = false;
        return {kind: 'claimed', claim: {key, revision: result.val.revision, record}};
      }
      // If every response to the write was lost, a read may still show which claim is stored.
      const read =
        result.val.kind === 'unknown' ? yield* call(() => this.platform.get(key)) : undefined;
      mayNeedRemoval = result.val.kind === 'unknown' && !read?.ok;
      if (!read?.ok) return resolveFailedClaim(result.val, record.requestDigest);
      const storedRecord = parseClaim(read.val);
      if (storedRecord?.attemptId !== record.attemptId) {
        return resolveExistingClaim(storedRecord, record.requestDigest);
      }
      return {kind: 'claimed', claim: {key, revision: read.val.revision, record}};
    } finally {
      // Also runs when the request is aborted while the platform is being called.
      if (mayNeedRemoval) this.trackWrite(this.removeWithRetries(key, record));
    }
  }

  /** Stores the response for retries in the background. */
  store(claim: Claim, response: StoredResponse): void {
    this.trackWrite(this.updateWithRetries(claim, {...claim.record, state: 'finished', response}));
  }

  /** Records in the background that the call may have been run but its response is unknown. */
  markOutcomeUnknown(claim: Claim): void {
    this.trackWrite(this.updateWithRetries(claim, {...claim.record, state: 'unknown'}));
  }

  /**
   * Removes the claim of a call that was certainly not run. Resolves after the first attempt; if
   * that fails, further attempts follow in the background.
   */
  async release(claim: Claim): Promise<void> {
    const result = await this.platform.remove(claim.key, {ifRevision: claim.revision});
    if (result.err) this.trackWrite(this.removeWithRetries(claim.key, claim.record));
  }

  /** Resolves when no background write is pending. */
  async waitForPendingWrites(): Promise<void> {
    while (this.pendingWrites.size > 0) await Promise.allSettled(this.pendingWrites);
  }

  /** Updates a claim of this host; retries until the platform accepts or rejects the update. */
  private async updateWithRetries(claim: Claim, record: ClaimRecord): Promise<void> {
    const text = JSON.stringify(record);
    for (let i = 0; i < MAX_WRITE_ATTEMPTS; i++) {
      const result = await this.platform.put(claim.key, text, {ifRevision: claim.revision});
      // A conflict means that an earlier attempt took effect: no other host updates this claim.
      if (result.ok || result.val.kind === 'conflict' || result.val.kind === 'rejected') return;
      const read = await this.platform.get(claim.key);
      if (read.ok && parseClaim(read.val)?.state === record.state) return;
      await this.waitBeforeRetry();
    }
  }

  /** Removes an unused claim of this host; claims of other hosts are left in place. */
  private async removeWithRetries(key: string, record: ClaimRecord): Promise<void> {
    for (let i = 0; i < MAX_WRITE_ATTEMPTS; i++) {
      const read = await this.platform.get(key);
      if (read.ok) {
        if (parseClaim(read.val)?.attemptId !== record.attemptId) return;
        const removed = await this.platform.remove(key, {ifRevision: read.val.revision});
        if (removed.ok || removed.val.kind === 'conflict') return;
      } else if (read.val.kind === 'notFound') {
        return;
      }
      await this.waitBeforeRetry();
    }
  }

  private waitBeforeRetry(): Promise<void> {
    return new Promise(resolve => this.clock.setTimer(RETRY_DELAY_MS, resolve));
  }

  private trackWrite(write: Promise<unknown>): void {
    this.pendingWrites.add(write);
    write.catch(() => undefined).finally(() => this.pendingWrites.delete(write));
  }
}

/** Key of the platform object; it contains the team, so that teams can't share claims. */
function formatClaimKey(request: KeyedRequest): string {
  const digest = createHash('sha256').update(request.idempotencyKey).digest('hex');
  // "~" is not valid in team ids, so open routes share no claims with a team.
  return `idempotency/${request.teamId ?? '~open'}/${digest}`;
}

function digestRequest(request: KeyedRequest): string {
  return createHash('sha256')
    .update(JSON.stringify([request.method, request.path]))
    .update(request.body)
    .digest('hex');
}

/** Parses a stored claim; undefined if it is not valid. */
export function parseClaim(object: PlatformObject): ClaimRecord | undefined {
  try {
    const parsed = claimSchema.safeParse(JSON.parse(object.value));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

function resolveFailedClaim(error: SettledPutError, requestDigest: string): ClaimOutcome {
  if (error.kind === 'conflict') {
    return resolveExistingClaim(error.object && parseClaim(error.object), requestDigest);
  }
  // While the state of the claim is unknown, an earlier request with this key may have been run.
  const execution = error.kind === 'unknown' ? 'unknown' : 'not_run';
  const message = `the platform did not take the claim: ${error.detail}`;
  throw new Refusal('idempotencyUnavailable', message, execution);
}

function resolveExistingClaim(
  record: ClaimRecord | undefined,
  requestDigest: string,
): ClaimOutcome {
  if (!record) {
    const message = 'the record of an earlier request with this idempotency key is not readable';
    throw new Refusal('idempotencyUnavailable', message, 'unknown');
  }
  if (record.requestDigest !== requestDigest) {
    const message = 'the idempotency key was used for a request with another path or body';
    throw new Refusal('idempotencyMismatch', message);
  }
  if (record.state === 'claimed') {
    const message =
      'a request with this idempotency key is in progress, or its host was lost; it is not run again';
    throw new Refusal('idempotencyInProgress', message, 'unknown');
  }
  if (record.state === 'unknown' || !record.response) {
    const message = 'the outcome of the first request with this idempotency key is not known';
    throw new Refusal('outcomeUnknown', message, 'unknown');
  }
  if (record.response.bodyBase64 === undefined) {
    const message = `the first request was run; its response of more than ${MAX_STORED_BODY_BYTES} bytes is not stored`;
    throw new Refusal('outcomeUnknown', message, 'unknown');
  }
  return {kind: 'replay', response: record.response};
}
