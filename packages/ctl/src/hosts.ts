import {Platform} from '@radishgw/coordination';
import {request} from 'undici';
import {z} from 'zod';
import {expectAnswer} from './platform-errors.js';

const sessionSchema = z.looseObject({
  hostId: z.string(),
  failureDomain: z.string(),
  operatorAddress: z.string(),
  state: z.string(),
});

/** A host by its session object in the platform. */
export type HostEntry = z.infer<typeof sessionSchema>;

const statusSchema = z.looseObject({
  hostId: z.string(),
  completeRevision: z.number(),
  rejected: z.array(z.looseObject({key: z.string(), message: z.string()})).default([]),
});

/** Part of a host's status that commands rely on; further fields are shown as they are. */
export type HostStatus = z.infer<typeof statusSchema>;

const CALL_TIMEOUT_MS = 3000;

/** Hosts with a session object. */
export async function listHosts(platform: Platform): Promise<HostEntry[]> {
  const list = expectAnswer(await platform.list('hosts/'), 'list hosts');
  return list.objects.flatMap(object => {
    const parsed = sessionSchema.safeParse(JSON.parse(object.value));
    return parsed.success && parsed.data.state !== 'ended' ? [parsed.data] : [];
  });
}

/** Calls a host's operators' API; undefined if it doesn't answer with status 200. */
export async function callHost(
  host: HostEntry,
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
    const text = await response.body.text();
    return response.statusCode === 200 ? JSON.parse(text || '{}') : undefined;
  } catch {
    return undefined;
  }
}

/** Status of a host; undefined if it can't be reached. */
export async function readStatus(host: HostEntry): Promise<HostStatus | undefined> {
  return statusSchema.safeParse(await callHost(host, 'GET', '/status')).data;
}
