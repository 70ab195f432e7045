import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {AddressInfo} from 'node:net';

/** An HTTP server that listens on the loopback interface. */
export interface ListeningServer {
  readonly server: Server;
  readonly url: string;
  readonly port: number;
  /** Accepts no new connections and waits up to `timeoutMs` for requests in flight. */
  stop(timeoutMs: number): Promise<void>;
}

/** Starts an HTTP server on 127.0.0.1; port 0 chooses a free port. */
export async function startHttpServer(
  handler: (request: IncomingMessage, response: ServerResponse) => void,
  port: number,
): Promise<ListeningServer> {
  const server = createServer(handler);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', resolve);
  });
  const address = server.address() as AddressInfo;
  return {
    server,
    url: `http://127.0.0.1:${address.port}`,
    port: address.port,
    stop: timeoutMs => closeServer(server, timeoutMs),
  };
}

async function closeServer(server: Server, timeoutMs: number): Promise<void> {
  const closed = new Promise(resolve => server.close(resolve));
  const timer = setTimeout(() => server.closeAllConnections(), timeoutMs);
  await closed;
  clearTimeout(timer);
}

/** Reads the whole request body as UTF-8 text. */
export async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

/** Sends a JSON response. */
export function sendJson(response: ServerResponse, statusCode: number, body: unknown): void {
  const text = JSON.stringify(body);
  response.writeHead(statusCode, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
