import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {AddressInfo} from 'node:net';

/** Address of a stand-in that listens on the loopback interface. */
export interface Listening {
  readonly server: Server;
  readonly url: string;
  readonly port: number;
  /** Takes no new connections and waits for requests in flight, at most `timeoutMs`. */
  stop(timeoutMs: number): Promise<void>;
}

/** Starts an HTTP server on 127.0.0.1; port 0 chooses a free port. */
export async function listen(
  handle: (request: IncomingMessage, response: ServerResponse) => void,
  port: number,
): Promise<Listening> {
  const server = createServer(handle);
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

/** Reads a whole request body as text. */
export async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

/** Answers with JSON. */
export function sendJson(response: ServerResponse, statusCode: number, body: unknown): void {
  const text = JSON.stringify(body);
  response.writeHead(statusCode, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
