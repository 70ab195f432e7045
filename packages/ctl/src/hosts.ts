import {Platform} from '@radishgw/coordination';
import {readText} from '@radishgw/core';
import {request} from 'undici';
import {z} from 'zod';
import {unwrapResult} from './platform-errors.js';

/** Maximum size of a host's answer. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;

const sessionSchema = z.looseObject({
  hostId: z.string(),
  failureDomain: z.string(),
  operatorAddress: z.string(),
  state: z.string(),
});

/** A host's session object in the platform. */
export type HostSession = z.infer<typeof sessionSchema>;

const statusSchema = z.looseObject({
  hostId: z.string(),
  completeRevision: z.number(),
  rejected: z.array(z.looseObject({key: z.string(), message: z.string()})).default([]),
});

/** Fields of a host's status that commands use; other fields are shown unchanged. */
export type HostStatus = z.infer<typeof statusSchema>;

const CALL_TIMEOUT_MS = 3000;

/** Lists hosts with a session that hasn't ended. */
export async function listHosts(platform: Platform): Promise<HostSession[]> {
  const sessions = unwrapResult(await platform.list('hosts/'), 'list hosts');
  return sessions.objects.flatMap(object => {
    const parsed = sessionSchema.safeParse(JSON.parse(object.value));
    return parsed.success && parsed.data.state !== 'ended' ? [parsed.data] : [];
  });
}

/** Calls a host's operator API; returns undefined on errors and on any status other than 200. */
export async function callHost(
  host: HostSession,
  method: 'GET' | 'POST',
  path: string,
  body?: unknown,
): Promise<unknown> {
  try {
    const response = await request(`http://${host.operatorAddress}${path}`, {
      method,
      body: body === undefined ? null : JSON.stringify(body),
      headersTimeout: CALL_TIMEOUT_MS,
      bodyTimeout: CALL_TIMEOUT_MS,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    const text = await readText(response.body, MAX_ANSWER_BYTES);
    return response.statusCode === 200 ? JSON.parse(text || '{}') : undefined;
  } catch {
    return undefined;
  }
}

/** Reads a host's status; undefined if it is unreachable or its status doesn't match the schema. */
export async function readStatus(host: HostSession): Promise<HostStatus | undefined> {
  return statusSchema.safeParse(await callHost(host, 'GET', '/status')).data;
}
