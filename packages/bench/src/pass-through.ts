// Baseline of `bench overhead`: passes each request on to one of the given engines and pipes the
// response back, and does nothing else.
import {createServer, IncomingMessage, ServerResponse} from 'node:http';
import {AddressInfo} from 'node:net';
import {pipeline} from 'node:stream/promises';
import {Agent} from 'undici';

const engines = process.argv.slice(2);
const agent = new Agent({connections: 256, pipelining: 1});
let next = 0;

async function pass(request: IncomingMessage, response: ServerResponse): Promise<void> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const answer = await agent.request({
    origin: engines[next++ % engines.length],
    path: request.url ?? '/',
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      'x-radishgw-attempt-id': `pass-${next}`,
    },
    body: Buffer.concat(chunks),
  });
  response.writeHead(answer.statusCode, {'content-type': 'text/event-stream'});
  await pipeline(answer.body, response);
}

const server = createServer((request, response) => {
  pass(request, response).catch(() => response.destroy());
});
server.listen(0, '127.0.0.1', () => {
  const {port} = server.address() as AddressInfo;
  process.stdout.write(JSON.stringify({url: `http://127.0.0.1:${port}`}) + '\n');
});
