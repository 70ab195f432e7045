import {createServer, Server} from 'node:net';

/**
 * Ports from 32768 up are assigned to outgoing connections and to servers that ask for any port, so
 * one that was free when it was chosen may be in use when a host starts or restarts.
 */
const FIRST_PORT = 20_000;
const END_PORT = 32_768;
const BLOCK_PORTS = 200;

let reservedBlock: Promise<number> | undefined;
let allocatedCount = 0;

async function tryListen(port: number): Promise<Server | undefined> {
  const server = createServer();
  const isFree = await new Promise<boolean>(resolve => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => resolve(true));
  });
  return isFree ? server : undefined;
}

/** Listens on the first port of a block, so that other processes take no port of the block. */
async function reserveBlock(): Promise<number> {
  for (let port = FIRST_PORT; port + BLOCK_PORTS <= END_PORT; port += BLOCK_PORTS) {
    const server = await tryListen(port);
    if (!server) continue;
    server.unref();
    return port;
  }
  throw new Error('all blocks of ports are in use');
}

/** Finds a free port of the loopback address, which no other process of the tests is given. */
export async function allocatePort(): Promise<number> {
  reservedBlock ??= reserveBlock();
  const firstPort = await reservedBlock;
  for (;;) {
    const port = firstPort + 1 + (allocatedCount++ % (BLOCK_PORTS - 1));
    const server = await tryListen(port);
    if (!server) continue;
    await new Promise(resolve => server.close(resolve));
    return port;
  }
}

/** Finds several ports, as {@link allocatePort} does. */
export async function allocatePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) ports.push(await allocatePort());
  return ports;
}
