import {boundCall, createConnector, Err, Ok, readText, Result} from '@radishgw/core';
import {Agent, errors, request} from 'undici';
import {z} from 'zod';
import {
  ListedHost,
  ObjectList,
  Platform,
  PlatformAnswer,
  PlatformError,
  PlatformObject,
  Revision,
  TargetOrder,
  UpdateCondition,
  UsageReport,
  WatchResult,
  WeightTransferRequest,
  WeightTransferReservation,
} from './platform.js';

/** Options of {@link HttpPlatform}. */
export interface HttpPlatformOptions {
  /** Base URL, without a trailing slash. */
  readonly baseUrl: string;
  /** Timeout of one call; for a watch, its wait is added. */
  readonly callTimeoutMs: number;
}

const objectSchema = z.object({key: z.string(), revision: z.number(), value: z.string()});
const listSchema = z.object({objects: z.array(objectSchema), revision: z.number()});
const watchSchema = z.object({
  events: z.array(objectSchema.extend({removed: z.boolean()})),
  revision: z.number(),
  compacted: z.boolean(),
});
const revisionSchema = z.object({revision: z.number()});
const hostsSchema = z.object({
  hosts: z.array(z.object({hostId: z.string(), state: z.enum(['live', 'leaving'])})),
});
const reservationSchema = z.object({startDelayMs: z.number(), bytesPerSecond: z.number()});
const anySchema = z.unknown();

/** Maximum size of an answer; the largest are lists of all objects of a kind. */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

type Method = 'GET' | 'PUT' | 'DELETE' | 'POST';

interface Call<T> {
  readonly method: Method;
  readonly path: string;
  readonly query?: Record<string, string | number>;
  readonly body?: unknown;
  readonly schema: z.ZodType<T>;
  readonly extraWaitMs?: number;
}

const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND']);

/** Client of the platform's JSON API over HTTP. */
export class HttpPlatform implements Platform {
  private readonly agent: Agent;

  constructor(private readonly options: HttpPlatformOptions) {
    this.agent = new Agent({connect: createConnector(options.callTimeoutMs), connections: 16});
  }

  get(key: string): PlatformAnswer<PlatformObject> {
    return this.send({
      method: 'GET',
      path: `/objects/${encodeURIComponent(key)}`,
      schema: objectSchema,
    });
  }

  list(prefix: string): PlatformAnswer<ObjectList> {
    return this.send({method: 'GET', path: '/objects', query: {prefix}, schema: listSchema});
  }

  async put(key: string, value: string, condition?: UpdateCondition): PlatformAnswer<Revision> {
    const answer = await this.send({
      method: 'PUT',
      path: `/objects/${encodeURIComponent(key)}`,
      query: condition ? {ifRevision: condition.ifRevision} : {},
      body: {value},
      schema: revisionSchema,
    });
    return answer.map(body => body.revision);
  }

  async remove(key: string, condition?: UpdateCondition): PlatformAnswer<Revision> {
    const answer = await this.send({
      method: 'DELETE',
      path: `/objects/${encodeURIComponent(key)}`,
      query: condition ? {ifRevision: condition.ifRevision} : {},
      schema: revisionSchema,
    });
    return answer.map(body => body.revision);
  }

  watch(prefix: string, afterRevision: Revision, waitMs: number): PlatformAnswer<WatchResult> {
    return this.send({
      method: 'GET',
      path: '/watch',
      query: {prefix, afterRevision, waitMs},
      schema: watchSchema,
      extraWaitMs: waitMs,
    });
  }

  async listHosts(): PlatformAnswer<readonly ListedHost[]> {
    const answer = await this.send({method: 'GET', path: '/hosts', schema: hostsSchema});
    return answer.map(body => body.hosts as ListedHost[]);
  }

  async orderTargets(order: TargetOrder): PlatformAnswer<void> {
    const answer = await this.send({
      method: 'POST',
      path: '/target-orders',
      body: order,
      schema: anySchema,
    });
    return answer.map(() => undefined);
  }

  async reportUsage(report: UsageReport): PlatformAnswer<void> {
    const answer = await this.send({
      method: 'POST',
      path: '/usage-reports',
      body: report,
      schema: anySchema,
    });
    return answer.map(() => undefined);
  }

  reserveWeightTransfer(
    transfer: WeightTransferRequest,
  ): PlatformAnswer<WeightTransferReservation> {
    return this.send({
      method: 'POST',
      path: '/weight-transfers',
      body: transfer,
      schema: reservationSchema,
    });
  }

  /** Closes idle connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async send<T>(call: Call<T>): Promise<Result<T, PlatformError>> {
    const url = new URL(this.options.baseUrl + call.path);
    for (const [name, value] of Object.entries(call.query ?? {})) {
      url.searchParams.set(name, String(value));
    }
    const timeoutMs = this.options.callTimeoutMs + (call.extraWaitMs ?? 0);
    try {
      const {statusCode, text} = await boundCall(timeoutMs, async signal => {
        const response = await request(url, {
          dispatcher: this.agent,
          method: call.method,
          headers: call.body === undefined ? {} : {'content-type': 'application/json'},
          body: call.body === undefined ? null : JSON.stringify(call.body),
          signal,
        });
        const body = await readText(response.body, MAX_ANSWER_BYTES);
        return {statusCode: response.statusCode, text: body};
      });
      return readAnswer(statusCode, text, call.schema);
    } catch (error) {
      return Err(classifyFailure(error));
    }
  }
}

function readAnswer<T>(
  statusCode: number,
  text: string,
  schema: z.ZodType<T>,
): Result<T, PlatformError> {
  if (statusCode === 200) {
    const parsed = schema.safeParse(text === '' ? {} : JSON.parse(text));
    if (parsed.success) return Ok(parsed.data);
    return Err({kind: 'outcomeUnknown', detail: `response does not match schema: ${parsed.error}`});
  }
  if (statusCode === 404) return Err({kind: 'notFound'});
  if (statusCode === 409) {
    const parsed = revisionSchema.safeParse(JSON.parse(text));
    return Err({kind: 'conflict', revision: parsed.success ? parsed.data.revision : 0});
  }
  if (statusCode === 503) return Err({kind: 'unavailable', detail: 'status 503'});
  if (statusCode >= 500) return Err({kind: 'outcomeUnknown', detail: `status ${statusCode}`});
  return Err({kind: 'rejected', detail: `status ${statusCode}: ${text.slice(0, 200)}`});
}

/** Classifies a failed call: unless no connection was established, it may have taken effect. */
function classifyFailure(error: unknown): PlatformError {
  const detail = error instanceof Error ? error.message : String(error);
  const code = (error as {code?: string}).code ?? '';
  const notSent = NOT_SENT_CODES.has(code) || error instanceof errors.ConnectTimeoutError;
  return {kind: notSent ? 'unavailable' : 'outcomeUnknown', detail: detail || code};
}
