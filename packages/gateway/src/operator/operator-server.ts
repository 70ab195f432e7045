import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import findMyWay from 'find-my-way';
import {Metrics} from './metrics.js';

/** What operators can see of a host. */
export interface OperatorView {
  readonly metrics: Metrics;
  isReady(): boolean;
  /** Status as JSON: versions, roles, peers, targets, queue lengths. */
  describeStatus(): unknown;
}

function send(response: ServerResponse, statusCode: number, type: string, body: string): void {
  response.writeHead(statusCode, {'content-type': type});
  response.end(body);
}

/** HTTP server for operators: health, readiness, metrics and status. */
export function createOperatorServer(view: OperatorView): Server {
  const router = findMyWay({
    defaultRoute: (_request, response) => {
      send(response as ServerResponse, 404, 'text/plain', 'not found\n');
    },
  });
  router.on('GET', '/healthz', (_request, response) => {
    send(response as ServerResponse, 200, 'text/plain', 'ok\n');
  });
  router.on('GET', '/readyz', (_request, response) => {
    const ready = view.isReady();
    send(response as ServerResponse, ready ? 200 : 503, 'text/plain', ready ? 'ok\n' : 'no\n');
  });
  router.on('GET', '/metrics', (_request, response) => {
    send(response as ServerResponse, 200, 'text/plain; version=0.0.4', view.metrics.format());
  });
  router.on('GET', '/status', (_request, response) => {
    send(
      response as ServerResponse,
      200,
      'application/json',
      JSON.stringify(view.describeStatus()),
    );
  });
  return createServer((request: IncomingMessage, response) => router.lookup(request, response));
}
