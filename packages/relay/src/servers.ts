import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {Clock} from '@radishgw/core';
import {ListenAddress} from './settings.js';

/** A request to one of the host's auxiliary interfaces, with its complete body. */
export interface BufferedRequest {
  readonly method: string;
  readonly path: string;
  readonly body: string;
}

export interface BufferedAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Maximum size of a request body on the auxiliary interfaces. */
const MAX_BUFFERED_BODY_BYTES = 1024 * 1024;

/** Starts listening; rejects if the address can't be used. */
export function listen(server: Server, address: ListenAddress): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({host: address.host, port: address.port, backlog: 1024}, () => {
      server.off('error', reject);
      resolve();
    });
  });
}

/** Creates a server that buffers requests and answers, which are short. */
export function createBufferedServer(
  answer: (request: BufferedRequest) => BufferedAnswer | Promise<BufferedAnswer>,
  onError: (error: unknown) => void,
): Server {
  const server = createServer((request, response) => {
    void handleBuffered(request, response, answer).catch(error => {
      onError(error);
      response.destroy();
    });
  });
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  return server;
}

/** Idle time of a connection; longer than the interval between the requests of one caller. */
const KEEP_ALIVE_TIMEOUT_MS = 65_000;

async function handleBuffered(
  request: IncomingMessage,
  response: ServerResponse,
  answer: (request: BufferedRequest) => BufferedAnswer | Promise<BufferedAnswer>,
): Promise<void> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > MAX_BUFFERED_BODY_BYTES) throw new Error('request body is too large');
    chunks.push(chunk);
  }
  const {status, contentType, body} = await answer({
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    body: Buffer.concat(chunks).toString(),
  });
  response.writeHead(status, {
    'content-type': contentType,
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}

/** Interval at which a stopping host checks whether its requests have finished. */
const IDLE_POLL_INTERVAL_MS = 50;

/** Resolves when `isIdle` returns true, or at `untilMs`. */
export function waitUntilIdle(clock: Clock, isIdle: () => boolean, untilMs: number): Promise<void> {
  return new Promise(resolve => {
    const check = () => {
      if (isIdle() || clock.nowMs() >= untilMs) resolve();
      else clock.setTimer(IDLE_POLL_INTERVAL_MS, check);
    };
    check();
  });
}
