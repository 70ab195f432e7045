import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {readText} from '@radishgw/core';
import findMyWay from 'find-my-way';
import {z} from 'zod';
import {DecisionLog} from './decision-log.js';
import {Metrics} from './metrics.js';

/** Functions and data of a host behind the operators' API. */
export interface OperatorHandlers {
  readonly metrics: Metrics;
  readonly decisions: DecisionLog;
  isReady(): boolean;
  /** Returns the body of `/status`, such as revisions, roles, members and queue lengths. */
  describeStatus(): unknown;
  /** Withdraws a key with immediate effect on this host. */
  withdrawKey(keyId: string, digestHex: string): void;
  /** Starts a graceful shutdown. */
  drain(): void;
}

const MAX_BODY_BYTES = 65_536;
const withdrawalSchema = z.object({keyId: z.string(), digestHex: z.string()});

function send(response: ServerResponse, statusCode: number, type: string, body: string): void {
  response.writeHead(statusCode, {'content-type': type});
  response.end(body);
}

function sendJson(response: ServerResponse, statusCode: number, body: unknown): void {
  send(response, statusCode, 'application/json', JSON.stringify(body));
}

async function readJson(request: IncomingMessage): Promise<unknown> {
  return JSON.parse(await readText(request, MAX_BODY_BYTES));
}

async function handleWithdrawal(
  handlers: OperatorHandlers,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const parsed = await readJson(request)
    .then(body => withdrawalSchema.safeParse(body).data)
    .catch(() => undefined);
  if (!parsed) {
    sendJson(response, 400, {message: 'expected {keyId, digestHex}'});
    return;
  }
  handlers.withdrawKey(parsed.keyId, parsed.digestHex);
  sendJson(response, 200, {});
}

/** Creates the HTTP server of the operators' API. */
export function createOperatorServer(handlers: OperatorHandlers): Server {
  const router = findMyWay({
    defaultRoute: (_request, response) => {
      send(response as ServerResponse, 404, 'text/plain', 'not found\n');
    },
  });
  router.on('GET', '/healthz', (_request, response) => {
    send(response as ServerResponse, 200, 'text/plain', 'ok\n');
  });
  router.on('GET', '/readyz', (_request, response) => {
    const ready = handlers.isReady();
    send(response as ServerResponse, ready ? 200 : 503, 'text/plain', ready ? 'ok\n' : 'no\n');
  });
  router.on('GET', '/metrics', (_request, response) => {
    send(response as ServerResponse, 200, 'text/plain; version=0.0.4', handlers.metrics.format());
  });
  router.on('GET', '/status', (_request, response) => {
    sendJson(response as ServerResponse, 200, handlers.describeStatus());
  });
  router.on('GET', '/explain', (request, response) => {
    const id = new URL(request.url ?? '/', 'http://host').searchParams.get('id') ?? '';
    sendJson(response as ServerResponse, 200, {records: handlers.decisions.find(id)});
  });
  router.on('POST', '/withdrawals', (request, response) => {
    void handleWithdrawal(handlers, request as IncomingMessage, response as ServerResponse);
  });
  router.on('POST', '/drain', (_request, response) => {
    sendJson(response as ServerResponse, 200, {draining: true});
    handlers.drain();
  });
  return createServer((request: IncomingMessage, response) => router.lookup(request, response));
}
