import {createHash} from 'node:crypto';
import {Clock, RandomSource} from '@radishgw/core';
import {Platform, PlatformObject, Revision} from '@radishgw/platform';
import {z} from 'zod';
import {Refusal} from './refusal.js';

/** Larger responses aren't stored; the platform's objects are bounded and read on each retry. */
export const MAX_STORED_BODY_BYTES = 65_536;

const storedResponseSchema = z.object({
  statusCode: z.number().int().min(200).max(599),
  headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
  /** Absent if the body was larger than {@link MAX_STORED_BODY_BYTES}. */
  bodyBase64: z.string().optional(),
});

/** A target's response as it is kept for retries. */
export type StoredResponse = z.infer<typeof storedResponseSchema>;

/** Object `idempotency/<teamId>/<digest of the key>`. */
const claimSchema = z.object({
  schemaVersion: z.literal(1),
  /** Identifies the host's own claim when the platform's answer to it was lost. */
  attemptId: z.string(),
  /** Digest of method, path and body: a key stands for one request. */
  requestDigest: z.string(),
  claimedAt: z.string(),
  state: z.enum(['claimed', 'finished', 'unknown']),
  response: storedResponseSchema.optional(),
});
type ClaimRecord = z.infer<typeof claimSchema>;

/** A request under an idempotency key. */
export interface KeyedRequest {
  /** Team whose key it is; `undefined` on open routes. */
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
const MAX_CLAIM_TRIES = 4;
const SETTLE_DELAY_MS = 250;
const MAX_SETTLE_TRIES = 120;

/** Claims and stored responses of calls that must run at most once, kept in the platform. */
export class IdempotencyClaims {
  private readonly unsettled = new Set<Promise<unknown>>();

  constructor(
    private readonly platform: Platform,
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  /** Claims the key before dispatch. Throws a refusal if the request must not be run. */
  async claim(request: KeyedRequest): Promise<ClaimOutcome> {
    const key = formatClaimKey(request);
    const record: ClaimRecord = {
      schemaVersion: 1,
      attemptId: this.random.nextHex(ATTEMPT_ID_BYTES),
      requestDigest: digestRequest(request),
      claimedAt: this.clock.now().toISOString(),
      state: 'claimed',
    };
    let mayBeClaimed = false;
    for (let i = 0; i < MAX_CLAIM_TRIES; i++) {
      const answer = await this.platform.put(key, JSON.stringify(record), {ifRevision: 0});
      if (answer.ok) return {kind: 'claimed', claim: {key, revision: answer.val, record}};
      if (answer.val.kind === 'conflict') return this.readClaim(key, record);
      // Without an answer the claim may have been made; the next try then finds it by its id.
      if (answer.val.kind !== 'outcomeUnknown') break;
      mayBeClaimed = true;
    }
    if (mayBeClaimed) this.track(this.withdraw(key, record));
    throw new Refusal('idempotencyUnavailable', 'the platform is not available for the claim');
  }

  /** Stores the response for retries, in the background. */
  store(claim: Claim, response: StoredResponse): void {
    this.track(this.settle(claim, {...claim.record, state: 'finished', response}));
  }

  /** Records that the call may have been run without an answer, in the background. */
  storeUnknown(claim: Claim): void {
    this.track(this.settle(claim, {...claim.record, state: 'unknown'}));
  }

  /** Gives the claim back after a call that was certainly not run; resolves after the first try. */
  async release(claim: Claim): Promise<void> {
    const answer = await this.platform.remove(claim.key, {ifRevision: claim.revision});
    if (answer.err) this.track(this.withdraw(claim.key, claim.record));
  }

  /** Resolves when no background update is pending. */
  async waitUntilSettled(): Promise<void> {
    while (this.unsettled.size > 0) await Promise.allSettled(this.unsettled);
  }

  private async readClaim(key: string, own: ClaimRecord): Promise<ClaimOutcome> {
    const answer = await this.platform.get(key);
    if (answer.err) {
      // An earlier request with this key exists, so "not run" might not be true of it.
      const message = 'an earlier request with this idempotency key exists but cannot be read';
      throw new Refusal('idempotencyUnavailable', message, 'unknown');
    }
    const record = parseClaim(answer.val);
    if (record?.attemptId === own.attemptId) {
      return {kind: 'claimed', claim: {key, revision: answer.val.revision, record: own}};
    }
    return answerFromClaim(record, own.requestDigest);
  }

  /** Updates an own claim until the platform has taken the update or refused it for good. */
  private async settle(claim: Claim, record: ClaimRecord): Promise<void> {
    const text = JSON.stringify(record);
    for (let i = 0; i < MAX_SETTLE_TRIES; i++) {
      const answer = await this.platform.put(claim.key, text, {ifRevision: claim.revision});
      // A conflict means that an earlier try took effect: nobody else updates a claim.
      if (answer.ok || answer.val.kind === 'conflict' || answer.val.kind === 'rejected') return;
      await this.wait();
    }
  }

  /** Removes an own claim that was never used; the claim of another host is left alone. */
  private async withdraw(key: string, record: ClaimRecord): Promise<void> {
    for (let i = 0; i < MAX_SETTLE_TRIES; i++) {
      const read = await this.platform.get(key);
      if (read.ok) {
        if (parseClaim(read.val)?.attemptId !== record.attemptId) return;
        const removed = await this.platform.remove(key, {ifRevision: read.val.revision});
        if (removed.ok || removed.val.kind === 'conflict') return;
      } else if (read.val.kind === 'notFound') {
        return;
      }
      await this.wait();
    }
  }

  private wait(): Promise<void> {
    return new Promise(resolve => this.clock.setTimer(SETTLE_DELAY_MS, resolve));
  }

  private track(work: Promise<unknown>): void {
    this.unsettled.add(work);
    work.catch(() => undefined).finally(() => this.unsettled.delete(work));
  }
}

/** Key of the platform's object; teams can't reach each other's claims. */
function formatClaimKey(request: KeyedRequest): string {
  const digest = createHash('sha256').update(request.idempotencyKey).digest('hex');
  // "~" can't occur in a team's id, so open routes don't share claims with any team.
  return `idempotency/${request.teamId ?? '~open'}/${digest}`;
}

function digestRequest(request: KeyedRequest): string {
  return createHash('sha256')
    .update(JSON.stringify([request.method, request.path]))
    .update(request.body)
    .digest('hex');
}

/** Parses a claim from the platform; undefined if it has another form. */
export function parseClaim(object: PlatformObject): ClaimRecord | undefined {
  try {
    const parsed = claimSchema.safeParse(JSON.parse(object.value));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

function answerFromClaim(record: ClaimRecord | undefined, requestDigest: string): ClaimOutcome {
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
