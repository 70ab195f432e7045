import {z} from 'zod';
import {FailureDomain, HostId, SessionId} from '@radishgw/core';
import {PlatformObject} from './platform.js';

const id = <Id>() => z.string().transform(value => value as Id);

const sessionSchema = z.object({
  attemptId: z.string(),
  hostId: id<HostId>(),
  sessionId: id<SessionId>(),
  failureDomain: id<FailureDomain>(),
  callerAddress: z.string(),
  innerAddress: z.string(),
  operatorAddress: z.string(),
  state: z.enum(['live', 'leaving', 'ended']),
  appliedRevision: z.number(),
  renewal: z.number(),
  supersedes: z.array(id<SessionId>()),
});

const holderSchema = z.object({
  attemptId: z.string(),
  epoch: z.number(),
  hostId: id<HostId>().nullable(),
  sessionId: id<SessionId>().nullable(),
  data: z.unknown().optional(),
});

/**
 * Value of `hosts/<hostId>`. `supersedes` lists earlier sessions of the host that this process did
 * not end itself. They stay listed for the time to live plus margin after they were replaced: until
 * then an earlier process of the same host may still consider its session valid.
 */
export type SessionRecord = z.infer<typeof sessionSchema>;

/**
 * Value of `roles/<role>` and `shards/<n>`. A released object names no session. `data` belongs to
 * the user of the object, which keeps it for the successor.
 */
export type HolderRecord = z.infer<typeof holderSchema>;

export function parseSession(object: PlatformObject): SessionRecord | undefined {
  return parse(sessionSchema, object);
}

export function parseHolder(object: PlatformObject): HolderRecord | undefined {
  return parse(holderSchema, object);
}

function parse<T>(schema: z.ZodType<T>, object: PlatformObject): T | undefined {
  try {
    return schema.safeParse(JSON.parse(object.value)).data;
  } catch {
    return undefined;
  }
}
