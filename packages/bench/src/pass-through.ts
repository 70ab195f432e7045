// Minimal proxy that is the baseline of `bench overhead`: forwards each request to the next of the
// given engines and streams the response back.
import {createServer, IncomingMessage, ServerResponse} from 'node:http';
import {AddressInfo} from 'node:net';
import {pipeline} from 'node:stream/promises';
import {Agent} from 'undici';

const engines = process.argv.slice(2);
const agent = new Agent({connections: 256, pipelining: 1});
let next = 0;

async function forwardRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const upstreamResponse = await agent.request({
    origin: engines[next++ % engines.length],
    path: request.url ?? '/',
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      'x-radishgw-attempt-id': `pass-${next}`,
    },
    body: Buffer.concat(chunks),
  });
  response.writeHead(upstreamResponse.statusCode, {'content-type': 'text/event-stream'});
  await pipeline(upstreamResponse.body, response);
}

const server = createServer((request, response) => {
  forwardRequest(request, response).catch(() => response.destroy());
});
server.listen(0, '127.0.0.1', () => {
  const {port} = server.address() as AddressInfo;
  process.stdout.write(JSON.stringify({url: `http://127.0.0.1:${port}`}) + '\n');
});
