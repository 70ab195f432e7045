import {createHash, timingSafeEqual} from 'node:crypto';
import {KeyId, RandomSource, toId} from '@radishgw/core';
import {KeyRecord} from './schema.js';

const KEY_PATTERN = /^rk_([a-z0-9][a-z0-9.-]{0,62})_([0-9a-f]{64})$/;
const SECRET_BYTES = 32;
const SALT_BYTES = 16;

/** An API key, split into its public id and its secret. */
export interface ParsedKey {
  readonly keyId: KeyId;
  readonly secretHex: string;
}

/** Parses a key of the form `rk_<keyId>_<64 hex digits>`; returns undefined for any other text. */
export function parseKey(text: string): ParsedKey | undefined {
  const match = KEY_PATTERN.exec(text);
  if (!match) return undefined;
  return {keyId: toId<KeyId>(match[1]), secretHex: match[2]};
}

/** SHA-256 without key stretching is enough, as secrets are 256 random bits and not passwords. */
function digestSecret(saltHex: string, secretHex: string): Buffer {
  return createHash('sha256').update(saltHex, 'hex').update(secretHex, 'hex').digest();
}

/** Compares the digests in constant time, so that timing reveals nothing about the secret. */
export function matchesKey(record: KeyRecord, secretHex: string): boolean {
  return timingSafeEqual(
    digestSecret(record.saltHex, secretHex),
    Buffer.from(record.digestHex, 'hex'),
  );
}

/**
 * Creates a key. `random` must be cryptographically secure. The returned text is shown once and is
 * never stored.
 */
export function issueKey(
  keyId: KeyId,
  random: RandomSource,
): {readonly text: string; readonly record: KeyRecord} {
  const secretHex = random.nextHex(SECRET_BYTES);
  const saltHex = random.nextHex(SALT_BYTES);
  return {
    text: `rk_${keyId}_${secretHex}`,
    record: {keyId, saltHex, digestHex: digestSecret(saltHex, secretHex).toString('hex')},
  };
}
