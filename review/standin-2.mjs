/* global Buffer, fetch, URL */
// Stand-ins of the second review: the platform's store, servers, and hosts as processes of their own.
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:http';
import {createServer as createNetServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import process from 'node:process';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

export {wait};

export const LOOPBACK = '127.0.0.1';
export const HOST_NAME = 'caller.example';
export const API_KEY = 'key-one';
export const TEAM = 'team-one';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..');

/** Whether the case plays its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Lines of `record.txt` beside the script. */
export class Record {
  constructor(folder) {
    this.path = join(folder, 'record.txt');
    this.startMs = Date.now();
    writeFileSync(this.path, '');
  }

  write(text) {
    const line = `${String(Date.now() - this.startMs).padStart(6)} ms  ${text}`;
    writeFileSync(this.path, `${line}\n`, {flag: 'a'});
  }
}

async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
}

function listen(server, port = 0) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, LOOPBACK, () => resolve(server.address().port));
  });
}

export async function findFreePort() {
  const server = createNetServer();
  const port = await listen(server);
  await new Promise(resolve => server.close(resolve));
  return port;
}

/** The platform's metadata store, in the form of objects. */
export class Store {
  constructor() {
    this.kinds = new Map();
    this.revision = 100;
    this.server = createServer((request, response) => void this.handle(request, response));
  }

  async start() {
    this.address = `${LOOPBACK}:${await listen(this.server)}`;
    return this;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  objectsOf(kind) {
    if (!this.kinds.has(kind)) this.kinds.set(kind, new Map());
    return this.kinds.get(kind);
  }

  write(kind, name, specification) {
    const objects = this.objectsOf(kind);
    const created = objects.get(name)?.metadata.created ?? Date.now();
    const revision = ++this.revision;
    const metadata = {name, revision, created, finalizers: [], deleting: false};
    objects.set(name, {metadata, specification, status: null});
  }

  async handle(request, response) {
    const text = (await readBody(request)).toString();
    const url = new URL(request.url, 'http://store');
    const [, , , kind, name] = url.pathname.split('/').map(decodeURIComponent);
    const body = text ? JSON.parse(text) : undefined;
    const [status, payload] = this.process(request.method, kind, name, url.searchParams, body);
    response.writeHead(status, {'content-type': 'application/json', 'store-era': '1'});
    response.end(JSON.stringify(payload));
  }

  process(method, kind, name, query, body) {
    const objects = this.objectsOf(kind);
    if (method === 'GET' && name === undefined) {
      const after = query.get('after') ?? '';
      const names = [...objects.keys()].sort().filter(item => item > after);
      const items = names.slice(0, 500).map(item => objects.get(item));
      return [200, {items, 'more-pages': names.length > 500, 'current-rev': this.revision}];
    }
    const key = name ?? body.metadata.name;
    const current = objects.get(key);
    if (method === 'POST') {
      if (current) return [409, current];
      this.write(kind, key, body.specification);
      return [201, objects.get(key)];
    }
    if (!current) return [404, {error: 'none'}];
    if (method === 'GET') return [200, current];
    const expected = body?.metadata?.revision ?? query.get('revision');
    if (
      expected !== undefined &&
      expected !== null &&
      Number(expected) !== current.metadata.revision
    )
      return [409, current];
    if (method === 'DELETE') {
      objects.delete(key);
      this.revision++;
      return [200, {}];
    }
    const isSame = JSON.stringify(body.specification) === JSON.stringify(current.specification);
    if (!isSame) this.write(kind, key, body.specification);
    return [200, objects.get(key)];
  }
}

/** The platform's interface for usage reports and orders for servers. */
export class Duties {
  async start() {
    this.server = createServer((request, response) => {
      request.resume();
      request.on('end', () => response.end('{}'));
    });
    this.address = `${LOOPBACK}:${await listen(this.server)}`;
    return this;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** A sound server; `respond(request, response, body)` may be replaced. */
export class TargetServer {
  constructor(id, service, record) {
    this.id = id;
    this.service = service;
    this.record = record;
    /** Ids of the requests that this server has run, in order. */
    this.runs = [];
    this.bornMs = Date.now();
    this.respond = (request, response) => this.answer(request, response, 'done');
    this.server = createServer((request, response) => void this.handle(request, response));
    this.server.keepAliveTimeout = 30_000;
  }

  async start() {
    this.address = `${LOOPBACK}:${await listen(this.server)}`;
    return this;
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }

  entry(fields = {}) {
    return {
      service: this.service,
      address: this.address,
      zone: 'zone-a',
      version: 'v1',
      slots: 8,
      state: 'ready',
      'cold-remaining-ms': 0,
      sequence: 1,
      born: this.bornMs,
      ...fields,
    };
  }

  async handle(request, response) {
    const body = await readBody(request).catch(() => undefined);
    if (body === undefined) return;
    const expected = request.headers['radishgw-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, {'radishgw-instance-id': this.id});
      response.end();
      return;
    }
    await this.respond(request, response, body);
  }

  /** Records that a request has begun to run. */
  run(request) {
    const id = request.headers['radishgw-request-id'];
    this.runs.push(id);
    this.record.write(`server ${this.id} runs ${id}`);
  }

  headers(request) {
    return {
      'radishgw-request-id': request.headers['radishgw-request-id'],
      'radishgw-response-seal': '3e1b.07.5a2.600.0.c9f2a4d1',
      'radishgw-server-load': '1,0,8',
    };
  }

  answer(request, response, text, more = {}) {
    this.run(request);
    response.writeHead(200, {
      ...this.headers(request),
      'content-type': 'text/plain',
      'content-length': Buffer.byteLength(text),
      ...more,
    });
    response.end(text);
  }
}

export function makeRoute(name, kind, service, more = {}) {
  return {
    name,
    host: HOST_NAME,
    'path-prefix': `/${name}/`,
    kind,
    'timeout-ms': 3000,
    'target-latency-ms': 500,
    priority: 1,
    service,
    attempts: kind === 'unsafe' ? 1 : 2,
    'allow-anonymous': false,
    ...more,
  };
}

export function makeConfiguration(routes, services, limits = {}) {
  return {
    version: 1,
    routes,
    services: services.map(name => ({name, 'health-path': '/health', 'connection-limit': 96})),
    limits: {
      'header-bytes': 16_384,
      'body-bytes': 4_194_304,
      'header-timeout-ms': 3000,
      'idle-timeout-ms': 15_000,
      ...limits,
    },
    tenants: [{name: TEAM, 'api-keys': [API_KEY], priority: 1}],
  };
}

/** The command of the deploy file. */
function readCommand() {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** A host as the deploy file starts it, with the settings of a small deployment. */
export class Host {
  constructor(name, {storeAddress, dutyAddress, record}) {
    this.name = name;
    this.storeAddress = storeAddress;
    this.dutyAddress = dutyAddress;
    this.record = record;
  }

  async start() {
    const ports = [];
    for (let i = 0; i < 5; i++) ports.push(await findFreePort());
    [this.port, this.readyPort, this.controlPort, this.directoryPort, this.peerPort] = ports;
    const at = port => `${LOOPBACK}:${port}`;
    this.folder = mkdtempSync(join(tmpdir(), 'radishgw-review-'));
    const path = join(this.folder, 'boot.yaml');
    const settings = {
      'node-name': this.name,
      role: 'entry',
      'machine-class': 'front',
      serves: ['front', 'directory'],
      'ip-address': LOOPBACK,
      zone: 'zone-a',
      region: 'region-a',
      zones: {'zone-a': 'region-a'},
      'listen-addresses': {
        front: at(this.port),
        ready: at(this.readyPort),
        control: at(this.controlPort),
        directory: at(this.directoryPort),
      },
      'internal-ports': [this.peerPort, this.peerPort],
      seeds: [],
      bootstrap: true,
      limits: {
        'cpu-share': 0.675,
        cores: 1,
        'memory-mb': 350,
        'file-descriptors': 4100,
        'link-mbps': 1000,
        'disk-mb': 0,
      },
      'data-directory': null,
      discovery: 'platform',
      entry: 'directory',
      'heartbeat-ms': 1200,
      bounds: {
        'contact-ms': 3000,
        'drain-ms': 2000,
        'grace-s': 8,
        'loss-slack-ms': 200,
        'configuration-ms': 2000,
        'revoke-ms': 5000,
        'budget-ratio': 0.2,
        'budget-window-s': 10,
        'budget-slack': 52,
        'quota-window-s': 8,
        'quota-overage': 0.1,
        'quota-slack': 190_000,
        'lease-ms': 3000,
        'usage-window-s': 5,
        ttl_max_s: 5,
      },
      platform: {address: this.storeAddress, form: 'objects', 'writes-per-s': 400},
      'cloud-api': {address: this.dutyAddress, duties: ['usage_reporting', 'scaling']},
    };
    this.settingsPath = path;
    writeFileSync(path, JSON.stringify(settings));
    return this.restart();
  }

  /** Starts the process, as the platform does again after one has ended. */
  async restart() {
    const [program, ...args] = readCommand();
    this.output = '';
    this.end = undefined;
    this.child = spawn(program, args, {
      cwd: ROOT,
      env: {PATH: process.env.PATH, HOME: this.folder, RADISHGW_SETTINGS: this.settingsPath},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child.stdout.on('data', chunk => (this.output += chunk));
    this.child.stderr.on('data', chunk => (this.output += chunk));
    this.exited = new Promise(resolve => {
      this.child.once('exit', (code, signal) => {
        this.end = signal ?? `code ${code}`;
        this.record.write(`host ${this.name} has ended: ${this.end}`);
        resolve();
      });
    });
    this.record.write(`host ${this.name} starts: ${program} ${args.join(' ')}`);
    return this;
  }

  get isRunning() {
    return this.end === undefined;
  }

  /** Greatest resident memory of the process so far. */
  peakMemoryMib() {
    try {
      const status = readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
      return Math.round(Number(/VmHWM:\s+(\d+) kB/.exec(status)[1]) / 1024);
    } catch {
      return undefined; // The process has ended.
    }
  }

  async waitUntilReady(timeoutMs = 15_000) {
    const endMs = Date.now() + timeoutMs;
    while (Date.now() < endMs) {
      const status = await fetch(`http://${LOOPBACK}:${this.readyPort}/v1/readiness`).then(
        response => response.status,
        () => 0,
      );
      if (status === 200) return;
      await wait(50);
    }
    throw new Error(`host ${this.name} isn't ready: ${this.output.slice(-2000)}`);
  }

  async stop() {
    if (this.child && this.isRunning) {
      this.child.kill('SIGKILL');
      await this.exited;
    }
    if (this.folder) rmSync(this.folder, {recursive: true, force: true});
  }
}

/** Plays a case; `play` returns whether the rule held. Ends the process with the status of the case. */
export async function runCase(folder, play) {
  const record = new Record(folder);
  record.write(`the case runs ${HAS_TROUBLE ? 'with' : 'without'} its disruption`);
  const parts = [];
  const own = part => {
    parts.push(part);
    return part;
  };
  let status = 2;
  try {
    const held = await play({record, own});
    record.write(held ? 'the rule held' : 'the rule was broken');
    status = held ? 0 : 1;
  } catch (error) {
    record.write(`the case could not run: ${error.stack ?? error}`);
  }
  for (const part of parts.reverse()) await part.stop();
  process.exit(status);
}
