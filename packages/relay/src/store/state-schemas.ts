import {isSocketAddress} from '@radishgw/core';
import {z} from 'zod';
import {HostRecord} from './host-registry.js';
import {LeaseRecord} from './lease.js';
import {WindowCounts} from '../model.js';

/** Limits on what is read from the hosts' objects in the store, which others can write to as well. */
const MAX_NAME_LENGTH = 256;
const MAX_MEMBERS = 2000;
const MAX_LEAVING = 2000;
const MAX_WORK_SERVICES = 100;
const MAX_WORK_TARGETS = 64;
const MAX_WORK_VALUE = 1e6;

const nameSchema = z.string().min(1).max(MAX_NAME_LENGTH);
const countSchema = z.number().int().nonnegative();
const countsSchema = z.record(z.string(), countSchema);

const addressSchema = z.string().refine(isSocketAddress, 'not an IPv4 address and port');

const workSchema = z.object({
  services: z.array(z.string().max(MAX_NAME_LENGTH)).max(MAX_WORK_SERVICES),
  targets: z
    .record(
      z.string().max(MAX_NAME_LENGTH),
      z.tuple([
        z.number().nonnegative().max(MAX_WORK_VALUE),
        z.number().min(-MAX_WORK_VALUE).max(MAX_WORK_VALUE),
        z.number().nonnegative().max(MAX_WORK_VALUE),
      ]),
    )
    .refine(targets => Object.keys(targets).length <= MAX_WORK_TARGETS),
});

const recordSchema = z.object({
  hostId: nameSchema,
  incarnation: nameSchema,
  era: countSchema.optional(),
  generation: countSchema,
  failureDomain: nameSchema,
  address: addressSchema,
  peerAddress: addressSchema,
  isReady: z.boolean(),
  processorCapacity: z.number().nonnegative().optional(),
  beat: countSchema,
  madeMs: z.number(),
  madeWallMs: z.number().int(),
  usage: z.record(z.string().regex(/^\d{1,15}$/), countsSchema),
  demand: z.record(z.string(), z.number().nonnegative()).optional(),
  uncachedDemand: z.record(z.string(), z.number().nonnegative()).optional(),
  leaving: z.array(z.string()).max(MAX_LEAVING).optional(),
  // Without valid observations the record counts as that of a host that shares none.
  work: workSchema.optional().catch(undefined),
});

const leaseSchema = z.object({
  holder: nameSchema,
  incarnation: nameSchema,
  era: countSchema.optional(),
  term: countSchema,
  renewal: countSchema,
});

const windowSchema = z.object({windowIndex: countSchema, counts: countsSchema});

const hostObjectSchema = z.object({
  record: z.unknown(),
  members: z.array(z.unknown()).max(MAX_MEMBERS),
});

/** Decodes the record of a host; undefined if it can't be used. */
export function decodeRecord(value: unknown): HostRecord | undefined {
  return recordSchema.safeParse(value).data as HostRecord | undefined;
}

/** Decodes the object of a host: its own record and those that it writes for others. */
export function decodeHostObject(value: unknown): {
  readonly records: readonly HostRecord[];
  readonly rejectedCount: number;
} {
  const {record, members} = hostObjectSchema.parse(value);
  const decoded = [record, ...members].map(decodeRecord);
  const records = decoded.filter(item => item !== undefined);
  return {records, rejectedCount: decoded.length - records.length};
}

export function decodeLease(value: unknown): LeaseRecord {
  return leaseSchema.parse(value) as LeaseRecord;
}

export function decodeWindow(value: unknown): {
  readonly windowIndex: number;
  readonly counts: WindowCounts;
} {
  return windowSchema.parse(value);
}
