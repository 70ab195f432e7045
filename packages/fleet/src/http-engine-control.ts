import {
  boundCall,
  createConnector,
  Err,
  Ok,
  OrderId,
  parseJson,
  readText,
  Result,
  TargetId,
} from '@radishgw/core';
import {buildConnector, Client} from 'undici';
import {z} from 'zod';
import {EngineControl, EngineOrder, EngineState, SendError} from './engine-control.js';

/** Options of {@link HttpEngineControl}. */
export interface HttpEngineControlOptions {
  /** Base URL of an engine's control interface; undefined if the target is unknown. */
  readonly baseUrlOf: (targetId: TargetId) => string | undefined;
  /** Timeout of an exchange, at which its connection is destroyed. */
  readonly sendTimeoutMs: number;
}

const stateSchema = z.object({
  orderId: z
    .string()
    .nullable()
    .transform(value => value as OrderId | null),
  role: z.enum(['prefill', 'decode', 'both']),
  modelVersions: z.array(z.string()),
  adapters: z.array(z.string()),
  drain: z.boolean(),
  activeRequests: z.number(),
});

const STALE_STATUS = 409;
const MAX_ANSWER_BYTES = 1_048_576;

/** Memory that the values of an engine's state may take: tens of thousands of names. */
const MAX_STATE_VALUE_BYTES = 2 * 1024 * 1024;

class UnauthorisedError extends Error {}

interface Exchange {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: string;
  readonly authorise?: () => boolean;
}

/** Sends orders to engines as JSON over HTTP, with one connection for each order. */
export class HttpEngineControl implements EngineControl {
  constructor(private readonly options: HttpEngineControlOptions) {}

  async sendOrder(
    targetId: TargetId,
    order: EngineOrder,
    authorise: () => boolean,
  ): Promise<Result<void, SendError>> {
    const body = JSON.stringify(order);
    const exchange: Exchange = {method: 'POST', path: '/v1/orders', body, authorise};
    const answer = await this.exchange(targetId, exchange);
    return answer.map(() => undefined);
  }

  async readState(targetId: TargetId): Promise<Result<EngineState, SendError>> {
    const answer = await this.exchange(targetId, {method: 'GET', path: '/v1/state'});
    if (answer.err) return answer;
    try {
      return Ok(stateSchema.parse(parseJson(answer.val, MAX_STATE_VALUE_BYTES)));
    } catch (error) {
      return Err({kind: 'rejected', detail: `invalid state of ${targetId}: ${error}`});
    }
  }

  private async exchange(
    targetId: TargetId,
    exchange: Exchange,
  ): Promise<Result<string, SendError>> {
    const baseUrl = this.options.baseUrlOf(targetId);
    if (!baseUrl) return Err({kind: 'notSent', detail: `target ${targetId} has no known address`});
    let connected = false;
    const client = new Client(new URL(baseUrl).origin, {
      connect: createAuthorisedConnector(this.options.sendTimeoutMs, () => {
        if (exchange.authorise && !exchange.authorise()) return false;
        connected = true;
        return true;
      }),
    });
    try {
      const {statusCode, text} = await boundCall(this.options.sendTimeoutMs, async signal => {
        const response = await client.request({
          method: exchange.method,
          path: new URL(baseUrl).pathname.replace(/\/$/, '') + exchange.path,
          headers: exchange.body === undefined ? {} : {'content-type': 'application/json'},
          body: exchange.body ?? null,
          signal,
        });
        const body = await readText(response.body, MAX_ANSWER_BYTES);
        return {statusCode: response.statusCode, text: body};
      });
      if (statusCode >= 200 && statusCode < 300) return Ok(text);
      return Err(classifyStatus(statusCode, text));
    } catch (error) {
      const detail = `${targetId}: ${error instanceof Error ? error.message : error}`;
      if (error instanceof UnauthorisedError) return Err({kind: 'unauthorised', detail});
      return Err({kind: connected ? 'outcomeUnknown' : 'notSent', detail});
    } finally {
      // Closing instead of destroying could leave bytes of the order in the socket's queue.
      await client.destroy();
    }
  }
}

/**
 * Creates a connector that checks the authority once the connection is established. The client
 * writes the request from promise continuations of this callback, so in the same event loop turn.
 */
function createAuthorisedConnector(
  timeoutMs: number,
  authorise: () => boolean,
): buildConnector.connector {
  const connect = createConnector(timeoutMs);
  return (options, callback) => {
    connect(options, (...args) => {
      const [error, socket] = args;
      if (error) return callback(error, null);
      if (authorise()) return callback(null, socket);
      socket.destroy();
      callback(new UnauthorisedError('authority lost before sending'), null);
    });
  };
}

function classifyStatus(statusCode: number, text: string): SendError {
  const detail = `status ${statusCode}: ${text.slice(0, 200)}`;
  if (statusCode === STALE_STATUS) return {kind: 'stale', detail};
  if (statusCode === 503) return {kind: 'notSent', detail};
  return {kind: statusCode >= 500 ? 'outcomeUnknown' : 'rejected', detail};
}
